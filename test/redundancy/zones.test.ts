/**
 * Guards against voters that stand in too few zones or regions: the loss of a zone that is to be borne took a majority of the
 * voters with it, and with their disks all that was acknowledged, though machines of other zones held it.
 */
import { describe, expect, test } from 'vitest';
import { SeededRandom } from '../../src/kernel/random/random.js';
import {
  bearableLosses,
  shortfall,
  votersFor,
  type Location,
  type Losses,
} from '../../src/register/failure-domains.js';
import { CATCH_UP, type ClusterOptions, type ControlPlane } from './cluster.js';
import { Day } from './day.js';

const DOWNTIME = 3000;
const RANDOM_SEEDS = [1, 2, 3];
const ONE_ZONE: Losses = { machines: 1, zones: 1, regions: 0 };

/** Where machines stand: the zone of each in turn, with its region behind a slash. */
const layoutOf = (text: string): Location[] =>
  text.split(' ').map((each) => {
    const [zone = '', region = 'r'] = each.split('/');
    return { zone, region };
  });

const optionsFor = (
  seed: number,
  places: readonly Location[],
  tolerates: Losses,
  more: Partial<ClusterOptions> = {},
): ClusterOptions => ({
  seed,
  wanted: votersFor(
    tolerates,
    Object.fromEntries(places.map(({ zone, region }) => [zone, region])),
  ),
  initial: places.length,
  routers: 1,
  placeOf: (number) => places[number - 1]!,
  tolerates,
  ...more,
});

/** Where the voters stand now. */
const voterPlaces = (plane: ControlPlane): Location[] =>
  plane.voterNumbers.map((number) => plane.placeOf(number));

/** Whether the voters are whole, and bear what is asked of them. */
const bears = (plane: ControlPlane, asked: Losses): boolean =>
  plane.isWhole(1) && shortfall(voterPlaces(plane), asked) === 0;

/** The machines that are up in one domain. */
const machinesIn = (plane: ControlPlane, isThere: (place: Location) => boolean): number[] =>
  [...plane.cores.keys()].filter((number) => plane.isUp(number) && isThere(plane.placeOf(number)));

/** All machines of a domain lose their disks at once, and are back, empty, after a downtime. */
const loseAll = async (plane: ControlPlane, numbers: readonly number[]): Promise<void> => {
  for (const number of numbers) plane.loseDisk(number);
  await plane.pass(DOWNTIME);
  for (const number of numbers) plane.start(number);
};

describe('a zone is lost with its disks, right after an acknowledgement', () => {
  test.each([
    ['the seeds stand in two zones', 'marka marka sahab sahab abdali', undefined],
    ['all seeds stand in the zone that is lost', 'marka marka marka sahab abdali', undefined],
    ['all seeds do, and are the only ones ever told', 'marka marka marka sahab abdali', [1, 2, 3]],
    ['machines with spare ones in each zone', 'a a b b c c', undefined],
  ])('%s', async (_, layout, seeds) => {
    const places = layoutOf(layout);
    for (const seed of RANDOM_SEEDS) {
      const day = new Day(optionsFor(seed, places, ONE_ZONE, seeds ? { seeds } : {}));
      const { plane } = day;
      await day.begin();
      expect(bears(plane, ONE_ZONE), `seed ${seed}: first voters`).toBe(true);
      await day.nextAcknowledgement();
      const lost = machinesIn(plane, ({ zone }) => zone === places[0]!.zone);
      await loseAll(plane, lost);
      const isRestored = await plane.pass(CATCH_UP, () => bears(plane, ONE_ZONE));
      expect(isRestored, `seed ${seed}: spread again`).toBe(true);
      await day.recovered();
    }
  });

  test('one after the other, all zones are lost, each as soon as the one before counts as back', async () => {
    for (const layout of ['a a b b c', 'a b c', 'a b b c c c d'])
      for (const seed of RANDOM_SEEDS) {
        const places = layoutOf(layout);
        const day = new Day(optionsFor(seed, places, ONE_ZONE));
        const { plane } = day;
        await day.begin();
        for (const name of new Set(places.map(({ zone }) => zone))) {
          await day.nextAcknowledgement();
          await loseAll(
            plane,
            machinesIn(plane, ({ zone }) => zone === name),
          );
          await plane.pass(CATCH_UP);
          expect(bears(plane, ONE_ZONE), `${layout}, seed ${seed}, after ${name}`).toBe(true);
        }
        await day.recovered();
      }
  });
});

describe('at any moment of the first start', () => {
  const LAYOUTS: ReadonlyArray<readonly [layout: string, seeds: readonly number[]]> = [
    ['a a a b c', [1, 2, 3]],
    ['a a b b c', [1, 2, 3]],
    ['a b c a b', [1, 2, 3]],
  ];
  const MOMENTS = [0, 5, 10, 15, 20, 30, 40, 60, 100, 200, 400, 700, 1000, 1500];

  /** The first start goes on for a moment, then machines are lost; all are there again later, and there is one group. */
  const play = async (
    [layout, seeds]: readonly [string, readonly number[]],
    moment: number,
    end: (plane: ControlPlane) => readonly number[],
  ): Promise<void> => {
    const told = `${layout}, ${moment} ms`;
    const day = new Day(optionsFor(1 + moment, layoutOf(layout), ONE_ZONE, { seeds, routers: 0 }));
    const { plane, operators } = day;
    const numbers = layoutOf(layout).map((_, at) => at + 1);
    for (const number of numbers) plane.start(number, true);
    await plane.pass(moment);
    const ended = end(plane);
    await plane.pass(300);
    for (const number of ended) plane.start(number);
    expect(await plane.pass(CATCH_UP, () => bears(plane, ONE_ZONE)), told).toBe(true);
    expect(await plane.world.until(operators.change()), told).toBe(true);
    operators.run();
    await day.recovered();
  };

  test('a zone is lost with its disks', async () => {
    for (const layout of LAYOUTS)
      for (const moment of MOMENTS)
        await play(layout, moment, (plane) => {
          const lost = machinesIn(plane, ({ zone }) => zone === 'a');
          for (const number of lost) plane.loseDisk(number);
          return lost;
        });
  });

  test('all machines are killed', async () => {
    for (const layout of LAYOUTS)
      for (const moment of MOMENTS)
        await play(layout, moment, (plane) => {
          const all = [...plane.cores.keys()];
          for (const number of all) plane.kill(number);
          return all;
        });
  });
});

