/**
 * A day of a whole fleet in one process: both firms' sizes and traffic shape, doorway changes by operators that race,
 * and failures drawn from the seed; then the judge. Every line of what must never happen is looked at, either here as
 * the day goes or by the judge at its end. One seed replays exactly.
 */
import type { Schemas } from '../api/schema.js';
import type { Fault as Failure } from '../kernel/fault/fault.js';
import { Right } from 'purify-ts';
import { pick, SeededRandom, type Random } from '../kernel/random/random.js';
import { failed } from '../kernel/fault/fault.js';
import { readRequest } from '../passage/request.js';
import type { Sink } from '../passage/passage.js';
import type { Fetch } from '../pool/news.js';
import { decodeDocument, type Document } from '../register/document.js';
import { judge, type Finding } from '../stand/judge/judge.js';
import type { CallerRecord } from '../stand/caller/caller.js';
import { SimEngine, type EngineFacts } from './engine.js';
import { simBase, simCore, simRouter, type SimCore, type SimRouter } from './nodes.js';
import { Host, SimDisk, World } from './world.js';

export interface DayPlan {
  readonly name: string;
  readonly zones: readonly string[];
  readonly routers: number;
  readonly cores: number;
  readonly engines: number;
  readonly shortPerSecond: number;
  readonly longPerSecond: number;
  readonly seconds: number;
  readonly faults: readonly FaultName[];
}

export const faultNames = [
  'core-killed', 'core-power', 'core-disk-lost', 'core-frozen', 'core-all-killed', 'core-split', 'core-cut-off', 'disk-stalled', 'disk-full', 'disk-slow',
  'router-killed', 'router-herd', 'router-frozen', 'router-isolated', 'router-drains', 'engine-killed', 'engine-replaced', 'engine-dark', 'engine-leaves', 'lossy-net', 'all-killed', 'crowd', 'platform-dark',
] as const;
export type FaultName = (typeof faultNames)[number];

const common: readonly FaultName[] = ['core-killed', 'core-power', 'core-frozen', 'core-all-killed', 'core-split', 'core-cut-off', 'router-killed', 'router-herd', 'router-frozen', 'router-isolated', 'router-drains', 'engine-killed', 'engine-replaced', 'engine-dark', 'engine-leaves', 'lossy-net', 'all-killed', 'crowd', 'platform-dark'];

export const sites: ReadonlyMap<string, DayPlan> = new Map([
  ['sahel', { name: 'sahel', zones: ['amman-1', 'amman-2', 'amman-3'], routers: 8, cores: 3, engines: 8, shortPerSecond: 12, longPerSecond: 1, seconds: 40, faults: [...common, 'disk-stalled', 'disk-slow'] }],
  ['aconcagua', { name: 'aconcagua', zones: ['valparaiso-1', 'valparaiso-2', 'santiago-1', 'santiago-2'], routers: 6, cores: 3, engines: 6, shortPerSecond: 12, longPerSecond: 1, seconds: 40, faults: [...common, 'disk-full', 'core-disk-lost', 'core-disk-lost'] }],
]);

/** Traffic goes on for this long after the last fault, so that a day that closes with one shows whether service returns. */
const AFTER = 12_500;

export interface DayResult {
  readonly seed: number;
  readonly findings: ReadonlyArray<Finding | { readonly breach: string; readonly request: string; readonly detail: string }>;
  readonly faults: readonly string[];
  readonly outcomes: ReadonlyMap<string, number>;
  readonly changes: ReadonlyMap<string, number>;
  readonly backAfter: readonly number[];
  /** The same for requests that may not be repeated, whose ids must be claimed again. */
  readonly onceBackAfter: readonly number[];
  readonly retries: number;
  readonly claims: number;
}

type Groups = 'even' | 'odd' | 'all';

interface Told {
  readonly id: string;
  readonly doorway: string;
  readonly expects: number;
  readonly groups: Groups;
  outcome: string;
  generation: number;
  at: number;
}

