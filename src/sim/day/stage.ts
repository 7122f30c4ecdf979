/**
 * The machines of a simulated day: the fleet of one site with its seeds and disks, the engines with their true caches,
 * and the platform's list, which lags and is rate-limited. Machines are started, killed, replaced and put back here;
 * which faults they meet is drawn elsewhere.
 */
import { Right } from 'purify-ts';
import { failed } from '../../kernel/fault/fault.js';
import { pick, SeededRandom, type Random } from '../../kernel/random/random.js';
import type { Fetch } from '../../pool/news.js';
import { SimEngine, type EngineFacts } from '../engine.js';
import { simCore, simRouter, type SimCore, type SimRouter } from '../nodes.js';
import { SimDisk } from '../disk.js';
import type { Host } from '../host.js';
import { World } from '../world.js';
import type { DayPlan } from './plan.js';
import type { Tally } from './tally.js';

const CAPACITY = 524_288;
const RATE = 8000;
const READS_A_SECOND = 10;
/** A core machine that was lost is replaced, and counts again, after this long. */
const RECOVERED_AFTER = 9000;
/** A core machine that is told to stop has this long to hand over. */
const LEAVE_LIMIT = 2000;
const FIRST_ENGINE_PORT = 3000;

interface Listed {
  readonly identifier: string;
  readonly address: string;
  readonly zone: string;
  readonly group: string;
  readonly weightGeneration: string;
  readonly leaving: boolean;
}

export class Stage {
  readonly world: World;
  readonly random: Random;
  readonly facts: EngineFacts = { runs: [], overreach: 0, claims: 0, greyFailures: 0 };
  readonly engines = new Map<string, SimEngine>();
  readonly listed = new Map<string, Listed>();
  readonly cores = new Map<string, SimCore>();
  readonly routers = new Map<string, SimRouter>();
  readonly disks = new Map<string, SimDisk>();
  /** When each engine was marked as leaving. */
  readonly left = new Map<string, number>();
  /** Core machines whose disk or whole machine is gone for good, by the name that should have a vote at the day's end. */
  readonly lostFor = new Set<string>();
  lag = 300;
  private readonly shown: Array<{ at: number; text: string }> = [];
  private readonly reads: number[] = [];
  private replacements = 0;
  private enginesAdded = 0;
  private failures = 0;
  private calmSince = 0;

  constructor(
    readonly plan: DayPlan,
    readonly seed: number,
    readonly tally: Tally,
  ) {
    this.world = new World(seed);
    this.random = new SeededRandom(seed * 7919 + 13);
  }

  start(): void {
    const { plan } = this;
    this.publish();
    for (let at = 1; at <= plan.engines; at++) this.addEngine();
    for (let at = 1; at <= plan.cores; at++) this.startCore(`core-${at}`);
    for (let at = 1; at <= plan.routers; at++) this.startRouter(`router-${at}`);
  }

  get site(): { fleet: string; seeds: string[]; over: object } {
    return {
      fleet: this.plan.name,
      seeds: Array.from({ length: this.plan.cores }, (_, at) => `127.0.0.1:${1001 + at}`),
      over: { form: true, core: { replaceAfter: 3000 }, law: { routers: this.plan.routers } },
    };
  }

  get coreNames(): string[] {
    return [...this.cores.keys()];
  }

  get routerNames(): string[] {
    return [...this.routers.keys()];
  }

  some<T>(table: ReadonlyMap<string, T>): [string, T] {
    return pick(this.random, [...table])!;
  }

  /** An engine that runs and is on the list. */
  someEngine(): SimEngine | undefined {
    return pick(
      this.random,
      [...this.engines.values()].filter(
        ({ host, identifier }) => !host.dead && this.listed.get(identifier)?.leaving === false,
      ),
    );
  }

  pause(duration: number): Promise<void> {
    return new Promise((resolve) => this.world.at(duration, () => resolve()));
  }

  /** A failure is under way until what comes back is called; leases and repair need some time more. */
  disturb(): () => void {
    this.failures += 1;
    return () => {
      this.failures -= 1;
      this.calmSince = this.world.now;
    };
  }

  /** Whether no failure has been under way for some time. */
  calmFor(duration: number): boolean {
    return this.failures === 0 && this.world.now - this.calmSince >= duration;
  }

  startCore(name: string, fleet = this.plan.name): SimCore {
    const key = fleet === this.plan.name ? name : `${name} of ${fleet}`;
    const disk = this.disks.get(key) ?? new SimDisk(this.world);
    this.disks.set(key, disk);
    const at = Number(name.split('-')[1]);
    const core = simCore(this.world, name, `127.0.0.1:${1000 + at}`, this.zone(at), disk, {
      ...this.site,
      fleet,
    });
    if (fleet === this.plan.name) this.cores.set(name, core);
    void core.node.start();
    return core;
  }

  startRouter(name: string): void {
    const at = Number(name.split('-')[1]);
    const router = simRouter(
      this.world,
      name,
      `127.0.0.1:${2000 + at}`,
      this.zone(at),
      this.site,
      (host) => this.fetchFor(host),
      (address) => this.engines.get(address),
    );
    this.routers.set(name, router);
    void router.node.start();
  }

  killRouter(name: string, lasts: number): void {
    const done = this.disturb();
    this.routers.get(name)!.host.kill();
    this.world.at(lasts, () => {
      if (this.routers.get(name)!.host.dead) this.startRouter(name);
      done();
    });
  }

  killCore(name: string, lasts: number): void {
    const done = this.disturb();
    this.cores.get(name)!.host.kill();
    this.world.at(lasts, () => {
      if (this.cores.get(name)?.host.dead) this.startCore(name);
      done();
    });
  }

