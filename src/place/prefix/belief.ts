/**
 * How likely an engine keeps a prefix of which this node knows nothing there: other routers prefer the same engines, so
 * the first in the order of preference may well have read it for one of them. Learned for each place in the order from
 * how long first tokens took.
 */
import { RANKS } from './order.js';

const PRIOR = [0.5, 0.2, 0.1, 0.05, 0.02];
const STEP = 0.05;

/** How likely each preferred engine holds a prefix that this node never sent there. */
export class Belief {
  private readonly warm = [...PRIOR];

  /** From 0 to 1; `rank` is the place in the order of preference, 0 first. */
  warmth(rank: number): number {
    return this.warm[Math.min(rank, RANKS)]!;
  }

  observe(rank: number, warm: boolean): void {
    const at = Math.min(rank, RANKS);
    this.warm[at]! += ((warm ? 1 : 0) - this.warm[at]!) * STEP;
  }
}
