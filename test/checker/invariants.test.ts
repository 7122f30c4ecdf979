/** What each process checks on the register while it runs: planted breaches are counted, and end a simulated world. */
import { expect, test } from 'vitest';
import { silentLog, type Fields } from '../../src/kernel/log/log.js';
import { FIRST, type Ballot } from '../../src/register/ballot.js';
import { RegisterInvariants } from '../../src/register/register-invariants.js';
import type { MemberProgress } from '../../src/register/member-progress.js';
import { simBase } from '../../src/sim/nodes.js';
import { World } from '../../src/sim/world.js';

const ballot = (counter: number): Ballot => ({ counter, node: 'n', incarnation: 'i' });

const calm: MemberProgress = {
  id: 'm',
  promised: ballot(5),
  accepted: ballot(4),
  revision: 7,
  committed: 6,
  digest: 'digest of 6',
  isVoting: true,
  isDisqualified: false,
};

const broken = (invariants: RegisterInvariants): string[] =>
  [...invariants.violations.counts]
    .filter(([, count]) => count > 0)
    .map(([invariant, count]) => `${invariant} ${count}`);

const after = (...steps: ReadonlyArray<Partial<MemberProgress>>): string[] => {
  const invariants = new RegisterInvariants(silentLog);
  for (const step of [{}, ...steps]) invariants.noteProgress({ ...calm, ...step });
  return broken(invariants);
};

test('a member that goes on as it should breaks nothing', () => {
  expect(
    after(
      { promised: ballot(9) },
      { promised: ballot(9), accepted: ballot(9), revision: 8 },
      { promised: ballot(9), accepted: ballot(9), revision: 8, committed: 8, digest: 'of 8' },
    ),
  ).toEqual([]);
});

test('a member that goes back is counted, by what went back', () => {
  expect(after({ promised: ballot(4) })).toEqual(['promise-fell 1']);
  expect(after({ accepted: ballot(3) })).toEqual(['accepted-fell 1']);
  expect(after({ accepted: ballot(6) })).toEqual(['accepted-above-promise 1']);
  expect(after({ revision: 5 })).toEqual(['held-below-committed 1']);
  expect(after({ committed: 5, digest: 'of 5' })).toEqual(['committed-fell 1']);
  expect(after({ digest: 'another of 6' })).toEqual(['committed-differs 1']);
  expect(after({ isDisqualified: true })).toEqual(['disqualified-votes 1']);
});

test('a disqualified member may hold less, as long as it does not vote', () => {
  expect(
    after({
      promised: FIRST,
      accepted: FIRST,
      revision: 0,
      committed: 0,
      digest: '',
      isVoting: false,
      isDisqualified: true,
    }),
  ).toEqual([]);
});

test('two committed values of one revision are counted, wherever they were told', () => {
  const invariants = new RegisterInvariants(silentLog);
  invariants.noteProgress(calm);
  invariants.noteCommitted(5, 'of 5');
  invariants.noteCommitted(5, 'of 5');
  expect(broken(invariants)).toEqual([]);
  invariants.noteCommitted(5, 'another of 5');
  invariants.noteCommitted(6, 'another of 6');
  expect(broken(invariants)).toEqual(['committed-differs 2']);
});

test('only the newest committed revisions are remembered', () => {
  const invariants = new RegisterInvariants(silentLog);
  for (let revision = 1; revision <= 1000; revision++)
    invariants.noteCommitted(revision, `of ${revision}`);
  expect(invariants['committed'].size).toBe(256);
  expect(broken(invariants)).toEqual([]);
});

test('a revision in force that goes back is counted, and what it went back from is logged', () => {
  const lines: Fields[] = [];
  const invariants = new RegisterInvariants((_, fields = []) => void lines.push(fields));
  for (const revision of [1, 4, 4, 9]) invariants.noteInForce(revision);
  expect(broken(invariants)).toEqual([]);
  invariants.noteInForce(8);
  expect(broken(invariants)).toEqual(['in-force-fell 1']);
  expect(lines).toEqual([
    [
      ['invariant', 'in-force-fell'],
      ['revision', 8],
      ['before', 9],
    ],
  ]);
});

test('an order acknowledged above what a majority holds is counted', () => {
  const invariants = new RegisterInvariants(silentLog);
  invariants.noteAcknowledged(4, 4);
  invariants.noteAcknowledged(3, 4);
  expect(broken(invariants)).toEqual([]);
  invariants.noteAcknowledged(5, 4);
  expect(broken(invariants)).toEqual(['acknowledged-unheld 1']);
});

test('a simulated world ends at a violation that one of its nodes found', async () => {
  const world = new World(1);
  const site = { fleet: 'f', seeds: ['127.0.0.1:1'] };
  const { invariants } = simBase(world, 'core-1', '127.0.0.1:1', 'z', 'core', site);
  world.at(5, () => invariants.noteInForce(2));
  world.at(10, () => invariants.noteInForce(1));
  await world.run(9);
  await expect(world.run(20)).rejects.toThrow('at 10 virtual ms, a node found: in-force-fell');
});
