/**
 * How many engines of a service are preferred for long prompts, the others being left to short ones, which would
 * otherwise wait behind the reading of long ones that no single router sees all of. The engines stand in one order for
 * all routers; each counts by itself how the reading is shared between the two kinds, in quarters, so that most agree
 * most of the time. Nothing is barred: it only weighs in the choice.
 */
import { attraction, pullOf } from './order.js';

const HALF_LIFE = 15_000;
/** Tokens of each kind taken as seen from the start. */
const PRIOR = 20_000;
const STEPS = 4;
const LOOK = 250;
/** The largest share of the engines for long prompts: what is left to short ones must bear their bursts. */
const MOST = 2 / 3;

/** How many engines of a service take long prompts. */
export class Split {
  private long = 0;
  private short = 0;
  private at = 0;
  private border = { count: 0, of: 0, at: -Infinity, pull: 0 };

  constructor(private readonly key: number) {}

  note(long: boolean, tokens: number, now: number): void {
    this.fade(now);
    if (long) this.long += tokens;
    else this.short += tokens;
  }

  /** Engines out of `count` for long prompts; `favour` counts tokens of long prompts for more. All, while there is one kind only. */
  share(count: number, favour: number): number {
    if (count < 2 || this.long === 0 || this.short === 0) return count;
    const long = this.long * favour + PRIOR;
    const steps = Math.round((STEPS * long) / (long + this.short + PRIOR));
    return Math.min(count - 1, Math.max(1, Math.floor(count * Math.min(steps / STEPS, MOST))));
  }

  /** From which pull on an engine is for long prompts; the order of the engines is looked at again now and then. */
  pull(engines: readonly number[], count: number, now: number): number {
    const { border } = this;
    if (border.count !== count || border.of !== engines.length || now - border.at > LOOK)
      this.border = { count, of: engines.length, at: now, pull: pullOf(this.key, engines, count) };
    return this.border.pull;
  }

  isLong(engine: number, pull: number): boolean {
    return attraction(this.key, engine) >= pull;
  }

  private fade(now: number): void {
    const left = 0.5 ** ((now - this.at) / HALF_LIFE);
    this.long *= left;
    this.short *= left;
    this.at = now;
  }
}
