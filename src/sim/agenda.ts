/** What is due in a simulated world, in the order of its time. */

/** Something that is due at a time; the number puts what is due at the same time in order. */
export interface Due {
  readonly at: number;
  readonly number: number;
  readonly run: () => void;
}

/** A heap of what is due, by time and then by number. */
export class Agenda {
  private readonly heap: Due[] = [];

  push(due: Due): void {
    const { heap } = this;
    heap.push(due);
    for (let at = heap.length - 1; at > 0;) {
      const above = (at - 1) >> 1;
      if (!before(heap[at]!, heap[above]!)) break;
      [heap[at], heap[above]] = [heap[above]!, heap[at]!];
      at = above;
    }
  }

  pop(): Due | undefined {
    const { heap } = this;
    const first = heap[0];
    const last = heap.pop();
    if (!first || !last || heap.length === 0) return first;
    heap[0] = last;
    for (let at = 0; ;) {
      let least = at;
      for (const below of [2 * at + 1, 2 * at + 2])
        if (below < heap.length && before(heap[below]!, heap[least]!)) least = below;
      if (least === at) return first;
      [heap[at], heap[least]] = [heap[least]!, heap[at]!];
      at = least;
    }
  }

  get next(): number {
    return this.heap[0]?.at ?? Infinity;
  }
}

const before = (a: Due, b: Due): boolean => a.at < b.at || (a.at === b.at && a.number < b.number);
