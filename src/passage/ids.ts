/**
 * Ids of requests that may not be repeated, as far as this node knows them: one taken is never taken again while it is
 * remembered. Bounded in count; when it is full of ids still to be remembered, no more are let in.
 */
import type { Clock, Moment } from '../kernel/clock/clock.js';

/** The ids of requests that this node has seen and must not run again. */
export class TakenIds {
  private readonly taken = new Map<string, Moment>();

  constructor(
    private readonly clock: Clock,
    private readonly bound = 200_000,
    private readonly kept = 600_000,
  ) {}

  take(firm: string, id: string): 'taken' | 'known' | 'full' {
    const now = this.clock.now();
    for (const [old, at] of this.taken) {
      if (at + this.kept > now) break;
      this.taken.delete(old);
    }
    const key = `${firm}/${id}`;
    if (this.taken.has(key)) return 'known';
    if (this.taken.size >= this.bound) return 'full';
    this.taken.set(key, now);
    return 'taken';
  }

  /** Forgets an id whose request certainly never ran, so that the caller may ask again under it. */
  giveBack(firm: string, id: string): void {
    this.taken.delete(`${firm}/${id}`);
  }
}
