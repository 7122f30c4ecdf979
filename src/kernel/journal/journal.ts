/**
 * The in-memory journal of a process. Events are appended with the process's own monotonic moment; views are folded
 * from them. The journal keeps a bounded tail: when it is cut, every view has already folded what goes, and that
 * folded state is its checkpoint.
 */
import type { Clock, Moment } from '../clock/clock.js';

/** One event with its number and its moment. */
export interface Entry<E> {
  readonly number: number;
  readonly moment: Moment;
  readonly event: E;
}

/** A bounded record of events, which drops the oldest. */
export class Journal<E> {
  private readonly entries: Entry<E>[] = [];
  private readonly folds: Array<(entry: Entry<E>) => void> = [];
  private count = 0;

  constructor(private readonly clock: Clock, private readonly bound = 4096) {}

  append(event: E): void {
    const entry = { number: ++this.count, moment: this.clock.now(), event };
    this.entries.push(entry);
    if (this.entries.length > this.bound * 2) this.entries.splice(0, this.entries.length - this.bound);
    for (const fold of this.folds) fold(entry);
  }

  view<S>(start: S, fold: (state: S, entry: Entry<E>) => S): () => S {
    let state = this.entries.reduce(fold, start);
    this.folds.push((entry) => {
      state = fold(state, entry);
    });
    return () => state;
  }

  tail(): readonly Entry<E>[] {
    return this.entries.slice(-this.bound);
  }
}
