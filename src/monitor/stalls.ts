/**
 * How long the event loop stood still, told by timers that came late: whatever holds the process up, its own work or its
 * machine, holds up the timers that come due meanwhile. It needs no timer of its own, so it costs an idle process nothing;
 * what falls between two timers is not seen.
 */
import type { Duration, Moment } from '../kernel/clock/clock.js';

/** Below this many ms a late timer is no stall. */
const LEAST: Duration = 50;
/** Timers that were held up together fire within so many ms of each other. */
const TOGETHER: Duration = 20;
/** The longest stall is told of the present and the last span of so many ms. */
const SPAN: Duration = 10_000;

/** The stalls of one process. */
export class Stalls {
  /** How many stalls there were, and how many ms they took together. */
  count = 0;
  milliseconds = 0;
  private lastAt = -Infinity;
  private lastLength = 0;
  private spanEnd = -Infinity;
  private present = 0;
  private before = 0;

  /** `report` is told of each stall once, when its first timer fires. */
  constructor(private readonly report: (length: Duration) => void = () => undefined) {}

  /** A timer fired now, so many ms after it was due. */
  note(now: Moment, late: Duration): void {
    if (late < LEAST) return;
    this.turnSpan(now);
    this.present = Math.max(this.present, late);
    const isSame = now - this.lastAt < TOGETHER;
    const known = isSame ? this.lastLength : 0;
    this.milliseconds += Math.max(0, late - known);
    this.lastLength = Math.max(late, known);
    this.lastAt = now;
    if (isSame) return;
    this.count += 1;
    this.report(late);
  }

  /** The longest stall of the last 10 to 20 s. */
  longest(now: Moment): Duration {
    this.turnSpan(now);
    return Math.max(this.present, this.before);
  }

  private turnSpan(now: Moment): void {
    if (now < this.spanEnd) return;
    this.before = now < this.spanEnd + SPAN ? this.present : 0;
    this.present = 0;
    this.spanEnd = now + SPAN;
  }
}