class Day {
  private readonly world: World;
  private readonly random: Random;
  private readonly facts: EngineFacts = { runs: [], overreach: 0, claims: 0 };
  private readonly engines = new Map<string, SimEngine>();
  private readonly listed = new Map<string, { identifier: string; address: string; zone: string; group: string; leaving: boolean }>();
  private readonly shown: Array<{ at: number; text: string }> = [];
  private readonly reads: number[] = [];
  private readonly cores = new Map<string, SimCore>();
  private readonly routers = new Map<string, SimRouter>();
  private readonly disks = new Map<string, SimDisk>();
  private readonly left = new Map<string, number>();
  private readonly calls: Array<CallerRecord & { firm: string; doorway: string }> = [];
  private readonly told: Told[] = [];
  private readonly findings: Array<{ breach: string; request: string; detail: string }> = [];
  private readonly notes: string[] = [];
  private readonly backAfter: number[] = [];
  private readonly onceBackAfter: number[] = [];
  private onceOutage: number | undefined;
  private readonly draining = new Set<string>();
  private readonly lostFor = new Set<string>();
  /** Ids that were sent again: a first send that was declined may then have run under the second. */
  private readonly resent = new Set<string>();
  private outage: number | undefined;
  private replaced = 0;
  private accepted = 1;

  constructor(private readonly plan: DayPlan, private readonly seed: number) {
    this.world = new World(seed);
    this.random = new SeededRandom(seed * 7919 + 13);
  }

  async run(): Promise<DayResult> {
    const { plan, world } = this;
    this.publish();
    for (let at = 1; at <= plan.engines; at++) this.startEngine(`engine-${at}`, `127.0.0.1:${3000 + at}`, plan.zones[at % plan.zones.length]!, at % 2 === 0 ? 'even' : 'odd');
    for (let at = 1; at <= plan.cores; at++) this.startCore(`core-${at}`);
    for (let at = 1; at <= plan.routers; at++) this.startRouter(`router-${at}`);
    world.at(20, () => this.watch());
    const opened = this.open();
    await world.until(opened, 60_000);
    await world.run(world.now + 2000);
    const from = world.now;
    this.traffic(from, plan.seconds * 1000 + AFTER, plan.shortPerSecond, plan.longPerSecond);
    this.operators(from, plan.seconds * 1000);
    this.draw(from);
    await world.run(from + plan.seconds * 1000);
    this.mend();
    await world.run(world.now + 16_000);
    await this.close();
    return this.result();
  }

  private get site(): { fleet: string; seeds: string[]; over: object } {
    return { fleet: this.plan.name, seeds: Array.from({ length: this.plan.cores }, (_, at) => `127.0.0.1:${1001 + at}`), over: { form: true, core: { replaceAfter: 3000 }, law: { routers: this.plan.routers } } };
  }

  private startCore(name: string): void {
    const disk = this.disks.get(name) ?? new SimDisk(this.world);
    this.disks.set(name, disk);
    const at = Number(name.split('-')[1]);
    const core = simCore(this.world, name, `127.0.0.1:${1000 + at}`, this.plan.zones[at % this.plan.zones.length]!, disk, this.site);
    this.cores.set(name, core);
    void core.node.start();
  }

  private startRouter(name: string): void {
    const at = Number(name.split('-')[1]);
    const router = simRouter(this.world, name, `127.0.0.1:${2000 + at}`, this.plan.zones[at % this.plan.zones.length]!, this.site, (host) => this.fetchFor(host), (address) => this.engines.get(address));
    this.routers.set(name, router);
    void router.node.start();
  }

  private startEngine(identifier: string, address: string, zone: string, group: string): void {
    this.engines.set(address, new SimEngine(this.world, identifier, address, 524_288, 8000, this.facts));
    this.listed.set(identifier, { identifier, address, zone, group, leaving: false });
    this.publish();
  }

  private publish(): void {
    const engines = [...this.listed.values()].map(({ group, ...entry }) => ({ ...entry, model: 'family', adapters: [], weight_generation: 'w1', labels: { group, pool: 'shared' }, cache_capacity_tokens: 524_288, prefill_rate: 8000 }));
    this.shown.push({ at: this.world.now, text: JSON.stringify({ engines }) });
  }

