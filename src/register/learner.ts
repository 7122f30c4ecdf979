/**
 * What a member learns to be committed: from proposers that tell it, from the feed of another member, and by repair of its
 * history. Each revision is on the disk before it is told on, save while the disk is in trouble: the member does not vote
 * then, and stays readable. A committed revision is held as accepted, since a chosen value may be repeated anywhere, but
 * never instead of a newer one.
 */
import { Right } from 'purify-ts';
import type { Peers } from '../wire/peers.js';
import { Committed, type FeedItem, type CommitNotice } from './calls.js';
import { decodeDocument, type Document } from './document.js';
import { documentDigest } from './document-digest.js';
import type { Replica } from './replica.js';
import type { Filed } from './store.js';

/** Takes committed revisions in. */
export class Learner {
  constructor(private readonly replica: Replica) {}

  serve(peers: Peers): void {
    peers.handle(Committed, async (tell, peer) =>
      Right({ known: await this.learnTold(tell, peer) }),
    );
  }

  /**
   * Takes revisions that a peer knows to be committed, oldest first. Only the newest is written, since it stands for all
   * before it: on a slow disk a write for each would hold up the votes of this member.
   */
  takeCommitted(received: readonly Filed[], committed: number): Promise<void> {
    const { acceptor, guard } = this.replica;
    return this.replica.exclusive(async () => {
      const revisions = received.filter(({ document }) => document.revision <= committed);
      const newest = revisions.at(-1);
      if (!newest) return;
      const oldestOpen = acceptor.lowestOpenRevision;
      const kept = await this.keep(newest);
      if (!kept && !guard.isSuspended) return;
      for (const { ballot, document } of revisions)
        if (document.revision >= oldestOpen) this.commit({ ballot, document });
    });
  }

  /** Holds the newest revision known to be committed, which the disk could not take while it was in trouble. */
  async holdNewest(): Promise<boolean> {
    const { chain } = this.replica;
    const filed = chain.filed(chain.committed);
    if (!filed) return true;
    const value = this.replica.acceptor.valueLearned(filed);
    return !value || (await this.replica.hold(value));
  }

  /**
   * The digest of a revision as it is on the disk now, noting its link to the one before when it is the committed one.
   */
  async inspect(revision: number): Promise<string | undefined> {
    const read = await this.replica.store.readRevision(revision);
    const file = read.toMaybe().extract();
    if (!file) return undefined;
    const { chain } = this.replica;
    if (file.digest === chain.digest(revision) && !chain.isLinked(revision))
      decodeDocument(file.text, 'disk').ifRight(({ previous }) => chain.link(revision, previous));
    return file.digest;
  }

  /** Puts a committed revision in place of a missing, corrupt or never chosen one on the disk. */
  mend(revision: number, item: FeedItem): Promise<boolean> {
    const { replica } = this;
    const document = decodeDocument(item.document, 'peer').toMaybe().extract();
    return replica.exclusive(async () => {
      if (replica.guard.reason || !document) return false;
      if (documentDigest(document) !== replica.chain.digest(revision)) return false;
      if (!(await this.rewrite(document))) return false;
      replica.chain.link(revision, document.previous);
      replica.log('revision-mended', [['revision', revision]]);
      replica.prune();
      return true;
    });
  }

  /** Writes the file of a committed revision again; that of the accepted one keeps the ballot it was accepted under. */
  private rewrite(document: Document): Promise<boolean> {
    const { replica } = this;
    const { accepted } = replica.acceptor;
    if (document.revision !== accepted?.document.revision) return replica.keepHistory(document);
    if (documentDigest(accepted.document) !== documentDigest(document))
      return Promise.resolve(false);
    return replica.hold(accepted);
  }

  /** What was committed is noted at once when it is held here, else once what is being written now is. */
  private async learnTold(tell: CommitNotice, peer: string): Promise<boolean> {
    if (this.commitHeld(tell)) return true;
    return this.replica.exclusive(() => {
      const known = this.commitHeld(tell);
      if (!known && this.replica.acceptor.accepted)
        this.replica.log('committed-unheld', [
          ['revision', tell.revision],
          ['ballot', tell.ballot.counter],
          ['peer', peer],
        ]);
      return Promise.resolve(known);
    });
  }

  private commitHeld({ revision, digest }: CommitNotice): boolean {
    const { acceptor, chain } = this.replica;
    const { accepted } = acceptor;
    this.replica.noteCommitted(revision, digest);
    if (revision <= chain.committed) return true;
    if (accepted?.document.revision !== revision || documentDigest(accepted.document) !== digest)
      return false;
    this.commit(accepted);
    return true;
  }

  private async keep(filed: Filed): Promise<boolean> {
    const { acceptor, guard } = this.replica;
    const { document } = filed;
    const value = acceptor.valueLearned(filed);
    if (value) return !guard.reason && (await this.replica.hold(value));
    if (document.revision === acceptor.revision || (await this.isOnDisk(document))) return true;
    return !guard.reason && this.replica.keepHistory(document);
  }

  private async isOnDisk(document: Document): Promise<boolean> {
    const present = await this.replica.store.readRevision(document.revision);
    return present.map((file) => file?.digest === documentDigest(document)).orDefault(false);
  }

  private commit(filed: Filed): void {
    const { chain, log } = this.replica;
    const { revision, previous } = filed.document;
    if (!chain.commit(filed)) return;
    this.replica.noteCommitted(revision - 1, previous);
    this.replica.check();
    log('committed', [['revision', revision]]);
    this.replica.prune();
  }
}
