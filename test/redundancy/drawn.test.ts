/**
 * Drawn days of troubles amid changes. `REDUNDANCY_SEEDS` names other seeds as FIRST-LAST, `REDUNDANCY_ROUTES` the routes of
 * the configuration; `REDUNDANCY_NOTES` prints the steps.
 */
import { expect, test } from 'vitest';
import { pick, SeededRandom } from '../../src/kernel/random/random.js';
import { DrawnDay, type DayReport } from './drawn.js';

const [FIRST, LAST] = (process.env['REDUNDANCY_SEEDS'] ?? '1-4').split('-').map(Number) as [
  number,
  number,
];
const IS_TOLD = process.env['REDUNDANCY_NOTES'] !== undefined;
const ROUTES = process.env['REDUNDANCY_ROUTES']
  ? Number(process.env['REDUNDANCY_ROUTES'])
  : undefined;
const TROUBLES = 3;

const play = (seed: number): Promise<DayReport> => {
  const random = new SeededRandom(seed);
  const wanted = pick(random, [3, 3, 5] as const)!;
  const routes = ROUTES ?? pick(random, [5, 5, 50])!;
  const note = IS_TOLD ? console.log : undefined;
  return new DrawnDay({ seed, wanted, routes, troubles: TROUBLES, random, note }).play();
};

test('troubles amid changes: nothing acknowledged is lost, and redundancy comes back in time', async () => {
  for (let seed = FIRST; seed <= LAST; seed++) {
    const { restored, slowestOrder, acknowledged } = await play(seed).catch((thrown: unknown) => {
      throw new Error(
        `seed ${seed}: ${thrown instanceof Error ? (thrown.stack ?? thrown.message) : String(thrown)}`,
      );
    });
    if (IS_TOLD)
      console.log(seed, JSON.stringify(restored), Math.round(slowestOrder), acknowledged);
    expect(
      restored.filter(({ ms }) => ms === undefined),
      `seed ${seed}`,
    ).toEqual([]);
    expect(acknowledged).toBeGreaterThan(20);
  }
});