  /** The platform: lagging by 300 ms, at most ten reads a second. */
  private fetchFor(host: Host): Fetch {
    return (limit) =>
      new Promise((resolve) => {
        const { world } = this;
        host.later(limit, () => resolve(failed('pool.poll', 'platform', 'no answer')));
        world.at(world.delay(), () => {
          if (world.isCut(host.name, 'platform')) return;
          while (this.reads[0] !== undefined && this.reads[0] < world.now - 1000) this.reads.shift();
          if (this.reads.length >= 10) return host.later(world.delay(), () => resolve(Right({ text: '', wait: 1000 })));
          this.reads.push(world.now);
          const text = this.shown.filter(({ at }) => at <= world.now - 300).at(-1)?.text ?? this.shown[0]!.text;
          host.later(world.delay(), () => resolve(Right({ text, wait: 0 })));
        });
      });
  }

  private doorway(name: string, groups: Groups): Schemas['Doorway'] {
    const [firm, tag] = name.split('-') as [string, 'short' | 'long'];
    return {
      name, firm, match: { tag }, engines: groups === 'all' ? [{ label: 'pool', value: 'shared' }] : [{ label: 'group', value: groups }],
      repeatable: tag === 'long', resume: false, limits: { firstToken: tag === 'short' ? 3000 : 8000, total: 15_000 }, line: 200, share: tag === 'short' ? 4 : 1,
    };
  }

  private readonly names = ['sahel-short', 'sahel-long', 'aconcagua-short', 'aconcagua-long'];

  private async open(): Promise<void> {
    for (const name of this.names) {
      for (let tries = 0; ; tries++) {
        const told = await this.change(name, 0, 'all', `open-${name}`, 5000);
        if (told.outcome === 'accepted') break;
        if (tries > 20) throw new Error(`seed ${this.seed}: could not open ${name}: ${JSON.stringify(told)}`);
        await this.pause(500);
      }
    }
  }

  private pause(duration: number): Promise<void> {
    return new Promise((resolve) => this.world.at(duration, () => resolve()));
  }

  /** One change through some living node; what the operator was told is kept. */
  private async change(doorway: string, expects: number, groups: Groups, id: string, wait: number): Promise<Told> {
    const via = pick(this.random, [...this.cores.values(), ...this.routers.values()].filter(({ host }) => !host.dead));
    const told: Told = { id, doorway, expects, groups, outcome: 'silent', generation: 0, at: Infinity };
    this.told.push(told);
    if (!via) return told;
    const spec = this.doorway(doorway, groups);
    const done = await Promise.race([via.operations.setDoorway({ firm: spec.firm, who: 'operator' }, { change: id, doorway: spec, expects, wait }), this.pause(wait + 3000).then(() => undefined)]);
    done?.caseOf({
      Left: ({ certainty }: Failure) => {
        told.outcome = certainty;
      },
      Right: (reply) => {
        told.outcome = reply.outcome;
        told.generation = reply.generation;
      },
    });
    told.at = this.world.now;
    if (told.outcome === 'accepted') this.accepted = Math.max(this.accepted, told.generation);
    return told;
  }

  /** Operators change doorways in uneven steps, now and then two at once with the same expectation. */
  private operators(from: number, span: number): void {
    let number = 0;
    const newest = (name: string): number => Math.max(0, ...this.told.filter((each) => each.doorway === name && each.generation > 0).map(({ generation }) => generation));
    for (let at = 500; at < span; at += 400 + this.random.fraction() * 4000) {
      this.world.at(from - this.world.now + at, () => {
        const name = pick(this.random, this.names)!;
        const storm = this.random.fraction() < 0.1 ? 12 : this.random.fraction() < 0.4 ? 2 : 1;
        for (let each = 0; each < storm; each++) {
          number += 1;
          void this.change(name, newest(name), pick(this.random, ['even', 'odd', 'all'] as const)!, `c${number}`, 4000 + this.random.fraction() * 4000);
        }
      });
    }
  }

  private traffic(from: number, span: number, short: number, long: number): void {
    const every = 1000 / (short + long);
    for (let at = 0; at < span; at += every * (0.5 + this.random.fraction())) {
      const kind = this.random.fraction() < long / (short + long) ? 'long' : 'short';
      this.world.at(from - this.world.now + at, () => this.call(kind));
    }
  }

