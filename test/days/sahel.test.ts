/** Whole days at Sahel Rail under drawn failures; and one seed replays exactly. */
import { expect, test } from 'vitest';
import { playDay } from '../../src/sim/day/day.js';
import { sites } from '../../src/sim/day/plan.js';
import { wholeDays } from './play.js';

wholeDays(
  'sahel',
  [101, 102, 103, 104, 105, 106],
  [
    'rivals',
    'acceptedInForce',
    'declinedChanges',
    'idsSentAgainAfterRun',
    'brokenStreams',
    'historyRead',
    'claimsCompared',
  ],
);

test('one seed replays exactly', async () => {
  const plan = { ...sites.get('sahel')!, seconds: 12 };
  expect(await playDay(plan, 7)).toEqual(await playDay(plan, 7));
});
