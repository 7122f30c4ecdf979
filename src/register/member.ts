/**
 * A member of the core group: it promises and accepts, and answers only after what it answers is synced. One task at
 * a time touches its state. A failed write ends its voting until it is started anew, since what is on the disk is then
 * not sure; a file that is spoilt at start does the same when it may have held a vote. A settled generation it learns
 * from a peer is taken like a late accept, since a chosen value may be repeated anywhere.
 */
import { Right } from 'purify-ts';
import { within, type Clock } from '../kernel/clock/clock.js';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import type { Peers } from '../wire/peers.js';
import { ballotText, compareBallots, FIRST, type Ballot } from './ballot.js';
import { Accept, Feed, Form, History, Prepare, Settled, State, Tip, type AcceptAsk, type AcceptReply, type FeedItem, type FeedReply, type PrepareAsk, type PrepareReply, type SettledTell, type StateReply } from './calls.js';
import { decodeDocument, digestOf, type CoreSet, type Document } from './document.js';
import type { Filed, Store } from './store.js';

const FEED_DEPTH = 16;
const FEED_BYTES = 4 * 1024 * 1024;
const WAIT_BOUND = 10_000;

interface Held extends Filed {
  readonly parsed: Document;
}

export class Member {
  id = '';
  private promised: Ballot = FIRST;
  private accepted: Held | undefined;
  private settled = 0;
  /** Digests of settled generations, as far as the chain back from the newest one is known. */
  private readonly chain = new Map<number, string>();
  private readonly recent = new Map<number, Filed>();
  /** Whether this very process took part in forming the core. */
  founder = false;
  private impairment = '';
  /** What this member voted for may be lost. */
  private doubtful = false;
  private turn: Promise<unknown> = Promise.resolve();
  private readonly watchers = new Set<() => void>();

  constructor(private readonly store: Store, private readonly peers: Peers, private readonly clock: Clock, private readonly random: Random, private readonly log: Log) {}

  async start(): Promise<Outcome<void>> {
    const opened = await this.store.open();
    if (opened.isLeft()) return opened as Outcome<never>;
    const found = opened.unsafeCoerce();
    this.promised = found.promised;
    if (found.accepted) {
      const parsed = decodeDocument(found.accepted.document, 'disk');
      if (parsed.isLeft()) return parsed as Outcome<never>;
      this.accepted = { ...found.accepted, parsed: parsed.unsafeCoerce() };
    }
    if (this.accepted && compareBallots(this.accepted.ballot, this.promised) > 0) this.promised = this.accepted.ballot;
    const newest = this.accepted?.parsed.generation ?? 0;
    const doubtful = found.spoilt.filter((path) => !path.startsWith('generations/') || Number(path.slice(12)) >= newest);
    for (const path of found.spoilt) this.log('file-spoilt', [['path', path], ['votes', !doubtful.includes(path)]]);
    this.doubtful = doubtful.length > 0;
    if (doubtful.length) this.impair(`spoilt on disk: ${doubtful.join(' ')}`);
    if (found.member) this.id = found.member;
    else {
      this.id = this.random.identity();
      if (this.accepted || compareBallots(this.promised, FIRST) > 0) {
        this.doubtful = true;
        this.impair('votes on disk without an identity');
      }
      const kept = await this.store.keepIdentity(this.id);
      if (kept.isLeft()) return kept;
    }
    this.peers.handle(Prepare, (ask) => this.alone(() => this.prepare(ask)));
    this.peers.handle(Accept, (ask) => this.alone(() => this.accept(ask)));
    this.peers.handle(Settled, async (tell, peer) => Right({ known: await this.alone(() => this.learn(tell, peer)) }));
    this.peers.handle(State, () => Right(this.state()));
    this.peers.handle(Feed, ({ from, wait }) => this.feed(from, wait));
    this.peers.handle(Tip, async ({ from, wait }) => {
      await this.beyond(from, Math.min(wait, WAIT_BOUND));
      return Right({ settled: this.settled });
    });
    this.peers.handle(Form, ({ document }) => this.alone(() => this.form(document)));
    this.peers.handle(History, ({ generation }) => this.history(generation));
    return Right(undefined);
  }

