/** The feed of committed revisions that a member serves to followers, from memory, and its history from the disk. */
import { Right } from 'purify-ts';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import type { Peers } from '../wire/peers.js';
import { Feed, History, Tip, type FeedAsk, type FeedItem, type FeedReply } from './calls.js';
import { wholeFrame, wholeItem } from './frames.js';
import type { Followers } from './followers.js';
import type { Replica } from './replica.js';

const WAIT_BOUND = 10_000;

/** Serves what is committed. */
export class FeedServer {
  constructor(
    private readonly replica: Replica,
    private readonly followers: Followers,
  ) {}

  serve(peers: Peers): void {
    const { chain } = this.replica;
    peers.handle(Feed, (ask) => this.follow(ask));
    peers.handle(Tip, async ({ from, wait }) => {
      await chain.beyond(from, Math.min(wait, WAIT_BOUND));
      return Right({ committed: chain.committed });
    });
    peers.handle(History, ({ revision }) => this.history(revision));
  }

  /** Answers a follower, and notes what it has in force when it asks, and that it goes on following when it is answered. */
  private async follow(ask: FeedAsk): Promise<Outcome<FeedReply>> {
    const { node, from, wait } = ask;
    const note = (): void => {
      if (node !== undefined) this.followers.note(node, from, Math.min(wait, WAIT_BOUND));
    };
    note();
    const reply = await this.feed(ask);
    note();
    return reply;
  }

  private async feed({ from, wait, deltas = false }: FeedAsk): Promise<Outcome<FeedReply>> {
    const { chain, guard, id } = this.replica;
    if (chain.committed <= from && from > 0 && guard.reason)
      return failed('member.feed', id, `does not vote and may be behind: ${guard.reason}`);
    if (chain.committed <= from) await chain.beyond(from, Math.min(wait, WAIT_BOUND));
    const { committed } = chain;
    if (committed <= from) return Right({ committed, checkpoint: false, items: [] });
    const items = chain.following(from, deltas);
    if (items.length) return Right({ committed, checkpoint: false, items });
    const newest = chain.filed(committed);
    if (!newest) return failed('member.feed', id, `revision ${committed} is not held here`);
    return Right({ committed, checkpoint: true, items: [wholeFrame(newest)] });
  }

  /** The committed revision asked for, from memory or disk, only when it belongs to the chain that was committed. */
  private async history(revision: number): Promise<Outcome<{ items: FeedItem[] }>> {
    const { chain, store } = this.replica;
    if (revision < chain.floor || revision > chain.committed) return Right({ items: [] });
    const filed = chain.filed(revision);
    if (filed) return Right({ items: [wholeItem(filed)] });
    const read = await store.readRevision(revision);
    return read.map((held) => ({
      items:
        held !== undefined && held.digest === chain.digest(revision)
          ? [{ ballot: held.ballot, document: held.text }]
          : [],
    }));
  }
}
