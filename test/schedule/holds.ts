/** The judgement that every drawn schedule gets: its calls are those of one register, and each is clear in the calm. */
import { describeCall } from '../../src/history/call.js';
import { judgeHistory } from '../../src/history/judge.js';
import { play } from './play.js';
import type { Schedule } from './steps.js';

/** Plays a schedule; throws with all that speaks against it and the calls in order. */
export const holds = async (schedule: Schedule): Promise<void> => {
  const { history, unanswered } = await play(schedule);
  const violations = judgeHistory(history);
  if (violations.length + unanswered.length === 0) return;
  throw new Error(
    [
      ...violations.map(({ kind, explanation }) => `${kind}: ${explanation}`),
      ...unanswered.map((call) => `no clear answer in the calm: ${call}`),
      ...history.map(describeCall),
    ].join('\n'),
  );
};
