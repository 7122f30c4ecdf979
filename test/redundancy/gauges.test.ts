/** The gauges of redundancy tell the truth in calm, amid changes, and while a machine is lost and replaced. */
import { Registry } from 'prom-client';
import { expect, test } from 'vitest';
import { voterMetrics } from '../../src/node/metrics.js';
import { CATCH_UP, type ControlPlane } from './cluster.js';
import { Day } from './day.js';

/** Longer than the longest pause between two looks at the voters. */
const TWO_LOOKS = 3000;
const SAMPLE_EVERY = 100;

interface Gauges {
  readonly voters: number;
  readonly redundancy: number;
  readonly learnersReady: number;
}

/** Reads the gauges of a core machine as they are given out. */
const read = async (plane: ControlPlane, number: number): Promise<Gauges> => {
  const registry = new Registry();
  voterMetrics(registry, () => plane.cores.get(number)!.node.replacement);
  const valueOf = async (name: string): Promise<number> => {
    const metric = await registry.getSingleMetric(`rudderridge_${name}`)!.get();
    return metric.values[0]!.value;
  };
  return {
    voters: await valueOf('voters'),
    redundancy: await valueOf('redundancy'),
    learnersReady: await valueOf('learners_ready'),
  };
};

test('amid changes the gauges show three voters with the newest, all the time', async () => {
  const day = new Day({ seed: 1, wanted: 3, routers: 0 });
  await day.begin();
  await day.plane.pass(TWO_LOOKS);
  for (let sample = 0; sample < 40; sample++) {
    await day.plane.pass(SAMPLE_EVERY);
    for (const number of [1, 2, 3])
      expect(await read(day.plane, number)).toEqual({ voters: 3, redundancy: 3, learnersReady: 0 });
  }
});

test('amid changes a lost voter shows, a machine that could take over shows, and that it did', async () => {
  for (const seed of [1, 2, 3]) {
    const day = new Day({ seed, wanted: 3, routers: 0 });
    const { plane } = day;
    await day.begin();
    const lost = day.pickVoter();
    const left = [1, 2, 3].filter((number) => number !== lost);
    plane.loseDisk(lost);
    await plane.pass(TWO_LOOKS);
    for (const number of left)
      expect(await read(plane, number)).toEqual({ voters: 3, redundancy: 2, learnersReady: 0 });
    const successor = plane.startAnother();
    expect(await plane.pass(CATCH_UP, () => plane.voterNumbers.includes(successor))).toBe(true);
    await plane.pass(TWO_LOOKS);
    const spare = plane.startAnother();
    await plane.pass(TWO_LOOKS);
    for (const number of [...left, successor])
      expect(await read(plane, number)).toEqual({ voters: 3, redundancy: 3, learnersReady: 1 });
    expect(plane.voterNumbers).not.toContain(spare);
  }
});
