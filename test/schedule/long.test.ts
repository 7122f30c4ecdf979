/**
 * Drawn schedules behind more changes than versions are remembered, which repeat orders of any age: the calls are still those
 * of one register. `LONG_SCHEDULE_RUNS` says how many are drawn, `LONG_SCHEDULE_SEED` from which seed.
 */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { VERSIONS } from '../../src/register/change.js';
import { holds } from './holds.js';
import { longSchedules } from './steps.js';

const SEED = Number(process.env['LONG_SCHEDULE_SEED'] ?? 23);
const RUNS = Number(process.env['LONG_SCHEDULE_RUNS'] ?? 3);
const CHANGES_BEFORE = VERSIONS + 20;
const MOST_STEPS = 40;

test('behind more versions than are remembered, the calls are those of one register', async () => {
  const property = fc.asyncProperty(longSchedules(CHANGES_BEFORE, MOST_STEPS), holds);
  await fc.assert(property, { seed: SEED, numRuns: RUNS });
  expect(RUNS).toBeGreaterThan(0);
});
