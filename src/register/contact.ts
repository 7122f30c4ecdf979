/**
 * Whether this node is in contact with a majority of the voters. The evidence is what asks showed last: a voter that left
 * one unanswered for its whole limit, or that could not be reached at all, counts as silent until it is heard again. The
 * follower asks voters all the time, so that the evidence is fresh without heartbeats of its own.
 *
 * It only decides how long a call waits. Whatever is read or changed is still proved by a majority's replies.
 */
import { within, type Clock, type Duration } from '../kernel/clock/clock.js';
import type { Peers } from '../wire/peers.js';
import { majority } from './gather.js';
import type { VoterDirectory } from './voter-directory.js';

/** How long a call may take, and how long while no majority is in contact. */
export interface Patience {
  readonly whole: Duration;
  readonly outOfContact: Duration;
}

/** The part of its time that a call is given to bring a majority back into contact. */
const OUT_OF_CONTACT_SHARE = 0.3;

/** The patience of a call that may take so long. */
export const patienceOf = (whole: Duration): Patience => ({
  whole,
  outOfContact: whole * OUT_OF_CONTACT_SHARE,
});

/** What this node knows of its contact with the voters. */
export class QuorumContact {
  constructor(
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly clock: Clock,
  ) {}

  /** The addresses of the voters that are silent. */
  get silentVoters(): readonly string[] {
    return this.voterDirectory.core.members
      .map(({ address }) => address)
      .filter((address) => this.peers.isSilent(address));
  }

  /** Whether a majority of the voters may still answer; true while no voter is known. */
  get holds(): boolean {
    const voters = this.voterDirectory.core.members.length;
    return voters === 0 || voters - this.silentVoters.length >= majority(voters);
  }

  /** Waits for a promise for as long as patience allows; the promise goes on by itself. */
  async within<T>({ whole, outOfContact }: Patience, promise: Promise<T>): Promise<T | undefined> {
    const early = await within(this.clock, outOfContact, promise);
    if (early !== undefined || !this.holds) return early;
    return within(this.clock, whole - outOfContact, promise);
  }

  /** Waits until patience ends, or a signal comes. */
  async outlast({ whole, outOfContact }: Patience, signal: AbortSignal): Promise<void> {
    await this.clock.sleep(outOfContact, signal);
    if (this.holds) await this.clock.sleep(whole - outOfContact, signal);
  }
}
