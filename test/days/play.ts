/** Plays simulated days in tests: a fixed set of seeds, judged, and the count of what really came up in them. */
import { expect, test } from 'vitest';
import { playDay } from '../../src/sim/day/day.js';
import {
  dayOf,
  sites,
  type DayResult,
  type FaultName,
  type Situation,
} from '../../src/sim/day/plan.js';

/** Adds up how often a situation came up, and holds it against 0: what never came up was not proved. */
const cameUp = (days: readonly DayResult[], situations: readonly Situation[]): void => {
  const counts = Object.fromEntries(
    situations.map((situation) => [
      situation,
      days.reduce((sum, day) => sum + (day.situations.get(situation) ?? 0), 0),
    ]),
  );
  expect(
    situations.filter((situation) => counts[situation] === 0),
    JSON.stringify(counts),
  ).toEqual([]);
};

/** A day for each failure alone, and further ones by seed for a situation that comes up in most of a failure's days only. */
export const eachAlone = (
  faults: readonly FaultName[],
  situations: readonly Situation[],
  firstSeed = 1,
  further: ReadonlyArray<readonly [fault: FaultName, seed: number]> = [],
): void => {
  const days: DayResult[] = [];
  const alone = faults.map((fault) => [fault, firstSeed] as const);
  for (const [fault, seed] of [...alone, ...further])
    test(`a day with ${fault}, seed ${seed}`, async () => {
      const day = await playDay(dayOf(fault, 16), seed);
      days.push(day);
      expect(day.findings).toEqual([]);
      expect(day.faults.length).toBe(1);
      expect(day.outcomes.get('result')).toBeGreaterThan(50);
    });
  test('what must be proved came up', () => cameUp(days, situations));
};

/** Whole days of one site, failures drawn from the seed. */
export const wholeDays = (
  site: string,
  seeds: readonly number[],
  situations: readonly Situation[],
): void => {
  const days: DayResult[] = [];
  for (const seed of seeds)
    test(`a day at ${site}, seed ${seed}`, async () => {
      const day = await playDay({ ...sites.get(site)!, seconds: 30 }, seed);
      days.push(day);
      expect(day.findings).toEqual([]);
      expect(day.outcomes.get('result')).toBeGreaterThan(50);
      expect(day.changes.get('accepted')).toBeGreaterThan(4);
    });
  test(`what must be proved came up at ${site}`, () => {
    expect(
      new Set(days.flatMap(({ faults }) => faults.map((fault) => fault.split('@')[0]))).size,
    ).toBeGreaterThan(8);
    cameUp(days, situations);
  });
};
