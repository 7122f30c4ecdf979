/**
 * Forming the group, once: the core machines agree on the first revision, which names the first voters. The agreement is a
 * single decree of Paxos among the seeds of the first start. A seed's acceptor is trusted from its first start on, because
 * its disk was marked before it answered anything; a majority of such acceptors decides, so one that is dark holds nothing
 * up. A seed without the mark (killed before it was written, or with a lost disk) has no vote in such rounds.
 *
 * When too few seeds are marked, as after all were killed at once, a unanimous round takes the mark's place: every seed must
 * answer, hold no revision, and promise. Such a promise counts for that round alone until a value is accepted in it. Since
 * all seeds promised, each value that could have been chosen before is seen, and none can be chosen below that ballot any
 * more, whatever votes were lost with a disk.
 *
 * A proposer takes its own promise first in a majority round, so a ballot that is under way is always known to a disk that
 * lives as long as its proposer. Votes are asked of an identity, never of an address alone.
 */
import { Right } from 'purify-ts';
import type { Clock } from '../../kernel/clock/clock.js';
import { failed, type Fault, type Outcome } from '../../kernel/fault/fault.js';
import type { Log } from '../../kernel/log/log.js';
import type { Random } from '../../kernel/random/random.js';
import type { Peers } from '../../wire/peers.js';
import { ballotText, compareBallots, type Ballot } from '../ballot.js';
import { Form } from '../calls.js';
import { decodeDocument, encodeDocument, genesis } from '../document.js';
import {
  domainsBeyond,
  NO_LOSSES,
  shortfall,
  spanOf,
  type Layout,
  type Losses,
} from '../failure-domains.js';
import { gather, majority, sound } from '../gather.js';
import type { Member } from '../member.js';
import type { Proposer } from '../proposer.js';
import type { VoterDirectory } from '../voter-directory.js';
import type { BootstrapAcceptor } from './acceptor.js';
import {
  BootstrapAccept,
  BootstrapBegin,
  BootstrapPrepare,
  BootstrapStatus,
  type BeginAsk,
  type BootstrapPrepareReply,
  type StatusReply,
} from './calls.js';
import {
  firstVoters,
  inOrder,
  planFor,
  type Evidence,
  type Plan,
  type Survey,
} from './evidence.js';

const ASK_LIMIT = 1000;
/** How long an attempt waits for machines that have not answered yet, once a majority could decide. */
const PATIENCE = 800;
/** By how much later each further seed begins to propose. */
const TURN = 400;
const PAUSE = 100;
/** How long the first round of the group formed may take. */
const COMMIT_LIMIT = 2000;
/** How many other core machines are remembered from their asking. */
const HEARD_BOUND = 16;

type Round = Extract<Plan, { kind: 'majority' | 'unanimous' }>;

/** How many voters there should be, and what they are to bear. */
interface VotersAsked {
  readonly wanted: number;
  readonly tolerated: Losses;
}

/** So many machines prove that there is no group, wherever they stand. */
const evidenceOf = (machines: number): Evidence => ({ machines, zones: 1, regions: 1 });

interface Promised {
  readonly address: string;
  readonly reply: BootstrapPrepareReply;
}

export interface BootstrapOptions {
  readonly address: string;
  readonly seeds: readonly string[];
  /** How many voters there should be; 0 for as many as there are seeds. */
  readonly wanted: number;
  /** The losses that the voters are to bear. */
  readonly tolerated: Losses;
  /** The region of each zone of the deployment, as far as that is told. */
  readonly layout: Layout;
  /** Whether the seeds are sure to be the same on all machines until the group is formed. */
  readonly fixedSeeds: boolean;
  /** Whether this is the first start of the whole system, so that an empty disk is a new one. */
  readonly firstStart: boolean;
}

export class Bootstrap {
  private counter = 0;
  private readonly heard = new Set<string>();