  private call(kind: 'short' | 'long', again?: { readonly number: number; readonly firm: string }): void {
    const { world } = this;
    const router = pick(this.random, [...this.routers.values()])!;
    const firm = again?.firm ?? pick(this.random, ['sahel', 'aconcagua'])!;
    const number = again?.number ?? this.calls.length;
    const group = Math.floor(this.random.fraction() * 3);
    const system = kind === 'long' ? `timetable ${firm} ${group}: ${'train leaves yard '.repeat(250)}` : `desk ${firm} ${group}: answer briefly. `.repeat(8);
    const record = { id: `q${number}`, repeatable: kind === 'long', began: world.now, firstPiece: 0, ended: 0, status: 0, outcome: 'silent', reason: '', retryAfter: '', engine: '', text: '', pieces: 0, firm, doorway: `${firm}-${kind}` } as CallerRecord & { firm: string; doorway: string };
    if (!again) this.calls.push(record);
    if (!again && kind === 'short' && this.random.fraction() < 0.25) {
      this.resent.add(record.id);
      world.at(this.random.fraction() * 4000, () => this.call(kind, { number, firm }));
    }
    if (router.host.dead) {
      record.reason = 'no connection';
      return;
    }
    const request = readRequest({ firm, path: '/v1/chat/completions', headers: new Map([['x-request-id', record.id], ['x-tag', kind], ['x-repeatable', kind === 'long' ? 'yes' : 'no']]), body: { model: 'family', stream: true, messages: [{ role: 'system', content: system }, { role: 'user', content: `question ${number}` }], max_tokens: 16 }, freshId: 'x' }).unsafeCoerce();
    const gone = new AbortController();
    if (this.random.fraction() < 0.03) world.at(this.random.fraction() * 300, () => gone.abort());
    const sink: Sink = {
      gone: gone.signal,
      write: (event, engine) => {
        if (router.host.dead) return Promise.resolve(false);
        record.firstPiece ||= world.now;
        record.engine = engine;
        if (event.data !== '[DONE]') record.text += (JSON.parse(event.data) as { choices: Array<{ delta: { content?: string } }> }).choices[0]?.delta.content ?? '';
        else record.outcome = 'result';
        return Promise.resolve(!gone.signal.aborted);
      },
      complete: () => undefined,
      broken: () => (record.outcome = 'broken'),
    };
    router.host.reach(() => {
      void router.passage.carry(request, sink).then((ending) => {
        if (router.host.dead) return;
        record.ended = world.now;
        if (ending.outcome === 'result') return this.back(kind);
        record.outcome = ending.outcome;
        record.reason = ending.fault.reason;
      });
    });
  }

  private back(kind: 'short' | 'long'): void {
    if (this.outage !== undefined) this.backAfter.push(Math.round(this.world.now - this.outage));
    this.outage = undefined;
    if (kind === 'long') return;
    if (this.onceOutage !== undefined) this.onceBackAfter.push(Math.round(this.world.now - this.onceOutage));
    this.onceOutage = undefined;
  }

  /** Looks, at every turn, that no node which holds standing is behind what was told accepted. */
  private watch(): void {
    for (const { host, standing, inForce } of this.routers.values()) {
      if (!host.dead && standing.holds() && inForce.generation < this.accepted) this.findings.push({ breach: 'accepted-not-in-force', request: '', detail: `${host.name} stands on ${inForce.generation}, accepted is ${this.accepted}, at ${Math.round(this.world.now)}` });
    }
    this.world.at(20, () => this.watch());
  }

  private draw(from: number): void {
    const count = 2 + Math.floor(this.random.fraction() * 4);
    for (let each = 0; each < count; each++) {
      const fault = pick(this.random, this.plan.faults)!;
      const at = 2000 + this.random.fraction() * (this.plan.seconds * 1000 - 14_000);
      const lasts = 500 + this.random.fraction() * 9000;
      this.world.at(from - this.world.now + at, () => this.strike(fault, lasts));
    }
    if (this.random.fraction() < 0.3) this.world.at(from - this.world.now + this.plan.seconds * 1000 - 1500, () => this.strike('all-killed', 1000));
  }

