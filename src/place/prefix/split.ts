/**
 * How many engines of a service are preferred for long prompts, the others being left to short ones, which would
 * otherwise wait behind the reading of long ones that no single router sees all of. The engines stand in one order for
 * all routers; each counts by itself how the reading is shared between the two kinds, so that they differ by an engine
 * at most, at the border. Nothing is barred: it only weighs in the choice.
 */
const HALF_LIFE = 15_000;

export class Split {
  private long = 0;
  private short = 0;
  private at = 0;

  note(long: boolean, tokens: number, now: number): void {
    this.fade(now);
    if (long) this.long += tokens;
    else this.short += tokens;
  }

  /** Engines out of `count` for long prompts, not whole; `favour` counts tokens of long prompts for more. */
  share(count: number, favour: number): number {
    if (count < 2 || this.long === 0 || this.short === 0) return count;
    const exact = (count * this.long * favour) / (this.long * favour + this.short);
    return Math.min(count - 1, Math.max(1, Math.round(exact)));
  }

  private fade(now: number): void {
    const left = 0.5 ** ((now - this.at) / HALF_LIFE);
    this.long *= left;
    this.short *= left;
    this.at = now;
  }
}
