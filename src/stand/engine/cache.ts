/**
 * The stand-in engine's block cache, made apart from the router's index so that one can judge the other: blocks are
 * named by the whole text before them, kept in true LRU order within the capacity, and blocks of running requests are
 * pinned.
 */
import { createHash } from 'node:crypto';

/** A cache of prompt blocks in true LRU order. */
export class BlockCache {
  private readonly held = new Map<string, number>();

  constructor(private readonly capacityBlocks: number) {}

  /** Names of the whole blocks of a sequence, in order. */
  static names(space: string, bytes: Uint8Array, size: number): string[] {
    const names: string[] = [];
    for (let end = size; end <= bytes.length; end += size)
      names.push(
        createHash('sha1')
          .update(space)
          .update('\u0000')
          .update(bytes.subarray(0, end))
          .digest('hex'),
      );
    return names;
  }

  hits(names: readonly string[]): number {
    let count = 0;
    while (count < names.length && this.held.has(names[count]!)) count += 1;
    return count;
  }

  /** Touches or takes in blocks and pins them until `release`. */
  take(names: readonly string[]): void {
    for (const name of names) {
      const pins = this.held.get(name) ?? 0;
      this.held.delete(name);
      this.held.set(name, pins + 1);
    }
    this.evict();
  }

  release(names: readonly string[]): void {
    for (const name of names) this.held.set(name, Math.max(0, (this.held.get(name) ?? 1) - 1));
    this.evict();
  }

  private evict(): void {
    if (this.held.size <= this.capacityBlocks) return;
    for (const [name, pins] of this.held) {
      if (this.held.size <= this.capacityBlocks) break;
      if (pins === 0) this.held.delete(name);
    }
  }
}