  private some<T>(table: ReadonlyMap<string, T>): [string, T] {
    return pick(this.random, [...table])!;
  }

  private killRouter(name: string, lasts: number): void {
    this.routers.get(name)!.host.kill();
    this.world.at(lasts, () => {
      if (this.routers.get(name)!.host.dead) this.startRouter(name);
    });
  }

  private killCore(name: string, lasts: number): void {
    this.cores.get(name)!.host.kill();
    this.world.at(lasts, () => {
      if (this.cores.get(name)!.host.dead) this.startCore(name);
    });
  }

  private strike(fault: FaultName, lasts: number): void {
    const { world } = this;
    this.notes.push(`${fault}@${Math.round(world.now)}+${Math.round(lasts)}`);
    const [core, coreNode] = this.some(this.cores);
    const [router, routerNode] = this.some(this.routers);
    const coreNames = [...this.cores.keys()];
    const routerNames = [...this.routers.keys()];
    const engine = pick(this.random, [...this.engines.values()].filter(({ host, identifier }) => !host.dead && this.listed.has(identifier)));
    const heal = (): void => world.at(lasts, () => world.heal());
    switch (fault) {
      case 'core-killed':
        return this.killCore(core, lasts);
      case 'core-power': {
        const disk = this.disks.get(core)!;
        disk.powerCut = () => (this.random.fraction() < 0.5 ? 'before' : 'after');
        disk.onPowerCut = () => {
          disk.powerCut = () => 'no';
          this.killCore(core, lasts);
        };
        return;
      }
      case 'core-disk-lost':
        if (this.lostFor.size > 0) return;
        this.lostFor.add(core);
        coreNode.host.kill();
        this.disks.get(core)!.lose();
        return world.at(lasts, () => this.startCore(core));
      case 'core-frozen':
        coreNode.host.freeze();
        return world.at(lasts, () => coreNode.host.thaw());
      case 'core-all-killed':
        for (const name of coreNames) this.killCore(name, lasts);
        return;
      case 'core-split':
        world.part([core], coreNames.filter((name) => name !== core));
        return heal();
      case 'core-cut-off':
        world.part(coreNames, routerNames);
        return heal();
      case 'disk-stalled': {
        const disk = this.disks.get(core)!;
        disk.stalled = true;
        return world.at(lasts, () => (disk.stalled = false));
      }
      case 'disk-full': {
        const disk = this.disks.get(core)!;
        disk.full = true;
        return world.at(lasts, () => {
          disk.full = false;
          this.killCore(core, 200);
        });
      }
      case 'disk-slow': {
        for (const disk of this.disks.values()) disk.latency = 120;
        return world.at(lasts, () => {
          for (const disk of this.disks.values()) disk.latency = 2;
        });
      }
      case 'router-killed':
        return this.killRouter(router, lasts);
      case 'router-herd':
        for (const name of routerNames.slice(0, Math.ceil(routerNames.length * 0.75))) this.killRouter(name, lasts);
        return;
      case 'router-frozen':
        routerNode.host.freeze();
        return world.at(lasts, () => routerNode.host.thaw());
      case 'router-isolated':
        world.part([router], [...coreNames, ...routerNames.filter((name) => name !== router), 'platform']);
        return heal();
      case 'router-drains': {
        if (routerNode.host.dead || this.draining.has(router)) return;
        this.draining.add(router);
        const taken = routerNode.passage.open;
        void routerNode.node.drain().then((left) => {
          if (left > 0) this.findings.push({ breach: 'drain-broke-off', request: '', detail: `${router} broke off ${left} of ${taken}` });
          this.killRouter(router, lasts);
          this.draining.delete(router);
        });
        return;
      }
      case 'engine-killed':
        if (!engine) return;
        engine.host.kill();
        return world.at(lasts, () => this.replace(engine));
      case 'engine-replaced':
        if (!engine) return;
        engine.host.kill();
        return this.replace(engine);
      case 'engine-dark':
        engine?.host.freeze();
        return world.at(lasts, () => engine?.host.thaw());
      case 'engine-leaves': {
        const entry = engine && this.listed.get(engine.identifier);
        if (!entry) return;
        this.listed.set(entry.identifier, { ...entry, leaving: true });
        this.left.set(entry.identifier, world.now);
        return this.publish();
      }
      case 'platform-dark':
        world.cut(routerNames, ['platform']);
        world.at(300, () => this.strike('engine-leaves', 0));
        return heal();
      case 'lossy-net':
        world.net.mishap = () => (this.random.fraction() < 0.05 ? 'drop' : this.random.fraction() < 0.02 ? 'twice' : this.random.fraction() < 0.03 ? 'late' : 'pass');
        return world.at(lasts, () => (world.net.mishap = () => 'pass'));
      case 'all-killed':
        for (const name of coreNames) this.killCore(name, 600);
        for (const name of routerNames) this.killRouter(name, 600);
        world.at(600, () => (this.outage = this.onceOutage = world.now));
        return;
      case 'crowd':
        return this.traffic(world.now, 1500, 150, 4);
    }
  }

