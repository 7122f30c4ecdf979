/**
 * A learner has a vote only once it holds the newest committed revision: one that announces itself but whose feed is cut
 * off is no voter, however much a voter is missed, until the feed works.
 */
import { expect, test } from 'vitest';
import { Accept, Feed, Form, History, Prepare, Committed } from '../../src/register/calls.js';
import { Announce } from '../../src/register/replacement.js';
import { decodeFrame } from '../../src/wire/call.js';
import { addressOf, Machines, SEEDS } from './machines.js';

const RANDOM_SEEDS = 10;
/** Long beyond the silence after which a voter may be replaced. */
const CUT_OFF = 8000;
const CATCH_UP = 4000;
const LEARNER = 4;
const LOST = 3;
const REVISION_CODES = new Set(
  [Feed, History, Prepare, Accept, Committed, Form].map(({ code }) => code),
);

/** Drops all that would bring a machine a revision, and counts its announcements. */
const cutFeed = (machines: Machines, number: number): { announced: number } => {
  const counts = { announced: 0 };
  const name = `core-${number}`;
  machines.world.net.mishap = (from, to, frame) => {
    if (from !== name && to !== name) return 'pass';
    const code = decodeFrame(frame, from)
      .map((decoded) => decoded.code)
      .orDefault(-1);
    if (code === Announce.code && from === name) counts.announced += 1;
    return REVISION_CODES.has(code) ? 'drop' : 'pass';
  };
  return counts;
};

const idOf = (machines: Machines, number: number): string => machines.cores.get(number)!.member.id;

const hasVote = (machines: Machines, number: number): boolean =>
  machines.voterSet.members.some(({ id }) => id === idOf(machines, number));

const formed = async (seed: number): Promise<Machines> => {
  const machines = new Machines(seed);
  for (const number of SEEDS) machines.start(number, { first: true });
  expect(await machines.run(2000, () => machines.voters(3))).toBe(true);
  expect(await machines.change()).toBe('applied');
  return machines;
};

/** The learner is kept out as long as its feed is cut off, and is a voter in time once it works. */
const expectPromotionWithFeedOnly = async (
  machines: Machines,
  learner: number,
  counts: { announced: number },
): Promise<void> => {
  const before = counts.announced;
  const isPromoted = await machines.run(CUT_OFF, () => hasVote(machines, learner));
  expect({ isPromoted, isAnnounced: counts.announced > before }).toEqual({
    isPromoted: false,
    isAnnounced: true,
  });
  machines.world.net.mishap = () => 'pass';
  expect(
    await machines.run(
      CATCH_UP,
      () => hasVote(machines, learner) && machines.cores.get(learner)!.member.state().voting,
    ),
  ).toBe(true);
  machines.kill(1);
  expect(await machines.change([2, learner])).toBe('applied');
  expect(await machines.lost([2, learner])).toEqual([]);
  expect(machines.forks.size).toBe(0);
};

test('a new machine that never got a revision is not promoted in place of a dead voter', async () => {
  for (let seed = 1; seed <= RANDOM_SEEDS; seed++) {
    const machines = await formed(seed);
    const counts = cutFeed(machines, LEARNER);
    machines.start(LEARNER, { first: false });
    machines.kill(LOST);
    await expectPromotionWithFeedOnly(machines, LEARNER, counts);
    expect(machines.voterNumbers).not.toContain(LOST);
  }
});

test('an empty disk that never got a revision is not promoted in place of the one lost at its address', async () => {
  for (let seed = 1; seed <= RANDOM_SEEDS; seed++) {
    const machines = await formed(seed);
    const counts = cutFeed(machines, LOST);
    machines.kill(LOST, 'lost');
    machines.start(LOST, { first: false });
    await expectPromotionWithFeedOnly(machines, LOST, counts);
    expect(machines.voterSet.members.map(({ address }) => address)).toContain(addressOf(LOST));
  }
});

test('a learner that had caught up and then lacks the newest change is not promoted', async () => {
  for (let seed = 1; seed <= RANDOM_SEEDS; seed++) {
    const machines = await formed(seed);
    const learner = machines.start(LEARNER, { first: false });
    const hasCaughtUp = (): boolean =>
      learner.member.committedRevision === machines.cores.get(1)!.member.committedRevision;
    expect(await machines.run(CATCH_UP, hasCaughtUp)).toBe(true);
    const counts = cutFeed(machines, LEARNER);
    expect(await machines.change()).toBe('applied');
    // The change's client ends as soon as it was told, at times before its word of the commit is on its way: the members
    // commit by themselves then.
    expect(await machines.run(CATCH_UP, () => !hasCaughtUp())).toBe(true);
    machines.kill(LOST);
    await expectPromotionWithFeedOnly(machines, LEARNER, counts);
  }
});
