/**
 * A member of the core group: it promises and accepts, and answers only after what it answers is synced. One task at
 * a time touches its state. A write that fails, or that takes longer than a stall may, ends its voting, since what is on
 * the disk is then not sure: it stays readable, and votes again once the disk has worked again and was read anew. A file
 * that is spoilt at start ends its voting for good when it may have held a vote. A settled generation it learns from a
 * peer is taken like a late accept, since a chosen value may be repeated anywhere.
 */
import { Right } from 'purify-ts';
import { within, type Clock } from '../kernel/clock/clock.js';
import { failed, type Fault, type Outcome } from '../kernel/fault/fault.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import type { Peers } from '../wire/peers.js';
import { ballotText, compareBallots, FIRST, type Ballot } from './ballot.js';
import { Chain } from './chain.js';
import {
  Accept,
  Feed,
  Form,
  History,
  Prepare,
  Settled,
  State,
  Tip,
  wholeFrame,
  type AcceptAsk,
  type AcceptReply,
  type FeedAsk,
  type FeedItem,
  type FeedReply,
  type PrepareAsk,
  type PrepareReply,
  type SettledTell,
  type StateReply,
  type VoteState,
} from './calls.js';
import { decodeDocument, digestOf, type CoreSet, type Document } from './document.js';
import type { Filed, Found, Store } from './store.js';

const STALL = 1500;
/** How many bytes beside room for a generation a disk must take before it counts as working again. */
const PROBE = 65_536;
const WAIT_BOUND = 10_000;

interface Held extends Filed {
  readonly parsed: Document;
}

