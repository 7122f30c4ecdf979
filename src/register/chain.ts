/**
 * Committed revisions as a member knows them: the digests back from the newest one, as far as the links are known; the
 * newest ones themselves and the deltas between them, for those who follow; and those who wait for the next. Below the
 * floor nothing is kept, and of the newest ones no more whole than fits the bound.
 */
import { within, type Clock } from '../kernel/clock/clock.js';
import type { Ballot } from './ballot.js';
import type { FeedFrame } from './calls.js';
import { encodeDocument, type Document } from './document.js';
import { documentDigest } from './document-digest.js';
import { wholeFrame } from './frames.js';
import { digestOf } from './hash.js';
import { deltaBetween } from './revision.js';
import type { Filed } from './store.js';

const DEPTH = 16;
/** Bytes of whole revisions, and of deltas, that are held for those who follow; the newest one is held at any rate. */
const HELD_BYTES = 8 * 1024 * 1024;
const FEED_BYTES = 4 * 1024 * 1024;

/** Takes the oldest out until as many are left as may be held; the last one stays. */
export const shed = <T>(held: Map<number, T>, sizeOf: (item: T) => number): void => {
  let bytes = [...held.values()].reduce((sum, item) => sum + sizeOf(item), 0);
  for (const [key, item] of held) {
    if (held.size <= 1 || (held.size <= DEPTH && bytes <= HELD_BYTES)) break;
    held.delete(key);
    bytes -= sizeOf(item);
  }
};

const sizeOf = ({ document }: Filed): number => encodeDocument(document).length;

export class Chain {
  private newest = 0;
  private lowest = 1;
  private current: Document | undefined;
  /** The revision before the accepted one, as it was on the disk when this member started. */
  private parentOnDisk: Document | undefined;
  private readonly deltas = new Map<number, FeedFrame>();
  private readonly digests = new Map<number, string>();
  private readonly recent = new Map<number, Filed>();
  private readonly watchers = new Set<() => void>();
  private whole = { from: 0, to: 0, size: 0, digest: '' };

  constructor(private readonly clock: Clock) {}

  get committed(): number {
    return this.newest;
  }

  /** The newest committed document, on the disk or not yet. */
  get document(): Document | undefined {
    return this.current;
  }

  get floor(): number {
    return this.lowest;
  }

  digest(revision: number): string | undefined {
    return this.digests.get(revision);
  }

  /** A revision handed on to followers, while it is among the newest. */
  filed(revision: number): Filed | undefined {
    return this.recent.get(revision);
  }

  commit(filed: Filed): boolean {
    const { document } = filed;
    const { revision, previous } = document;
    const digest = documentDigest(document);
    if (revision <= this.newest) return false;
    const cameByDelta = filed.delta?.base === previous && filed.delta !== undefined;
    if (cameByDelta) this.holdDelta(revision, digest, filed.ballot, filed.delta.bytes);
    this.newest = revision;
    this.current = document;
    this.digests.set(revision, digest);
    if (revision > 1) this.digests.set(revision - 1, previous);
    this.recent.set(revision, filed);
    shed(this.recent, sizeOf);
    for (const wake of [...this.watchers]) wake();
    return true;
  }

  /** Notes the revision before the accepted one, so that followers can be sent what changed although no change came since. */
  noteParentOnDisk(document: Document): void {
    this.parentOnDisk = document;
  }

  /** The revision before another, where it is at hand. */
  private parentOf({ revision, previous }: Document): Document | undefined {
    const parent = this.recent.get(revision - 1)?.document ?? this.parentOnDisk;
    return parent && documentDigest(parent) === previous ? parent : undefined;
  }

  /** What follows a revision, whole or as deltas; nothing when it is not all held here. */
  following(from: number, deltas: boolean): FeedFrame[] {
    if (from <= 0 || this.newest - from > DEPTH) return [];
    const frames: FeedFrame[] = [];
    let bytes = 0;
    for (let revision = from + 1; revision <= this.newest; revision++) {
      const filed = this.recent.get(revision);
      const frame = (deltas ? this.delta(revision) : undefined) ?? (filed && wholeFrame(filed));
      bytes += frame?.document.length ?? 0;
      if (!frame || bytes > FEED_BYTES) break;
      frames.push(frame);
    }
    return frames;
  }

  /** Made when it is first asked for, while both revisions are at hand. */
  private delta(revision: number): FeedFrame | undefined {
    const filed = this.recent.get(revision);
    if (filed && !this.deltas.has(revision)) this.makeDelta(filed);
    return this.deltas.get(revision);
  }

  private makeDelta(filed: Filed): void {
    const { ballot, document } = filed;
    const parent = this.parentOf(document);
    const made = parent && deltaBetween(parent, document);
    if (made && made.length < sizeOf(filed))
      this.holdDelta(document.revision, documentDigest(document), ballot, made);
  }

  private holdDelta(revision: number, digest: string, ballot: Ballot, document: Uint8Array): void {
    this.deltas.set(revision, { ballot, document, base: revision - 1, digest });
    shed(this.deltas, (item) => item.document.length);
  }

  /** Notes the link of a revision that is known to belong here to the one before it. */
  link(revision: number, previous: string): void {
    if (revision > this.lowest && previous) this.digests.set(revision - 1, previous);
  }

  /** Whether the digest of the revision before is known, or not needed any more. */
  isLinked(revision: number): boolean {
    return revision <= this.lowest || this.digests.has(revision - 1);
  }

  raise(floor: number): void {
    if (floor <= this.lowest) return;
    this.lowest = floor;
    for (const revision of this.digests.keys()) if (revision < floor) this.digests.delete(revision);
  }

  /** One digest over all from the floor up, or nothing while some links are not known. */
  get wholeDigest(): string {
    const { lowest: from, newest: to } = this;
    const { size } = this.digests;
    if (to === 0 || size < to - from + 1) return '';
    if (this.whole.from !== from || this.whole.to !== to || this.whole.size !== size)
      this.whole = { from, to, size, digest: this.rangeDigest(from, to) };
    return this.whole.digest;
  }

  rangeDigest(from: number, to: number): string {
    const digests: string[] = [];
    for (let revision = from; revision <= to; revision++)
      digests.push(this.digests.get(revision) ?? '');
    return digestOf(digests.join(' '));
  }

  /** Waits until something committed beyond the revision given, or until the limit. */
  async beyond(revision: number, limit: number): Promise<void> {
    if (this.newest > revision) return;
    let wake: () => void = () => undefined;
    const news = new Promise<void>((resolve) => {
      wake = resolve;
      this.watchers.add(wake);
    });
    await within(this.clock, limit, news);
    this.watchers.delete(wake);
  }
}
