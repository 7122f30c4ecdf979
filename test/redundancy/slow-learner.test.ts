/**
 * The machine that is to take over is slow: each event takes it several ms while three operators race each other. What it knows
 * to be committed stays what the others know, and once it runs as the others do, it has its vote in time.
 */
import { expect, test } from 'vitest';
import { CATCH_UP } from './cluster.js';
import { Day } from './day.js';
import { lose } from './losses.js';

const DOWNTIME = 300;
const RANDOM_SEEDS = [1, 2, 3, 4];
const SLOW_FOR = 10_000;

test.each([5, 7, 10])(
  'with %d ms for each event it contradicts nothing, and takes over once it is fast',
  async (eventCost) => {
    for (const seed of RANDOM_SEEDS) {
      const day = new Day({ seed, wanted: 3, routers: 0 }, { operators: 3, pause: [0, 60] });
      const { plane } = day;
      await day.begin();
      const [lost] = plane.voterNumbers;
      const successor = await plane.world.until(lose(plane, 'moved', lost!, DOWNTIME));
      plane.slow(successor, eventCost);
      await plane.pass(SLOW_FOR);
      plane.slow(successor, 0);
      const told = `seed ${seed}, ${eventCost} ms`;
      expect(await plane.pass(CATCH_UP, () => plane.isWhole(1)), told).toBe(true);
      expect(plane.voterNumbers, told).toContain(successor);
      expect(day.operators.ledger.faults, told).toEqual([]);
    }
  },
);