  /** The engine comes back empty at its address under a new identity; the list follows when the platform sees it. */
  private replace(engine: SimEngine): void {
    const entry = this.listed.get(engine.identifier);
    if (!entry) return;
    const identifier = `${engine.identifier.split('+')[0]}+${++this.replaced}`;
    this.engines.set(engine.address, new SimEngine(this.world, identifier, engine.address, 524_288, 8000, this.facts));
    this.world.at(400, () => {
      this.listed.delete(engine.identifier);
      this.listed.set(identifier, { ...entry, identifier, leaving: false });
      this.publish();
    });
  }

  private mend(): void {
    this.world.heal();
    this.world.net.mishap = () => 'pass';
    for (const disk of this.disks.values()) {
      disk.stalled = false;
      disk.powerCut = () => 'no';
    }
    for (const { host } of [...this.cores.values(), ...this.routers.values()]) host.thaw();
  }

  /** The end of the day: the newest configuration and the whole history are read and held against what was told. */
  private async close(): Promise<void> {
    const { world } = this;
    const reader = simBase(world, 'reader', '127.0.0.1:9999', 'z', 'router', this.site);
    const read = await world.until(reader.proposer.read(20_000), 60_000);
    if (read.isLeft()) return void this.findings.push({ breach: 'unreadable', request: '', detail: read.extract().reason });
    const final = read.unsafeCoerce();
    this.checkChanges(final);
    for (const { host, inForce } of this.routers.values()) if (!host.dead && inForce.generation < this.accepted) this.findings.push({ breach: 'slid-back', request: '', detail: `${host.name} at ${inForce.generation}, accepted ${this.accepted}` });
    const core = [...this.cores.values()].find(({ host, member }) => !host.dead && member.state().voting);
    if (!core) return void this.findings.push({ breach: 'unreadable', request: '', detail: 'no member votes' });
    const history = await world.until(core.operations.history({ from: 1, count: 500 }), 60_000);
    history.caseOf({
      Left: ({ reason }) => void this.findings.push({ breach: 'history-not-whole', request: '', detail: reason }),
      Right: ({ generations, settled }) => {
        if (generations.length !== settled) this.findings.push({ breach: 'history-not-whole', request: '', detail: `${generations.length} of ${settled}` });
        const ids = new Set(generations.flatMap(({ changes }) => changes.map(({ id }) => id)));
        for (const told of this.told) if (told.outcome === 'accepted' && !ids.has(told.id)) this.findings.push({ breach: 'accepted-lost', request: told.id, detail: 'not in the history' });
      },
    });
    for (const name of this.lostFor) if (!this.cores.get(name)!.member.state().voting) this.findings.push({ breach: 'not-replaced', request: '', detail: name });
    const wholes = new Set([...this.cores.values()].filter(({ host, member }) => !host.dead && member.state().voting).map(({ member }) => member.wholeDigest));
    if (wholes.size !== 1 || wholes.has('')) this.findings.push({ breach: 'histories-differ', request: '', detail: [...wholes].join(' ') });
    const kept = decodeDocument(Buffer.from((await world.until(core.operations.at(0))).map(({ document }) => document).orDefault('')), 'core');
    if (kept.isLeft()) this.findings.push({ breach: 'unreadable', request: '', detail: 'the newest generation' });
  }

