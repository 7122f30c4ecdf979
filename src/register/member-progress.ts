/** What a member of the register shows of itself to those who watch that it never goes back. */
import type { Ballot } from './ballot.js';
import type { Digest } from './hash.js';

/** How far a member is, for those who watch that it never goes back. */
export interface MemberProgress {
  readonly id: string;
  readonly promised: Ballot;
  readonly accepted: Ballot;
  /** The accepted revision. */
  readonly revision: number;
  readonly committed: number;
  /** The digest of the committed revision. */
  readonly digest: Digest;
  readonly isVoting: boolean;
  /** What it voted for may be lost. */
  readonly isDisqualified: boolean;
}