  constructor(
    private readonly options: BootstrapOptions,
    private readonly acceptor: BootstrapAcceptor,
    private readonly member: Member,
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly proposer: Proposer,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
  ) {}

  /** Reads the acceptor's state and marks a new disk on the first start; to be called before anything is answered. */
  async open(): Promise<Outcome<void>> {
    const loaded = await this.acceptor.load();
    const { firstStart, seeds, address } = this.options;
    if (loaded.isLeft() || !firstStart || !seeds.includes(address)) return loaded;
    const marked = await this.acceptor.markFirstStart(inOrder(seeds));
    marked.ifLeft(({ reason }) => this.log('bootstrap-unmarked', [['reason', reason]]));
    return Right(undefined);
  }

  serve(): void {
    this.peers.handle(BootstrapStatus, ({ address }) => {
      if (this.heard.size < HEARD_BOUND) this.heard.add(address);
      return Right(this.status());
    });
    this.peers.handle(BootstrapPrepare, (ask) => this.acceptor.prepare(ask));
    this.peers.handle(BootstrapAccept, (ask) => this.acceptor.accept(ask));
    this.peers.handle(BootstrapBegin, async (ask) =>
      (await this.begin(ask)).map(() => ({ begun: true })),
    );
  }

  /** Forms the group as soon as that is safe, unless there is one. */
  async run(signal: AbortSignal): Promise<void> {
    const began = this.clock.now();
    const { seeds, address, tolerated } = this.options;
    const { wanted } = this;
    const evidence = this.evidence();
    const rank = inOrder(seeds).indexOf(address);
    let waited = '';
    while (!signal.aborted && !this.over) {
      if (this.member.newest) await this.install(encodeDocument(this.member.newest));
      if (this.member.newest) {
        await this.pause(signal);
        continue;
      }
      const survey = await this.survey();
      const plan = planFor(address, seeds, evidence, survey);
      const age = this.clock.now() - began;
      const due = age >= Math.max(0, rank) * TURN && (age >= PATIENCE || this.complete(survey));
      if (plan.kind === 'formed') this.voterDirectory.learn(plan.core);
      else if (plan.kind === 'wait') {
        if (plan.reason !== waited) this.log('bootstrap-waits', [['reason', plan.reason]]);
        waited = plan.reason;
      } else if (due) {
        const formed = await this.attempt(plan, survey, { wanted, tolerated });
        formed.ifLeft(({ reason }) => this.log('bootstrap-failed', [['reason', reason]]));
      }
      if (!this.over) await this.pause(signal);
    }
  }

  /** How many voters there should be. */
  private get wanted(): number {
    return Math.max(this.options.wanted, this.options.seeds.length);
  }

  /** What proves that there is no group: at the first start the seeds alone, since they are the same on all machines then. */
  private evidence(): Evidence {
    const { seeds, fixedSeeds, tolerated, layout } = this.options;
    if (fixedSeeds) return evidenceOf(seeds.length);
    const span = spanOf(layout);
    return {
      machines: this.wanted,
      zones: domainsBeyond(tolerated.zones, span.zones),
      regions: domainsBeyond(tolerated.regions, span.regions),
    };
  }

  private pause(signal: AbortSignal): Promise<void> {
    return this.clock.sleep(PAUSE * (0.5 + this.random.fraction()), signal);
  }

  /** Forms the group of just these machines by an operator's order; all must answer. */
  private async begin({ seeds, wanted }: BeginAsk): Promise<Outcome<void>> {
    const ordered = inOrder(seeds);
    const survey = await this.ask(ordered);
    const silent = ordered.filter((seed) => !survey.answers.has(seed));
    if (silent.length > 0)
      return failed(
        'bootstrap.begin',
        silent.join(' '),
        'all members must answer to form the core',
      );
    const plan = planFor(this.options.address, ordered, evidenceOf(ordered.length), survey);
    if (plan.kind === 'formed')
      return failed('bootstrap.begin', plan.by, 'is already part of a formed core');
    if (plan.kind === 'wait') return failed('bootstrap.begin', 'core', plan.reason);
    if (plan.seeds.join() !== ordered.join())
      return failed('bootstrap.begin', 'core', 'a group of other members was begun there');
    // The voters are those that the operator named.
    const voters = Math.max(wanted, ordered.length);
    return this.attempt(plan, survey, { wanted: voters, tolerated: NO_LOSSES });
  }