  private checkChanges(final: Document): void {
    const wins = new Map<string, Told[]>();
    for (const told of this.told) {
      const applied = final.outcomes.get(told.id);
      if (told.outcome === 'accepted' && applied?.generation !== told.generation) this.findings.push({ breach: 'accepted-lost', request: told.id, detail: `told ${told.generation}, kept ${applied?.generation}` });
      if ((told.outcome === 'lost' || told.outcome === 'declined') && applied) this.findings.push({ breach: 'declined-took-effect', request: told.id, detail: `in generation ${applied.generation}` });
      if (!applied) continue;
      const key = `${told.doorway}@${told.expects}`;
      wins.set(key, [...(wins.get(key) ?? []), told]);
    }
    for (const [key, winners] of wins) if (winners.length > 1) this.findings.push({ breach: 'rivals-both-won', request: key, detail: winners.map(({ id }) => id).join(' ') });
  }

  /** Whether some doorway value that could be in force when the engine took the request allows the engine. */
  private allowed(request: string, engine: string, at: number, final: ReadonlyMap<string, number>): boolean {
    const doorway = this.calls.find(({ id }) => id === request)?.doorway;
    const number = Number(engine.split('+')[0]!.split('-')[1]);
    const values = this.told.filter((told) => told.doorway === doorway && final.has(told.id)).sort((a, b) => final.get(a.id)! - final.get(b.id)!);
    return values.some((told, place) => {
      const superseded = values.slice(place + 1).some((next) => next.outcome === 'accepted' && next.at < at - 20);
      return !superseded && (told.groups === 'all' || (told.groups === 'even') === (number % 2 === 0));
    });
  }

  private result(): DayResult {
    const reader = [...this.cores.values()].map(({ member }) => member.newest).reduce((best, each) => ((each?.generation ?? 0) > (best?.generation ?? 0) ? each : best));
    const final = new Map([...(reader?.outcomes ?? [])].map(([id, { generation }]) => [id, generation]));
    const at = new Map(this.facts.runs.map((run) => [`${run.request}/${run.engine}`, run.at]));
    const callers = this.calls.map((call): CallerRecord => (call.outcome === 'declined' && this.resent.has(call.id) ? { ...call, outcome: 'silent' } : call));
    const judged = judge({ callers, runs: this.facts.runs, resumes: false, allowed: (request, engine) => this.allowed(request, engine, at.get(`${request}/${engine}`)!, final), left: this.left, overreach: this.facts.overreach });
    const outcomes = new Map<string, number>();
    for (const { outcome } of this.calls) outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
    const changes = new Map<string, number>();
    for (const { outcome } of this.told) changes.set(outcome, (changes.get(outcome) ?? 0) + 1);
    if (this.outage !== undefined || this.onceOutage !== undefined) this.findings.push({ breach: 'not-back', request: '', detail: 'no result since the outage' });
    for (const back of [...this.backAfter, ...this.onceBackAfter]) if (back > 12_000) this.findings.push({ breach: 'late-back', request: '', detail: `${back} ms` });
    for (const { host, journal } of this.routers.values()) for (const { event } of journal.tail()) if (event.kind === 'fault') this.findings.push({ breach: 'illegal-step', request: event.request, detail: `${host.name}: ${event.from} to ${event.to}` });
    const extra = this.facts.runs.length - new Set(this.facts.runs.map(({ request }) => request)).size;
    return { seed: this.seed, findings: [...this.findings.slice(0, 20), ...judged.slice(0, 20)], faults: this.notes, outcomes, changes, backAfter: this.backAfter, onceBackAfter: this.onceBackAfter, retries: extra, claims: this.facts.claims };
  }
}

export const playDay = (plan: DayPlan, seed: number): Promise<DayResult> => new Day(plan, seed).run();
