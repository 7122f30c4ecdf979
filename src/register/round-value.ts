/**
 * Which value a round builds upon, given the promises of a majority. As in Paxos it is the accepted value of the highest
 * ballot. A value that contradicts what one of the promises knows to be committed was never chosen, whatever its ballot:
 * a committed value that was learned from another member, and not voted for, may come with a lower ballot than the one
 * it was chosen under.
 */
import { Right } from 'purify-ts';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import { compareBallots, FIRST } from './ballot.js';
import type { PrepareReply } from './calls.js';
import { decodeDocument, type Document } from './document.js';
import type { Digest } from './hash.js';
import { documentDigest } from './document-digest.js';

/** The value that a round builds upon, and whether it is sure to have been chosen. */
export interface RoundValue {
  readonly reply: PrepareReply;
  readonly document: Document;
  readonly isCommitted: boolean;
}

interface Candidate {
  readonly reply: PrepareReply;
  readonly document: Document;
}

const isSameValue = (one: PrepareReply, other: PrepareReply): boolean =>
  one.digest === other.digest;

const highestBallot = (promises: readonly PrepareReply[]): PrepareReply =>
  promises.reduce((best, reply) =>
    compareBallots(reply.accepted, best.accepted) > 0 ? reply : best,
  );

const highestCommit = (promises: readonly PrepareReply[]): PrepareReply =>
  promises.reduce((best, reply) => (reply.committed > best.committed ? reply : best));

/** The digest of a revision, where a value shows it: its own, or that of the revision before it. */
const digestAt = ({ reply, document }: Candidate, revision: number): Digest | undefined => {
  if (document.revision === revision) return reply.digest;
  return document.revision === revision + 1 ? document.previous : undefined;
};

/** Whether a value lies before the committed revision, or on another branch than it. */
const contradicts = (value: Candidate, committer: Candidate): boolean => {
  const committed = committer.reply.committed;
  if (value.document.revision < committed) return true;
  const shown = digestAt(value, committed);
  const known = digestAt(committer, committed);
  return shown !== undefined && known !== undefined && shown !== known;
};

/** The value of a promise: the one held where it was not sent for that, only with the digest that is told. */
const decode = (reply: PrepareReply, held: Document | undefined): Outcome<Candidate> => {
  if (held && documentDigest(held) === reply.digest) return Right({ reply, document: held });
  return decodeDocument(reply.document, 'core').chain((document) =>
    documentDigest(document) === reply.digest
      ? Right({ reply, document })
      : failed('register.prepare', 'core', 'a value does not match its digest'),
  );
};

/** The value of the promise that knows most to be committed, decoded once where it is the one of the highest ballot. */
const knownBy = (
  committer: PrepareReply,
  value: Candidate,
  held: Document | undefined,
): Outcome<Candidate> =>
  isSameValue(committer, value.reply)
    ? Right({ reply: committer, document: value.document })
    : decode(committer, held);

const isChosen = (
  { reply, document }: Candidate,
  promises: readonly PrepareReply[],
  quorum: number,
): boolean => {
  if (promises.some(({ committed }) => committed >= document.revision)) return true;
  if (compareBallots(reply.accepted, FIRST) <= 0) return false;
  const votes = promises.filter(
    (other) => compareBallots(other.accepted, reply.accepted) === 0 && isSameValue(other, reply),
  );
  return votes.length >= quorum;
};

/**
 * The value to build upon.
 *
 * @param promises the promises of at least a majority of the voters
 * @param quorum the size of a majority
 * @param held a revision that is decoded already
 * @returns a fault where a value can't be read
 */
export const roundValue = (
  promises: readonly PrepareReply[],
  quorum: number,
  held?: Document,
): Outcome<RoundValue> => {
  const newest = highestBallot(promises);
  const committer = highestCommit(promises);
  return decode(newest, held).chain((value) =>
    knownBy(committer, value, held).map((known) => {
      const chosen = contradicts(value, known) ? known : value;
      return { ...chosen, isCommitted: isChosen(chosen, promises, quorum) };
    }),
  );
};
