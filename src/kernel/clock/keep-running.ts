/** Keeping a task of a node alive that its process is no use without. */
import { reasonOf } from '../fault/fault.js';
import type { Log } from '../log/log.js';
import type { Clock, Duration } from './clock.js';

/** How long a task that failed rests before it is begun again, so that one that fails at once does not spin. */
const RESTART_PAUSE: Duration = 200;

/** Runs a task until the signal; where an exception ends it, that is logged as a fault of `step` and the task begun again. */
export const keepRunning = async (
  step: string,
  task: (signal: AbortSignal) => Promise<void>,
  clock: Clock,
  log: Log,
  signal: AbortSignal,
): Promise<void> => {
  while (!signal.aborted) {
    try {
      await task(signal);
      return;
    } catch (thrown) {
      log('fault', [
        ['step', step],
        ['reason', reasonOf(thrown)],
      ]);
    }
    await clock.sleep(RESTART_PAUSE, signal);
  }
};
