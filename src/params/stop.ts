/** The times of a planned stop, of the time after which a process that was told to stop is killed. */
import type { Duration } from '../kernel/clock/clock.js';

/** What a stop may take behind the requests that it waited for: a second for handing its duties over, and the exit. */
const HANDOVER: Duration = 1050;
/** What is kept free where there is enough time. */
const RESERVE: Duration = 2000;
/** Of the grace: nothing may be cut off before its last sixth. */
const LEAST_PART = 0.85;
const SHORT_PART = 0.5;

/** How long requests that were taken have to end: to the last sixth of the grace, where that leaves time to hand over. */
export const drainWithin = (grace: Duration): Duration =>
  Math.max(grace * SHORT_PART, grace - RESERVE, Math.min(grace * LEAST_PART, grace - HANDOVER));
