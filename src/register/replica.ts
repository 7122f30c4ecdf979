/**
 * What one member of the register holds: its id, what it promised and accepted, the committed revisions it knows, and
 * the disk that carries them. One task at a time changes it, and memory follows the disk: a value is held only once its
 * write is sure to be kept.
 */
import type { Clock } from '../kernel/clock/clock.js';
import type { Log } from '../kernel/log/log.js';
import { AcceptorState } from './acceptor.js';
import { FIRST, type Ballot } from './ballot.js';
import { Chain } from './chain.js';
import { DiskGuard } from './disk-guard.js';
import type { VoterSet, Document } from './document.js';
import type { Digest } from './hash.js';
import type { MemberProgress } from './member-progress.js';
import { RegisterInvariants } from './register-invariants.js';
import type { Filed, Store } from './store.js';

const STALL = 1500;
const NO_VOTERS: VoterSet = { number: 0, wanted: 0, members: [] };

/** The state of one member, in memory and on its disk. */
export class Replica {
  id = '';
  /** Whether this very process took part in forming the group. */
  founder = false;
  readonly acceptor = new AcceptorState();
  readonly chain: Chain;
  readonly guard: DiskGuard;
  private turn: Promise<unknown> = Promise.resolve();

  constructor(
    readonly store: Store,
    readonly clock: Clock,
    readonly log: Log,
    readonly stall = STALL,
    private readonly invariants = new RegisterInvariants(log),
  ) {
    this.chain = new Chain(clock);
    this.guard = new DiskGuard(clock, log, stall);
  }

  get progress(): MemberProgress {
    const { acceptor, chain, guard, id } = this;
    return {
      id,
      promised: acceptor.promised,
      accepted: acceptor.accepted?.ballot ?? FIRST,
      revision: acceptor.revision,
      committed: chain.committed,
      digest: chain.digest(chain.committed) ?? '',
      isVoting: !guard.reason && acceptor.hasVoter(id),
      isDisqualified: guard.isDisqualified,
    };
  }

  /** Runs a task once all those before it are done. */
  exclusive<T>(task: () => Promise<T>): Promise<T> {
    const next = this.turn.then(task);
    this.turn = next.catch(() => undefined);
    return next;
  }

  /** Promises a ballot, on the disk first. */
  async promise(ballot: Ballot): Promise<boolean> {
    if (!(await this.guard.confirm(this.store.keepPromise(ballot)))) return false;
    this.acceptor.promise(ballot);
    this.check();
    return true;
  }

  /** Holds a value as accepted, on the disk first. */
  async hold(value: Filed): Promise<boolean> {
    const writing = this.store.keepRevision(value.document.revision, value);
    if (!(await this.guard.confirm(writing))) return false;
    const isHeld = this.acceptor.hold(value);
    this.check();
    this.prune();
    return isHeld;
  }

  /**
   * Removes revisions that need not be kept. The one before the accepted one is committed, since a revision is proposed only
   * on top of a committed one; so nothing waits for word of the commit, which may be lost on its way.
   */
  prune(): void {
    const { revision } = this.acceptor;
    const committed = Math.max(revision - 1, Math.min(this.chain.committed, revision));
    const floor = this.store.floor(committed);
    this.chain.raise(Math.min(floor, this.chain.committed));
    this.store.prune(floor);
  }

  /** Holds what this member shows now against all that it showed before. */
  check(): void {
    if (this.id) this.invariants.noteProgress(this.progress);
  }

  /** A peer told that a value is committed. */
  noteCommitted(revision: number, digest: Digest): void {
    if (revision <= this.chain.committed) this.invariants.noteCommitted(revision, digest);
  }

  /** Keeps a committed revision below the accepted one on the disk. */
  keepHistory(document: Document): Promise<boolean> {
    return this.guard.confirm(this.store.keepHistory(document.revision, document));
  }

  /** The newest voter set that is sure to have been chosen. */
  get committedVoters(): VoterSet {
    const { accepted } = this.acceptor;
    if (!accepted) return NO_VOTERS;
    const { document, under } = accepted;
    const isCommitted = document.revision <= this.chain.committed;
    const sure = isCommitted ? document.core : (under ?? document.core);
    const committed = this.chain.document?.core;
    return committed && committed.number > sure.number ? committed : sure;
  }
}
