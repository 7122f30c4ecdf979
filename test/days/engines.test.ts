/** A day for each failure of engines and of the platform, for crowds, and for many changes at once. */
import { eachAlone } from './play.js';

eachAlone(
  [
    'engine-killed',
    'engine-replaced',
    'engine-dark',
    'engine-leaves',
    'engine-misbehaves',
    'engines-fail',
    'streams-break',
    'engines-released',
    'address-reused',
    'platform-dark',
    'platform-slow',
    'crowd',
    'hot-prefix',
    'doorway-storm',
    'doorway-race',
    'doorways-at-once',
  ],
  [
    'strangersDialled',
    'sentNearLeaving',
    'brokenStreams',
    'retries',
    'claimsCompared',
    'rivals',
    'resumed',
  ],
  1,
  [
    ['streams-break', 2],
    ['streams-break', 3],
  ],
);
