/**
 * News of revisions between routers, for when the core is out of reach. A router hands on what it has in force by the
 * same numbered feed as a core member. What is in force anywhere is committed, so a newer revision from a neighbour may
 * be put in force at once; it is shown as accepted only by the core's word, as ever.
 *
 * A router that starts has nothing, and must not begin behind what was accepted. It begins from its neighbours only when
 * a majority of the registered routers, all of which have something in force since before, hold nothing newer: a change
 * that was accepted was in force at a majority, and the two would meet.
 */
import { Right } from 'purify-ts';
import { failed } from '../kernel/fault/fault.js';
import type { Peers } from '../wire/peers.js';
import { Feed, type FeedFrame } from './calls.js';
import { shed } from './chain.js';
import { decodeDocument, type Document } from './document.js';
import { wholeFrame, type ReceivedRevision } from './frames.js';
import { gather, majority, sound } from './gather.js';

const BYTES = 4 * 1024 * 1024;
const ASK_LIMIT = 600;

export class Relay {
  private readonly recent = new Map<number, FeedFrame>();
  private whole: ReceivedRevision | undefined;
  private newest = 0;

  constructor(
    private readonly peers: Peers,
    private readonly neighbours: () => readonly string[],
  ) {}

  serve(): void {
    this.peers.handle(Feed, ({ from, deltas = false }) => {
      if (!this.whole)
        return failed('register.relay', this.peers.self.name, 'nothing is in force here yet');
      if (from >= this.newest)
        return Right({ committed: this.newest, checkpoint: false, items: [] });
      const items: FeedFrame[] = [];
      let bytes = 0;
      for (let revision = from + 1; from > 0 && revision <= this.newest; revision++) {
        const frame =
          revision === this.newest && !deltas ? wholeFrame(this.whole) : this.recent.get(revision);
        bytes += frame?.document.length ?? 0;
        if (!frame || (frame.base > 0 && !deltas) || bytes > BYTES) break;
        items.push(frame);
      }
      return Right(
        items.length
          ? { committed: this.newest, checkpoint: false, items }
          : { committed: this.newest, checkpoint: true, items: [wholeFrame(this.whole)] },
      );
    });
  }

  /** What came into force here: as it came, and the newest one whole. */
  note(revisions: readonly ReceivedRevision[]): void {
    for (const received of revisions) {
      const { revision } = received.document;
      this.recent.set(revision, received.frame);
      if (revision <= this.newest) continue;
      this.newest = revision;
      this.whole = received;
    }
    shed(this.recent, ({ document }) => document.length);
  }

  /** Neighbours to follow when no core member answers. */
  get sources(): readonly string[] {
    return this.neighbours();
  }

  /** The revision from which a router that has nothing may begin, by the word of a majority of the registered routers. */
  async floor(): Promise<number | undefined> {
    const first = sound(
      await gather(
        this.neighbours(),
        (address) => this.peers.ask(address, Feed, { from: 0, wait: 0 }, ASK_LIMIT),
        () => false,
      ),
    );
    const newest = first
      .flatMap(({ items }) =>
        items
          .map((item) => decodeDocument(item.document, 'neighbour'))
          .flatMap((read) => (read.isRight() ? [read.unsafeCoerce()] : [])),
      )
      .reduce<Document | undefined>(
        (best, each) => (!best || each.revision > best.revision ? each : best),
        undefined,
      );
    if (!newest || newest.fleet !== this.peers.self.fleet || newest.registered.size === 0)
      return undefined;
    const addresses = [...newest.registered]
      .filter(([name]) => name !== this.peers.self.name)
      .map(([, { address }]) => address);
    const told = sound(
      await gather(
        addresses,
        (address) => this.peers.ask(address, Feed, { from: newest.revision, wait: 0 }, ASK_LIMIT),
        () => false,
      ),
    );
    const enough =
      told.length >= majority(newest.registered.size) &&
      told.every(({ committed }) => committed <= newest.revision);
    return enough ? newest.revision : undefined;
  }
}
