/**
 * The machine that is to take over and one of the voters can't reach each other, in either direction or in one, while all others
 * reach both: whichever voter it is, the lost voter is replaced in time amid changes.
 */
import { expect, test } from 'vitest';
import { CATCH_UP } from './cluster.js';
import { Day } from './day.js';
import { lose } from './losses.js';

const DOWNTIME = 300;
const RANDOM_SEEDS = [1, 2, 3];

type Cut = 'both ways' | 'from the successor' | 'to the successor';

const play = async (seed: number, wanted: 3 | 5, cut: Cut, place: number): Promise<void> => {
  const day = new Day({ seed, wanted, routers: 0 });
  const { plane } = day;
  await day.begin();
  const [lost, ...others] = plane.voterNumbers;
  const voter = [`core-${others[place]!}`];
  const expected = [`core-${plane.cores.size + 1}`];
  if (cut !== 'to the successor') plane.world.cut(expected, voter);
  if (cut !== 'from the successor') plane.world.cut(voter, expected);
  const successor = await plane.world.until(lose(plane, 'moved', lost!, DOWNTIME));
  expect(expected).toEqual([`core-${successor}`]);
  const isReplaced = (): boolean => plane.voterNumbers.includes(successor) && plane.isWhole(1);
  const told = `seed ${seed}, ${wanted} voters, cut ${cut}: ${voter.join()}`;
  expect(await plane.pass(CATCH_UP, isReplaced), told).toBe(true);
  expect(day.operators.ledger.faults).toEqual([]);
};

test.each(['both ways', 'from the successor', 'to the successor'] as const)(
  'a lost voter is replaced in time by a machine that one voter can not reach: cut %s',
  async (cut) => {
    for (const wanted of [3, 5] as const)
      for (const seed of RANDOM_SEEDS)
        for (let place = 0; place < wanted - 1; place++) await play(seed, wanted, cut, place);
  },
);
