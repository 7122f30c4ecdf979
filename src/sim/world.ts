/**
 * A world of many nodes in one process, on virtual time. Hosts run the real tasks on the clock, net and disk given
 * here; every event is a timer, a frame or a disk operation coming due, taken one at a time in the order of due time,
 * and all that follows from one has run before the next is taken. With one seed a run repeats exactly.
 *
 * A frozen host keeps its clock running, as a stopped process does, but nothing reaches it until it thaws. A suspended
 * one stands still with its monotonic clock, as a whole machine that sleeps; its wall clock goes on. A dead host never
 * hears anything again: its tasks hang where they stand.
 */
import { Right } from 'purify-ts';
import { Reckoner, type Clock, type Moment } from '../kernel/clock/clock.js';
import type { Disk } from '../kernel/disk/disk.js';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import { Inbox, type Channel, type Listener, type Net } from '../kernel/net/net.js';
import { SeededRandom, type Random } from '../kernel/random/random.js';
import { MemberObserver } from './member-observer.js';

interface Due {
  readonly at: number;
  readonly number: number;
  readonly run: () => void;
}

/** A heap of what is due, by time and then by number. */
export class Agenda {
  private readonly heap: Due[] = [];

  push(due: Due): void {
    const { heap } = this;
    heap.push(due);
    for (let at = heap.length - 1; at > 0;) {
      const above = (at - 1) >> 1;
      if (!before(heap[at]!, heap[above]!)) break;
      [heap[at], heap[above]] = [heap[above]!, heap[at]!];
      at = above;
    }
  }

  pop(): Due | undefined {
    const { heap } = this;
    const first = heap[0];
    const last = heap.pop();
    if (!first || !last || heap.length === 0) return first;
    heap[0] = last;
    for (let at = 0; ;) {
      let least = at;
      for (const below of [2 * at + 1, 2 * at + 2])
        if (below < heap.length && before(heap[below]!, heap[least]!)) least = below;
      if (least === at) return first;
      [heap[at], heap[least]] = [heap[least]!, heap[at]!];
      at = least;
    }
  }

  get next(): number {
    return this.heap[0]?.at ?? Infinity;
  }
}

const before = (a: Due, b: Due): boolean => a.at < b.at || (a.at === b.at && a.number < b.number);

export type Mishap = 'pass' | 'drop' | 'twice' | 'late';

export interface NetParams {
  latency: number;
  jitter: number;
  /** Decides what befalls a frame; the checker steers it, seeded runs draw it. */
  mishap: (from: string, to: string, frame: Uint8Array) => Mishap;
}

export class World {
  now = 0;
  readonly random: Random;
  readonly net: NetParams = { latency: 1, jitter: 1, mishap: () => 'pass' };
  /** Looks at all members of the register after each event. */
  readonly members = new MemberObserver();
  private readonly agenda = new Agenda();
  /** How many faults under way cut each way. */
  private readonly cuts = new Map<string, number>();
  private readonly listeners = new Map<
    string,
    { host: Host; accept: (channel: Channel) => void }
  >();
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
    }
    if (done()) return true;
    this.now = Math.max(this.now, until);
    return false;
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
    this.listeners.set(address, { host, accept });
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

export class Host {
  dead = false;
  private frozen = false;
  private sleepsSince: number | undefined;
  /** For how long in all the machine was suspended, and how far its wall clock was set forward or back. */
  private slept = 0;
  private jumped = 0;
  private readonly held: Array<() => void> = [];
  private readonly channels = new Set<SimChannel>();
  readonly clock: Clock;
  readonly net: Net;
  readonly random: Random;

  constructor(
    readonly world: World,
    readonly name: string,
    readonly address: string,
  ) {
    this.clock = new SimClock(this);
    this.net = new SimNet(this);
    this.random = new SeededRandom(Math.floor(world.random.fraction() * 0x7fffffff) + 1);
  }

  /** Something comes due for this host: now, once it thaws, or never. */
  reach(run: () => void): void {
    if (this.dead) return;
    if (this.frozen) this.held.push(run);
    else run();
  }

  later(delay: number, run: () => void): void {
    this.world.at(delay, () => this.reach(run));
  }

  freeze(): void {
    this.frozen = true;
  }

  /** The whole machine sleeps; its monotonic clock stands until it thaws. */
  suspend(): void {
    this.freeze();
    this.sleepsSince ??= this.world.now;
  }

  jump(by: number): void {
    this.jumped += by;
  }

  get monotonic(): number {
    return (this.sleepsSince ?? this.world.now) - this.slept;
  }

  get wall(): number {
    return 1_700_000_000_000 + this.world.now + this.jumped;
  }

  thaw(): void {
    this.frozen = false;
    if (this.sleepsSince !== undefined) this.slept += this.world.now - this.sleepsSince;
    this.sleepsSince = undefined;
    for (const run of this.held.splice(0)) this.later(0, run);
  }

  /** The process ends here and now; its peers see their channels close. */
  kill(): void {
    this.dead = true;
    for (const channel of this.channels) channel.sever();
  }

  own(channel: SimChannel): void {
    this.channels.add(channel);
  }

  disown(channel: SimChannel): void {
    this.channels.delete(channel);
  }
}

class SimClock implements Clock {
  private readonly reckoner: Reckoner;

  constructor(private readonly host: Host) {
    this.reckoner = new Reckoner(
      () => this.now(),
      () => this.wall(),
    );
  }

  now(): Moment {
    return this.host.monotonic as Moment;
  }

  wall(): number {
    return this.host.wall;
  }

  strict(): Moment {
    return this.reckoner.strict();
  }

