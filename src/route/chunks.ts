/**
 * What is worked out from a long list part by part, and kept for the lists that come after it: those of one revision and
 * the next share nearly all their items, and items are never changed in place.
 */

/** How many items are taken together: the least that is worked out anew where one of them changed. */
const CHUNK = 32;

interface Known<V> {
  readonly items: readonly object[];
  readonly value: V;
}

const isSame = (chunk: readonly object[], items: readonly object[], from: number): boolean => {
  for (let at = 0; at < chunk.length; at++) if (chunk[at] !== items[from + at]) return false;
  return true;
};

/** A function of the chunks of lists. A chunk is found again by its first item, and is the same while all its items are. */
export class ChunkCache<V> {
  private readonly known = new WeakMap<object, Known<V>>();

  constructor(private readonly make: (items: readonly object[]) => V) {}

  /** What the function makes of each chunk of a list, in order. */
  valuesOf(items: readonly object[]): V[] {
    const values: V[] = [];
    for (let from = 0; from < items.length; from += CHUNK) values.push(this.valueAt(items, from));
    return values;
  }

  private valueAt(items: readonly object[], from: number): V {
    const length = Math.min(CHUNK, items.length - from);
    const first = items[from]!;
    const known = this.known.get(first);
    if (known?.items.length === length && isSame(known.items, items, from)) return known.value;
    const chunk = items.slice(from, from + length);
    const value = this.make(chunk);
    this.known.set(first, { items: chunk, value });
    return value;
  }
}
