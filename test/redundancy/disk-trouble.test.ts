/**
 * One of five voters can't write for as long as the trouble lasts, while another is gone for good and a machine is there to take
 * over: whichever voter it is that can't write, the lost one is replaced in time amid changes, so that the next loss is borne
 * too.
 */
import { expect, test } from 'vitest';
import { CATCH_UP } from './cluster.js';
import { Day } from './day.js';
import { lose } from './losses.js';

const DOWNTIME = 300;
const RANDOM_SEEDS = [1, 2, 3];
const POWER_OFF = 1000;

type DiskTrouble = 'stalled' | 'full';

const play = async (seed: number, trouble: DiskTrouble, place: number): Promise<void> => {
  const day = new Day({ seed, wanted: 5, routers: 2 });
  const { plane } = day;
  await day.begin();
  const [lost, ...others] = plane.voterNumbers;
  const troubled = others[place]!;
  const disk = plane.disks.get(troubled)!;
  if (trouble === 'full') disk.full = true;
  else plane.stallDisk(troubled, true);
  const successor = await plane.world.until(lose(plane, 'moved', lost!, DOWNTIME));
  const told = `seed ${seed}, ${trouble}: core-${troubled}`;
  const isReplaced = (): boolean =>
    plane.voterNumbers.includes(successor) && !plane.voterNumbers.includes(lost!);
  expect(await plane.pass(CATCH_UP, isReplaced), told).toBe(true);
  await plane.pass(CATCH_UP);
  const acknowledger = await day.nextAcknowledgement();
  disk.full = false;
  disk.stalled = false;
  const victim =
    acknowledger === troubled ? others.find((each) => each !== troubled)! : acknowledger;
  await day.powerOff([victim], POWER_OFF);
  await day.recovered();
};

test.each(['stalled', 'full'] as const)(
  'a lost voter is replaced in time while the disk of another is %s',
  async (trouble) => {
    for (const seed of RANDOM_SEEDS)
      for (let place = 0; place < 4; place++) await play(seed, trouble, place);
  },
);
