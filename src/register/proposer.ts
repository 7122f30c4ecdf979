/**
 * Changing the register: prepare and accept at a majority of the core, no log, no leader. Changes that wait while a
 * round runs are combined into the next one. A value read from the majority is built upon only once it is committed:
 * known so to a member, or accepted in one same ballot by a majority; otherwise it is first accepted again as it is.
 * So the committed revisions form one chain, and a change that is missing from a committed value read after its last
 * accept can never come to be. "Lost" and "declined" are said only then; after an accept without a majority's word,
 * the change stays unsure until a later round commits it, and is "unknown" when its limit comes first.
 *
 * A ballot that others overtook while this node was idle or backed off is no sign of a rival: it is raised and asked
 * for again within the same round, at once where no other round is open. Otherwise a node with a long back-off would
 * come with an outdated ballot each time, and fall behind changes that are seconds apart. For the same reason the
 * back-off from rivals is counted apart from that while the core does not answer.
 */
import { Right } from 'purify-ts';
import { later, type Clock, type Duration, type Moment } from '../kernel/clock/clock.js';
import { failed, type Fault, type Outcome } from '../kernel/fault/fault.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import type { Peers } from '../wire/peers.js';
import { ballotText, compareBallots, type Ballot } from './ballot.js';
import {
  Accept,
  Prepare,
  Committed,
  State,
  type AcceptAsk,
  type AcceptReply,
  type PrepareReply,
  type StateReply,
} from './calls.js';
import { applyChanges, type Verdict } from './change.js';
import {
  encodeDocument,
  voterSetDigest,
  type Change,
  type VoterSet,
  type Document,
} from './document.js';
import { documentDigest } from './document-digest.js';
import { QuorumContact, type Patience } from './contact.js';
import { gather, majority, sound, type Replies } from './gather.js';
import type { VoterDirectory } from './voter-directory.js';
import { deltaBetween } from './revision.js';
import { roundValue } from './round-value.js';
import { decided, isOutdated, promisesOf } from './votes.js';

const ASK_LIMIT = 1000;
const BATCH = 256;
const WAITING_BOUND = 4096;
/** For how many ms a proposer holds the revision it used last. */
const KNOWN_FOR = 10_000;
/** The shortest sleep in ms that is sure to take the clock further, whatever its readings are rounded to. */
const SHORTEST_SLEEP = 1;
/** How often a survey begins again because it learned of a newer core set. */
const SURVEY_PASSES = 4;

interface Waiting {
  readonly change: Change;
  readonly over: AbortController;
  unsure: boolean;
  tell(outcome: Outcome<Verdict>): void;
}

interface Read {
  readonly document: Document;
  readonly ballot: Ballot;
  readonly core: VoterSet;
  readonly committed: boolean;
}

interface Promises {
  readonly ballot: Ballot;
  readonly replies: Replies<PrepareReply>;
  /** The document that members need not send, where one is held. */
  readonly known: Document | undefined;
}

export interface Survey {
  readonly revision: number;
  readonly sources: readonly string[];
}

/** Pauses between looks while none of a majority knows its newest revision to be committed, and how long this is waited for. */
const DECIDING_PAUSE = 25;
const DECIDING_LIMIT = 100;

/** What a majority's states amount to; undefined while none of them knows the newest one to be committed. */
const surveyOf = (states: ReadonlyMap<string, StateReply>, quorum: number): Survey | undefined => {
  const revision = Math.max(0, ...[...states.values()].map((state) => state.revision));
  const sources = [...states]
    .filter(([, { committed }]) => committed >= revision)
    .map(([address]) => address);
  return states.size >= quorum && sources.length > 0 ? { revision, sources } : undefined;
};

export class Proposer {
  private readonly waiting: Waiting[] = [];
  private counter = 0;
  private busy = false;
  /** The revision last read or proposed here, by which little is to be sent while changes follow each other. */
  private known: Document | undefined;
  /** Until when it is held. */
  private knownUntil: Moment | undefined;
  /** The newest revision that a majority of the voters is known to hold. */
  heldByMajority = 0;
  /** What this node has by another way, as a core member does. */
  private own: () => Document | undefined = () => undefined;
  readonly contact: QuorumContact;

  constructor(
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
  ) {
    this.contact = new QuorumContact(peers, voterDirectory, clock);
  }

  /** Lets rounds start from what this node has by another way, so that the members need not send it. */
  startFrom(own: () => Document | undefined): void {
    this.own = own;
  }

  /** Proposes a change and waits for its verdict, certain or "unknown", until the limit. */
  propose(change: Change, duration: number): Promise<Outcome<Verdict>> {
    return this.proposeWithin(change, { whole: duration, outOfContact: duration });
  }

