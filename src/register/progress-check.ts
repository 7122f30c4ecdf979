/**
 * Judges how a member of the register goes on, against all that the same member showed before. Its promise and the ballot
 * of its accepted value never go down, and a voting member holds no revision below one that it reported as committed. A
 * member that found its disk corrupt may hold less, and then does not vote.
 */
import { ballotText, compareBallots, FIRST, type Ballot } from './ballot.js';
import type { MemberProgress } from './member-progress.js';

/** What must never be about one member. */
export type ProgressInvariant =
  | 'disqualified-votes'
  | 'promise-fell'
  | 'accepted-fell'
  | 'accepted-above-promise'
  | 'held-below-committed'
  | 'committed-fell';

/** What went wrong with a member, and how. */
export interface ProgressFault {
  readonly invariant: ProgressInvariant;
  readonly reason: string;
}

const fault = (invariant: ProgressInvariant, reason: string): ProgressFault => ({
  invariant,
  reason,
});

/** The highest that one member showed. */
export class ProgressCheck {
  private promised: Ballot = FIRST;
  private accepted: Ballot = FIRST;
  private committed = 0;

  /** Says what went back since the last look, if anything did. */
  look(now: MemberProgress): ProgressFault | undefined {
    const found = this.judge(now);
    if (found || now.isDisqualified) return found;
    this.promised = now.promised;
    this.accepted = now.accepted;
    if (now.isVoting) this.committed = Math.max(this.committed, now.committed);
    return undefined;
  }

  private judge(now: MemberProgress): ProgressFault | undefined {
    if (now.isDisqualified)
      return now.isVoting
        ? fault('disqualified-votes', 'votes though it is disqualified')
        : undefined;
    if (compareBallots(now.promised, this.promised) < 0)
      return fault(
        'promise-fell',
        `promised fell from ${ballotText(this.promised)} to ${ballotText(now.promised)}`,
      );
    if (compareBallots(now.accepted, this.accepted) < 0)
      return fault(
        'accepted-fell',
        `accepted fell from ${ballotText(this.accepted)} to ${ballotText(now.accepted)}`,
      );
    if (compareBallots(now.promised, now.accepted) < 0)
      return fault(
        'accepted-above-promise',
        `accepted ${ballotText(now.accepted)} above its promise ${ballotText(now.promised)}`,
      );
    const committed = Math.max(this.committed, now.committed);
    if (now.isVoting && now.revision < committed)
      return fault(
        'held-below-committed',
        `holds revision ${now.revision}, below committed ${committed}`,
      );
    if (now.committed > 0 && now.committed < this.committed)
      return fault('committed-fell', `committed fell from ${this.committed} to ${now.committed}`);
    return undefined;
  }
}
