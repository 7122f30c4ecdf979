/**
 * Following the numbered feed of committed revisions: from one core member at a time, the one quickest to say that it has
 * what is needed, another when it falls silent, falls behind or does not vote, and from neighbours when none answers.
 * While one member feeds, another is asked only how far it is, and all others as soon as that one is silent; when one is
 * further than the feed for longer than a moment, the source is left. A source that has just given something is not
 * doubted, so that a change costs one question of the feed and hardly any other; nor is one whose answer is coming in,
 * however long a slow link takes for it. The first revision comes only after a
 * look at a majority of the core, or of the routers, so that a restart never slides back; what is older than what is held
 * is dropped, and what follows it must name its digest. Once something is held, what follows comes as deltas. Where what
 * is held is in force, the question for what follows reports it.
 */
import type { Clock, Moment } from '../kernel/clock/clock.js';
import { keepRunning } from '../kernel/clock/keep-running.js';
import type { Log } from '../kernel/log/log.js';
import { shuffled, type Random } from '../kernel/random/random.js';
import type { Peers } from '../wire/peers.js';
import {
  Feed,
  State,
  Tip,
  type FeedAsk,
  type FeedFrame,
  type FeedReply,
  type StateReply,
} from './calls.js';
import type { Document } from './document.js';
import { documentDigest } from './document-digest.js';
import { FeedStatus } from './feed-status.js';
import { receive, type ReceivedRevision } from './frames.js';
import { gather, sound, type Replies } from './gather.js';
import type { Proposer } from './proposer.js';
import type { Relay } from './relay.js';
import type { VoterDirectory } from './voter-directory.js';

const WAIT = 1000;
const PAUSE = 200;
const LOOK = 1500;
const SEEK_LIMIT = 700;
/** How much longer than it was told to wait a member may take before it counts as silent: a part of the wait, at most so much. */
const SLACK_PART = 0.6;
const SLACK_MOST = 300;
/** For how long a source may be behind another member. */
const GRACE = 60;
/** How many neighbours are asked at a time while no core member answers. */
const NEIGHBOURS = 3;

/** For so many ms after it gave something the source is not doubted, but for no longer on end than it is told to wait. */
const TRUST = 150;

/** Whether what a frame tells is held already, and need not be read: a delta up to it, or its very text. */
const isHeld = ({ base, digest }: FeedFrame, held: Document | undefined): boolean =>
  held !== undefined && ((base > 0 && base < held.revision) || digest === documentDigest(held));

/** Whether a document can come after the one held: the next revision must name the digest of that. */
const follows = (next: Document, held: Document | undefined): boolean =>
  !held || next.revision !== held.revision + 1 || next.previous === documentDigest(held);

export class Follower {
  /** How current this follower is. */
  readonly status: FeedStatus;
  /** What is held, from which deltas can be applied. */
  private document: Document | undefined;
  /** Whether to ask for deltas: not after one that could not be applied. */
  private takesDeltas = true;
  private floor: number | undefined;
  /** Whether a majority of the voters told the floor. */
  private isFloorSure = false;
  /** When it last began to take what came in. */
  takingSince: Moment | undefined;
  /** The newest revision that any member is known to have committed. */
  private known = 0;
  private source = '';
  /** The revision that any source must have given by now. */
  private overdue = 0;
  /** When the source last gave something. */
  private gaveAt: Moment | undefined;
  private outrun: () => void = () => undefined;
  /** Members other than the source that left the last watch unanswered. */
  private readonly unheard = new Set<string>();
  private watched = '';

  constructor(
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly proposer: Proposer,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
    private readonly take: (
      revisions: readonly ReceivedRevision[],
      committed: number,
    ) => Promise<void> | void,
    /** The address of this node where it is a core member; elsewhere what is held is in force, and is reported. */
    private readonly self = '',
    private readonly relay?: Relay,
    private readonly wait = WAIT,
    /** What this node has by another way. */
    private readonly own: () => Document | undefined = () => undefined,
    /** Below which revision this node may not begin, while no majority of the voters tells it. */
    private readonly floorWithoutMajority: () => Promise<number | undefined> = () =>
      relay?.floor() ?? Promise.resolve(undefined),
  ) {
    this.status = new FeedStatus(clock, log);
  }

  /** The revision held, 0 while there is none. */
  get held(): number {
    return this.document?.revision ?? 0;
  }