export class Member {
  id = '';
  private promised: Ballot = FIRST;
  private accepted: Held | undefined;
  readonly chain: Chain;
  /** Whether this very process took part in forming the core. */
  founder = false;
  private impairment = '';
  /** The disk failed a write; what it holds must be read again before this member votes. */
  private troubled = false;
  /** What this member voted for may be lost. */
  private doubtful = false;
  private turn: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly store: Store,
    private readonly peers: Peers,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
    private readonly stall = STALL,
  ) {
    this.chain = new Chain(clock);
  }

  async start(): Promise<Outcome<void>> {
    const found = await this.load();
    if (found.isLeft()) return found as Outcome<never>;
    const { member } = found.unsafeCoerce();
    if (member) this.id = member;
    else {
      this.id = this.random.identity();
      if (this.accepted || compareBallots(this.promised, FIRST) > 0)
        this.doubt('votes on disk without an identity');
      await this.write(this.store.keepIdentity(this.id));
    }
    this.peers.handle(Prepare, (ask) => this.alone(() => this.prepare(ask)));
    this.peers.handle(Accept, (ask) => this.alone(() => this.accept(ask)));
    this.peers.handle(Settled, async (tell, peer) =>
      Right({ known: await this.learn(tell, peer) }),
    );
    this.peers.handle(State, () => Right(this.state()));
    this.peers.handle(Feed, (ask) => this.feed(ask));
    this.peers.handle(Tip, async ({ from, wait }) => {
      await this.chain.beyond(from, Math.min(wait, WAIT_BOUND));
      return Right({ settled: this.chain.settled });
    });
    this.peers.handle(Form, ({ document }) => this.alone(() => this.form(document)));
    this.peers.handle(History, ({ generation }) => this.history(generation));
    return Right(undefined);
  }

  /** Reads what the disk holds, on top of what is known here; a vote that may be lost ends the voting for good. */
  private async load(): Promise<Outcome<Found>> {
    const opened = await this.store.open();
    if (opened.isLeft()) return opened;
    const found = opened.unsafeCoerce();
    if (
      found.accepted &&
      (!this.accepted || compareBallots(found.accepted.ballot, this.accepted.ballot) >= 0)
    ) {
      const parsed = decodeDocument(found.accepted.document, 'disk');
      if (parsed.isLeft()) return parsed as Outcome<never>;
      this.accepted = { ...found.accepted, parsed: parsed.unsafeCoerce() };
    } else if (this.accepted) this.doubt('lost from the disk: what was accepted');
    if (compareBallots(found.promised, this.promised) > 0) this.promised = found.promised;
    if (this.accepted && compareBallots(this.accepted.ballot, this.promised) > 0)
      this.promised = this.accepted.ballot;
    const newest = this.accepted?.parsed.generation ?? 0;
    const doubtful = found.spoilt.filter(
      (path) => !path.startsWith('generations/') || Number(path.slice(12)) >= newest,
    );
    for (const path of found.spoilt)
      this.log('file-spoilt', [
        ['path', path],
        ['votes', !doubtful.includes(path)],
      ]);
    if (doubtful.length) this.doubt(`spoilt on disk: ${doubtful.join(' ')}`);
    return opened;
  }

  /** After the disk failed a write: once it takes and keeps one again, what it holds is read anew, and this member votes. */
  async recover(): Promise<boolean> {
    if (!this.troubled || this.doubtful) return false;
    await this.store.idle();
    const began = this.clock.now();
    const probed = await this.store.probe(2 * (this.accepted?.document.length ?? 0) + PROBE);
    if (probed.isLeft() || this.clock.now() - began > this.stall) return false;
    return this.alone(async () => {
      const before = this.promised;
      const loaded = await this.load();
      if (loaded.isLeft()) return false;
      const found = loaded.unsafeCoerce();
      if (found.member !== undefined && found.member !== this.id)
        this.doubt('lost from the disk: the identity, which is that of another member');
      if (found.member === undefined && (this.accepted || compareBallots(before, FIRST) > 0))
        this.doubt('lost from the disk: the identity');
      const onDisk = [found.promised, found.accepted?.ballot ?? FIRST];
      if (!onDisk.some((ballot) => compareBallots(ballot, before) >= 0))
        this.doubt('lost from the disk: a promise');
      if (
        this.doubtful ||
        (found.member === undefined && (await this.store.keepIdentity(this.id)).isLeft())
      )
        return false;
      this.troubled = false;
      this.impairment = '';
      const missed = this.chain.filed(this.chain.settled);
      if (missed && !(await this.keep(this.chain.document!, missed))) return false;
      this.log('voting-resumed', [['generation', this.accepted?.parsed.generation ?? 0]]);
      return true;
    });
  }

  state(): StateReply {
    const seated = this.seated();
    return {
      member: this.id,
      formed: this.accepted !== undefined,
      voting: seated && !this.impairment,
      vote: this.voteState(seated),
      sure: seated && !this.doubtful,
      reason: this.impairment || (seated ? '' : 'not in the core set'),
      accepted: this.accepted?.ballot ?? FIRST,
      generation: this.accepted?.parsed.generation ?? 0,
      settled: this.chain.settled,
      core: JSON.stringify(this.knownCore),
      whole: this.wholeDigest,
    };
  }

  private voteState(seated: boolean): VoteState {
    if (this.doubtful) return 'disqualified';
    if (this.impairment) return 'recovering';
    return seated ? 'voting' : 'non-voting';
  }

  get newest(): Document | undefined {
    return this.accepted?.parsed;
  }

  /** The newest core set that is sure to have been chosen. */
  get knownCore(): CoreSet {
    if (!this.accepted) return { number: 0, wanted: 0, members: [] };
    const { parsed, under } = this.accepted;
    const sure = parsed.generation <= this.chain.settled ? parsed.core : (under ?? parsed.core);
    const settled = this.chain.document?.core;
    return settled && settled.number > sure.number ? settled : sure;
  }

  get settledGeneration(): number {
    return this.chain.settled;
  }

  get wholeDigest(): string {
    return this.chain.wholeDigest;
  }

  /** The digest of a generation as it is on the disk now, noting its link to the one before when it is the settled one. */
  async inspect(generation: number): Promise<string | undefined> {
    const read = await this.store.readGeneration(generation);
    const filed = read.toMaybe().extract();
    if (!filed) return undefined;
    const digest = digestOf(filed.document);
    if (digest === this.chain.digest(generation) && !this.chain.isLinked(generation))
      this.link(generation, filed.document);
    return digest;
  }

  /** Puts a settled generation in place of a missing, spoilt or never chosen one. */
  mend(generation: number, item: FeedItem): Promise<boolean> {
    return this.alone(async () => {
      if (this.impairment || digestOf(item.document) !== this.chain.digest(generation))
        return false;
      if (!(await this.write(this.store.keepGeneration(generation, item)))) return false;
      this.link(generation, item.document);
      this.log('generation-mended', [['generation', generation]]);
      this.prune();
      return true;
    });
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
        if (!kept && !this.troubled) return;
        this.settle(document, item);
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

  /** What this member voted for may be lost, so it does not vote again under its identity. */
  private doubt(reason: string): void {
    this.doubtful = true;
    this.impair(reason);
  }

  /** Waits for a write as long as a stall may last; whether it is sure to be kept. */
  private async write(writing: Promise<Outcome<void>>): Promise<boolean> {
    const kept = await within(this.clock, this.stall, writing);
    if (kept?.isRight()) return true;
    this.troubled = true;
    this.impair(
      kept ? (kept.extract() as Fault).reason : `the disk did not answer within ${this.stall} ms`,
    );
    return false;
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
    if (!this.sets.some(({ number }) => number === set))
      return failed(step, this.id, `core set ${this.accepted.parsed.core.number}, not ${set}`);
    return Right(this.accepted);
  }

  private async prepare({ set, ballot }: PrepareAsk): Promise<Outcome<PrepareReply>> {
    const may = this.mayVote('member.prepare', set);
    if (may.isLeft()) return may as Outcome<never>;
    const held = may.unsafeCoerce();
    const promised = compareBallots(ballot, this.promised) > 0;
    if (promised) {
      if (!(await this.write(this.store.keepPromise(ballot))))
        return failed('member.prepare', this.id, 'could not keep a promise', 'unknown');
      this.promised = ballot;
      this.log('promised', [['ballot', ballotText(ballot)]]);
    }
    return Right({
      promised,
      highest: this.promised,
      accepted: held.ballot,
      settled: this.chain.settled,
      document: promised ? held.document : Buffer.alloc(0),
    });
  }

  private async accept({ set, ballot, document }: AcceptAsk): Promise<Outcome<AcceptReply>> {
    const may = this.mayVote('member.accept', set);
    if (may.isLeft()) return may as Outcome<never>;
    if (compareBallots(ballot, this.promised) < 0)
      return Right({ accepted: false, highest: this.promised });
    const decoded = decodeDocument(document, 'proposer');
    if (decoded.isLeft()) return decoded as Outcome<never>;
    const parsed = decoded.unsafeCoerce();
    const under = this.sets.find(({ number }) => number === set);
    if (
      !(await this.write(this.store.keepGeneration(parsed.generation, { ballot, document, under })))
    )
      return failed('member.accept', this.id, 'could not keep a generation', 'unknown');
    this.promised = ballot;
    this.accepted = { ballot, document, parsed, under };
    this.prune();
    this.log('accepted', [
      ['generation', parsed.generation],
      ['ballot', ballotText(ballot)],
    ]);
    return Right({ accepted: true, highest: ballot });
  }

  private async form(document: Uint8Array): Promise<Outcome<{ formed: boolean }>> {
    const decoded = decodeDocument(document, 'former');
    if (decoded.isLeft()) return decoded as Outcome<never>;
    const parsed = decoded.unsafeCoerce();
    if (this.impairment) return failed('member.form', this.id, this.impairment);
    if (this.accepted) return Right({ formed: false });
    if (parsed.generation !== 1 || !parsed.core.members.some(({ id }) => id === this.id))
      return failed('member.form', this.id, 'not named in that core set');
    const ballot = { counter: 1, node: 'genesis', incarnation: '' };
    if (!(await this.write(this.store.keepGeneration(1, { ballot, document }))))
      return failed('member.form', this.id, 'could not keep the first generation', 'unknown');
    this.accepted = { ballot, document, parsed };
    if (compareBallots(ballot, this.promised) > 0) this.promised = ballot;
    this.founder = true;
    this.log('formed', [
      ['member', this.id],
      ['core', parsed.core.members.map(({ address }) => address).join(',')],
    ]);
    return Right({ formed: true });
  }

  /** What was settled is noted at once when it is held here, else once what is being written now is. */
  private async learn(tell: SettledTell, peer: string): Promise<boolean> {
    if (this.held(tell)) return true;
    return this.alone(async () => {
      const held = this.held(tell);
      if (!held && this.accepted)
        this.log('settled-unheld', [
          ['generation', tell.generation],
          ['ballot', tell.ballot.counter],
          ['peer', peer],
        ]);
      return Promise.resolve(held);
    });
  }

  private held({ generation, digest }: SettledTell): boolean {
    if (generation <= this.chain.settled) return true;
    if (
      this.accepted?.parsed.generation !== generation ||
      digestOf(this.accepted.document) !== digest
    )
      return false;
    this.settle(this.accepted.parsed, this.accepted);
    return true;
  }

  private async keep(document: Document, filed: Filed): Promise<boolean> {
    const held = this.accepted;
    const newer = !held || compareBallots(filed.ballot, held.ballot) > 0;
    if (!newer) {
      const present = await this.store.readGeneration(document.generation);
      const same = present
        .map(
          (there) => there !== undefined && digestOf(there.document) === digestOf(filed.document),
        )
        .orDefault(false);
      if (same || document.generation >= held.parsed.generation) return true;
    }
    if (this.impairment) return false;
    if (!(await this.write(this.store.keepGeneration(document.generation, filed)))) return false;
    if (newer) this.accepted = { ...filed, parsed: document };
    return true;
  }

  private link(generation: number, document: Uint8Array): void {
    this.chain.link(
      generation,
      decodeDocument(document, 'disk')
        .map((parsed) => parsed.previous)
        .orDefault(''),
    );
  }

  private settle(document: Document, filed: Filed): void {
    if (!this.chain.settle(document, digestOf(filed.document), filed)) return;
    this.log('settled', [['generation', document.generation]]);
    this.prune();
  }

  /**
   * Removes revisions that need not be kept. The one before the accepted one is committed, since a revision is proposed only
   * on top of a committed one; so nothing waits for word of the commit, which may be lost on its way.
   */
  private prune(): void {
    const accepted = this.accepted?.parsed.generation ?? 0;
    const committed = Math.max(accepted - 1, Math.min(this.chain.settled, accepted));
    const floor = this.store.floor(committed);
    this.chain.raise(floor);
    this.store.prune(floor);
  }

  private async feed({ from, wait, deltas = false }: FeedAsk): Promise<Outcome<FeedReply>> {
    if (this.chain.settled <= from && from > 0 && this.impairment)
      return failed('member.feed', this.id, `does not vote and may be behind: ${this.impairment}`);
    if (this.chain.settled <= from) await this.chain.beyond(from, Math.min(wait, WAIT_BOUND));
    const settled = this.chain.settled;
    if (settled <= from) return Right({ settled, checkpoint: false, items: [] });
    const items = this.chain.following(from, deltas);
    if (items.length) return Right({ settled, checkpoint: false, items });
    const newest = this.chain.filed(settled);
    if (!newest) return failed('member.feed', this.id, `generation ${settled} is not held here`);
    return Right({ settled, checkpoint: true, items: [wholeFrame(newest)] });
  }

  /** The settled generation asked for, from memory or disk, only when it belongs to the chain that settled. */
  private async history(generation: number): Promise<Outcome<{ items: FeedItem[] }>> {
    if (generation < this.chain.floor || generation > this.chain.settled)
      return Right({ items: [] });
    const filed = this.chain.filed(generation);
    if (filed) return Right({ items: [filed] });
    const read = await this.store.readGeneration(generation);
    return read.map((held) => ({
      items: held && digestOf(held.document) === this.chain.digest(generation) ? [held] : [],
    }));
  }
}
