/**
 * A simulated process and its machine. A frozen host keeps its clock running, as a stopped process does, but nothing
 * reaches it until it thaws. A suspended one stands still with its monotonic clock, as a whole machine that sleeps; its
 * wall clock goes on. A dead host never hears anything again: its tasks hang where they stand.
 */
import type { Clock } from '../kernel/clock/clock.js';
import type { Net } from '../kernel/net/net.js';
import { SeededRandom, type Random } from '../kernel/random/random.js';
import { SimClock } from './clock.js';
import { SimLink } from './link.js';
import { SimNet, type SimChannel } from './net.js';
import type { World } from './world.js';

/** How long an event takes on a machine that runs slowly, unless told otherwise. */
const SLOW_EVENT_COST = 2;

/** One process with its clock, net and random numbers. */
export class Host {
  dead = false;
  /** The link of its machine, where that carries only so much. */
  link: SimLink | undefined;
  private frozen = false;
  /** How long each event takes on this machine; none but while it runs slowly. */
  private eventCost = 0;
  private busyUntil = 0;
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
    else if (this.eventCost > 0 || this.busyUntil > this.world.now) this.queue(run);
    else run();
  }

  /** Takes one event after the other, each for some time of the machine. */
  private queue(run: () => void): void {
    this.busyUntil = Math.max(this.busyUntil, this.world.now) + this.eventCost;
    this.world.at(this.busyUntil - this.world.now, () => {
      if (this.dead) return;
      if (this.frozen) this.held.push(run);
      else run();
    });
  }

  /** From now on each event takes so many ms, until the machine is sped up again. */
  slow(eventCost = SLOW_EVENT_COST): void {
    this.eventCost = eventCost;
  }

  /** From now on what comes in shares a link of so many bytes in a ms. */
  narrowLink(bytesPerMillisecond: number): void {
    this.link = new SimLink(this.world, bytesPerMillisecond);
  }

  speedUp(): void {
    this.eventCost = 0;
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

  /** All connections of the machine are reset, at both ends; new ones may be opened at once. Tells how many. */
  resetConnections(): number {
    const open = [...this.channels];
    for (const channel of open) channel.close();
    return open.length;
  }

  /** The process ends here and now; its peers see their channels close. */
  kill(): void {
    this.dead = true;
    for (const channel of this.channels) channel.sever();
  }

  /** The machine loses power here and now: its peers see nothing, and dials to it hang until it is back. */
  losePower(): void {
    this.dead = true;
    this.world.darken(this.address);
  }

  own(channel: SimChannel): void {
    this.channels.add(channel);
  }

  disown(channel: SimChannel): void {
    this.channels.delete(channel);
  }
}
