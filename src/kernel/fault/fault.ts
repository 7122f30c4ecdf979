/**
 * Faults: what goes wrong in the core, as values. A fault has a kind for code to tell it apart by, names the step at
 * which it arose and the peer it arose with, and says whether the act it belongs to certainly did not happen
 * ("declined") or may have ("unknown"). Nothing in the core throws; library calls that do are wrapped by `attempt`.
 */
import { Either, Left, Right } from 'purify-ts';

/** Whether the act certainly did not happen (`declined`) or may have (`unknown`). */
export type Certainty = 'declined' | 'unknown';

/**
 * The kinds of fault that callers tell apart:
 * - `failed`: any other fault; `reason` is for people to read, not to be compared.
 * - `outbid`: an acceptor has promised a higher ballot.
 * - `refused-by-peer`: the peer took the call and answered it with a refusal.
 * - `connection-ended`: the connection had ended before anything was sent on it.
 * - `silent`: the peer said nothing for longer than is waited for.
 */
export type FaultKind = 'failed' | 'outbid' | 'refused-by-peer' | 'connection-ended' | 'silent';

/** What went wrong: its kind, the step and the peer it arose with, and whether the act may have happened. */
export interface Fault {
  readonly kind: FaultKind;
  readonly step: string;
  readonly peer: string;
  readonly reason: string;
  readonly certainty: Certainty;
}

/** A value, or the fault that came in its place. */
export type Outcome<T> = Either<Fault, T>;

/** Makes a fault; without a kind it is one that callers need not tell apart. */
export const fault = (
  step: string,
  peer: string,
  reason: string,
  certainty: Certainty = 'declined',
  kind: FaultKind = 'failed',
): Fault => ({ kind, step, peer, reason, certainty });

/** Makes the outcome of a step that failed. */
export const failed = <T = never>(
  step: string,
  peer: string,
  reason: string,
  certainty: Certainty = 'declined',
  kind: FaultKind = 'failed',
): Outcome<T> => Left(fault(step, peer, reason, certainty, kind));

/** The text of anything thrown, with the system's error code where there is one. */
export const reasonOf = (thrown: unknown): string => {
  if (!(thrown instanceof Error)) return String(thrown);
  const code = (thrown as NodeJS.ErrnoException).code;
  return code && !thrown.message.includes(code) ? `${code} ${thrown.message}` : thrown.message;
};

/** An error thrown inside a library call of ours, whose kind of fault is known where it is thrown. */
export class FaultError extends Error {
  constructor(
    readonly kind: FaultKind,
    message: string,
  ) {
    super(message);
  }
}

/** Runs a library call that may throw, and gives what it threw as a fault. */
export const attempt = async <T>(
  step: string,
  peer: string,
  act: () => Promise<T> | T,
  certainty: Certainty = 'declined',
): Promise<Outcome<T>> => {
  try {
    return Right(await act());
  } catch (thrown) {
    const kind = thrown instanceof FaultError ? thrown.kind : 'failed';
    return failed(step, peer, reasonOf(thrown), certainty, kind);
  }
};
