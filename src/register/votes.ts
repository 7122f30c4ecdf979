/** What the replies of the members to a ballot amount to. */
import { compareBallots, FIRST, type Ballot } from './ballot.js';
import type { PrepareReply } from './calls.js';
import { majority, sound, type Replies } from './gather.js';

/** Whether a majority said yes, or can't any more. */
export const decided = (votes: readonly boolean[], members: number): boolean => {
  const quorum = majority(members);
  const yes = votes.filter(Boolean).length;
  return yes >= quorum || votes.length - yes > members - quorum;
};

export const promisesOf = (replies: Replies<PrepareReply>): PrepareReply[] =>
  sound(replies).filter(({ promised }) => promised);

/** Whether a ballot was refused for one whose counter had got as far already when it was asked for. */
export const isOutdated = ({ promised, highest }: PrepareReply, ballot: Ballot): boolean =>
  !promised && highest.counter >= ballot.counter;

/** Whether the newest value among the promises is sure to have been chosen: a member knows so, or a majority accepted it in one same ballot. */
export const isSettled = (
  promises: readonly PrepareReply[],
  newest: PrepareReply,
  generation: number,
  quorum: number,
): boolean =>
  promises.some(({ settled }) => settled >= generation) ||
  (compareBallots(newest.accepted, FIRST) > 0 &&
    promises.filter(({ accepted }) => compareBallots(accepted, newest.accepted) === 0).length >=
      quorum);
