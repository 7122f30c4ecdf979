/**
 * A core of three machines grows to the five voters that are wanted, amid changes: in time, so that two lost disks are borne
 * from then on; and also where two machines lose power while it grows.
 */
import { expect, test } from 'vitest';
import { CATCH_UP } from './cluster.js';
import { Day } from './day.js';

const RANDOM_SEEDS = [1, 2, 3, 4];
const POWER_OFF = 1000;

const begin = async (seed: number): Promise<Day> => {
  const day = new Day({ seed, wanted: 5, initial: 3, routers: 2 });
  await day.begin();
  expect(day.plane.voterNumbers).toEqual([1, 2, 3]);
  return day;
};

test('both later machines are voters in time, and two lost disks are borne when all else loses power', async () => {
  for (const seed of RANDOM_SEEDS) {
    const day = await begin(seed);
    const { plane } = day;
    plane.startAnother();
    plane.startAnother();
    expect(await plane.pass(CATCH_UP, () => plane.isWhole(1)), `seed ${seed}`).toBe(true);
    const acknowledger = await day.nextAcknowledgement();
    const other = plane.voterNumbers.find((number) => number !== acknowledger)!;
    await day.powerOff([acknowledger, other], POWER_OFF);
    await day.recovered();
  }
});

test('two machines lose power while the core grows: it grows in time once they are back', async () => {
  for (const seed of RANDOM_SEEDS)
    for (const delay of [50, 300, 550, 800]) {
      const day = await begin(seed);
      const { plane } = day;
      plane.startAnother();
      plane.startAnother();
      await plane.pass(delay);
      const [first] = plane.voterNumbers;
      const victims = [first!, plane.voterNumbers.at(-1)!];
      victims.forEach((number) => plane.losePower(number));
      await plane.pass(POWER_OFF);
      victims.forEach((number) => plane.start(number));
      expect(await plane.pass(CATCH_UP, () => plane.isWhole(1)), `seed ${seed}, ${delay} ms`).toBe(
        true,
      );
      await day.recovered();
    }
});
