/**
 * Which member makes a change of the voter set that is due. The first one by rendezvous hashing makes it at once. It may not see
 * what the others see, as when a learner can't reach it; so each next one in the order makes the change after it has been due
 * for another turn.
 */
import type { Moment } from '../kernel/clock/clock.js';
import { holders } from '../duty/rendezvous.js';

/** What one member finds due, and who could make the change. */
export interface DueChange {
  /** The number of the voter set that would be changed. */
  readonly set: number;
  /** The members that could make it, by id. */
  readonly candidates: readonly string[];
}

/** Counts the turns of one member. */
export class ChangeTurn {
  private waiting: { readonly set: number; readonly since: Moment } | undefined;

  /** `duration`: how long a turn lasts, in ms. */
  constructor(private readonly duration: number) {}

  /** Nothing is due any more. */
  reset(): void {
    this.waiting = undefined;
  }

  /** Whether a member makes the change that it found due again now. */
  isOf(member: string, { set, candidates }: DueChange, now: Moment): boolean {
    if (this.waiting?.set !== set) this.waiting = { set, since: now };
    const place = holders(`succession-${set}`, candidates).indexOf(member);
    return place >= 0 && now - this.waiting.since >= place * this.duration;
  }
}
