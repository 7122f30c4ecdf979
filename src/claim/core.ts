/** Claims on the disks of the core's members. */
import { later, type Clock, type Moment } from '../kernel/clock/clock.js';
import { gather, majority, sound } from '../register/gather.js';
import type { VoterDirectory } from '../register/voter-directory.js';
import type { Peers } from '../wire/peers.js';
import { Keep } from './calls.js';

const KEEP_LIMIT = 500;
/** After a failure to reach the core, claims don't wait for it for this long. */
const CORE_PAUSE = 1000;

/** What the core said of a claim: on disk at a majority, known to be another's, or neither for sure. */
export type Kept = 'kept' | 'known' | 'unsure';

/** Has claims kept by a majority of the core. */
export class CoreClaims {
  private failedAt = -Infinity as Moment;

  constructor(
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly clock: Clock,
  ) {}

  /** Whether the core was out of reach a short while ago. */
  get isOut(): boolean {
    return this.clock.now() < later(this.failedAt, CORE_PAUSE);
  }

  /** Has a claim kept; the members are asked, but not waited for, while the core is out of reach. */
  async keep(key: string, owner: string): Promise<Kept> {
    const { number, members } = this.voterDirectory.core;
    const quorum = majority(members.length);
    if (members.length === 0) return 'unsure';
    const kept = (replies: readonly { kept: boolean }[]): number =>
      replies.filter((reply) => reply.kept).length;
    const asking = gather(
      members.map(({ address }) => address),
      (address) => this.peers.ask(address, Keep, { set: number, key, owner }, KEEP_LIMIT),
      (all) => kept(sound(all)) >= quorum || sound(all).some((reply) => !reply.kept),
    );
    if (this.isOut) return 'unsure';
    const replies = sound(await asking);
    if (replies.some((reply) => !reply.kept)) return 'known';
    if (kept(replies) >= quorum) return 'kept';
    this.failedAt = this.clock.now();
    return 'unsure';
  }
}
