/** The claims that a router remembers, and which of them rest on memory alone. */
import type { Clock } from '../kernel/clock/clock.js';
import type { HeldClaim } from './calls.js';
import { ClaimMemory } from './memory.js';

const BOUND = 200_000;
const UNKEPT_BOUND = 20_000;

/** What a router remembers of claims, its own requests' and others'. */
export class HeldClaims {
  readonly memory: ClaimMemory;
  /** Claims that rest on memory alone, of this router's own requests and of others that were copied here. */
  readonly unkept = new Map<string, string>();

  constructor(clock: Clock) {
    this.memory = new ClaimMemory(clock, BOUND);
  }

  /** Whether no further claim may rest on memory alone. */
  get isUnkeptFull(): boolean {
    return this.unkept.size >= UNKEPT_BOUND;
  }

  remember({ key, owner, age, kept }: HeldClaim): void {
    if (
      !this.memory.note(key, owner, age) ||
      kept ||
      this.memory.owner(key) !== owner ||
      this.isUnkeptFull
    )
      return;
    this.unkept.set(key, owner);
  }

  /** Forgets a claim whose request was not sent; whether it was known here. */
  release(key: string, owner: string): boolean {
    if (this.unkept.get(key) === owner) this.unkept.delete(key);
    return this.memory.release(key, owner);
  }
}
