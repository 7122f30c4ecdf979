/**
 * A voter whose disk lost what it had voted for never votes again under its id. It is replaced like one whose disk is
 * gone once a learner can take over, and not before; the group then bears as many losses as it did.
 */
import { expect, test } from 'vitest';
import { Machines } from './machines.js';

const RANDOM_SEEDS = 10;
const CATCH_UP = 5000;
const STANDSTILL = 5000;
const REVISIONS = 'revisions/';

/** Restarts a machine with the revision that it had accepted last corrupt on its disk. */
const disqualify = async (machines: Machines, number: number): Promise<void> => {
  machines.kill(number);
  const disk = machines.disks.get(number)!;
  const revisions = disk.files.keys().filter((path) => path.startsWith(REVISIONS));
  disk.spoil(revisions.sort().at(-1)!);
  const core = machines.start(number, { first: false });
  const isDisqualified = (): boolean => core.member.state().vote === 'disqualified';
  expect(await machines.run(500, isDisqualified)).toBe(true);
};

for (const wanted of [3, 5])
  test(`one of ${wanted} voters is disqualified: it is replaced once a learner is there, and the next loss is borne`, async () => {
    const numbers = Array.from({ length: wanted }, (_, at) => at + 1);
    const learner = wanted + 1;
    for (let seed = 1; seed <= RANDOM_SEEDS; seed++) {
      const lost = numbers[seed % wanted]!;
      const others = numbers.filter((number) => number !== lost);
      const machines = new Machines(seed, wanted);
      for (const number of numbers) machines.start(number, { seeds: numbers, first: true });
      expect(await machines.run(2000, () => machines.voters(wanted))).toBe(true);
      expect(await machines.change(numbers)).toBe('applied');
      await disqualify(machines, lost);
      await machines.run(STANDSTILL);
      expect({ seed, voters: machines.voterNumbers }).toEqual({ seed, voters: numbers });
      machines.start(learner, { seeds: numbers, first: false });
      const expected = [...others, learner];
      const isReplaced = (): boolean =>
        machines.voterNumbers.join() === expected.join() && machines.voters(wanted);
      expect({ seed, lost, replaced: await machines.run(CATCH_UP, isReplaced) }).toEqual({
        seed,
        lost,
        replaced: true,
      });
      const tolerated = (wanted - 1) / 2;
      for (const number of others.slice(0, tolerated)) machines.kill(number);
      const left = expected.slice(tolerated);
      expect(await machines.change(left)).toBe('applied');
      expect(await machines.lost(left)).toEqual([]);
      expect(machines.forks.size).toBe(0);
    }
  });

test('a disqualified voter is kept while those that are left would be no majority of the rest', async () => {
  for (let seed = 1; seed <= RANDOM_SEEDS; seed++) {
    const numbers = [1, 2, 3];
    const machines = new Machines(seed);
    for (const number of numbers) machines.start(number, { first: true });
    expect(await machines.run(2000, () => machines.voters(3))).toBe(true);
    expect(await machines.change()).toBe('applied');
    machines.start(4, { first: false });
    await machines.run(500);
    machines.kill(2);
    await disqualify(machines, 3);
    await machines.run(STANDSTILL);
    expect({ seed, voters: machines.voterNumbers }).toEqual({ seed, voters: numbers });
    machines.start(2, { first: false });
    const isReplaced = (): boolean =>
      machines.voterNumbers.join() === '1,2,4' && machines.voters(3);
    expect({ seed, replaced: await machines.run(CATCH_UP, isReplaced) }).toEqual({
      seed,
      replaced: true,
    });
    expect(machines.forks.size).toBe(0);
  }
});
