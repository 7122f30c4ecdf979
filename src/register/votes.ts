/** What the replies of the members to a ballot amount to. */
import type { Ballot } from './ballot.js';
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
