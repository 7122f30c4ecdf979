/** A day for each failure of the core, its disks and its addresses. */
import { eachAlone } from './play.js';

eachAlone(
  [
    'core-killed',
    'core-power',
    'core-power-two',
    'core-frozen',
    'core-suspended',
    'core-all-killed',
    'core-split',
    'core-cut-off',
    'core-one-way',
    'core-disk-lost',
    'core-acked-then-lost',
    'core-moved',
    'seed-foreign',
    'disk-stalled',
    'disk-full',
    'disk-slow',
  ],
  ['lostAfterAccepted', 'acceptedInForce', 'rivals', 'declinedChanges', 'historyRead'],
);