  /** A group exists, and if this member is among the first voters, its first revision is known to be committed. */
  private get over(): boolean {
    const { newest, committedRevision } = this.member;
    return newest
      ? newest.revision > 1 || committedRevision > 0
      : this.voterDirectory.core.number > 0;
  }

  /** Whether nothing is gained by waiting for further machines. */
  private complete(survey: Survey): boolean {
    const { answers } = survey;
    const { seeds, tolerated } = this.options;
    const { wanted } = this;
    if (answers.size < wanted) return false;
    if (!seeds.every((seed) => answers.has(seed))) return false;
    return shortfall(firstVoters(seeds, wanted, tolerated, survey), tolerated) === 0;
  }

  private status(): StatusReply {
    const { id, formed, healthy } = viewOf(this.member);
    const { role, seeds, promised } = this.acceptor;
    return {
      member: id,
      formed,
      healthy,
      role,
      seeds: role === 'none' ? [...this.options.seeds] : [...seeds],
      promised,
      core: JSON.stringify(this.member.knownCore),
      ...this.member.location,
    };
  }

  /** Asks all core machines that are known, and those that they know. */
  private async survey(): Promise<Survey> {
    const { address, seeds } = this.options;
    const known = new Set([address, ...seeds, ...this.acceptor.seeds, ...this.heard]);
    const first = await this.ask([...known]);
    for (const reply of first.answers.values()) reply.seeds.forEach((seed) => known.add(seed));
    return known.size === first.asked.length ? first : this.ask([...known]);
  }

  private async ask(addresses: readonly string[]): Promise<Survey> {
    const { address, seeds } = this.options;
    const replies = await gather(
      addresses,
      (other) =>
        other === address
          ? Promise.resolve(Right(this.status()))
          : this.peers.ask(other, BootstrapStatus, { address, seeds: [...seeds] }, ASK_LIMIT),
      () => false,
    );
    const answers = new Map<string, StatusReply>();
    for (const [other, reply] of replies) reply.ifRight((status) => answers.set(other, status));
    return { asked: addresses, answers };
  }

  /** One round: promises, then a first revision that a majority of the seeds accepts, then the telling of it. */
  private async attempt(
    round: Round,
    survey: Survey,
    { wanted, tolerated }: VotersAsked,
  ): Promise<Outcome<void>> {
    const { seeds } = round;
    const quorum = majority(seeds.length);
    const ballot = this.nextBallot(survey);
    const promises = await this.prepare(round, ballot, survey);
    const needed = round.kind === 'unanimous' ? seeds.length : quorum;
    if (promises.length < needed)
      return failed('bootstrap.prepare', 'core', `${promises.length} of ${needed} promises`);
    const newest = promises
      .map(({ reply }) => reply)
      .filter(({ accepted }) => accepted.counter > 0)
      .sort((a, b) => compareBallots(b.accepted, a.accepted))[0];
    const document =
      newest?.document ??
      encodeDocument(
        genesis(this.peers.self.fleet, firstVoters(seeds, wanted, tolerated, survey), wanted),
      );
    const accepted = sound(
      await gather(
        promises.map(({ address }) => address),
        (address) => {
          const acceptor = survey.answers.get(address)!.member;
          const ask = { seeds: [...seeds], ballot, acceptor, document };
          return this.peers.ask(address, BootstrapAccept, ask, ASK_LIMIT);
        },
        (replies) => sound(replies).filter((reply) => reply.accepted).length >= quorum,
      ),
    ).filter((reply) => reply.accepted).length;
    if (accepted < quorum)
      return failed('bootstrap.accept', 'core', `${accepted} of ${quorum} votes`, 'unknown');
    this.log('bootstrap-chosen', [
      ['ballot', ballotText(ballot)],
      ['votes', accepted],
      ['round', round.kind],
    ]);
    return this.install(document);
  }

