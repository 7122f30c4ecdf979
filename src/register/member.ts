/**
 * A member of the core group, put together from its jobs: it votes, learns what is committed, feeds those who follow, and
 * reads its disk again after trouble.
 */
import { Right } from 'purify-ts';
import type { Clock } from '../kernel/clock/clock.js';
import type { Outcome } from '../kernel/fault/fault.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import type { Peers } from '../wire/peers.js';
import { compareBallots, FIRST } from './ballot.js';
import { State, type FeedItem, type StateReply, type VoteState } from './calls.js';
import type { Chain } from './chain.js';
import type { VoterSet, Document } from './document.js';
import { NOWHERE, type Location } from './failure-domains.js';
import { Followers } from './followers.js';
import { FeedServer } from './feed-server.js';
import { Learner } from './learner.js';
import { DiskRecovery } from './recovery.js';
import type { RegisterInvariants } from './register-invariants.js';
import type { MemberProgress } from './member-progress.js';
import { Replica } from './replica.js';
import type { Filed, Store } from './store.js';
import { Voting } from './voting.js';

/** What a member tells of its vote in short. */
export type VoteStatus = Pick<StateReply, 'voting' | 'reason' | 'revision'>;

/** One member of the register's group. */
export class Member {
  private readonly replica: Replica;
  private readonly learner: Learner;
  private readonly recovery: DiskRecovery;
  /** The nodes that follow this member. */
  readonly followers: Followers;

  constructor(
    store: Store,
    private readonly peers: Peers,
    clock: Clock,
    private readonly random: Random,
    log: Log,
    stall?: number,
    invariants?: RegisterInvariants,
    /** Where this machine stands. */
    readonly location: Location = NOWHERE,
  ) {
    this.replica = new Replica(store, clock, log, stall, invariants);
    this.learner = new Learner(this.replica);
    this.followers = new Followers(clock);
    this.recovery = new DiskRecovery(this.replica, this.learner);
  }

  async start(): Promise<Outcome<void>> {
    const loaded = await this.recovery.start();
    if (loaded.isLeft()) return loaded as Outcome<never>;
    await this.identify(loaded.unsafeCoerce().member);
    new Voting(this.replica).serve(this.peers);
    this.learner.serve(this.peers);
    new FeedServer(this.replica, this.followers).serve(this.peers);
    this.peers.handle(State, () => Right(this.state()));
    return Right(undefined);
  }

  get id(): string {
    return this.replica.id;
  }

  /** Whether this very process took part in forming the core. */
  get founder(): boolean {
    return this.replica.founder;
  }

  get chain(): Chain {
    return this.replica.chain;
  }

  get newest(): Document | undefined {
    return this.replica.acceptor.accepted?.document;
  }

  /** The newest core set that is sure to have been chosen. */
  get knownCore(): VoterSet {
    return this.replica.committedVoters;
  }

  get committedRevision(): number {
    return this.chain.committed;
  }

  /**
   * The lowest revision that may be the newest committed one, as far as this member knew in any life: it held what it knew to be
   * committed. Without a majority it takes nothing older for the newest from others, which may be behind.
   */
  get leastCommitted(): number {
    return Math.max(this.chain.committed, this.voteStatus.revision);
  }

  get wholeDigest(): string {
    return this.chain.wholeDigest;
  }

  get progress(): MemberProgress {
    return this.replica.progress;
  }

  /** Whether this member votes, why not, and the revision that it has accepted. */
  get voteStatus(): VoteStatus {
    const { acceptor, guard, id } = this.replica;
    const isVoter = acceptor.hasVoter(id);
    return {
      voting: isVoter && !guard.reason,
      reason: guard.reason || (isVoter ? '' : 'not in the core set'),
      revision: acceptor.revision,
    };
  }

  state(): StateReply {
    const { acceptor, chain, guard, id } = this.replica;
    const isVoter = acceptor.hasVoter(id);
    return {
      ...this.voteStatus,
      member: id,
      formed: acceptor.accepted !== undefined,
      vote: this.voteState(isVoter),
      sure: isVoter && !guard.isDisqualified,
      accepted: acceptor.accepted?.ballot ?? FIRST,
      committed: chain.committed,
      core: JSON.stringify(this.knownCore),
      whole: this.wholeDigest,
      ...this.location,
    };
  }

  private voteState(isVoter: boolean): VoteState {
    const { guard } = this.replica;
    if (guard.isDisqualified) return 'disqualified';
    if (guard.reason) return 'recovering';
    return isVoter ? 'voting' : 'non-voting';
  }

  /** After the disk failed a write: reads it anew once it works, and votes again. */
  recover(): Promise<boolean> {
    return this.recovery.recover();
  }

  /** The digest of a revision as it is on the disk now. */
  inspect(revision: number): Promise<string | undefined> {
    return this.learner.inspect(revision);
  }

  /** Puts a committed revision in place of a missing, corrupt or never chosen one. */
  mend(revision: number, item: FeedItem): Promise<boolean> {
    return this.learner.mend(revision, item);
  }

  /** Takes revisions that a peer knows to be committed, oldest first. */
  takeCommitted(revisions: readonly Filed[], committed: number): Promise<void> {
    return this.learner.takeCommitted(revisions, committed);
  }

  private async identify(known: string | undefined): Promise<void> {
    const { acceptor, guard, store } = this.replica;
    this.replica.id = known ?? this.random.identity();
    const hasVotes =
      acceptor.accepted !== undefined || compareBallots(acceptor.promised, FIRST) > 0;
    if (known === undefined && hasVotes) guard.disqualify('votes on disk without an identity');
    if (known === undefined) await guard.confirm(store.keepIdentity(this.replica.id));
  }
}
