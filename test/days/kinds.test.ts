/** A day for each kind of trouble that the sites' own lists leave out, at two seeds. */
import { eachAlone } from './play.js';

const SEEDS = [1, 2] as const;

for (const seed of SEEDS)
  eachAlone(
    [
      'core-slow',
      'core-resets',
      'core-replaced',
      'core-replaced-twice',
      'router-slow',
      'router-resets',
      'engines-grey',
      'engines-slow',
      'engines-spot',
      'engines-added',
      'engines-removed',
      'nodes-reload',
      'callers-repeat',
      'doorway-storm-long',
      'answers-lost',
    ],
    [
      'connectionsReset',
      'greyFailures',
      'sentNearLeaving',
      'reloads',
      'sentAtOnce',
      'answersLost',
      'rivals',
      'historyRead',
    ],
    seed,
  );
