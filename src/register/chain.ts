/**
 * Settled generations as a member knows them: the digests back from the newest one, as far as the links are known; the
 * newest ones themselves, for those who follow; and those who wait for the next. Below the floor nothing is kept.
 */
import { within, type Clock } from '../kernel/clock/clock.js';
import { digestOf, type Document } from './document.js';
import type { Filed } from './store.js';

const DEPTH = 16;

export class Chain {
  private newest = 0;
  private lowest = 1;
  private current: Document | undefined;
  private readonly digests = new Map<number, string>();
  private readonly recent = new Map<number, Filed>();
  private readonly watchers = new Set<() => void>();
  private whole = { from: 0, to: 0, size: 0, digest: '' };

  constructor(private readonly clock: Clock) {}

  get settled(): number {
    return this.newest;
  }

  /** The newest settled document, on the disk or not yet. */
  get document(): Document | undefined {
    return this.current;
  }

  get floor(): number {
    return this.lowest;
  }

  digest(generation: number): string | undefined {
    return this.digests.get(generation);
  }

  /** A generation handed on to followers, while it is among the newest. */
  filed(generation: number): Filed | undefined {
    return this.recent.get(generation);
  }

  settle(document: Document, digest: string, filed: Filed): boolean {
    const { generation, previous } = document;
    if (generation <= this.newest) return false;
    this.newest = generation;
    this.current = document;
    this.digests.set(generation, digest);
    if (generation > 1) this.digests.set(generation - 1, previous);
    this.recent.set(generation, filed);
    for (const old of this.recent.keys()) {
      if (this.recent.size <= DEPTH) break;
      this.recent.delete(old);
    }
    for (const wake of [...this.watchers]) wake();
    return true;
  }

  /** Notes the link of a generation that is known to belong here to the one before it. */
  link(generation: number, previous: string): void {
    if (generation > this.lowest && previous) this.digests.set(generation - 1, previous);
  }

  raise(floor: number): void {
    if (floor <= this.lowest) return;
    this.lowest = floor;
    for (const generation of this.digests.keys()) if (generation < floor) this.digests.delete(generation);
  }

  /** One digest over all from the floor up, or nothing while some links are not known. */
  get wholeDigest(): string {
    const { lowest: from, newest: to } = this;
    const { size } = this.digests;
    if (to === 0 || size < to - from + 1) return '';
    if (this.whole.from !== from || this.whole.to !== to || this.whole.size !== size) this.whole = { from, to, size, digest: this.rangeDigest(from, to) };
    return this.whole.digest;
  }

  rangeDigest(from: number, to: number): string {
    const digests: string[] = [];
    for (let generation = from; generation <= to; generation++) digests.push(this.digests.get(generation) ?? '');
    return digestOf(digests.join(' '));
  }

  /** Waits until something settled beyond the generation given, or until the limit. */
  async beyond(generation: number, limit: number): Promise<void> {
    if (this.newest > generation) return;
    let wake: () => void = () => undefined;
    const news = new Promise<void>((resolve) => {
      wake = resolve;
      this.watchers.add(wake);
    });
    await within(this.clock, limit, news);
    this.watchers.delete(wake);
  }
}
