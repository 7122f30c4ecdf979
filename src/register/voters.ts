/** Changes of the voter set: one voter at a time, so that majorities before and after always meet. */
import type { Act, VoterSet } from './document.js';
import { VOTERS_BOUND } from './failure-domains.js';

export type VoterChange = Extract<Act, { kind: 'addVoter' | 'removeVoter' }>;

/** The next voter set, or why it can't be. */
export type VoterVerdict =
  | { readonly kind: 'changed'; readonly core: VoterSet }
  | { readonly kind: 'lost'; readonly reason: string }
  | { readonly kind: 'declined'; readonly reason: string };

const declined = (reason: string): VoterVerdict => ({ kind: 'declined', reason });

const removeVoter = (
  { number, wanted, members }: VoterSet,
  { id, vacant }: Extract<VoterChange, { kind: 'removeVoter' }>,
): VoterVerdict => {
  const left = members.filter((voter) => voter.id !== id);
  if (left.length === members.length) return declined(`${id} has no vote`);
  if (left.length === 0) return declined('the last member can not be removed');
  return {
    kind: 'changed',
    core: { number: number + 1, wanted: vacant ? wanted : left.length, members: left },
  };
};

const addVoter = (
  { number, wanted, members }: VoterSet,
  { voter, replaces }: Extract<VoterChange, { kind: 'addVoter' }>,
): VoterVerdict => {
  if (members.some(({ id, address }) => id === voter.id || address === voter.address))
    return declined(`${voter.address} has a vote already`);
  if (replaces !== undefined && !members.some(({ id }) => id === replaces))
    return declined(`${replaces} has no vote`);
  if (members.length >= VOTERS_BOUND) return declined(`there are ${VOTERS_BOUND} members already`);
  const count = members.length + 1;
  return {
    kind: 'changed',
    core: {
      number: number + 1,
      wanted: replaces === undefined ? Math.max(wanted, count) : wanted,
      members: [...members, voter],
      ...(replaces !== undefined && { replaced: replaces }),
    },
  };
};

/** A change names the voter set it builds on; on any other one it has lost. */
export const changeVoters = (core: VoterSet, change: VoterChange): VoterVerdict => {
  if (change.expects !== core.number)
    return {
      kind: 'lost',
      reason: `the core set is number ${core.number}, not ${change.expects}`,
    };
  return change.kind === 'addVoter' ? addVoter(core, change) : removeVoter(core, change);
};