  state(): StateReply {
    const seated = this.seated();
    return {
      member: this.id,
      formed: this.accepted !== undefined,
      voting: seated && !this.impairment,
      sure: seated && !this.doubtful,
      reason: this.impairment || (seated ? '' : 'not in the core set'),
      accepted: this.accepted?.ballot ?? FIRST,
      generation: this.accepted?.parsed.generation ?? 0,
      settled: this.settled,
      core: JSON.stringify(this.knownCore),
      whole: this.wholeDigest,
    };
  }

  get newest(): Document | undefined {
    return this.accepted?.parsed;
  }

  /** The newest core set that is sure to have been chosen. */
  get knownCore(): CoreSet {
    if (!this.accepted) return { number: 0, wanted: 0, members: [] };
    const { parsed, under } = this.accepted;
    return parsed.generation <= this.settled ? parsed.core : (under ?? parsed.core);
  }

  get settledGeneration(): number {
    return this.settled;
  }

  /** One digest over the whole chain of settled generations, or nothing while it is not known whole. */
  get wholeDigest(): string {
    if (this.settled === 0 || this.chain.size < this.settled) return '';
    return this.rangeDigest(1, this.settled);
  }

  rangeDigest(from: number, to: number): string {
    const digests: string[] = [];
    for (let generation = from; generation <= to; generation++) digests.push(this.chain.get(generation) ?? '');
    return digestOf(digests.join(' '));
  }

  chained(generation: number): string | undefined {
    return this.chain.get(generation);
  }

  /** The digest of a generation as it is on the disk now, noting its link to the one before when it is the settled one. */
  async inspect(generation: number): Promise<string | undefined> {
    const read = await this.store.readGeneration(generation);
    const filed = read.toMaybe().extract();
    if (!filed) return undefined;
    const digest = digestOf(filed.document);
    if (digest === this.chain.get(generation)) this.link(generation, filed.document);
    return digest;
  }

  /** Puts a settled generation in place of a missing, spoilt or never chosen one. */
  mend(generation: number, item: FeedItem): Promise<boolean> {
    return this.alone(async () => {
      if (this.impairment || digestOf(item.document) !== this.chain.get(generation)) return false;
      const kept = await this.store.keepGeneration(generation, item);
      if (kept.isLeft()) {
        this.impair(kept.extract().reason);
        return false;
      }
      this.link(generation, item.document);
      this.log('generation-mended', [['generation', generation]]);
      return true;
    });
  }

  /** Waits until something settled beyond the generation given, or until the limit. */
  async beyond(generation: number, limit: number): Promise<void> {
    if (this.settled > generation) return;
    let wake: () => void = () => undefined;
    const news = new Promise<void>((resolve) => {
      wake = resolve;
      this.watchers.add(wake);
    });
    await within(this.clock, limit, news);
    this.watchers.delete(wake);
  }

  /** Takes generations that a peer knows to be settled, oldest first. */
  takeSettled(items: readonly FeedItem[], settled: number): Promise<void> {
    return this.alone(async () => {
      for (const item of items) {
        const parsed = decodeDocument(item.document, 'peer');
        if (parsed.isLeft()) return;
        const document = parsed.unsafeCoerce();
        if (document.generation > settled) return;
        const kept = await this.keep(document, item);
        if (!kept) return;
        if (document.generation > this.settled) this.recent.set(document.generation, item);
        this.settle(document.generation, digestOf(item.document), document.previous);
      }
    });
  }

  private alone<T>(act: () => Promise<T>): Promise<T> {
    const next = this.turn.then(act);
    this.turn = next.catch(() => undefined);
    return next;
  }

