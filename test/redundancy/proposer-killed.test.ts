/**
 * The member that changes the voter set is killed, or loses power, at each step of its writes meanwhile, and comes back: the
 * change comes to be once or not at all, redundancy is whole in time, and what was acknowledged is read back.
 */
import { expect, test } from 'vitest';
import { CATCH_UP, ControlPlane } from './cluster.js';
import { Operators } from './operators.js';

const SEED = 4;
const LOST = 1;
const REMAINING = [2, 3];
const DOWNTIME = 300;

interface Start {
  readonly plane: ControlPlane;
  readonly operators: Operators;
}

/** Three voters with an acknowledged configuration, one of them dark, and a machine that is to take over. */
const begin = async (): Promise<Start> => {
  const plane = new ControlPlane({ seed: SEED, wanted: 3, routers: 0 });
  expect(await plane.begin()).toBe(true);
  const operators = new Operators(plane);
  expect(await plane.world.until(operators.change())).toBe(true);
  await plane.pass(500);
  plane.loseDisk(LOST);
  plane.startAnother();
  return { plane, operators };
};

const isReplaced = (plane: ControlPlane): boolean =>
  plane.isWhole() && !plane.voterNumbers.includes(LOST);

/** The steps that a member's disk takes until redundancy is whole again. */
const stepsOf = async (number: number): Promise<readonly [from: number, to: number]> => {
  const { plane } = await begin();
  const disk = plane.disks.get(number)!;
  const from = disk.steps;
  expect(await plane.pass(CATCH_UP, () => isReplaced(plane))).toBe(true);
  return [from + 1, disk.steps];
};

const play = async (number: number, step: number, end: 'kill' | 'power'): Promise<void> => {
  const { plane, operators } = await begin();
  const disk = plane.disks.get(number)!;
  const ended = new Promise<void>((resolve) => {
    disk.powerCutAtStep = (each) => {
      if (each !== step) return false;
      if (end === 'kill') plane.kill(number);
      else plane.losePower(number);
      resolve();
      return false;
    };
  });
  await plane.world.until(ended);
  await plane.pass(DOWNTIME);
  plane.start(number);
  const place = `core-${number}, step ${step}, ${end}`;
  expect(await plane.pass(CATCH_UP, () => isReplaced(plane)), place).toBe(true);
  for (const { configurator } of plane.alive) {
    const read = await plane.world.until(configurator.read(1000));
    expect(read.map((found) => found?.version).extract(), place).toBe(operators.ledger.newest);
  }
  expect(await plane.world.until(operators.change()), place).toBe(true);
  expect(operators.ledger.faults, place).toEqual([]);
};

test.each(['kill', 'power'] as const)(
  '%s at each step of each member that may propose',
  async (end) => {
    for (const number of REMAINING) {
      const [from, to] = await stepsOf(number);
      expect(to - from).toBeGreaterThan(15);
      for (let step = from; step <= to; step++) await play(number, step, end);
    }
  },
);
