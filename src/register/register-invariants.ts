/**
 * What must never be about the register, as one process sees it: checked at each step that changes a member, at each
 * revision that comes into force, and at each order that is acknowledged. A breach is counted and logged; nothing is done
 * about it, since by then it is too late.
 */
import type { Log } from '../kernel/log/log.js';
import { Violations } from '../monitor/violations.js';
import type { Revision } from './document.js';
import type { Digest } from './hash.js';
import { ProgressCheck, type ProgressInvariant } from './progress-check.js';
import type { MemberProgress } from './member-progress.js';

/** What is checked in each process. */
export type RegisterInvariant =
  | ProgressInvariant
  /** Two values are known as committed under one revision. */
  | 'committed-differs'
  /** The revision in force went back. */
  | 'in-force-fell'
  /** An order was acknowledged before a majority was known to hold its revision. */
  | 'acknowledged-unheld';

const invariants: readonly RegisterInvariant[] = [
  'disqualified-votes',
  'promise-fell',
  'accepted-fell',
  'accepted-above-promise',
  'held-below-committed',
  'committed-fell',
  'committed-differs',
  'in-force-fell',
  'acknowledged-unheld',
];

/** How many committed revisions are remembered by their digests. */
const REMEMBERED = 256;

/** The checks of one process. */
export class RegisterInvariants {
  readonly violations: Violations<RegisterInvariant>;
  private readonly progress = new ProgressCheck();
  private readonly committed = new Map<Revision, Digest>();
  private inForce: Revision = 0;

  constructor(log: Log) {
    this.violations = new Violations('register-violation', invariants, log);
  }

  /** A step of this process's member. */
  noteProgress(now: MemberProgress): void {
    const fault = this.progress.look(now);
    if (fault) this.violations.note(fault.invariant, [['reason', fault.reason]]);
    if (now.committed > 0 && now.digest) this.noteCommitted(now.committed, now.digest);
  }

  /** A value is known to be committed under a revision. */
  noteCommitted(revision: Revision, digest: Digest): void {
    const known = this.committed.get(revision);
    if (known === digest) return;
    if (known !== undefined)
      return this.violations.note('committed-differs', [
        ['revision', revision],
        ['digest', digest.slice(0, 12)],
        ['known', known.slice(0, 12)],
      ]);
    this.committed.set(revision, digest);
    const [oldest] = this.committed.keys();
    if (this.committed.size > REMEMBERED && oldest !== undefined) this.committed.delete(oldest);
  }

  /** The revision that is in force here now. */
  noteInForce(revision: Revision): void {
    if (revision < this.inForce)
      this.violations.note('in-force-fell', [
        ['revision', revision],
        ['before', this.inForce],
      ]);
    this.inForce = Math.max(this.inForce, revision);
  }

  /** An order is acknowledged; `held` is the newest revision that a majority of the voters is known to hold. */
  noteAcknowledged(revision: Revision, held: Revision): void {
    if (revision <= held) return;
    this.violations.note('acknowledged-unheld', [
      ['revision', revision],
      ['held', held],
    ]);
  }
}
