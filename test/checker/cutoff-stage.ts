/**
 * A fleet whose routers serve on without a lease, one operator that works as the users' does (a second of patience, then
 * the next node), readers at all nodes, and ways to cut core members off. Every call is recorded and judged afterwards.
 */
import { expect } from 'vitest';
import type { ConfigureReply } from '../../src/api/configuration.js';
import { failed } from '../../src/kernel/fault/fault.js';
import { pick, SeededRandom, shuffled, type Random } from '../../src/kernel/random/random.js';
import { Feed } from '../../src/register/calls.js';
import type { Configuration } from '../../src/route/shape.js';
import { simCore, simRouter, type SimCore, type SimRouter } from '../../src/sim/nodes.js';
import { SimDisk } from '../../src/sim/disk.js';
import { World } from '../../src/sim/world.js';
import { decodeFrame, Stage } from '../../src/wire/call.js';

/** The bounds of the simulated deployment, and what follows from them as in docs/platform.md. */
export const APPLY = 2000;
export const ACKNOWLEDGE = 4000;
export const ANSWER = 700;
const CALLER_PATIENCE = 1000;
const SAMPLE_EVERY = 20;
const MOST_TRIES = 40;
/** When a victim that is restarted while it is cut off starts again. */
export const RESTART_AFTER = 3000;

/** How a victim is cut off: who no longer reaches whom. */
export const shapes = [
  'isolated',
  'all-out',
  'all-in',
  'core',
  'core-out',
  'core-in',
  'clients',
  'core-restarted',
] as const;
export type Shape = (typeof shapes)[number];

export const victims = ['acknowledged', 'feeder', 'any'] as const;
export type Victim = (typeof victims)[number];

export interface Order {
  readonly node: string;
  readonly start: number;
  readonly end: number;
  readonly version: number;
  readonly kind: 'put' | 'patch' | 'invalid';
  readonly outcome: ConfigureReply['outcome'];
}

export interface Reading {
  readonly node: string;
  readonly start: number;
  readonly end: number;
  /** Undefined where the node couldn't tell. */
  readonly version: number | undefined;
}

export interface Acknowledgement {
  readonly version: number;
  readonly sent: number;
  readonly at: number;
  readonly node: number;
}

export const configurationOf = (number: number): Configuration => ({
  version: number,
  routes: [
    { name: 'a', host: 'h', prefix: '/a/', kind: 'idempotent', timeout: number, service: 's' },
  ],
  services: [{ name: 's' }],
});

const patchOf = (number: number): object => ({
  version: number,
  set: {
    routes: [
      { name: 'a', host: 'h', prefix: '/a/', kind: 'idempotent', timeout: number, service: 's' },
    ],
  },
  remove: {},
});

export class CutOffStage {
  readonly world: World;
  readonly random: Random;
  readonly cores: SimCore[];
  readonly routers: SimRouter[];
  readonly orders: Order[] = [];
  readonly readings: Reading[] = [];
  readonly acknowledgements: Acknowledgement[] = [];
  readonly findings: string[] = [];
  private readonly disks: SimDisk[];
  private readonly sources = new Map<string, string>();
  private readonly seeds: string[];
  /** The newest version that was acknowledged. */
  version = 0;
  private working = false;
  /** The orders' version that each life of a router had in force last. */
  private readonly seen = new Map<SimRouter, number>();

  constructor(
    seed: number,
    cores = 3,
    routers = 4,
    readonly answer = ANSWER,
  ) {
    this.world = new World(seed);
    this.random = new SeededRandom(seed * 7919 + 13);
    this.seeds = Array.from({ length: cores }, (_, at) => `127.0.0.1:${at + 1}`);
    this.disks = this.seeds.map(() => new SimDisk(this.world));
    this.cores = this.seeds.map((_, at) => this.startCore(at));
    this.routers = Array.from({ length: routers }, (_, at) => this.startRouter(at));
    this.world.net.mishap = (from, to, frame) => {
      decodeFrame(frame, from).ifRight(({ code, stage }) => {
        if (code === Feed.code && stage === Stage.ask && from.startsWith('router'))
          this.sources.set(from, to);
      });
      return 'pass';
    };
  }

