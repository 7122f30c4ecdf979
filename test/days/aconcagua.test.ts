/** Whole days at Aconcagua under drawn failures. */
import { wholeDays } from './play.js';

wholeDays(
  'aconcagua',
  [101, 102, 103, 104, 105, 106, 107],
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
