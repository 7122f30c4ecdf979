/**
 * Following the numbered feed of settled generations: from one core member at a time, another when it falls silent, and
 * from neighbours when none answers. The first generation comes only after a look at a majority of the core, or of the
 * routers, so that a restart never slides back; what is older than what is held is dropped, and what follows it must
 * name its digest.
 */
import type { Clock } from '../kernel/clock/clock.js';
import type { Log } from '../kernel/log/log.js';
import { pick, shuffled, type Random } from '../kernel/random/random.js';
import type { Peers } from '../wire/peers.js';
import { Feed, type FeedItem, type FeedReply } from './calls.js';
import { decodeDocument, digestOf, type Document } from './document.js';
import type { Proposer } from './proposer.js';
import type { Relay } from './relay.js';
import type { Roster } from './roster.js';

const WAIT = 1000;
const PAUSE = 200;
const LOOK = 1500;

export class Follower {
  held = 0;
  private digest = '';
  private floor: number | undefined;

  constructor(
    private readonly peers: Peers,
    private readonly roster: Roster,
    private readonly proposer: Proposer,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
    private readonly take: (documents: readonly Document[], items: readonly FeedItem[], settled: number) => Promise<void> | void,
    private readonly self = '',
    private readonly relay?: Relay,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.floor === undefined) {
        const looked = (await this.proposer.look(LOOK)).toMaybe().extract() ?? (await this.relay?.floor());
        if (looked === undefined) {
          await this.clock.sleep(PAUSE * (0.5 + this.random.fraction()), signal);
          continue;
        }
        this.floor = looked;
        this.log('feed-floor', [['generation', this.floor]]);
      }
      const sources = shuffled(this.random, this.roster.addresses.filter((address) => address !== this.self));
      for (const source of sources) {
        if (signal.aborted || (await this.followOne(source, signal))) continue;
        const neighbour = pick(this.random, this.relay?.sources ?? []);
        if (neighbour) await this.followOne(neighbour, signal, true);
      }
      await this.clock.sleep(PAUSE * (0.5 + this.random.fraction()), signal);
    }
  }

  /** Follows one source until it has nothing to give, or once only; says whether it gave anything. */
  private async followOne(source: string, signal: AbortSignal, once = false): Promise<boolean> {
    for (let answered = false; ; answered = true) {
      if (signal.aborted || (answered && once)) return answered;
      const reply = await this.peers.ask(source, Feed, { from: this.held, wait: WAIT }, WAIT + 1000);
      if (reply.isLeft()) return answered;
      const { settled, items } = reply.unsafeCoerce() as FeedReply;
      if (settled < Math.max(this.held, this.floor ?? 0)) return answered;
      const documents: Document[] = [];
      let held = { generation: this.held, digest: this.digest };
      const taken: FeedItem[] = [];
      for (const item of items) {
        const document = decodeDocument(item.document, source);
        if (document.isLeft()) return answered;
        const next = document.unsafeCoerce();
        if (next.generation <= held.generation || next.fleet !== this.peers.self.fleet) continue;
        if (next.generation === held.generation + 1 && held.digest && next.previous !== held.digest) {
          this.log('feed-declined', [['peer', source], ['generation', next.generation], ['reason', 'does not follow the one held']]);
          return answered;
        }
        held = { generation: next.generation, digest: digestOf(item.document) };
        documents.push(next);
        taken.push(item);
        this.roster.learn(next.core);
      }
      if (documents.length === 0) continue;
      for (const { generation } of documents) this.log('fed', [['generation', generation], ['peer', source]]);
      await this.take(documents, taken, settled);
      this.held = held.generation;
      this.digest = held.digest;
    }
  }
}
