/**
 * What a member reads from its disk: at start, and again once a disk that had failed a write works. What memory holds and
 * the disk lost, or what is corrupt and may have been a vote, disqualifies the member.
 */
import { Right } from 'purify-ts';
import type { Clock } from '../kernel/clock/clock.js';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import { compareBallots, FIRST, type Ballot } from './ballot.js';
import { decodeDocument, encodeDocument } from './document.js';
import { documentDigest } from './document-digest.js';
import type { Learner } from './learner.js';
import type { Member } from './member.js';
import type { Replica } from './replica.js';
import type { Found, RevisionFile } from './store.js';

const EVERY = 300;
/** How many bytes beside room for a revision a disk must take before it counts as working again. */
const PROBE = 65_536;
const REVISIONS = 'revisions/';

/**
 * Reads a replica from its disk. What a killed process or a failed write left there without a sync is made durable before the
 * member answers by it.
 */
export class DiskRecovery {
  constructor(
    private readonly replica: Replica,
    private readonly learner: Learner,
  ) {}

  /** Reads the disk at start; the member does not vote while it can't be relied on. */
  async start(): Promise<Outcome<Found>> {
    const { guard, store } = this.replica;
    await guard.confirm(store.sync());
    const loaded = await this.load();
    await this.readParent();
    return loaded;
  }

  /** Reads the revision before the accepted one; followers that hold it can then be sent what changed since. */
  private async readParent(): Promise<void> {
    const { acceptor, chain, store } = this.replica;
    const read = await store.readRevision(acceptor.revision - 1);
    read
      .chain((file) =>
        file ? decodeDocument(file.text, 'disk') : failed('recovery.parent', 'disk', 'not kept'),
      )
      .ifRight((document) => chain.noteParentOnDisk(document));
  }

  /** Reads what the disk holds, on top of what is known here. */
  private async load(): Promise<Outcome<Found>> {
    const { store, acceptor, guard } = this.replica;
    const opened = await store.open();
    if (opened.isLeft()) return opened;
    const found = opened.unsafeCoerce();
    const restored = this.restore(found.accepted);
    if (restored.isLeft()) return restored as Outcome<never>;
    if (!restored.unsafeCoerce()) guard.disqualify('lost from the disk: what was accepted');
    acceptor.promise(found.promised);
    if (found.disqualified) guard.disqualify(found.disqualified);
    this.judgeCorrupt(found);
    this.replica.check();
    return opened;
  }

  /** Once a disk that failed a write keeps one again, what it holds is read anew, and this member votes. */
  async recover(): Promise<boolean> {
    const { acceptor, clock, guard, stall, store } = this.replica;
    if (!guard.isSuspended || guard.isDisqualified) return false;
    await store.idle();
    const began = clock.now();
    const { accepted } = acceptor;
    const size = accepted ? encodeDocument(accepted.document).length : 0;
    const probed = await store.probe(2 * size + PROBE);
    if (probed.isLeft() || clock.now() - began > stall) return false;
    if ((await store.sync()).isLeft()) return false;
    return this.replica.exclusive(() => this.readAnew());
  }

  private async readAnew(): Promise<boolean> {
    const { acceptor, guard, log, store } = this.replica;
    const before = acceptor.promised;
    const loaded = await this.load();
    if (loaded.isLeft()) return false;
    const found = loaded.unsafeCoerce();
    this.judgeIdentity(found, before);
    this.judgePromise(found, before);
    if (guard.isDisqualified) {
      await store.keepDisqualified(guard.reason);
      return false;
    }
    if (!(await this.keepIdentity(found))) return false;
    if (!(await this.learner.holdNewest())) return false;
    guard.resume();
    log('voting-resumed', [['revision', acceptor.revision]]);
    return true;
  }

  /** Holds what the disk tells as accepted; no, where memory holds something newer, which the disk then lost. */
  private restore(file: RevisionFile | undefined): Outcome<boolean> {
    const { acceptor } = this.replica;
    if (!file) return Right(acceptor.accepted === undefined);
    const { ballot, under, digest } = file;
    return decodeDocument(file.text, 'disk').map(
      (document) =>
        documentDigest(document) === digest && acceptor.hold({ ballot, document, under }),
    );
  }

  private judgeCorrupt(found: Found): void {
    const { guard, log } = this.replica;
    const oldest = this.oldestPossibleVote(found);
    const isHistory = (path: string): boolean =>
      path.startsWith(REVISIONS) && Number(path.slice(REVISIONS.length)) < oldest;
    for (const path of found.spoilt)
      log('file-spoilt', [
        ['path', path],
        ['votes', isHistory(path)],
      ]);
    const votes = found.spoilt.filter((path) => !isHistory(path));
    if (votes.length) guard.disqualify(`spoilt on disk: ${votes.join(' ')}`);
  }

  /**
   * The lowest revision that may be what this member accepted last: the one found, or the one before it where a higher
   * ballot was promised, as before an uncommitted value gives way to its committed parent.
   */
  private oldestPossibleVote({ promised, accepted }: Found): number {
    const { acceptor } = this.replica;
    const isPromiseHigher = compareBallots(promised, accepted?.ballot ?? FIRST) > 0;
    return isPromiseHigher ? acceptor.lowestOpenRevision : acceptor.revision;
  }

  private judgeIdentity({ member }: Found, promised: Ballot): void {
    const { acceptor, guard, id } = this.replica;
    if (member !== undefined && member !== id)
      guard.disqualify('lost from the disk: the identity, which is that of another member');
    const hasVotes = acceptor.accepted !== undefined || compareBallots(promised, FIRST) > 0;
    if (member === undefined && hasVotes) guard.disqualify('lost from the disk: the identity');
  }

  private judgePromise({ promised, accepted }: Found, before: Ballot): void {
    const onDisk = [promised, accepted?.ballot ?? FIRST];
    if (!onDisk.some((ballot) => compareBallots(ballot, before) >= 0))
      this.replica.guard.disqualify('lost from the disk: a promise');
  }

  private async keepIdentity({ member }: Found): Promise<boolean> {
    const { guard, id, store } = this.replica;
    return member !== undefined || (await guard.confirm(store.keepIdentity(id)));
  }
}

/** Brings a member back into the vote by itself once its disk works again. */
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
