/**
 * The state of one Paxos acceptor, without any I/O: the highest ballot it promised and the value it accepted. Both only
 * go up. The promise is never below the ballot of the accepted value, also where that value was learned as committed
 * and not voted for: otherwise a late Accept of an older round could take the acceptor back behind a committed revision.
 */
import { compareBallots, FIRST, type Ballot } from './ballot.js';
import type { Chain } from './chain.js';
import { voterSetDigest, type VoterSet } from './document.js';
import type { Digest } from './hash.js';
import { documentDigest } from './document-digest.js';
import type { Filed } from './store.js';

/** The voter set of a round, by number and members: two proposals of a change of voters bear the same number. */
export interface VoterSetId {
  readonly set: number;
  readonly voters: Digest;
}

const higherOf = (one: Ballot, other: Ballot): Ballot =>
  compareBallots(one, other) >= 0 ? one : other;

const isVoter = (set: VoterSet, id: string): boolean =>
  set.members.some((member) => member.id === id);

/** Whether a value is behind another: of a lower ballot, or of the same ballot at a lower revision. */
const isBehind = (one: Filed, other: Filed): boolean => {
  const order = compareBallots(one.ballot, other.ballot);
  return order < 0 || (order === 0 && one.document.revision < other.document.revision);
};

/** What one acceptor promised and accepted. */
export class AcceptorState {
  private highestPromise: Ballot = FIRST;
  private value: Filed | undefined;

  get promised(): Ballot {
    return this.highestPromise;
  }

  get accepted(): Filed | undefined {
    return this.value;
  }

  /** The accepted revision, 0 while nothing was accepted. */
  get revision(): number {
    return this.value?.document.revision ?? 0;
  }

  /** The lowest revision that may still be accepted: the one before the accepted one is committed, as all below it. */
  get lowestOpenRevision(): number {
    return Math.max(1, this.revision - 1);
  }

  /** Raises the promise; a lower one changes nothing. */
  promise(ballot: Ballot): void {
    this.highestPromise = higherOf(this.highestPromise, ballot);
  }

  /** Takes a value that is on the disk; one that is behind the value held is refused. */
  hold(value: Filed): boolean {
    if (this.value && isBehind(value, this.value)) return false;
    this.value = value;
    this.promise(value.ballot);
    return true;
  }

  /**
   * The value to hold once a revision is known to be committed, or nothing where the value held stays as it is. A
   * committed revision takes the place of an older or a never chosen value even if it comes with a lower ballot, as from
   * a peer that accepted it in an earlier round; it is then held under the higher of both ballots.
   */
  valueLearned({ ballot, document }: Filed): Filed | undefined {
    const { value } = this;
    if (!value) return { ballot, document };
    if (document.revision < this.revision) return undefined;
    const isSame =
      document.revision === this.revision &&
      documentDigest(value.document) === documentDigest(document);
    if (isSame && compareBallots(ballot, value.ballot) <= 0) return undefined;
    return { document, ballot: higherOf(value.ballot, ballot) };
  }

  /** Why a proposed value contradicts what was accepted or committed here, or nothing where it does not. */
  contradiction({ ballot, document }: Filed, chain: Chain): string {
    const { revision, previous } = document;
    const digest = documentDigest(document);
    const { value } = this;
    const isSameRound = value !== undefined && compareBallots(value.ballot, ballot) === 0;
    if (isSameRound && documentDigest(value.document) !== digest)
      return 'another value was accepted under that ballot';
    const least = Math.max(chain.committed, this.lowestOpenRevision);
    if (revision < least) return `revision ${revision} is older than committed revision ${least}`;
    const committed = chain.digest(revision) ?? this.parentDigest(revision);
    if (committed !== undefined && committed !== digest)
      return `revision ${revision} is not the one that was committed`;
    const parent = chain.digest(revision - 1);
    if (parent !== undefined && parent !== previous)
      return `revision ${revision} does not follow the committed one`;
    return '';
  }

  /**
   * The voter sets under which this acceptor votes: the one that its value names, and the one that its value was proposed
   * under. A round under an older set can't find a majority any more once a value proposed under the newer one was
   * accepted.
   */
  get voterSets(): readonly VoterSet[] {
    if (!this.value) return [];
    const { document, under } = this.value;
    return under && under.number !== document.core.number
      ? [document.core, under]
      : [document.core];
  }

  /** Whether a member is a voter of any set that this acceptor votes under. */
  hasVoter(id: string): boolean {
    return this.voterSets.some((set) => isVoter(set, id));
  }

  /** The very voter set of a round, where the member is one of its voters and the acceptor votes under it. */
  voterSet(id: string, { set, voters }: VoterSetId): VoterSet | undefined {
    return this.voterSets.find(
      (each) => each.number === set && isVoter(each, id) && voterSetDigest(each) === voters,
    );
  }

  private parentDigest(revision: number): Digest | undefined {
    return this.value && revision === this.revision - 1 ? this.value.document.previous : undefined;
  }
}
