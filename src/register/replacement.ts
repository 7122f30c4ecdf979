/**
 * Replacing voters that are gone, one change of the voter set at a time. A core machine without a vote is a learner: it
 * announces itself to the members that it can find, follows the feed, and is promoted only once it reports the newest
 * committed revision on its disk, as asked for just before the promotion. The report names the identity of the disk, and so
 * does the vote that is given.
 *
 * "Newest" is what any of the machines knew to be committed when it answered, so that a member that is behind itself removes
 * and promotes nobody by that. Whoever is behind then has a moment to get there: while changes follow each other, any answer is
 * behind what is committed by the time that the slowest answer has come, and a dark voter leaves its question open for the
 * whole limit.
 *
 * The members watch each other. A voter that has been silent for the param's time, in whose place another disk answers, or
 * that is disqualified since its disk lost what it had voted for, is removed once a learner is ready to take over and those
 * that are left and answer at that very look vote, hold the newest committed revision, and are a majority of what is left.
 * One that says that it stops is replaced without waiting for its silence: the learner is added first. A voter that is
 * merely silent is kept while a third is gone for good, by its disk or as disqualified, which is removed first. Which change
 * is due, and which learner it takes, is decided in `voter-change.ts`, so that the voters bear the losses of machines, zones
 * and regions that they are to bear, as far as there are machines for that; what they do not bear is logged.
 *
 * One member does this, cut by rendezvous hashing over the voters that answer and vote; the next one where that does not,
 * as where it can't reach the learner. The number of the voter set fences it: of two who both think it is theirs only one
 * change can win, and a change that lost does nothing.
 */
import { Right } from 'purify-ts';
import { within, type Clock, type Moment } from '../kernel/clock/clock.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import { call } from '../wire/call.js';
import { flag, struct, text } from '../wire/field.js';
import type { Peers } from '../wire/peers.js';
import { State, Tip, type StateReply } from './calls.js';
import type { VoterSet, Voter } from './document.js';
import { NOWHERE, type Location, type Losses } from './failure-domains.js';
import { gather, majority, sound } from './gather.js';
import { VoterLiveness } from './liveness.js';
import { LossesReport } from './losses-report.js';
import type { Member } from './member.js';
import type { Proposer } from './proposer.js';
import { ChangeTurn } from './turn.js';
import { dueChange, votelessBy, type Look, type VoterChange } from './voter-change.js';
import type { VoterDirectory } from './voter-directory.js';

/** A machine that could be a voter. */
type Learner = Voter & Location;

/** A learner tells the members where it is. */
export const Announce = call<Learner, { heard: boolean }>(
  8,
  'register.announce',
  struct<Learner>({ id: text, address: text, zone: text, region: text }),
  struct({ heard: flag }),
);

/** A voter says that it stops; the reply says whether a learner is there that could take over now. */
export const Leave = call<{ id: string }, { successor: boolean }>(
  100,
  'register.leave',
  struct({ id: text }),
  struct({ successor: flag }),
);

/**
 * A voter tells the newest voter set, as JSON, to a machine that holds nothing and knows of no group: where a voter was, another
 * disk may answer, and none of the seeds that it is told need know the group, as when all of them were lost with their zone.
 */
export const Introduce = call<{ core: string }, { heard: boolean }>(
  101,
  'register.introduce',
  struct({ core: text }),
  struct({ heard: flag }),
);

const EVERY = 1000;
const ASK_LIMIT = 700;
/** The part of an ask's limit that a machine which is behind is given to get to the newest revision. */
const CATCH_UP_SHARE = 0.5;
const LEAVE_ASK_LIMIT = 300;
const LEAVE_PAUSE = 50;
const CHANGE_LIMIT = 5000;
const LEARNERS_BOUND = 16;
/** How many announcements fall into one pause between looks, and for how many pauses one counts. */
const ANNOUNCED = 2;
const FRESH = 5;
/** How many looks fall into one pause while something is amiss. */
const HURRY = 4;
/** How many turns fall into the time for which a voter must be silent to count as gone. */
const TURNS = 2;

/** Whether a machine holds a revision on its disk and knows it to be committed. */
const holds = (state: StateReply, revision: number): boolean =>
  state.revision >= revision && state.committed >= revision;

/** Whether a machine holds no revision, so that it may not know of any group. */
const isUnformed = (state: StateReply | undefined): boolean => state?.formed === false;

