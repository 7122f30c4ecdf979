/**
 * Drawn schedules in which members are cut off from the others for up to twenty seconds, in both directions or one,
 * from all or from one, and are killed meanwhile, while calls of every kind go on at all of them: the history of the
 * calls is that of one register. `SCHEDULE_SEED`, `SCHEDULE_PATH` and `SCHEDULE_RUNS` as in schedule.test.ts.
 */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { holds } from './holds.js';
import { schedules, stepsOf, type Action, type Direction } from './steps.js';

const SEED = Number(process.env['SCHEDULE_SEED'] ?? 23);
const RUNS = Number(process.env['SCHEDULE_RUNS'] ?? 25);
const PATH = process.env['SCHEDULE_PATH'];
const LONGEST_CUT = 20_000;
const MOST_STEPS = 60;

const member = fc.nat({ max: 9 });
const direction = fc.constantFrom<Direction>('both', 'inbound', 'outbound');
const duration = fc.integer({ min: 500, max: LONGEST_CUT });
const faults: readonly fc.Arbitrary<Action>[] = [
  fc.record({ kind: fc.constant('isolate'), member, direction, duration }),
  fc.record({ kind: fc.constant('cut-link'), member, other: member, direction, duration }),
  fc.record({
    kind: fc.constant('kill'),
    member,
    downtime: fc.integer({ min: 20, max: 1000 }),
  }),
];

test('whoever is cut off, the calls are those of one register', async () => {
  const property = fc.asyncProperty(schedules(stepsOf(faults, MOST_STEPS)), holds);
  await fc.assert(property, {
    seed: SEED,
    numRuns: RUNS,
    ...(PATH !== undefined && { path: PATH, endOnFailure: true }),
  });
  expect(RUNS).toBeGreaterThan(0);
});