  private async prepare(round: Round, ballot: Ballot, survey: Survey): Promise<Promised[]> {
    const { seeds, kind } = round;
    const unanimous = kind === 'unanimous';
    const self = this.options.address;
    const ask = async (address: string): Promise<Promised | undefined> => {
      const acceptor = survey.answers.get(address)!.member;
      const reply = await this.peers.ask(
        address,
        BootstrapPrepare,
        { seeds: [...seeds], ballot, acceptor, unanimous },
        ASK_LIMIT,
      );
      return reply
        .map((promise) => (promise.promised ? { address, reply: promise } : undefined))
        .orDefault(undefined);
    };
    if (unanimous) return this.inTurn(seeds, ask);
    const own = await ask(self);
    return own ? this.withOthers(own, seeds, survey, ask) : [];
  }

  /** Until a majority promised: one that holds its answer back, as with a stalled disk, must not use up the ballot. */
  private async withOthers(
    own: Promised,
    seeds: readonly string[],
    survey: Survey,
    ask: (address: string) => Promise<Promised | undefined>,
  ): Promise<Promised[]> {
    const others = seeds.filter(
      (seed) => seed !== own.address && survey.answers.get(seed)?.role === 'voter',
    );
    const replies = await gather(
      others,
      async (address) => Right(await ask(address)),
      (all) => sound(all).filter(Boolean).length + 1 >= majority(seeds.length),
    );
    return [own, ...sound(replies).flatMap((promise) => promise ?? [])];
  }

  /** One after the other, so that rounds over different seeds meet at the first that they share. */
  private async inTurn(
    seeds: readonly string[],
    ask: (address: string) => Promise<Promised | undefined>,
  ): Promise<Promised[]> {
    const promises: Promised[] = [];
    for (const seed of seeds) {
      const promise = await ask(seed);
      if (!promise) break;
      promises.push(promise);
    }
    return promises;
  }

  private nextBallot({ answers }: Survey): Ballot {
    const highest = Math.max(...[...answers.values()].map(({ promised }) => promised.counter));
    this.counter = Math.max(this.counter, highest) + 1;
    const { name, incarnation } = this.peers.self;
    return { counter: this.counter, node: name, incarnation };
  }

  /** Hands the first revision, which is chosen, to the voters that it names; again as long as none of them has committed it. */
  private async install(document: Uint8Array): Promise<Outcome<void>> {
    const decoded = decodeDocument(document, 'bootstrap');
    if (decoded.isLeft()) return decoded as Outcome<never>;
    const { core } = decoded.unsafeCoerce();
    const { members } = core;
    // The seeds need not know the voters any more, as when all of them were lost with their zone.
    this.voterDirectory.learn(core);
    const replies = await gather(
      members.map(({ address }) => address),
      (address) => this.peers.ask(address, Form, { document }, ASK_LIMIT),
      (all) => sound(all).length >= majority(members.length),
    );
    if (sound(replies).length >= majority(members.length))
      return (await this.proposer.read(COMMIT_LIMIT)).map(() => undefined);
    const [, refusal] = replies.find(([, reply]) => reply.isLeft())!;
    return failed('bootstrap.install', 'core', (refusal.extract() as Fault).reason, 'unknown');
  }
}

/** What the acceptor of the first revision must know of its member. */
export const viewOf = (
  member: Member,
): { readonly id: string; readonly formed: boolean; readonly healthy: boolean } => ({
  id: member.id,
  formed: member.newest !== undefined,
  healthy: ['voting', 'non-voting'].includes(member.state().vote),
});