  get site(): { fleet: string; seeds: string[]; over: object } {
    const over = {
      form: true,
      lease: {
        duration: ACKNOWLEDGE * 0.375,
        renew: ACKNOWLEDGE * 0.125,
        lapse: 'serve',
        patience: ACKNOWLEDGE / 8,
      },
      feed: { wait: APPLY / 4 },
      claims: { enabled: false },
      core: { replaceAfter: 1000, wanted: this.seeds.length, stall: ACKNOWLEDGE / 5 },
    };
    return { fleet: 'f', seeds: this.seeds, over };
  }

  startCore(at: number): SimCore {
    const core = simCore(
      this.world,
      `core-${at}`,
      this.seeds[at]!,
      'z',
      this.disks[at]!,
      this.site,
    );
    void core.node.start();
    return core;
  }

  startRouter(at: number): SimRouter {
    const router = simRouter(
      this.world,
      `router-${at}`,
      `127.0.0.1:${100 + at}`,
      'z',
      this.site,
      () => () => Promise.resolve(failed('list', 'platform', 'there is none')),
      () => undefined,
    );
    void router.node.start();
    return router;
  }

  restartCore(at: number): void {
    this.cores[at]!.host.kill();
    this.cores[at] = this.startCore(at);
  }

  restartRouter(at: number): void {
    this.routers[at]!.host.kill();
    this.routers[at] = this.startRouter(at);
  }

  get coreNames(): string[] {
    return this.cores.map(({ host }) => host.name);
  }

  get routerNames(): string[] {
    return this.routers.map(({ host }) => host.name);
  }

  async ready(): Promise<void> {
    const { world } = this;
    expect(await world.run(10_000, () => this.routers.every(({ lease }) => lease.holds()))).toBe(
      true,
    );
    this.sample();
  }

  pause(duration: number): Promise<void> {
    return new Promise((resolve) => this.world.at(duration, () => resolve()));
  }

  /** The member that fits a description, as things stand. */
  victim(kind: Victim): number {
    const names = this.coreNames;
    const fed = (name: string): number =>
      [...this.sources.values()].filter((source) => source === name).length;
    if (kind === 'acknowledged') return this.acknowledgements.at(-1)?.node ?? 0;
    if (kind === 'feeder') return names.indexOf([...names].sort((a, b) => fed(b) - fed(a))[0]!);
    return Math.floor(this.random.fraction() * names.length);
  }

  /** Cuts members off; what comes back heals it. */
  cutOff(members: readonly number[], shape: Shape): () => void {
    const { world, routerNames } = this;
    const some = members.map((at) => this.cores[at]!.host.name);
    const voters = this.coreNames.filter((name) => !some.includes(name));
    const all = [...voters, ...routerNames];
    switch (shape) {
      case 'isolated':
        return world.part(some, all);
      case 'all-out':
        return world.cut(some, all);
      case 'all-in':
        return world.cut(all, some);
      case 'core':
        return world.part(some, voters);
      case 'core-out':
        return world.cut(some, voters);
      case 'core-in':
        return world.cut(voters, some);
      case 'clients':
        return world.part(some, routerNames);
      case 'core-restarted':
        world.at(RESTART_AFTER, () => members.forEach((at) => this.restartCore(at)));
        return world.part(some, voters);
    }
  }

  /** Orders and reads at all nodes until told to stop. */
  work(): () => void {
    this.working = true;
    void this.write();
    void this.readAll();
    void this.sendInvalid();
    return () => (this.working = false);
  }

  /** One read at a node, recorded. */
  async read(at: number): Promise<Reading> {
    const { host, configurator } = this.cores[at]!;
    const start = this.world.now;
    const told = await configurator.read(this.answer);
    const reading = {
      node: host.name,
      start,
      end: this.world.now,
      version: told
        .map((whole) => whole?.version ?? 0)
        .toMaybe()
        .extract(),
    };
    this.readings.push(reading);
    return reading;
  }

  /** One order at a node, recorded. */
  async order(at: number, kind: Order['kind'], version: number, expects: number): Promise<Order> {
    const { host, configurator } = this.cores[at]!;
    const start = this.world.now;
    const { outcome } =
      kind === 'patch'
        ? await configurator.patch(patchOf(version), expects, this.answer)
        : await configurator.replace(
            { ...configurationOf(version), ...(kind === 'invalid' && { services: [] }) },
            expects,
            this.answer,
          );
    const order = { node: host.name, start, end: this.world.now, version, kind, outcome };
    this.orders.push(order);
    return order;
  }

