/**
 * The machine that is to take over is slow: each event takes it several ms while three operators race each other. At up to 5 ms
 * it has its vote in time. At more, what it knows to be committed stays what the others know, and it has its vote in time once it
 * runs as the others do.
 */
import { expect, test } from 'vitest';
import { CATCH_UP } from './cluster.js';
import { Day } from './day.js';
import { lose } from './losses.js';

const DOWNTIME = 300;
const RANDOM_SEEDS = [1, 2, 3, 4];
const SLOW_FOR = 10_000;

/** The lost voter's place is taken by a slow machine. */
const begin = async (seed: number, eventCost: number): Promise<[Day, number]> => {
  const day = new Day({ seed, wanted: 3, routers: 0 }, { operators: 3, pause: [0, 60] });
  const { plane } = day;
  await day.begin();
  const successor = await plane.world.until(lose(plane, 'moved', plane.voterNumbers[0]!, DOWNTIME));
  plane.slow(successor, eventCost);
  return [day, successor];
};

test.each([3, 5])('with %d ms for each event it takes over in time', async (eventCost) => {
  for (const seed of RANDOM_SEEDS) {
    const [{ plane }, successor] = await begin(seed, eventCost);
    const told = `seed ${seed}, ${eventCost} ms`;
    const isReplaced = (): boolean => plane.voterNumbers.includes(successor) && plane.isWhole(1);
    expect(await plane.pass(CATCH_UP, isReplaced), told).toBe(true);
  }
});

test.each([5, 7, 10, 15])(
  'with %d ms for each event it contradicts nothing, and takes over once it is fast',
  async (eventCost) => {
    for (const seed of RANDOM_SEEDS) {
      const [day, successor] = await begin(seed, eventCost);
      const { plane } = day;
      await plane.pass(SLOW_FOR);
      plane.slow(successor, 0);
      const told = `seed ${seed}, ${eventCost} ms`;
      expect(await plane.pass(CATCH_UP, () => plane.isWhole(1)), told).toBe(true);
      expect(plane.voterNumbers, told).toContain(successor);
      expect(day.operators.ledger.faults, told).toEqual([]);
    }
  },
);
