/** A day for each failure of routers, and for those of everything at once. */
import { eachAlone } from './play.js';

eachAlone(
  [
    'router-killed',
    'router-herd',
    'router-all-killed',
    'router-frozen',
    'router-suspended',
    'router-isolated',
    'router-one-way',
    'router-drains',
    'routers-rolled',
    'all-killed',
    'clocks-jump',
    'lossy-net',
  ],
  ['idsSentAgainAfterRun', 'outages', 'takenAtStop', 'lapsedLeases', 'brokenStreams'],
);
