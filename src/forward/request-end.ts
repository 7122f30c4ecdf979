/**
 * How requests end. Every request that was taken ends in exactly one way of a closed set, with what is needed to judge
 * whether it might: a request that was read whole is answered, or refused, or its connection ends for a cause that lies
 * with the client, the engine, the time that was given, or the end of a planned stop.
 */
import type { Duration } from '../kernel/clock/clock.js';
import type { CloseCause } from './connection-close.js';

/** Why a request's answer was cut off by what carries it. */
export type CutCause =
  /** The engine broke off in the middle, or went on with what does not follow. */
  | 'engine-broke-off'
  /** The time of the client or of the route was over. */
  | 'deadline'
  /** The time was over before the client had read what was written. */
  | 'client-not-reading'
  /** A defect: something was thrown, or the request was left without an answer. */
  | 'internal-fault';

/** Why a request was never begun, though it was read, behind an earlier one on its connection. */
export type SkipCause =
  /** The earlier one was the connection's last, by the client's wish or since it was cut off. */
  | 'behind-closed'
  /** This process is stopping and told the client so with the earlier answer. */
  | 'behind-stop';

/** How a request ended. */
export type EndCause =
  /** The engine's answer was written to the last byte. */
  | 'answered'
  /** It was told that it did not run and will not. */
  | 'refused'
  /** It was told that it failed, and may have run. */
  | 'failed'
  | CutCause
  | SkipCause
  | CloseCause
  /** It came behind what its connection was to be closed for, and was told so with that. */
  | 'rejected'
  /** Its connection closed, and nobody said why. */
  | 'unaccounted';

/** All ways in which a request can end. */
export const endCauses: readonly EndCause[] = [
  'answered',
  'refused',
  'failed',
  'engine-broke-off',
  'deadline',
  'client-not-reading',
  'internal-fault',
  'behind-closed',
  'behind-stop',
  'idle-limit',
  'idle-at-stop',
  'stop-deadline',
  'parser-error',
  'client-left',
  'rejected',
  'unaccounted',
];

/** One request's end. */
export interface RequestEnd {
  readonly id: string;
  readonly cause: EndCause;
  /** The status that was sent; 0 when none was. */
  readonly status: number;
  readonly isReadWhole: boolean;
  /** Whether any byte of it may have reached an engine. */
  readonly isSent: boolean;
  /** Whether its answer was finished though the engine's was not whole. */
  readonly isAnswerShort: boolean;
  /** The engine that was asked last; empty when none was. */
  readonly engine: string;
  /** ms since it was taken. */
  readonly age: Duration;
  /** ms that it may be held in all. */
  readonly limit: Duration;
}

/** What must never be about the end of a request. */
export type RequestInvariant =
  /** A request that was read whole lost its connection for a cause that is no excuse. */
  | 'whole-request-cut'
  /** An answer was cut off as late before its time was over. */
  | 'cut-before-deadline'
  /** An answer was finished though the engine's was not whole. */
  | 'short-answer-finished'
  /** A defect ended it. */
  | 'internal-fault'
  /** Its end was recorded twice. */
  | 'ended-twice'
  /** Its connection closed, and its end was not recorded. */
  | 'never-ended';

/** All that is checked. */
export const requestInvariants: readonly RequestInvariant[] = [
  'whole-request-cut',
  'cut-before-deadline',
  'short-answer-finished',
  'internal-fault',
  'ended-twice',
  'never-ended',
];

/** Ends that are as they should be, and happen all the time. */
const usual: ReadonlySet<EndCause> = new Set([
  'answered',
  'refused',
  'failed',
  'client-left',
  'behind-closed',
]);

/** Causes for which a request that was read whole may end without a complete answer. */
const excused: ReadonlySet<EndCause> = new Set([
  'client-left',
  'engine-broke-off',
  'deadline',
  'client-not-reading',
  'stop-deadline',
  'behind-closed',
  'rejected',
]);

const complete: ReadonlySet<EndCause> = new Set(['answered', 'refused', 'failed']);

/** Causes that claim that the request's time was over. */
const late: ReadonlySet<EndCause> = new Set(['deadline', 'client-not-reading']);

/** How early a timer may come. */
const TIMER_GRAIN: Duration = 2;

/** Whether an end is so common that it is only counted. */
export const isUsual = (cause: EndCause): boolean => usual.has(cause);

/** Which invariant a request's end violates, if any. */
export const violationOf = (end: RequestEnd): RequestInvariant | undefined => {
  if (end.isAnswerShort) return 'short-answer-finished';
  if (complete.has(end.cause)) return undefined;
  if (end.cause === 'internal-fault') return 'internal-fault';
  if (late.has(end.cause) && end.age + TIMER_GRAIN < end.limit) return 'cut-before-deadline';
  return end.isReadWhole && !excused.has(end.cause) ? 'whole-request-cut' : undefined;
};
