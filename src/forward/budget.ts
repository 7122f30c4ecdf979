/**
 * The share of a service's traffic that may be sent a second time. Each router keeps within the ratio of its own fresh
 * requests over every sliding window, so that all of them together keep within the ratio of the fleet's, without a word
 * between them. A process that starts has nothing saved up.
 */
import type { Clock } from '../kernel/clock/clock.js';

const SLICES = 20;
/** Repeats are counted over one slice more than fresh requests: the window's rim runs through the oldest slice. */
const REPEATED = SLICES + 1;

interface Counts {
  fresh: number[];
  again: number[];
  at: number;
}

export class RepeatBudget {
  private readonly services = new Map<string, Counts>();

  /** `ratio` of fresh requests within `window` ms. */
  constructor(
    private readonly ratio: number,
    private readonly window: number,
    private readonly clock: Clock,
  ) {}

  /** A request that is sent for the first time. */
  note(service: string): void {
    const counts = this.counts(service);
    counts.fresh[counts.at % SLICES]! += 1;
  }

  /** Takes one repeat when the window allows it. */
  take(service: string): boolean {
    const counts = this.counts(service);
    if (sum(counts.again) + 1 > this.ratio * sum(counts.fresh)) return false;
    counts.again[counts.at % REPEATED]! += 1;
    return true;
  }

  private counts(service: string): Counts {
    const now = Math.floor(this.clock.now() / (this.window / SLICES));
    const known = this.services.get(service);
    if (!known) {
      const made: Counts = {
        fresh: new Array<number>(SLICES).fill(0),
        again: new Array<number>(REPEATED).fill(0),
        at: now,
      };
      this.services.set(service, made);
      return made;
    }
    for (let at = Math.max(known.at, now - REPEATED) + 1; at <= now; at++)
      known.fresh[at % SLICES] = known.again[at % REPEATED] = 0;
    known.at = now;
    return known;
  }
}

const sum = (numbers: readonly number[]): number =>
  numbers.reduce((total, each) => total + each, 0);