  sleep(duration: number, signal?: AbortSignal): Promise<void> {
    return new Promise((wake) => {
      if (signal?.aborted) return wake();
      const done = (): void => {
        signal?.removeEventListener('abort', done);
        wake();
      };
      signal?.addEventListener('abort', done, { once: true });
      this.host.later(duration, done);
    });
  }
}

class SimChannel implements Channel {
  private readonly inbox = new Inbox();
  private closed = false;
  other: SimChannel | undefined;
  private lastArrival = 0;

  constructor(
    private readonly host: Host,
    readonly peer: string,
  ) {
    host.own(this);
  }

  send(frame: Uint8Array): boolean {
    const { other } = this;
    if (this.closed || this.host.dead || !other) return false;
    const { world } = this.host;
    if (world.isCut(this.host.name, other.host.name)) return true;
    const fate = world.net.mishap(this.host.name, other.host.name, frame);
    if (fate === 'drop') return true;
    const copy = Uint8Array.from(frame);
    const arrive = (): void => other.host.reach(() => other.take(copy));
    this.lastArrival = Math.max(this.lastArrival, world.now + world.delay());
    if (fate === 'late') world.at(1800, arrive);
    else world.at(this.lastArrival - world.now, arrive);
    if (fate === 'twice') world.at(this.lastArrival - world.now + 300, arrive);
    return true;
  }

  receive(): Promise<Uint8Array | undefined> {
    return this.inbox.take();
  }

  take(frame: Uint8Array): void {
    if (!this.closed) this.inbox.put(frame);
  }

  close(): void {
    if (this.closed) return;
    this.end();
    this.tellOther();
  }

  sever(): void {
    this.closed = true;
    this.tellOther();
  }

  private tellOther(): void {
    const { other } = this;
    if (!other) return;
    const { world } = this.host;
    if (!world.isCut(this.host.name, other.host.name))
      world.at(world.delay(), () => other.host.reach(() => other.end()));
  }

  private end(): void {
    this.closed = true;
    this.host.disown(this);
    this.inbox.end();
  }
}

class SimNet implements Net {
  constructor(private readonly host: Host) {}

  listen(address: string, accept: (channel: Channel) => void): Promise<Outcome<Listener>> {
    const { host } = this;
    host.world.listen(host, address, accept);
    return Promise.resolve(Right({ address, close: () => host.world.unlisten(address, host) }));
  }

  dial(address: string, limit: number): Promise<Outcome<Channel>> {
    const { host } = this;
    const { world } = host;
    return new Promise((resolve) => {
      const found = world.listenerAt(address);
      if (
        found &&
        (world.isCut(host.name, found.host.name) || world.isCut(found.host.name, host.name))
      ) {
        return host.later(limit, () =>
          resolve(failed('net.dial', address, `no channel within ${limit} ms`)),
        );
      }
      if (!found)
        return host.later(world.delay(), () =>
          resolve(failed('net.dial', address, 'ECONNREFUSED')),
        );
      host.later(limit, () =>
        resolve(failed('net.dial', address, `no channel within ${limit} ms`)),
      );
      world.at(world.delay(), () =>
        found.host.reach(() => {
          const near = new SimChannel(host, address);
          const far = new SimChannel(found.host, `sim-${host.name}`);
          near.other = far;
          far.other = near;
          found.accept(far);
          host.later(world.delay(), () => resolve(Right(near)));
        }),
      );
    });
  }
}

/**
 * A disk that outlives its process. What was synced stays; a write still on its way when power goes is kept or lost by
 * chance. It can be slow, stalled, full, lost or spoilt.
 */
export class SimDisk {
  readonly files = new Map<string, Uint8Array>();
  latency = 2;
  full = false;
  stalled = false;
  writes = 0;
  /** Asked at each write, in order; yes means that power goes at that very moment. */
  powerCut: (write: number) => 'no' | 'before' | 'after' = () => 'no';
  onPowerCut: () => void = () => undefined;

  constructor(private readonly world: World) {}

  lose(): void {
    this.files.clear();
  }

  spoil(path: string): void {
    const bytes = this.files.get(path);
    if (bytes)
      this.files.set(
        path,
        bytes.map((byte, at) => (at === bytes.length - 2 ? byte ^ 0x55 : byte)),
      );
  }

  open(host: Host): Disk {
    return {
      write: (path, bytes) =>
        new Promise((resolve) => {
          const copy = Uint8Array.from(bytes);
          const act = (): void => {
            if (this.stalled) return this.world.at(100, act);
            if (host.dead) {
              if (this.world.random.fraction() < 0.5) this.files.set(path, copy);
              return;
            }
            const cut = this.powerCut(++this.writes);
            if (cut !== 'no') {
              if (cut === 'after') this.files.set(path, copy);
              return this.onPowerCut();
            }
            if (this.full)
              return host.reach(() => resolve(failed('disk.write', path, 'ENOSPC', 'unknown')));
            this.files.set(path, copy);
            host.reach(() => resolve(Right(undefined)));
          };
          this.world.at(this.latency * (0.5 + this.world.random.fraction()), act);
        }),
      read: (path) =>
        new Promise((resolve) => host.later(0.1, () => resolve(Right(this.files.get(path))))),
      remove: (path) =>
        new Promise((resolve) =>
          host.later(0.1, () => {
            this.files.delete(path);
            resolve(Right(undefined));
          }),
        ),
      list: (folder) =>
        new Promise((resolve) =>
          host.later(0.1, () =>
            resolve(
              Right(
                [...this.files.keys()]
                  .filter((path) => path.startsWith(`${folder}/`))
                  .map((path) => path.slice(folder.length + 1))
                  .sort(),
              ),
            ),
          ),
        ),
    };
  }
}