/** Watches the voters, and replaces those that are gone. */
export class VoterReplacement {
  private readonly learners = new Map<string, { voter: Voter; at: Moment }>();
  private readonly liveness: VoterLiveness;
  private readonly turn: ChangeTurn;
  /** Machines that left the last ask unanswered. They are asked again beside the looks, which do not wait for them. */
  private readonly unheard = new Set<string>();
  private readonly probed = new Set<string>();
  private readonly every: number;
  private looked: Moment;
  private last: Look | undefined;
  private isChangeDue = false;
  /** Where machines said that they stand, by id, for voters whose record does not tell. */
  private readonly locations = new Map<string, Location>();
  private readonly lossesReport: LossesReport;
  private stopping = false;
  private wake: () => void = () => undefined;

  constructor(
    private readonly member: Member,
    private readonly address: string,
    private readonly after: number,
    private readonly tolerated: Losses,
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly proposer: Proposer,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
  ) {
    this.every = after === 0 ? EVERY : Math.min(EVERY, Math.max(100, after));
    this.liveness = new VoterLiveness(after);
    this.turn = new ChangeTurn(after / TURNS);
    this.looked = clock.now();
    this.lossesReport = new LossesReport(tolerated, log);
  }

  /** Voters that hold the newest committed revision on disk, as this member saw at its last look. */
  get redundancy(): number {
    return this.last?.current.length ?? 0;
  }

  /** Voters in the newest committed voter set that this member knows. */
  get voters(): number {
    return this.member.knownCore.members.length;
  }

  /** Learners that could be promoted, as this member saw at its last look. */
  get readyLearners(): number {
    return this.last?.ready.length ?? 0;
  }

  /** The losses that the voters are to bear. */
  get toleratedLosses(): Losses {
    return this.tolerated;
  }

  /** The losses that the voters bear, as this member saw at its last look. */
  get bearableLosses(): Losses {
    return this.lossesReport.borne;
  }

