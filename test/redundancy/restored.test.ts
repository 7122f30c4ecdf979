/**
 * Redundancy comes back while changes of the configuration follow each other: however a core machine is lost, what takes its
 * place votes and holds the newest within the time to catch up, with three voters and with five.
 */
import { expect, test } from 'vitest';
import { ACKNOWLEDGE } from './cluster.js';
import { Day } from './day.js';
import { LOSSES } from './losses.js';
import type { StormOptions } from './operators.js';

const RANDOM_SEEDS = [1, 2, 3];

const storms: ReadonlyArray<Partial<StormOptions>> = [
  { operators: 1 },
  { operators: 3, pause: [0, 60] },
];

test.each(LOSSES)('amid changes, lost: %s; whole again in time', async (loss) => {
  for (const wanted of [3, 5] as const)
    for (const storm of storms)
      for (const seed of RANDOM_SEEDS) {
        const day = new Day({ seed, wanted, routers: 2 }, storm);
        await day.begin();
        await day.loseOne(loss);
        const { faults, delays } = day.operators.ledger;
        expect(faults).toEqual([]);
        expect(Math.max(...delays)).toBeLessThan(ACKNOWLEDGE);
      }
});