test('a zone that goes dark and comes back with its disks has its voter again in time', async () => {
  for (const seed of RANDOM_SEEDS) {
    const day = new Day(optionsFor(seed, layoutOf('a a b b c'), ONE_ZONE));
    const { plane } = day;
    await day.begin();
    const lost = machinesIn(plane, ({ zone }) => zone === 'a');
    for (const number of lost) plane.losePower(number);
    await plane.pass(CATCH_UP);
    for (const number of lost) plane.start(number);
    expect(await plane.pass(CATCH_UP, () => bears(plane, ONE_ZONE)), `seed ${seed}`).toBe(true);
    await day.recovered();
  }
});

test('a planned leaver whose zone has no other machine is replaced, and its successor takes the vote back', async () => {
  for (const seed of RANDOM_SEEDS) {
    const places = layoutOf('a b c b c a');
    const day = new Day(optionsFor(seed, places, ONE_ZONE, { initial: 5 }));
    const { plane } = day;
    await day.begin();
    const stopped = plane.stop(1);
    expect(await plane.pass(CATCH_UP, () => !plane.voterNumbers.includes(1))).toBe(true);
    expect(plane.startAnother()).toBe(6);
    expect(await plane.pass(CATCH_UP, () => bears(plane, ONE_ZONE)), `seed ${seed}`).toBe(true);
    expect(plane.voterNumbers).toContain(6);
    await plane.world.until(stopped);
    await day.recovered();
  }
});

test('regions are borne too, and two zones of five', async () => {
  const cases: ReadonlyArray<readonly [string, Losses, (place: Location) => boolean]> = [
    [
      'a/north b/north c/south d/south e/east',
      { machines: 1, zones: 1, regions: 1 },
      ({ region }) => region === 'north',
    ],
    [
      'a a b c d e',
      { machines: 1, zones: 2, regions: 0 },
      ({ zone }) => zone === 'a' || zone === 'b',
    ],
  ];
  for (const [layout, asked, isLost] of cases)
    for (const seed of RANDOM_SEEDS) {
      const day = new Day(optionsFor(seed, layoutOf(layout), asked));
      const { plane } = day;
      await day.begin();
      expect(bears(plane, asked), `${layout}, seed ${seed}`).toBe(true);
      await day.nextAcknowledgement();
      await loseAll(plane, machinesIn(plane, isLost));
      expect(await plane.pass(CATCH_UP, () => bears(plane, asked))).toBe(true);
      await day.recovered();
    }
});

describe('layouts that can not bear what is asked', () => {
  test.each(['a a b', 'a a a', 'a a b b b'])(
    '%s: serves, bears a machine, and says so',
    async (layout) => {
      const places = layoutOf(layout);
      const said: string[] = [];
      const log = (event: string, fields: ReadonlyArray<readonly [string, unknown]> = []): void => {
        if (event === 'losses-not-borne') said.push(JSON.stringify(fields));
      };
      const day = new Day(optionsFor(1, places, ONE_ZONE, { log }));
      const { plane } = day;
      await day.begin();
      expect(bearableLosses(voterPlaces(plane))).toMatchObject({ machines: 1, zones: 0 });
      await day.loseOne('wiped');
      await day.recovered();
      expect(said.join(), layout).toContain('machines 1, zones 1, regions 0');
      expect(said.join(), layout).toContain('machines 1, zones 0, regions 0');
    },
  );
});

test('drawn layouts: whatever may be lost is lost, and nothing acknowledged goes with it', async () => {
  for (let seed = 1; seed <= 12; seed++) {
    const random = new SeededRandom(seed);
    const draw = (most: number): number => Math.floor(random.fraction() * most);
    const asked = { machines: 1, zones: 1 + draw(2), regions: 0 };
    const zones = 2 * asked.zones + 1;
    const places = Array.from({ length: zones + draw(4) }, (_, at) => ({
      zone: `z${at < zones ? at : draw(zones)}`,
      region: 'r',
    }));
    const day = new Day(optionsFor(seed, places, asked));
    const { plane } = day;
    const told = `seed ${seed}: ${places.map(({ zone }) => zone).join(' ')}`;
    await day.begin();
    for (let round = 0; round < 3; round++) {
      await day.nextAcknowledgement();
      const first = draw(zones);
      const lost = Array.from({ length: asked.zones }, (_, at) => `z${(first + at) % zones}`);
      await loseAll(
        plane,
        machinesIn(plane, ({ zone }) => lost.includes(zone)),
      );
      await plane.pass(CATCH_UP);
      expect(bears(plane, asked), `${told}, after ${lost.join(' ')}`).toBe(true);
    }
    await day.recovered();
  }
});
