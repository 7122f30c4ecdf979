/** The operators' calls on the revisions of the configuration, read from the core. */
import { Right } from 'purify-ts';
import { failed, type Outcome } from '../../kernel/fault/fault.js';
import { Feed, History, type FeedItem } from '../../register/calls.js';
import { decodeDocument, subjectOf, type Document } from '../../register/document.js';
import { documentDigest } from '../../register/document-digest.js';
import type { Proposer } from '../../register/proposer.js';
import type { VoterDirectory } from '../../register/voter-directory.js';
import type { Peers } from '../../wire/peers.js';
import type { Schemas } from '../schema.js';
import { PEER_TIMEOUT_MS } from './peer-calls.js';

type HistoryEntry = Schemas['HistoryReply']['revisions'][number];

/** The revision 0 stands for the newest one. */
const NEWEST = 0;
const LOOK_TIMEOUT_MS = 2000;

/** Reads revisions from the core's members. */
export class RevisionOperations {
  constructor(
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly proposer: Proposer,
  ) {}

  /** One revision, or the newest. */
  async at(revision: number): Promise<Outcome<Schemas['ConfigReply']>> {
    const item = revision === NEWEST ? await this.newest() : await this.revision(revision);
    return item.chain((held) =>
      decodeDocument(held.document, 'core').map((document) => ({
        revision: document.revision,
        digest: documentDigest(document),
        document: Buffer.from(held.document).toString('utf8'),
      })),
    );
  }

  /** Revisions from a number on; the chain of digests is checked on the way. */
  async history({ from, count }: Schemas['HistoryAsk']): Promise<Outcome<Schemas['HistoryReply']>> {
    const newest = (await this.newest()).chain((held) => decodeDocument(held.document, 'core'));
    if (newest.isLeft()) return newest;
    const committed = newest.unsafeCoerce().revision;
    const last = Math.min(committed, from + count - 1);
    const revisions: HistoryEntry[] = [];
    for (let revision = Math.max(1, from); revision <= last; revision++) {
      const held = await this.revision(revision);
      if (held.isLeft()) return held;
      const item = held.unsafeCoerce();
      const decoded = decodeDocument(item.document, 'core');
      if (decoded.isLeft()) return decoded;
      const document = decoded.unsafeCoerce();
      const before = revisions.at(-1);
      if (before && before.digest !== document.previous)
        return failed(
          'config.history',
          'core',
          `revision ${revision} does not follow the one before it`,
        );
      revisions.push({ revision, digest: documentDigest(document), changes: changesOf(document) });
    }
    return Right({ committed, revisions });
  }

  /** The ids of the changes that made a revision; none where no member holds it. */
  async changeIds(revision: number): Promise<string[]> {
    return (await this.revision(revision))
      .chain((item) => decodeDocument(item.document, 'core'))
      .map(({ cause }) => cause.map(({ id }) => id))
      .orDefault([]);
  }

  private async newest(): Promise<Outcome<FeedItem>> {
    const committed = await this.proposer.look(LOOK_TIMEOUT_MS);
    if (committed.isLeft()) return committed;
    const isNewest = ({ document }: FeedItem, address: string): boolean =>
      decodeDocument(document, address)
        .map(({ revision }) => revision >= committed.unsafeCoerce())
        .orDefault(false);
    for (const address of this.voterDirectory.addresses) {
      const reply = await this.peers.ask(address, Feed, { from: 0, wait: 0 }, PEER_TIMEOUT_MS);
      const item = reply.map(({ items }) => items[0]).orDefault(undefined);
      if (item && isNewest(item, address)) return Right(item);
    }
    return failed('config.newest', 'core', 'no member gave the newest revision');
  }

  private async revision(revision: number): Promise<Outcome<FeedItem>> {
    for (const address of this.voterDirectory.addresses) {
      const reply = await this.peers.ask(address, History, { revision }, PEER_TIMEOUT_MS);
      const item = reply.map(({ items }) => items[0]).orDefault(undefined);
      if (item) return Right(item);
    }
    return failed('config.at', 'core', `no member holds revision ${revision}`);
  }
}

const changesOf = ({ cause }: Document): HistoryEntry['changes'] =>
  cause.map(({ id, firm, who, act }) => ({ id, firm, who, kind: act.kind, name: subjectOf(act) }));
