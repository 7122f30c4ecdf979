/** A log that writes at most so many lines in a window, and tells how many it left out once it writes again. */
import type { Clock } from '../clock/clock.js';
import type { Log } from './log.js';

/** How many lines may be written in each window. */
export interface LogRate {
  readonly lines: number;
  /** ms. */
  readonly window: number;
}

/** Bounds a log. */
export const rateLimited = (log: Log, clock: Clock, { lines, window }: LogRate): Log => {
  let windowEnd = -Infinity;
  let written = 0;
  let suppressed = 0;
  return (event, fields = []) => {
    const now = clock.now();
    if (now >= windowEnd) {
      windowEnd = now + window;
      written = 0;
    }
    if (written >= lines) {
      suppressed += 1;
      return;
    }
    written += 1;
    log(event, suppressed > 0 ? [...fields, ['suppressed', suppressed]] : fields);
    suppressed = 0;
  };
};
