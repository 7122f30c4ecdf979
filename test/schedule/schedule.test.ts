/**
 * Drawn schedules of calls and faults: whatever their order and timing, the history of the calls is that of one
 * register, and in the calm afterwards every call has a clear answer. A failing schedule is shrunk and printed with its
 * seed and path; `SCHEDULE_SEED` and `SCHEDULE_PATH` play just that one, `SCHEDULE_RUNS` says how many are drawn.
 */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { holds } from './holds.js';
import { schedules } from './steps.js';

const SEED = Number(process.env['SCHEDULE_SEED'] ?? 17);
const RUNS = Number(process.env['SCHEDULE_RUNS'] ?? 150);
const PATH = process.env['SCHEDULE_PATH'];

test('whatever the order of calls and faults, the calls are those of one register', async () => {
  const property = fc.asyncProperty(schedules(), holds);
  await fc.assert(property, {
    seed: SEED,
    numRuns: RUNS,
    ...(PATH !== undefined && { path: PATH, endOnFailure: true }),
  });
  expect(RUNS).toBeGreaterThan(0);
});
