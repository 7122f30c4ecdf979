/**
 * Changes follow each other, as many core machines as tolerated are lost and come back or are replaced; exactly at the end of
 * the time to catch up the next loss comes, right at an acknowledgement: as many disks are lost while all other machines
 * lose power. What was acknowledged is read back everywhere, and changes go on.
 */
import { expect, test } from 'vitest';
import { CATCH_UP } from './cluster.js';
import { Day } from './day.js';
import { lose, type Loss } from './losses.js';

const RANDOM_SEEDS = [1, 2];
const DOWNTIME = 300;
const POWER_OFF = 1000;

const play = async (seed: number, wanted: 3 | 5, loss: Loss): Promise<void> => {
  const tolerated = (wanted - 1) / 2;
  const day = new Day({ seed, wanted, routers: 2 });
  const { plane } = day;
  await day.begin();
  const lost = plane.voterNumbers.slice(0, tolerated);
  const backs = lost.map((number) => lose(plane, loss, number, DOWNTIME));
  const successors = await plane.world.until(Promise.all(backs));
  await plane.pass(CATCH_UP);
  const acknowledger = await day.nextAcknowledgement();
  const others = plane.voterNumbers.filter(
    (number) => number !== acknowledger && !successors.includes(number) && plane.isUp(number),
  );
  await day.powerOff([acknowledger, ...others].slice(0, tolerated), POWER_OFF);
  await day.recovered();
  expect(day.operators.ledger.acknowledged.size).toBeGreaterThan(20);
};

const playAll = async (losses: readonly Loss[]): Promise<void> => {
  for (const loss of losses)
    for (const wanted of [3, 5] as const)
      for (const seed of RANDOM_SEEDS) await play(seed, wanted, loss);
};

test('machines that come back, then the next loss', async () => {
  await playAll(['wiped', 'power', 'killed']);
});

test('machines that are replaced by others, then the next loss', async () => {
  await playAll(['moved', 'planned']);
});
