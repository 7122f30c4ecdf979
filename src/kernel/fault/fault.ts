/**
 * Faults: what goes wrong in the core, as values. A fault names the step at which it arose and the peer it
 * arose with, and says whether the act it belongs to certainly did not happen ("declined") or may have
 * ("unknown"). Nothing in the core throws; library calls that do are wrapped by `attempt`.
 */
import { Either, Left, Right } from 'purify-ts';

export type Certainty = 'declined' | 'unknown';

export interface Fault {
  readonly step: string;
  readonly peer: string;
  readonly reason: string;
  readonly certainty: Certainty;
}

export type Outcome<T> = Either<Fault, T>;

export const fault = (
  step: string,
  peer: string,
  reason: string,
  certainty: Certainty = 'declined',
): Fault => ({ step, peer, reason, certainty });

export const failed = <T = never>(
  step: string,
  peer: string,
  reason: string,
  certainty: Certainty = 'declined',
): Outcome<T> => Left(fault(step, peer, reason, certainty));

export const reasonOf = (thrown: unknown): string => {
  if (!(thrown instanceof Error)) return String(thrown);
  const code = (thrown as NodeJS.ErrnoException).code;
  return code && !thrown.message.includes(code) ? `${code} ${thrown.message}` : thrown.message;
};

export const attempt = async <T>(
  step: string,
  peer: string,
  act: () => Promise<T> | T,
  certainty: Certainty = 'declined',
): Promise<Outcome<T>> => {
  try {
    return Right(await act());
  } catch (thrown) {
    return failed(step, peer, reasonOf(thrown), certainty);
  }
};