  private impair(reason: string): void {
    if (!this.impairment) this.log('voting-ended', [['reason', reason]]);
    this.impairment ||= reason;
  }

  /**
   * The core sets under which this member votes: the one its value names, and the one its value was proposed under. A
   * round under an older set can't find a majority any more once a value proposed under the newer one was accepted.
   */
  private get sets(): CoreSet[] {
    if (!this.accepted) return [];
    const { parsed, under } = this.accepted;
    return under && under.number !== parsed.core.number ? [parsed.core, under] : [parsed.core];
  }

  private seated(): boolean {
    return this.sets.some(({ members }) => members.some(({ id }) => id === this.id));
  }

  private mayVote(step: string, set: number): Outcome<Held> {
    if (this.impairment) return failed(step, this.id, `does not vote: ${this.impairment}`);
    if (!this.accepted) return failed(step, this.id, 'does not vote: not formed');
    if (!this.seated()) return failed(step, this.id, 'does not vote: not in the core set');
    if (!this.sets.some(({ number }) => number === set)) return failed(step, this.id, `core set ${this.accepted.parsed.core.number}, not ${set}`);
    return Right(this.accepted);
  }

  private async prepare({ set, ballot }: PrepareAsk): Promise<Outcome<PrepareReply>> {
    const may = this.mayVote('member.prepare', set);
    if (may.isLeft()) return may as Outcome<never>;
    const held = may.unsafeCoerce();
    const promised = compareBallots(ballot, this.promised) > 0;
    if (promised) {
      const kept = await this.store.keepPromise(ballot);
      if (kept.isLeft()) {
        this.impair(kept.extract().reason);
        return failed('member.prepare', this.id, 'could not keep a promise', 'unknown');
      }
      this.promised = ballot;
      this.log('promised', [['ballot', ballotText(ballot)]]);
    }
    return Right({ promised, highest: this.promised, accepted: held.ballot, settled: this.settled, document: promised ? held.document : Buffer.alloc(0) });
  }

  private async accept({ set, ballot, document }: AcceptAsk): Promise<Outcome<AcceptReply>> {
    const may = this.mayVote('member.accept', set);
    if (may.isLeft()) return may as Outcome<never>;
    if (compareBallots(ballot, this.promised) < 0) return Right({ accepted: false, highest: this.promised });
    const decoded = decodeDocument(document, 'proposer');
    if (decoded.isLeft()) return decoded as Outcome<never>;
    const parsed = decoded.unsafeCoerce();
    const under = this.sets.find(({ number }) => number === set);
    const kept = await this.store.keepGeneration(parsed.generation, { ballot, document, under });
    if (kept.isLeft()) {
      this.impair(kept.extract().reason);
      return failed('member.accept', this.id, 'could not keep a generation', 'unknown');
    }
    this.promised = ballot;
    this.accepted = { ballot, document, parsed, under };
    this.log('accepted', [['generation', parsed.generation], ['ballot', ballotText(ballot)]]);
    return Right({ accepted: true, highest: ballot });
  }

  private async form(document: Uint8Array): Promise<Outcome<{ formed: boolean }>> {
    const decoded = decodeDocument(document, 'former');
    if (decoded.isLeft()) return decoded as Outcome<never>;
    const parsed = decoded.unsafeCoerce();
    if (this.impairment) return failed('member.form', this.id, this.impairment);
    if (this.accepted) return Right({ formed: false });
    if (parsed.generation !== 1 || !parsed.core.members.some(({ id }) => id === this.id)) return failed('member.form', this.id, 'not named in that core set');
    const ballot = { counter: 1, node: 'genesis', incarnation: '' };
    const kept = await this.store.keepGeneration(1, { ballot, document });
    if (kept.isLeft()) {
      this.impair(kept.extract().reason);
      return failed('member.form', this.id, 'could not keep the first generation', 'unknown');
    }
    this.accepted = { ballot, document, parsed };
    if (compareBallots(ballot, this.promised) > 0) this.promised = ballot;
    this.founder = true;
    this.log('formed', [['member', this.id], ['core', parsed.core.members.map(({ address }) => address).join(',')]]);
    return Right({ formed: true });
  }

