/**
 * A world of many nodes in one process, on virtual time. Hosts run the real tasks on the clock, net and disk of the
 * simulation; every event is a timer, a frame or a disk operation coming due, taken one at a time in the order of due
 * time, and all that follows from one has run before the next is taken. With one seed a run repeats exactly.
 */
import type { Channel } from '../kernel/net/net.js';
import type { Log } from '../kernel/log/log.js';
import { SeededRandom, type Random } from '../kernel/random/random.js';
import { RegisterInvariants } from '../register/register-invariants.js';
import { Agenda } from './agenda.js';
import type { Host } from './host.js';
import type { Violations } from '../monitor/violations.js';
import { MemberObserver } from './member-observer.js';

/** What befalls a frame on its way. */
export type Mishap = 'pass' | 'drop' | 'twice' | 'late';

/** How the network of a world behaves; latency and jitter in ms. */
export interface NetParams {
  latency: number;
  jitter: number;
  /** Decides what befalls a frame; the checker steers it, seeded runs draw it. */
  mishap: (from: string, to: string, frame: Uint8Array) => Mishap;
}

/** Virtual time, the hosts' listeners, and the cuts between hosts. */
export class World {
  now = 0;
  readonly random: Random;
  readonly net: NetParams = { latency: 1, jitter: 1, mishap: () => 'pass' };
  /** Looks at all members of the register after each event. */
  readonly members = new MemberObserver();
  /** What the nodes found wrong with themselves; looked at after each event. */
  private readonly violations = new Set<Violations<string>>();
  private readonly agenda = new Agenda();
  /** How many faults under way cut each way. */
  private readonly cuts = new Map<string, number>();
  private readonly listeners = new Map<
    string,
    { host: Host; accept: (channel: Channel) => void }
  >();
  /** Addresses of machines without power: nothing there answers, not even that nobody listens. */
  private readonly dark = new Set<string>();
  private count = 0;

  constructor(readonly seed: number) {
    this.random = new SeededRandom(seed);
  }

  at(delay: number, run: () => void): void {
    this.agenda.push({ at: this.now + Math.max(0, delay), number: ++this.count, run });
  }

  /** Runs until a moment, or until a question is answered with yes. */
  async run(until: number, done: () => boolean = () => false): Promise<boolean> {
    await drained();
    while (this.agenda.next <= until) {
      if (done()) return true;
      const due = this.agenda.pop()!;
      this.now = Math.max(this.now, due.at);
      due.run();
      await drained();
      const fault = this.members.look();
      if (fault) throw new Error(`at ${this.now} virtual ms, ${fault}`);
      this.lookForViolations();
    }
    if (done()) return true;
    this.now = Math.max(this.now, until);
    return false;
  }

  private lookForViolations(): void {
    for (const { total, counts } of this.violations) {
      if (total === 0) continue;
      const broken = [...counts].filter(([, count]) => count > 0).map(([invariant]) => invariant);
      throw new Error(`at ${this.now} virtual ms, a node found: ${broken.join(', ')}`);
    }
  }

  /** The checks of one simulated process; the world ends at the first violation that they find. */
  registerInvariants(log: Log): RegisterInvariants {
    const invariants = new RegisterInvariants(log);
    this.violations.add(invariants.violations);
    return invariants;
  }

  /** Runs until a promise of the simulated tasks has settled. */
  async until<T>(promise: Promise<T>, limit = 120_000): Promise<T> {
    let value: { held: T } | undefined;
    void promise.then((held) => (value = { held }));
    await this.run(this.now + limit, () => value !== undefined);
    if (!value) throw new Error(`nothing came of it within ${limit} virtual ms`);
    return value.held;
  }

  /** Cuts the ways from some hosts to others, in that direction only; what comes back mends just this cut. */
  cut(some: readonly string[], others: readonly string[]): () => void {
    const ways = some.flatMap((from) =>
      others.filter((to) => to !== from).map((to) => `${from}>${to}`),
    );
    const add = (by: number): void =>
      ways.forEach((way) => this.cuts.set(way, Math.max(0, (this.cuts.get(way) ?? 0) + by)));
    add(1);
    return () => add(-1);
  }

  /** Cuts both directions between some hosts and others. */
  part(some: readonly string[], others: readonly string[]): () => void {
    const mends = [this.cut(some, others), this.cut(others, some)];
    return () => mends.forEach((mend) => mend());
  }

  heal(): void {
    this.cuts.clear();
  }

  isCut(from: string, to: string): boolean {
    return (this.cuts.get(`${from}>${to}`) ?? 0) > 0;
  }

  listen(host: Host, address: string, accept: (channel: Channel) => void): void {
    this.dark.delete(address);
    this.listeners.set(address, { host, accept });
  }

  /** The machine at an address has no power until something listens there again. */
  darken(address: string): void {
    this.dark.add(address);
  }

  isDark(address: string): boolean {
    return this.dark.has(address);
  }

  unlisten(address: string, host: Host): void {
    if (this.listeners.get(address)?.host === host) this.listeners.delete(address);
  }

  listenerAt(address: string): { host: Host; accept: (channel: Channel) => void } | undefined {
    const found = this.listeners.get(address);
    return found && !found.host.dead ? found : undefined;
  }

  delay(): number {
    return this.net.latency + this.net.jitter * this.random.fraction();
  }
}

const drained = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
