/**
 * What a follower knows of how current it is: for how long no member has confirmed that what it holds is the newest
 * revision, how many revisions it knows itself to be behind, and why questions of the feed failed.
 */
import type { Clock, Duration, Moment } from '../kernel/clock/clock.js';
import type { Fault } from '../kernel/fault/fault.js';
import type { Log } from '../kernel/log/log.js';
import { rateLimited } from '../kernel/log/rate-limit.js';

/** While no member answers, each of them fails several times a second. */
const FAILURE_RATE = { lines: 4, window: 1000 };

/** How current one follower is. */
export class FeedStatus {
  private held = 0;
  private known = 0;
  private confirmedAt: Moment | undefined;
  private readonly logFailure: Log;

  constructor(
    private readonly clock: Clock,
    log: Log,
  ) {
    this.logFailure = rateLimited(log, clock, FAILURE_RATE);
  }

  /** Notes the revision that is held, and the newest one that any member is known to have committed. */
  note(held: number, known: number): void {
    this.held = held;
    this.known = known;
  }

  /** The source had nothing newer than what is held when it was asked. */
  confirm(askedAt: Moment): void {
    this.confirmedAt = askedAt;
  }

  /** A question of the feed failed; `incoming` tells how many bytes had come in on its channel meanwhile. */
  noteFailure({ step, peer, reason }: Fault, incoming: number): void {
    this.logFailure('feed-failed', [
      ['step', step],
      ['peer', peer],
      ['reason', reason],
      ['held', this.held],
      ['known', this.known],
      ['incoming', incoming],
    ]);
  }

  /** ms since a member last confirmed that what is held is the newest revision; `Infinity` before the first time. */
  get unconfirmed(): Duration {
    return this.confirmedAt === undefined ? Infinity : this.clock.now() - this.confirmedAt;
  }

  /** How many revisions this node knows itself to be behind. */
  get behind(): number {
    return Math.max(0, this.known - this.held);
  }
}