  serve(): void {
    this.peers.handle(Introduce, ({ core }) => {
      this.voterDirectory.learn(JSON.parse(core) as VoterSet);
      return Right({ heard: true });
    });
    this.peers.handle(Announce, (voter) => {
      const isNew = !this.learners.has(voter.id);
      if (isNew && this.learners.size >= LEARNERS_BOUND)
        this.learners.delete(this.learners.keys().next().value as string);
      this.learners.set(voter.id, { voter, at: this.clock.now() });
      if (isNew || this.clock.now() - this.looked > this.every / HURRY) this.wake();
      return Right({ heard: true });
    });
    this.peers.handle(Leave, ({ id }) => {
      this.liveness.noteLeaving(id, this.clock.now());
      const successor = this.last?.ready.some((voter) => voter.id !== id) ?? false;
      if (successor) this.wake();
      return Right({ successor });
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    const ended = new Promise<void>((resolve) =>
      signal.addEventListener('abort', () => resolve(), { once: true }),
    );
    while (!signal.aborted) {
      const news = new Promise<void>((resolve) => (this.wake = resolve));
      const { vote } = this.member.state();
      const learner = vote === 'non-voting' && !this.stopping;
      if (vote === 'voting' && (await this.watch())) continue;
      if (learner) await this.announce();
      // A learner watches too, so that it knows who is silent when it becomes a voter.
      if (learner) this.last = await this.look();
      const pause = this.pause(learner) * (0.75 + 0.5 * this.random.fraction());
      await within(this.clock, pause, Promise.race([news, ended]));
    }
  }

  /** Tells the other voters that this one stops, and when a learner can take over, waits until it has or the limit comes. */
  async leave(limit: number): Promise<void> {
    this.stopping = true;
    const until = this.clock.now() + limit;
    const { members } = this.member.knownCore;
    const others = members.filter(({ id }) => id !== this.member.id);
    if (others.length === members.length) return;
    const replies = await gather(
      others.map(({ address }) => address),
      (address) => this.peers.ask(address, Leave, { id: this.member.id }, LEAVE_ASK_LIMIT),
      () => false,
    );
    if (!sound(replies).some(({ successor }) => successor)) return;
    while (this.clock.now() < until && this.member.state().vote === 'voting')
      await this.clock.sleep(LEAVE_PAUSE);
  }

  private pause(learner: boolean): number {
    if (learner) return this.every / ANNOUNCED;
    return this.isHurried() ? this.every / HURRY : this.every;
  }

  /** Whether a change of the voter set may be due soon: something is amiss, and a machine is there that could help. */
  private isHurried(): boolean {
    const { last } = this;
    if (!last || this.after === 0) return false;
    if (this.isChangeDue) return true;
    const { members, wanted } = last.set;
    const isSpared =
      members.length > wanted || this.freshLearners(last.set, this.clock.now()).length > 0;
    const isAmiss =
      members.length < wanted ||
      this.liveness.anyFailing ||
      last.unrecoverable.length > 0 ||
      last.leaving.length > 0;
    return isSpared && isAmiss;
  }

  private async announce(): Promise<void> {
    await this.proposer.learnCore();
    const contacts = this.voterDirectory.contacts.filter((contact) => contact !== this.address);
    const { limit } = this;
    await within(
      this.clock,
      limit / 2,
      Promise.all(
        contacts.map((contact) =>
          this.peers.ask(
            contact,
            Announce,
            { id: this.member.id, address: this.address, ...this.member.location },
            limit,
          ),
        ),
      ),
    );
  }

  private get limit(): number {
    return Math.min(ASK_LIMIT, this.every * 0.7);
  }

  private freshLearners({ members }: VoterSet, now: Moment): Voter[] {
    return [...this.learners.values()]
      .filter(
        ({ voter, at }) =>
          now - at < FRESH * this.every && !members.some(({ id }) => id === voter.id),
      )
      .map(({ voter }) => voter);
  }

  /** Looks at the voters, and changes the voter set where that is due here; says whether it did. */
  private async watch(): Promise<boolean> {
    const look = await this.look();
    this.last = look;
    this.lossesReport.note(look);
    if (this.after === 0) return false;
    const { set, silent, suspended, unrecoverable, leaving } = look;
    const staying = set.members.filter(
      (voter) => ![...silent, ...suspended, ...unrecoverable, ...leaving].includes(voter),
    );
    const change = dueChange(look, this.member.id, this.tolerated);
    this.isChangeDue = change !== undefined;
    if (!change) {
      this.turn.reset();
      return false;
    }
    const voteless = votelessBy(change);
    const candidates = staying.map(({ id }) => id).filter((id) => id !== voteless);
    const due = { set: set.number, candidates };
    if (!this.turn.isOf(this.member.id, due, this.clock.now())) return false;
    if (!(await this.propose(change))) return false;
    await this.finish(change, look);
    return true;
  }

  /** Removes the voter that was just replaced, without leaving that to a member that may not know of its going. */
  private async finish(change: VoterChange, { set, current }: Look): Promise<void> {
    if (change.kind !== 'addVoter' || change.replaces === undefined) return;
    const left = current.filter(({ id }) => id !== change.replaces).length + 1;
    if (left < majority(set.members.length)) return;
    await this.propose({
      kind: 'removeVoter',
      id: change.replaces,
      vacant: true,
      expects: change.expects + 1,
    });
  }

  private async look(): Promise<Look> {
    const set = this.member.knownCore;
    const { members } = set;
    const asked = this.clock.now();
    const forgiving = asked - this.looked > 3 * this.every + ASK_LIMIT;
    this.looked = asked;
    const learners = this.freshLearners(set, asked);
    const states = await this.statesOf([...members, ...learners]);
    this.noteLocations(states);
    const now = this.clock.now();
    const isPresent = (voter: Voter): boolean => states.get(voter)?.member === voter.id;
    const isUnrecoverable = (voter: Voter): boolean => {
      const state = states.get(voter);
      return state !== undefined && (!isPresent(voter) || state.vote === 'disqualified');
    };
    this.introduceTo(members.filter((voter) => isUnformed(states.get(voter))));
    const present = members.filter(isPresent);
    this.liveness.note(
      members.map(({ id }) => id),
      new Set(present.map(({ id }) => id)),
      asked,
      now,
      forgiving,
    );
    const newest = Math.max(
      this.member.committedRevision,
      ...[...states].map(([voter, state]) => (isPresent(voter) ? state!.committed : 0)),
    );
    const behind = [...members, ...learners].filter(
      (voter) => isPresent(voter) && !holds(states.get(voter)!, newest),
    );
    await Promise.all(
      behind.map(async (voter) => states.set(voter, await this.stateAt(voter, newest))),
    );
    const isAtNewest = (voter: Voter): boolean =>
      isPresent(voter) && holds(states.get(voter)!, newest);
    return {
      set,
      current: present.filter((voter) => isAtNewest(voter) && states.get(voter)!.voting),
      unrecoverable: members.filter(isUnrecoverable),
      suspended: present.filter((voter) => states.get(voter)?.voting === false),
      silent: members.filter(({ id }) => this.liveness.isSilent(id, now)),
      leaving: members.filter(({ id }) => this.liveness.isLeaving(id)),
      ready: learners.filter(
        (voter) =>
          isAtNewest(voter) &&
          states.get(voter)!.vote === 'non-voting' &&
          !this.liveness.isLeaving(voter.id),
      ),
      locationOf: (voter) => this.locationOf(voter),
    };
  }

  /** Remembers where voters and learners stand as they told, also while they are silent. */
  private noteLocations(states: ReadonlyMap<Voter, StateReply | undefined>): void {
    const known = new Set([...states.keys(), ...this.member.knownCore.members].map(({ id }) => id));
    for (const id of this.locations.keys()) if (!known.has(id)) this.locations.delete(id);
    for (const state of states.values())
      if (state) this.locations.set(state.member, { zone: state.zone, region: state.region });
  }

  private locationOf({ id, zone, region }: Voter): Location {
    if (zone !== undefined && region !== undefined) return { zone, region };
    return this.locations.get(id) ?? NOWHERE;
  }

  /** Tells machines that hold nothing of the group that is there. */
  private introduceTo(voters: readonly Voter[]): void {
    const core = JSON.stringify(this.member.knownCore);
    for (const { address } of voters) void this.peers.ask(address, Introduce, { core }, this.limit);
  }

  /** The states of all that answer in time; who left the last ask unanswered is not waited for. */
  private async statesOf(voters: readonly Voter[]): Promise<Map<Voter, StateReply | undefined>> {
    for (const id of this.unheard)
      if (!voters.some((voter) => voter.id === id)) this.unheard.delete(id);
    for (const voter of voters) if (this.unheard.has(voter.id)) void this.probe(voter);
    const awaited = voters.filter(({ id }) => !this.unheard.has(id));
    const states = await Promise.all(
      awaited.map(async (voter) => [voter, await this.stateOf(voter)] as const),
    );
    for (const [{ id }, state] of states) if (!state) this.unheard.add(id);
    return new Map(states);
  }

  /** Asks a machine without holding a look up; once it answers again, the next look asks it too. */
  private async probe(voter: Voter): Promise<void> {
    if (this.probed.has(voter.id)) return;
    this.probed.add(voter.id);
    const state = await this.stateOf(voter);
    this.probed.delete(voter.id);
    if (!state) return;
    this.unheard.delete(voter.id);
    this.wake();
  }

  /** The state of a machine once it knows a revision to be committed, or the limit has come. */
  private async stateAt(voter: Voter, revision: number): Promise<StateReply | undefined> {
    await this.awaitCommitted(voter, revision);
    return this.stateOf(voter);
  }

  /** Waits until a machine knows a revision to be committed, or until the limit. */
  private async awaitCommitted({ id, address }: Voter, revision: number): Promise<void> {
    const wait = this.limit * CATCH_UP_SHARE;
    if (id === this.member.id) return this.member.chain.beyond(revision - 1, wait);
    const ask = { from: revision - 1, wait };
    await this.peers.ask(address, Tip, ask, this.limit);
  }

  private async stateOf({ id, address }: Voter): Promise<StateReply | undefined> {
    if (id === this.member.id) return this.member.state();
    const reply = await this.peers.ask(address, State, { from: this.peers.self.name }, this.limit);
    return reply.toMaybe().extract();
  }

  private async propose(act: VoterChange): Promise<boolean> {
    const id = `succession-${this.random.identity()}`;
    const told = await this.proposer.propose(
      { id, firm: '', who: this.peers.self.name, act },
      CHANGE_LIMIT,
    );
    const done = told.map(({ kind }) => kind === 'applied').orDefault(false);
    this.log('succession', [
      ['act', act.kind],
      ['member', act.kind === 'addVoter' ? act.voter.id : act.id],
      ['done', done],
    ]);
    return done;
  }
}