  /** Follows until the signal. A defect while something is taken must not leave this node with what it holds for good. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, log } = this;
    await Promise.all([
      keepRunning('feed.follow', (until) => this.follow(until), clock, log, signal),
      keepRunning('feed.watch', (until) => this.watch(until), clock, log, signal),
    ]);
  }

  private async follow(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const source = this.floor === undefined ? await this.begin() : await this.seek();
      if (
        this.floor !== undefined &&
        !(source && (await this.followOne(source, signal))) &&
        !signal.aborted
      ) {
        await this.askNeighbours();
        if (this.self !== '' && !this.isFloorSure && this.held === 0) this.floor = undefined;
        await this.clock.sleep(PAUSE * (0.5 + this.random.fraction()), signal);
      } else if (this.floor === undefined)
        await this.clock.sleep(PAUSE * (0.5 + this.random.fraction()), signal);
    }
  }

  /** Looks for the revision below which this node may not begin, and for a member that holds it. */
  private async begin(): Promise<string | undefined> {
    const survey = (await this.proposer.survey(LOOK)).toMaybe().extract();
    const floor = survey?.revision ?? (await this.floorWithoutMajority());
    if (floor === undefined) return undefined;
    this.floor = floor;
    this.isFloorSure = survey !== undefined;
    this.log('feed-floor', [['revision', floor]]);
    return survey?.sources.find((address) => address !== this.self) ?? this.seek();
  }

  /** The member quickest to say that it votes and holds what is needed; failing that, one that holds it. */
  private async seek(): Promise<string | undefined> {
    const least = Math.max(this.held, this.floor ?? 0);
    const needed = Math.max(least, this.known);
    const others = shuffled(
      this.random,
      this.voterDirectory.addresses.filter((address) => address !== this.self),
    );
    const fit = (all: Replies<StateReply>): string | undefined =>
      all.find(([, reply]) =>
        reply.map(({ voting, committed }) => voting && committed >= needed).orDefault(false),
      )?.[0];
    const replies = await gather(
      others,
      (address) => this.peers.ask(address, State, { from: this.peers.self.name }, SEEK_LIMIT),
      (all) => fit(all) !== undefined,
    );
    return (
      fit(replies) ??
      replies.find(([, reply]) =>
        reply.map(({ committed }) => committed >= least).orDefault(false),
      )?.[0]
    );
  }

  /** How long a member may take to answer a question that it holds open. */
  private get patience(): number {
    return this.wait + Math.min(SLACK_MOST, this.wait * SLACK_PART);
  }

