/** Changes of the voter set: one voter at a time, so that majorities before and after always meet. */
import type { Act, CoreSet } from './document.js';

export const VOTERS_BOUND = 9;

export type VoterChange = Extract<Act, { kind: 'seat' | 'unseat' }>;

/** The next voter set, or why it can't be. */
export type VoterVerdict =
  | { readonly kind: 'changed'; readonly core: CoreSet }
  | { readonly kind: 'lost'; readonly reason: string }
  | { readonly kind: 'declined'; readonly reason: string };

const declined = (reason: string): VoterVerdict => ({ kind: 'declined', reason });

const removeVoter = (
  { number, wanted, members }: CoreSet,
  { id, vacant }: Extract<VoterChange, { kind: 'unseat' }>,
): VoterVerdict => {
  const left = members.filter((seat) => seat.id !== id);
  if (left.length === members.length) return declined(`${id} has no seat`);
  if (left.length === 0) return declined('the last member can not be removed');
  return {
    kind: 'changed',
    core: { number: number + 1, wanted: vacant ? wanted : left.length, members: left },
  };
};

const addVoter = (
  { number, wanted, members }: CoreSet,
  { seat, replaces }: Extract<VoterChange, { kind: 'seat' }>,
): VoterVerdict => {
  if (members.some(({ id, address }) => id === seat.id || address === seat.address))
    return declined(`${seat.address} has a seat already`);
  if (replaces !== undefined && !members.some(({ id }) => id === replaces))
    return declined(`${replaces} has no seat`);
  if (members.length >= VOTERS_BOUND) return declined(`there are ${VOTERS_BOUND} members already`);
  const count = members.length + 1;
  return {
    kind: 'changed',
    core: {
      number: number + 1,
      wanted: replaces === undefined ? Math.max(wanted, count) : wanted,
      members: [...members, seat],
    },
  };
};

/** A change names the voter set it builds on; on any other one it has lost. */
export const changeVoters = (core: CoreSet, change: VoterChange): VoterVerdict => {
  if (change.expects !== core.number)
    return {
      kind: 'lost',
      reason: `the core set is number ${core.number}, not ${change.expects}`,
    };
  return change.kind === 'seat' ? addVoter(core, change) : removeVoter(core, change);
};
