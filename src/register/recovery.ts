/**
 * Brings a member back into the vote by itself once its disk, which had failed a write, works again.
 */
import type { Clock } from '../kernel/clock/clock.js';
import type { Member } from './member.js';

const EVERY = 300;

export const keepRecovering = async (
  member: Member,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> => {
  while (!signal.aborted) {
    await member.recover();
    await clock.sleep(EVERY, signal);
  }
};
