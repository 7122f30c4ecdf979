/**
 * Redundancy comes back while changes of the configuration follow each other: however a core machine is lost, what takes its
 * place votes and holds the newest within the time to catch up, with three voters and with five.
 */
import { expect, test } from 'vitest';
import { ACKNOWLEDGE } from './cluster.js';
import { Day } from './day.js';
import { lose, LOSSES } from './losses.js';
import type { StormOptions } from './operators.js';

const RANDOM_SEEDS = [1, 2, 3];
const DOWNTIME = 300;
/** Within which two voters are replaced: two thirds of the time to catch up. */
const TWO_REPLACED = 2700;

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

test('amid changes two of five, gone at once, are replaced with time to spare', async () => {
  for (let seed = 1; seed <= 12; seed++) {
    const day = new Day({ seed, wanted: 5, routers: 0 });
    const { plane } = day;
    await day.begin();
    const lost = plane.voterNumbers.slice(0, 2);
    const backs = lost.map((number) => lose(plane, 'moved', number, DOWNTIME));
    const successors = await plane.world.until(Promise.all(backs));
    const areVoters = (): boolean =>
      successors.every((number) => plane.voterNumbers.includes(number)) && plane.isWhole(1);
    expect(await plane.pass(TWO_REPLACED, areVoters), `seed ${seed}`).toBe(true);
  }
});