  /** Proposes a change for as long as patience lasts; one that is given up before its first accept is never proposed. */
  proposeWithin(change: Change, patience: Patience): Promise<Outcome<Verdict>> {
    if (this.waiting.length >= WAITING_BOUND)
      return Promise.resolve(failed('register.line', 'self', 'too many changes wait here'));
    return new Promise((tell) => {
      const item = { change, over: new AbortController(), unsure: false, tell };
      this.waiting.push(item);
      void this.expire(item, patience);
      if (!this.busy) void this.work();
    });
  }

  /** Reads the newest committed value through a majority, committing what is undecided. */
  async read(duration: number): Promise<Outcome<Document>> {
    const limit = this.clock.now() + duration;
    for (let tries = 0; ; tries++) {
      const done = await this.readOnce();
      if (done.isRight() || this.clock.now() >= limit) return done;
      await this.backOff(tries);
    }
  }

  /** The newest committed value, without a new ballot where a majority already agrees. */
  async look(duration: number): Promise<Outcome<number>> {
    return (await this.survey(duration)).map(({ revision }) => revision);
  }

  /** The newest committed revision, and the members that were quickest to say that they hold it. */
  async survey(duration: number): Promise<Outcome<Survey>> {
    const limit = this.clock.now() + duration;
    const survey = await this.lookForCommitted(Math.min(duration, DECIDING_LIMIT));
    if (survey) return Right(survey);
    const left = limit - this.clock.now();
    if (left <= 0)
      return failed('register.survey', 'core', `no majority told its state within ${duration} ms`);
    return (await this.read(left)).map(({ revision }) => ({ revision, sources: [] }));
  }

  /**
   * Asks a majority for its newest revision. Amid changes that is often one whose commit is on its way, so it is asked again
   * for a moment; a ballot would have every voter send the whole value.
   */
  private async lookForCommitted(duration: Duration): Promise<Survey | undefined> {
    const end = later(this.clock.now(), duration);
    await this.learnCore();
    for (let newerSets = 0; newerSets < SURVEY_PASSES;) {
      const { number, members } = this.voterDirectory.core;
      const states = await this.askStates(members);
      for (const { core } of states.values())
        this.voterDirectory.learn(JSON.parse(core) as VoterSet);
      if (this.voterDirectory.core.number !== number) {
        newerSets += 1;
        continue;
      }
      const quorum = majority(members.length);
      const survey = surveyOf(states, quorum);
      if (number > 0 && survey) return survey;
      if (states.size < quorum || this.clock.now() >= end) return undefined;
      await this.clock.sleep(DECIDING_PAUSE);
    }
    return undefined;
  }

  /** The states of the members that surely tell all they ever voted for, by address, until a majority has told. */
  private async askStates(members: VoterSet['members']): Promise<ReadonlyMap<string, StateReply>> {
    const sureOf = (all: Replies<StateReply>): ReadonlyMap<string, StateReply> =>
      new Map(
        all.flatMap(([address, reply]) => {
          const state = reply.toMaybe().extract();
          return state?.sure &&
            members.some((voter) => voter.id === state.member && voter.address === address)
            ? [[address, state] as const]
            : [];
        }),
      );
    return sureOf(
      await gather(
        members.map(({ address }) => address),
        (address) => this.peers.ask(address, State, { from: this.peers.self.name }, ASK_LIMIT),
        (all) => sureOf(all).size >= majority(members.length),
      ),
    );
  }

  private async work(): Promise<void> {
    this.busy = true;
    let tries = 0;
    let outbid = false;
    while (this.waiting.length > 0) {
      const batch = this.waiting.slice(0, BATCH);
      const done = await this.round(batch);
      const before = outbid;
      outbid = done.isLeft() && (done.extract() as Fault).kind === 'outbid';
      tries = done.isLeft() && outbid === before ? tries + 1 : 0;
      if (done.isLeft()) await this.backOff(tries);
    }
    this.busy = false;
  }

  /** Gives a change up once patience has ended; before its first accept it certainly won't come to be by this node. */
  private async expire(item: Waiting, patience: Patience): Promise<void> {
    await this.contact.outlast(patience, item.over.signal);
    const reason = this.contact.holds
      ? 'the limit came before a majority of the core committed it'
      : `no contact with a majority of the core: ${this.contact.silentVoters.join(' ')}`;
    this.finish(
      item,
      failed('register.commit', 'core', reason, item.unsure ? 'unknown' : 'declined'),
    );
  }

  private finish(item: Waiting, outcome: Outcome<Verdict>): void {
    const at = this.waiting.indexOf(item);
    if (at < 0) return;
    this.waiting.splice(at, 1);
    item.over.abort('over');
    item.tell(outcome);
  }