  private async learn({ generation, ballot, digest }: SettledTell, peer: string): Promise<boolean> {
    if (generation <= this.settled) return true;
    if (!this.accepted) return false;
    if (this.accepted.parsed.generation === generation && digestOf(this.accepted.document) === digest) {
      this.settle(generation, digest, this.accepted.parsed.previous);
      return true;
    }
    this.log('settled-unheld', [['generation', generation], ['ballot', ballot.counter], ['peer', peer]]);
    return false;
  }

  private async keep(document: Document, filed: Filed): Promise<boolean> {
    const held = this.accepted;
    const newer = !held || compareBallots(filed.ballot, held.ballot) > 0;
    if (!newer) {
      const present = await this.store.readGeneration(document.generation);
      const same = present.map((there) => there !== undefined && digestOf(there.document) === digestOf(filed.document)).orDefault(false);
      if (same || document.generation >= held.parsed.generation) return true;
    }
    if (this.impairment) return false;
    const kept = await this.store.keepGeneration(document.generation, filed);
    if (kept.isLeft()) {
      this.impair(kept.extract().reason);
      return false;
    }
    if (newer) this.accepted = { ...filed, parsed: document };
    return true;
  }

  private link(generation: number, document: Uint8Array): void {
    const previous = decodeDocument(document, 'disk').map((parsed) => parsed.previous).orDefault('');
    if (generation > 1 && previous) this.chain.set(generation - 1, previous);
  }

  private settle(generation: number, digest: string, previous: string): void {
    if (generation <= this.settled) return;
    this.settled = generation;
    this.log('settled', [['generation', generation]]);
    this.chain.set(generation, digest);
    if (generation > 1) this.chain.set(generation - 1, previous);
    if (this.accepted && this.accepted.parsed.generation === generation) this.recent.set(generation, this.accepted);
    for (const old of this.recent.keys()) {
      if (this.recent.size <= FEED_DEPTH) break;
      this.recent.delete(old);
    }
    for (const wake of [...this.watchers]) wake();
  }

  private async feed(from: number, wait: number): Promise<Outcome<FeedReply>> {
    if (this.settled <= from && from > 0 && this.impairment) return failed('member.feed', this.id, `does not vote and may be behind: ${this.impairment}`);
    if (this.settled <= from) await this.beyond(from, Math.min(wait, WAIT_BOUND));
    const settled = this.settled;
    if (settled <= from) return Right({ settled, checkpoint: false, items: [] });
    const items: FeedItem[] = [];
    let bytes = 0;
    if (from > 0 && settled - from <= FEED_DEPTH) {
      for (let generation = from + 1; generation <= settled; generation++) {
        const filed = this.recent.get(generation);
        bytes += filed?.document.length ?? 0;
        if (!filed || bytes > FEED_BYTES) break;
        items.push(filed);
      }
    }
    if (items.length) return Right({ settled, checkpoint: false, items });
    const newest = this.recent.get(settled);
    if (!newest) return failed('member.feed', this.id, `generation ${settled} is not held here`);
    return Right({ settled, checkpoint: true, items: [newest] });
  }

  /** The settled generation asked for, from memory or disk, only when it belongs to the chain that settled. */
  private async history(generation: number): Promise<Outcome<{ items: FeedItem[] }>> {
    if (generation < 1 || generation > this.settled) return Right({ items: [] });
    const filed = this.recent.get(generation);
    if (filed) return Right({ items: [filed] });
    const read = await this.store.readGeneration(generation);
    return read.map((held) => ({ items: held && digestOf(held.document) === this.chain.get(generation) ? [held] : [] }));
  }
}
