/**
 * How far a request waits for a less urgent prompt that is already being read at its engine: 1 where prompts are read
 * in the order of their arrival, near 0 where the more urgent go first or all share each step. Learned from whether
 * requests overtook such a prompt of this node's; some are sent there on purpose, as long as even the whole wait would
 * leave them well in time.
 */
const PRIOR = 0.5;
const ENOUGH = 6;
/** The first few are worth being late. */
const AT_ANY_PRICE = 2;
/** Milliseconds after which the answer is sought again. */
const AGE = 5000;

/** How far the reading of one prompt holds others up. */
export class Blocking {
  private value = PRIOR;
  private samples = 0;
  private askedAt = -Infinity;
  private asking = false;

  get share(): number {
    return this.value;
  }

  /** Whether a request should be sent behind a less urgent one to learn from it. */
  wanted(now: number): boolean {
    return now - this.askedAt > AGE || (this.samples < ENOUGH && !this.asking);
  }

  get atAnyPrice(): boolean {
    return this.samples < AT_ANY_PRICE;
  }

  ask(now: number): void {
    this.askedAt = now;
    this.asking = true;
  }

  observe(blocked: boolean): void {
    this.asking = false;
    this.samples += 1;
    this.value += ((blocked ? 1 : 0) - this.value) * Math.max(0.15, 1 / (this.samples + 1));
  }
}
