/**
 * What this node believes one engine's cache still holds, by when each block was last surely touched. The engine keeps
 * the most recently touched blocks up to its capacity, so a block may be gone once this node's own touches since, what
 * it has in flight or lost sight of, and the bound on the other routers' touches together exceed the capacity. The
 * oldest claims lapse first, and of one request's blocks the last first.
 */
import BTreeModule from 'sorted-btree';
import type { Moment } from '../kernel/clock/clock.js';
import type { Tree } from './tree.js';

const BTree = BTreeModule.default ?? BTreeModule;

/** One block that an engine is believed to hold. */
export interface Claim {
  readonly external: string;
  readonly tree: Tree;
  readonly touched: Moment;
  readonly depth: number;
}

const byAge = (a: Claim, b: Claim): number =>
  a.touched - b.touched ||
  b.depth - a.depth ||
  (a.external < b.external ? -1 : a.external > b.external ? 1 : 0);

/** What this node believes one engine's cache to hold. */
export class Ledger {
  private readonly byBlock = new Map<string, Claim>();
  private readonly aged = new BTree<Claim, true>(undefined, byAge);
  private readonly unseen: Array<{ at: Moment; tokens: number }> = [];
  private unseenTokens = 0;

  constructor(
    private readonly capacity: number,
    private readonly blockTokens: number,
    private readonly others: (span: number) => number,
  ) {}

  /** Notes a block as touched; an older touch never replaces a newer one. */
  touch(claim: Claim): void {
    const before = this.byBlock.get(claim.external);
    if (before && before.touched >= claim.touched) return;
    if (before) this.aged.delete(before);
    this.byBlock.set(claim.external, claim);
    this.aged.set(claim, true);
  }

  /** Notes tokens the engine may have taken in without a claim made for them. */
  lostSight(at: Moment, tokens: number): void {
    if (tokens <= 0) return;
    this.unseen.push({ at, tokens });
    this.unseenTokens += tokens;
  }

  drop(external: string): Claim | undefined {
    const claim = this.byBlock.get(external);
    if (!claim) return undefined;
    this.byBlock.delete(external);
    this.aged.delete(claim);
    return claim;
  }

  /** Takes out and returns the claims that may no longer be held at a moment. */
  lapse(now: Moment, flying: number): Claim[] {
    const gone: Claim[] = [];
    for (let oldest = this.aged.minKey(); oldest; oldest = this.aged.minKey()) {
      while (this.unseen[0] && this.unseen[0].at < oldest.touched)
        this.unseenTokens -= this.unseen.shift()!.tokens;
      const pushed =
        this.byBlock.size * this.blockTokens +
        flying +
        this.unseenTokens +
        this.others(now - oldest.touched);
      if (pushed <= this.capacity) break;
      this.drop(oldest.external);
      gone.push(oldest);
    }
    if (this.byBlock.size === 0) {
      this.unseen.length = 0;
      this.unseenTokens = 0;
    }
    return gone;
  }

  get size(): number {
    return this.byBlock.size;
  }
}