  private async round(taken: readonly Waiting[]): Promise<Outcome<void>> {
    const read = await this.readCommitted();
    if (read.isLeft()) {
      this.log('round-failed', [
        ['kind', (read.extract() as Fault).kind],
        ['step', read.extract().step],
        ['peer', read.extract().peer],
        ['reason', read.extract().reason],
      ]);
      return read as Outcome<never>;
    }
    const { ballot, core, document } = read.unsafeCoerce();
    const batch = taken.filter((item) => this.waiting.includes(item));
    const { document: next, verdicts } = applyChanges(
      document,
      batch.map(({ change }) => change),
    );
    const certain = batch.filter(({ change }) => {
      const verdict = verdicts.get(change.id);
      return verdict && (verdict.kind !== 'applied' || verdict.revision <= document.revision);
    });
    if (next === document) {
      for (const item of certain) this.finish(item, Right(verdicts.get(item.change.id)!));
      return Right(undefined);
    }
    const proposed = batch.filter((item) => !certain.includes(item));
    for (const item of proposed) item.unsure = true;
    this.log('proposed', [
      ['revision', next.revision],
      ['ballot', ballotText(ballot)],
      ['changes', next.cause.map(({ id }) => id).join(',')],
    ]);
    const accepted = await this.accept(core, ballot, next, document);
    if (accepted.isLeft()) {
      this.log('round-unsure', [
        ['revision', next.revision],
        ['changes', proposed.length],
        ['reason', accepted.extract().reason],
      ]);
      return accepted;
    }
    for (const item of batch) this.finish(item, Right(verdicts.get(item.change.id)!));
    return Right(undefined);
  }

  private async readOnce(): Promise<Outcome<Document>> {
    return (await this.readCommitted()).map(({ document }) => document);
  }

  /** Prepares, and when the value found is not sure to be committed, commits it and prepares again. */
  private async readCommitted(): Promise<Outcome<Read>> {
    for (let pass = 0; ; pass++) {
      const read = await this.prepare();
      if (read.isLeft()) return read;
      const found = read.unsafeCoerce();
      if (found.committed && found.document.core.number <= found.core.number) return read;
      if (found.committed) {
        this.voterDirectory.learn(found.document.core);
        continue;
      }
      if (pass >= 3)
        return failed('register.prepare', 'core', 'others keep changing it', 'declined', 'outbid');
      const again = await this.accept(found.core, found.ballot, found.document);
      if (again.isLeft()) return again as Outcome<Read>;
    }
  }

  private async prepare(): Promise<Outcome<Read>> {
    await this.learnCore();
    const core = this.voterDirectory.core;
    const quorum = majority(core.members.length);
    if (core.number === 0) return failed('register.prepare', 'core', 'no core set is known yet');
    let { ballot, replies, known } = await this.seekPromises(core);
    const outdated =
      promisesOf(replies).length < quorum
        ? sound(replies).filter((reply) => isOutdated(reply, ballot))
        : [];
    if (outdated.length > 0) {
      const contested = outdated.some(
        ({ highest, accepted }) => compareBallots(highest, accepted) > 0,
      );
      if (contested) await this.backOff(0);
      ({ ballot, replies, known } = await this.seekPromises(core));
    }
    const promises = promisesOf(replies);
    if (promises.length < quorum) {
      if (replies.some(([, reply]) => reply.isLeft())) await this.refreshCore();
      const reasons = replies
        .map(([address, reply]) => (reply.isLeft() ? `${address}: ${reply.extract().reason}` : ''))
        .filter(Boolean);
      return failed(
        'register.prepare',
        'core',
        `${promises.length} of ${quorum} promises${reasons.length ? ` (${reasons.join('; ')})` : ''}`,
        'declined',
        sound(replies).some(({ promised }) => !promised) ? 'outbid' : 'failed',
      );
    }
    return roundValue(promises, quorum, known).map(({ reply, document, isCommitted }) => {
      this.hold(document);
      if (isCommitted) this.heldByMajority = Math.max(this.heldByMajority, document.revision);
      if (isCommitted && promises.some(({ committed }) => committed < document.revision))
        this.announce(core, reply.accepted, document);
      return { ballot, core, committed: isCommitted, document };
    });
  }

  /** Holds a revision until no other was read or proposed for a while. */
  private hold(document: Document): void {
    const isForgetting = this.knownUntil !== undefined;
    this.known = document;
    this.knownUntil = later(this.clock.now(), KNOWN_FOR);
    if (!isForgetting) void this.forget();
  }

  /** Forgets the revision held once its time is over, which may be put off meanwhile. */
  private async forget(): Promise<void> {
    while (this.knownUntil !== undefined && this.knownUntil > this.clock.now())
      await this.clock.sleep(Math.max(SHORTEST_SLEEP, this.knownUntil - this.clock.now()));
    this.known = undefined;
    this.knownUntil = undefined;
  }

