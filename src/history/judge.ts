/** Judges a history of calls on the configuration by all that must hold of it. */
import { checkLinearizability } from './linearizability.js';
import { brokenRules, type Violation } from './rules.js';
import type { Call } from './call.js';

export const judgeHistory = (history: readonly Call[]): readonly Violation[] => {
  const broken = brokenRules(history);
  const checked = checkLinearizability(history);
  if (checked.linearizable) return broken;
  return [...broken, { kind: 'not-linearizable', explanation: checked.explanation }];
};
