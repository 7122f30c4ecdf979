/**
 * What a daemon does about defects of its own that nothing caught. A rejection ends one task and is logged. An exception
 * that left a callback ends one event: a router goes on with the other requests that it carries, since what it keeps is
 * each request's own or is renewed from the core. A core member ends instead: it keeps the state that all agreed on, and
 * comes back with what is on its disk.
 */
import type { Clock } from '../kernel/clock/clock.js';
import { reasonOf } from '../kernel/fault/fault.js';
import type { Log } from '../kernel/log/log.js';
import { rateLimited } from '../kernel/log/rate-limit.js';

/** A defect on a path that is much used may come by the thousand. */
const DEFECT_RATE = { lines: 20, window: 1000 };

/** Logs defects from now on, and keeps a router alive through them. */
export const logDefects = (role: 'core' | 'router', log: Log, clock: Clock): void => {
  const logDefect = rateLimited(log, clock, DEFECT_RATE);
  const note = (step: string, thrown: unknown): void =>
    logDefect('fault', [
      ['step', step],
      ['reason', reasonOf(thrown)],
      ['at', placeOf(thrown)],
    ]);
  process.on('unhandledRejection', (thrown) => note('rejection', thrown));
  if (role === 'router') process.on('uncaughtException', (thrown) => note('exception', thrown));
};

/** Where an error was made, as far as that is known. */
const placeOf = (thrown: unknown): string | undefined =>
  thrown instanceof Error ? thrown.stack?.split('\n')[1]?.trim() : undefined;