  /** The newest document that is held here. */
  private get newestKnown(): Document | undefined {
    const own = this.own();
    return own && own.revision > (this.known?.revision ?? 0) ? own : this.known;
  }

  /** Asks the members of a core set to promise a ballot above all that is known here, and learns the highest they know. */
  private async seekPromises(core: VoterSet): Promise<Promises> {
    const known = this.newestKnown;
    const ballot: Ballot = {
      counter: ++this.counter,
      node: this.peers.self.name,
      incarnation: this.peers.self.incarnation,
    };
    const ask = {
      set: core.number,
      voters: voterSetDigest(core),
      ballot,
      known: known ? documentDigest(known) : '',
    };
    const replies = await gather(
      core.members.map(({ address }) => address),
      (address) => this.peers.ask(address, Prepare, ask, ASK_LIMIT, 'silence'),
      (all) =>
        decided(
          all.map(([, reply]) => reply.map(({ promised }) => promised).orDefault(false)),
          core.members.length,
        ),
    );
    for (const { highest } of sound(replies))
      this.counter = Math.max(this.counter, highest.counter);
    return { ballot, replies, known };
  }

  /** Asks the members to accept a document; where it was made from a base, as what changed from that. */
  private async accept(
    core: VoterSet,
    ballot: Ballot,
    document: Document,
    base?: Document,
  ): Promise<Outcome<void>> {
    const quorum = majority(core.members.length);
    const addresses = core.members.map(({ address }) => address);
    this.hold(document);
    const digest = documentDigest(document);
    const round = { set: core.number, voters: voterSetDigest(core), ballot, digest };
    const whole = (): AcceptAsk => ({ ...round, document: encodeDocument(document), base: '' });
    const delta = base && deltaBetween(base, document);
    const byDelta = delta && { ...round, document: delta, base: documentDigest(base) };
    const replies = await gather(
      addresses,
      (address) => this.askToAccept(address, byDelta, whole),
      (all) =>
        decided(
          all.map(([, reply]) => reply.map(({ accepted }) => accepted).orDefault(false)),
          core.members.length,
        ),
    );
    for (const { highest } of sound(replies))
      this.counter = Math.max(this.counter, highest.counter);
    const votes = sound(replies).filter(({ accepted }) => accepted).length;
    if (votes < quorum)
      return failed(
        'register.accept',
        'core',
        `${votes} of ${quorum} votes`,
        'unknown',
        sound(replies).some(({ accepted }) => !accepted) ? 'outbid' : 'failed',
      );
    this.heldByMajority = Math.max(this.heldByMajority, document.revision);
    this.announce(core, ballot, document);
    this.voterDirectory.learn(document.core);
    return Right(undefined);
  }

  /** Asks by what changed first; a member that does not hold the base of that is asked by the whole. */
  private async askToAccept(
    address: string,
    byDelta: AcceptAsk | undefined,
    whole: () => AcceptAsk,
  ): Promise<Outcome<AcceptReply>> {
    if (!byDelta) return this.peers.ask(address, Accept, whole(), ASK_LIMIT);
    const reply = await this.peers.ask(address, Accept, byDelta, ASK_LIMIT);
    const lacksBase = reply.map((told) => told.lacksBase).orDefault(false);
    return lacksBase ? this.peers.ask(address, Accept, whole(), ASK_LIMIT) : reply;
  }

  private announce(core: VoterSet, ballot: Ballot, document: Document): void {
    const digest = documentDigest(document);
    const addresses = new Set(
      [...core.members, ...document.core.members].map(({ address }) => address),
    );
    for (const address of addresses)
      void this.peers.ask(
        address,
        Committed,
        { revision: document.revision, ballot, digest },
        ASK_LIMIT,
      );
  }

  /** Finds the core set from the contacts while none is known. */
  async learnCore(): Promise<void> {
    if (this.voterDirectory.core.number === 0) await this.refreshCore();
  }

  /** Asks the contacts for a newer core set, until one tells it or a majority of the one known knows no other. */
  private async refreshCore(): Promise<void> {
    const { number, members } = this.voterDirectory.core;
    const enough = (told: readonly StateReply[]): boolean =>
      told.some(({ core }) => (JSON.parse(core) as VoterSet).number > number) ||
      (number > 0 && told.length >= majority(members.length));
    const replies = await gather(
      this.voterDirectory.contacts,
      (address) => this.peers.ask(address, State, { from: this.peers.self.name }, ASK_LIMIT),
      (all) => enough(sound(all)),
    );
    for (const { core } of sound(replies)) this.voterDirectory.learn(JSON.parse(core) as VoterSet);
  }

  private backOff(tries: number): Promise<void> {
    const most = Math.min(800, 20 * 2 ** Math.min(tries, 6));
    return this.clock.sleep(most * (0.25 + 0.75 * this.random.fraction()));
  }
}
