/**
 * Claims as a process remembers them: the first owner of an id keeps it until it is released or its age is past. Each
 * has a number in the order of arrival, so that another process may read them on from a place while more arrive.
 */
import { later, type Clock, type Moment } from '../kernel/clock/clock.js';
import { KEPT, type HeldClaim } from './calls.js';

const SCAN = 4000;

interface Held {
  readonly owner: string;
  readonly at: Moment;
  readonly number: number;
}

/** The claims that a process remembers. */
export class ClaimMemory {
  private readonly held = new Map<string, Held>();
  private count = 0;

  constructor(
    private readonly clock: Clock,
    private readonly bound: number,
  ) {}

  get size(): number {
    return this.held.size;
  }

  owner(key: string): string | undefined {
    return this.held.get(key)?.owner;
  }

  /** Notes a claim of an age; false when too many are held. One that is there already stays as it is. */
  note(key: string, owner: string, age = 0): boolean {
    if (this.held.has(key)) return true;
    this.sweep();
    if (this.held.size >= this.bound) return false;
    this.held.set(key, { owner, at: (this.clock.now() - age) as Moment, number: ++this.count });
    return true;
  }

  release(key: string, owner: string): boolean {
    return this.held.get(key)?.owner === owner && this.held.delete(key);
  }

  /** Some of the claims after a number, in order, and where to go on. */
  page(
    after: number,
    wanted: (key: string) => boolean,
    kept: (key: string) => boolean = () => true,
  ): { claims: HeldClaim[]; next: number; more: boolean } {
    const claims: HeldClaim[] = [];
    const now = this.clock.now();
    let scanned = 0;
    let next = after;
    for (const [key, { owner, at, number }] of this.held) {
      if (number <= after) continue;
      if (++scanned > SCAN) return { claims, next, more: true };
      next = number;
      if (wanted(key)) claims.push({ key, owner, age: now - at, kept: kept(key) });
    }
    return { claims, next, more: false };
  }

  /** Forgets what is past its age; claims learned late may stay longer, never shorter. */
  private sweep(): void {
    const now = this.clock.now();
    for (const [key, { at }] of this.held) {
      if (later(at, KEPT) > now) return;
      this.held.delete(key);
    }
  }
}