  /** The machine is gone for good; after a while an empty one stands in its place, at its address or at a new one. */
  loseCore(name: string, lasts: number, moved: boolean): void {
    const done = this.disturb();
    this.cores.get(name)!.host.kill();
    this.disks.get(name)!.lose();
    const successor = moved ? `core-${Number(name.split('-')[1]) + this.plan.cores}` : name;
    this.lostFor.add(successor);
    if (moved) this.cores.delete(name);
    this.world.at(lasts, () => {
      this.startCore(successor);
      this.world.at(RECOVERED_AFTER, done);
    });
  }

  /** As planned: an empty machine at a new address starts first; after a while the one it takes over from stops for good. */
  replaceCore(name: string, overlap: number): string {
    const done = this.disturb();
    const successor = `core-${Number(name.split('-')[1]) + this.plan.cores}`;
    this.lostFor.add(successor);
    this.startCore(successor);
    this.world.at(overlap, () => void this.retireCore(name, done));
    return successor;
  }

  /** A core machine is told to stop, hands over what it can, and is gone with its disk. */
  private async retireCore(name: string, done: () => void): Promise<void> {
    const leaver = this.cores.get(name)!;
    await Promise.race([leaver.node.leave(LEAVE_LIMIT), this.pause(LEAVE_LIMIT)]);
    leaver.stop.abort();
    leaver.host.kill();
    this.disks.get(name)!.lose();
    this.cores.delete(name);
    this.lostFor.delete(name);
    this.world.at(RECOVERED_AFTER, done);
  }

  startEngine(listed: Listed): void {
    this.engines.set(
      listed.address,
      new SimEngine(
        this.world,
        listed.identifier,
        listed.address,
        CAPACITY,
        RATE,
        this.facts,
        listed.weightGeneration,
      ),
    );
    this.listed.set(listed.identifier, listed);
    this.publish();
  }

  /** One engine more, at an address of its own. */
  addEngine(): void {
    const at = ++this.enginesAdded;
    this.startEngine({
      identifier: `engine-${at}`,
      address: `127.0.0.1:${FIRST_ENGINE_PORT + at}`,
      zone: this.zone(at),
      group: at % 2 === 0 ? 'even' : 'odd',
      weightGeneration: 'w1',
      leaving: false,
    });
  }

  /** The engine is gone for good, and so is its place on the list. */
  removeEngine(engine: SimEngine): void {
    engine.host.kill();
    this.listed.delete(engine.identifier);
    this.publish();
  }

  markLeaving(engine: SimEngine): void {
    const entry = this.listed.get(engine.identifier);
    if (!entry || entry.leaving) return;
    this.listed.set(entry.identifier, { ...entry, leaving: true });
    this.left.set(entry.identifier, this.world.now);
    this.publish();
  }

  /** The engine comes back empty at its address under a new identity; the list follows when the platform sees it. */
  replace(engine: SimEngine, weightGeneration?: string): void {
    const entry = this.listed.get(engine.identifier);
    if (!entry) return;
    engine.host.kill();
    const fresh = {
      ...entry,
      identifier: `${engine.identifier.split('+')[0]}+${++this.replacements}`,
      weightGeneration: weightGeneration ?? entry.weightGeneration,
      leaving: false,
    };
    this.engines.set(
      engine.address,
      new SimEngine(
        this.world,
        fresh.identifier,
        fresh.address,
        CAPACITY,
        RATE,
        this.facts,
        fresh.weightGeneration,
      ),
    );
    this.world.at(400, () => {
      this.listed.delete(engine.identifier);
      this.listed.set(fresh.identifier, fresh);
      this.publish();
    });
  }

  /** The engine is gone, and another service that speaks the same protocol answers at its address. */
  reuse(engine: SimEngine, lasts: number): void {
    const entry = this.listed.get(engine.identifier);
    if (!entry) return;
    engine.host.kill();
    const stranger = new SimEngine(
      this.world,
      `stranger-${++this.replacements}`,
      engine.address,
      CAPACITY,
      RATE,
      this.facts,
      entry.weightGeneration,
      () => this.tally.note('strangersDialled'),
    );
    this.engines.set(engine.address, stranger);
    this.world.at(lasts, () => this.replace(engine));
  }

  private zone(at: number): string {
    return this.plan.zones[at % this.plan.zones.length]!;
  }

  private publish(): void {
    const engines = [...this.listed.values()].map(({ group, weightGeneration, ...entry }) => ({
      ...entry,
      model: 'family',
      adapters: [],
      weight_generation: weightGeneration,
      labels: { group, pool: 'shared' },
      cache_capacity_tokens: CAPACITY,
      prefill_rate: RATE,
    }));
    this.shown.push({ at: this.world.now, text: JSON.stringify({ engines }) });
  }

  private fetchFor(host: Host): Fetch {
    return (limit) =>
      new Promise((resolve) => {
        const { world } = this;
        host.later(limit, () => resolve(failed('pool.poll', 'platform', 'no answer')));
        world.at(world.delay(), () => {
          if (world.isCut(host.name, 'platform')) return;
          while (this.reads[0] !== undefined && this.reads[0] < world.now - 1000)
            this.reads.shift();
          if (this.reads.length >= READS_A_SECOND)
            return host.later(world.delay(), () => resolve(Right({ text: '', wait: 1000 })));
          this.reads.push(world.now);
          const text =
            this.shown.filter(({ at }) => at <= world.now - this.lag).at(-1)?.text ??
            this.shown[0]!.text;
          host.later(world.delay(), () => resolve(Right({ text, wait: 0 })));
        });
      });
  }
}