  /** Sends one change to one node after another, as it was, until it is acknowledged; and once more after that. */
  async change(): Promise<void> {
    const expects = this.version;
    const version = expects + 1 + Math.floor(this.random.fraction() * 3);
    const kind = expects > 0 && this.random.fraction() < 0.5 ? 'patch' : 'put';
    const sent = this.world.now;
    const nodes = shuffled(
      this.random,
      this.cores.map((_, at) => at),
    );
    for (let tries = 0; tries < MOST_TRIES; tries++) {
      const at = nodes[tries % nodes.length]!;
      const twin = this.random.fraction() < 0.3 ? nodes[(tries + 1) % nodes.length] : undefined;
      if (twin !== undefined) void this.order(twin, kind, version, expects);
      const told = await Promise.race([
        this.order(at, kind, version, expects),
        this.pause(CALLER_PATIENCE).then(() => undefined),
      ]);
      if (told?.outcome === 'accepted') {
        this.acknowledgements.push({ version, sent, at: this.world.now, node: at });
        this.version = version;
        break;
      }
      await this.pause(Math.min(400, 50 * 2 ** tries) * (0.5 + this.random.fraction()));
    }
    if (this.random.fraction() < 0.3)
      await Promise.race([
        this.order(pick(this.random, nodes)!, kind, version, expects),
        this.pause(CALLER_PATIENCE),
      ]);
  }

  private async write(): Promise<void> {
    while (this.working) {
      await this.change();
      await this.pause(20 + this.random.fraction() * 300);
    }
  }

  private async readAll(): Promise<void> {
    for (let at = 0; this.working; at++) {
      void this.read(at % this.cores.length);
      await this.pause(40 + this.random.fraction() * 100);
    }
  }

  private async sendInvalid(): Promise<void> {
    while (this.working) {
      const at = Math.floor(this.random.fraction() * this.cores.length);
      void this.order(at, 'invalid', this.version + 1, this.version);
      await this.pause(500);
    }
  }

  /** Looks again and again at what the routers have in force: never back, and never late. */
  private sample(): void {
    for (const router of this.routers) {
      if (router.host.dead) continue;
      const { version } = router.inForce.routes;
      if (version < (this.seen.get(router) ?? 0))
        this.findings.push(`${router.host.name} went back to ${version} at ${this.world.now}`);
      this.seen.set(router, version);
    }
    const due = this.acknowledgements.filter(({ at }) => at <= this.world.now - APPLY).at(-1);
    for (const { host, inForce } of this.routers)
      if (due && !host.dead && inForce.routes.version < due.version)
        this.findings.push(
          `${host.name} still has ${inForce.routes.version} at ${Math.round(this.world.now)}, ${due.version} was acknowledged at ${Math.round(due.at)}`,
        );
    this.world.at(SAMPLE_EVERY, () => this.sample());
  }

  /** What is wrong with the answers given so far. */
  judge(): string[] {
    const found = [...new Set(this.findings)].slice(0, 5);
    for (const { node, start, end, version } of this.readings) {
      if (end - start > this.answer + 5) found.push(`read at ${node}: ${end - start} ms`);
      if (version === undefined) continue;
      const acknowledged = this.acknowledgements.filter(({ at }) => at <= start).at(-1);
      if (acknowledged && version < acknowledged.version)
        found.push(`${node} told ${version}, ${acknowledged.version} was acknowledged before`);
      const earlier = this.readings.find(
        (other) => other.end <= start && (other.version ?? 0) > version,
      );
      if (earlier)
        found.push(`${node} told ${version} after ${earlier.node} told ${earlier.version}`);
    }
    for (const { node, start, end, kind, version, outcome } of this.orders) {
      if (end - start > this.answer + 5) found.push(`order at ${node}: ${end - start} ms`);
      const refused = outcome === 'conflict' || outcome === 'invalid';
      if (kind === 'invalid' ? !refused : refused)
        found.push(`${kind} ${version} at ${node} was told ${outcome}`);
    }
    return found;
  }
}