  /**
   * Asks other members than the source how far they are, again and again: one after the other in turn, and all at once
   * as soon as one is silent. So a source that is behind is found out within the patience with one member, however many
   * are dark; docs/control-plane.md has the bound.
   */
  private async watch(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.trustSource(signal);
      const others = this.voterDirectory.addresses.filter(
        (address) => address !== this.self && address !== this.source,
      );
      const next = this.nextWatched(others);
      const heard =
        this.source !== '' &&
        ((next !== undefined && (await this.watchThese([next]))) ||
          (await this.watchThese(others)));
      if (!heard) await this.clock.sleep(PAUSE * (0.5 + this.random.fraction()), signal);
    }
  }

  /** Waits until the source has given nothing for a moment, and no longer than for one question. */
  private async trustSource(signal: AbortSignal): Promise<void> {
    const limit = this.clock.now() + this.wait;
    while (!signal.aborted && this.gaveAt !== undefined) {
      const now = this.clock.now();
      const until = Math.min(limit, this.gaveAt + TRUST);
      if (until <= now) return;
      await this.clock.sleep(until - now, signal);
    }
  }

  /** The member that follows the one watched last, among those that are not known to be silent. */
  private nextWatched(others: readonly string[]): string | undefined {
    const candidates = others.filter((address) => !this.unheard.has(address)).sort();
    this.watched = candidates.find((address) => address > this.watched) ?? candidates[0] ?? '';
    return this.watched || undefined;
  }

  /** Waits until one of some members has something newer, or has nothing yet; says whether any answered. */
  private async watchThese(addresses: readonly string[]): Promise<boolean> {
    const from = Math.max(this.held, this.known);
    const replies = await gather(
      addresses,
      async (address) => {
        const reply = await this.peers.ask(address, Tip, { from, wait: this.wait }, this.patience);
        if (reply.isRight()) this.unheard.delete(address);
        else this.unheard.add(address);
        reply.ifRight(({ committed }) => this.noteCommitted(committed));
        return reply;
      },
      (all) => sound(all).length > 0,
    );
    return sound(replies).length > 0;
  }

  /** Another member has committed a revision: the source has a moment to give it too. */
  private noteCommitted(committed: number): void {
    if (committed <= Math.max(this.held, this.known)) return;
    this.known = committed;
    this.noteStatus();
    void this.clock.sleep(GRACE).then(() => {
      this.overdue = Math.max(this.overdue, committed);
      // What is on its way is not begun anew elsewhere: it would come in later.
      if (this.isOverdue && !this.peers.isReceiving(this.source)) this.outrun();
    });
  }

  private get isOverdue(): boolean {
    return Math.max(this.held, this.own()?.revision ?? 0) < this.overdue;
  }

  /** Without the core, takes what some neighbours have. */
  private async askNeighbours(): Promise<void> {
    const some = shuffled(this.random, this.relay?.sources ?? []).slice(0, NEIGHBOURS);
    const replies = await gather(
      some,
      (address) => this.peers.ask(address, Feed, this.question(0), SEEK_LIMIT, 'silence'),
      (all) => sound(all).some(({ items }) => items.length > 0),
    );
    for (const [address, reply] of replies)
      if (reply.isRight()) await this.consume(address, reply.extract() as FeedReply);
  }

  /** Follows one source until it has nothing to give; says whether another should be sought without a pause. */
  private async followOne(source: string, signal: AbortSignal): Promise<boolean> {
    this.source = source;
    for (let answered = false; ; answered = true) {
      if (signal.aborted) return answered;
      this.holdOwn();
      const left = new Promise<undefined>((resolve) => {
        this.outrun = (): void => resolve(undefined);
      });
      const behind = this.isOverdue;
      const askedAt = this.clock.now();
      const before = this.peers.received(source);
      const reply = await Promise.race([
        this.peers.ask(
          source,
          Feed,
          this.question(behind ? 0 : this.wait),
          this.patience,
          'silence',
        ),
        left,
      ]);
      if (!reply) {
        this.log('feed-left', [
          ['peer', source],
          ['revision', this.known],
        ]);
        return true;
      }
      if (reply.isLeft()) {
        this.status.noteFailure(reply.extract(), this.peers.received(source) - before);
        return answered;
      }
      if (!(await this.consume(source, reply.extract() as FeedReply))) return answered;
      if (!this.isOverdue) this.status.confirm(askedAt);
      if (behind && this.isOverdue) return false;
    }
  }

  /** Asks for what follows the revision held, and tells that this one is in force where it is. */
  private question(wait: number): FeedAsk {
    return {
      from: this.held,
      wait,
      deltas: this.document !== undefined && this.takesDeltas,
      node: this.self === '' ? this.peers.self.name : undefined,
    };
  }

  /** Goes on from what this node has by another way, so that it is sent only what changed since. */
  private holdOwn(): void {
    const own = this.own();
    if (own && own.revision > this.held) this.document = own;
  }

  /** Takes what follows the revision held; says whether the source is worth asking again. */
  private async consume(source: string, reply: FeedReply): Promise<boolean> {
    if (reply.committed < Math.max(this.held, this.floor ?? 0)) return false;
    if (source === this.source && reply.items.length > 0) this.gaveAt = this.clock.now();
    this.holdOwn();
    this.takingSince = this.clock.now();
    const revisions = this.read(source, reply);
    if (!revisions) return false;
    const newest = revisions.at(-1)?.document;
    if (!newest) return true;
    for (const { document } of revisions) {
      this.voterDirectory.learn(document.core);
      this.log('fed', [
        ['revision', document.revision],
        ['peer', source],
      ]);
    }
    await this.take(revisions, reply.committed);
    this.document = newest;
    this.takesDeltas = true;
    this.noteStatus();
    return true;
  }

  private noteStatus(): void {
    this.status.note(this.held, Math.max(this.held, this.known));
  }

  /** The revisions of a reply that follow the one held, or nothing where one can't be read or does not follow. */
  private read(source: string, { items }: FeedReply): ReceivedRevision[] | undefined {
    const revisions: ReceivedRevision[] = [];
    let held = this.document;
    for (const frame of items) {
      if (isHeld(frame, held)) continue;
      const received = receive(frame, held, source).toMaybe().extract();
      if (!received) {
        this.takesDeltas = false;
        return undefined;
      }
      const next = received.document;
      if (next.revision <= (held?.revision ?? 0) || next.fleet !== this.peers.self.fleet) continue;
      if (!follows(next, held)) {
        this.log('feed-declined', [
          ['peer', source],
          ['revision', next.revision],
          ['reason', 'does not follow the one held'],
        ]);
        return undefined;
      }
      revisions.push(received);
      held = next;
    }
    return revisions;
  }
}
