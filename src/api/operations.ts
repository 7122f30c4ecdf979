/**
 * What the operator calls do, the same on every node. A change gets a verdict from the register and, when applied, is
 * told "accepted" only once no node can stand on an older revision; what stays open at the limit is "unknown".
 */
import { Maybe, Right } from 'purify-ts';
import { checkDoorway } from '../doorway/shape.js';
import type { InForce } from '../doorway/match.js';
import type { Clock, Moment } from '../kernel/clock/clock.js';
import { failed, type Fault, type Outcome } from '../kernel/fault/fault.js';
import type { Acceptance } from '../lease/acceptance.js';
import { awaitApplication } from '../lease/application.js';
import { LeaseHolders } from '../lease/calls.js';
import type { Newsroom } from '../pool/news.js';
import { BootstrapBegin } from '../register/bootstrap/calls.js';
import {
  Feed,
  History,
  State,
  type FeedItem,
  type StateReply,
  type VoteState,
} from '../register/calls.js';
import type { Verdict } from '../register/change.js';
import {
  decodeDocument,
  subjectOf,
  type Act,
  type Change,
  type VoterSet,
  type Document,
  type DoorwayAct,
} from '../register/document.js';
import { documentDigest } from '../register/document-digest.js';
import { gather, majority, sound } from '../register/gather.js';
import type { Proposer } from '../register/proposer.js';
import type { RegisterInvariants } from '../register/register-invariants.js';
import type { VoterDirectory } from '../register/voter-directory.js';
import { Trace } from '../trace/tracing.js';
import type { View } from '../view/view.js';
import type { Peers } from '../wire/peers.js';
import type { Schemas } from './schema.js';

const ASK_LIMIT = 1500;
/** Forming takes a few rounds. */
const FORM_LIMIT = 8000;

/** What an operator does by hand about a member that does not vote. */
const remedy = (vote: VoteState): string => {
  switch (vote) {
    case 'disqualified':
      return '; stop it, empty its folder, start it, and it is given its vote again';
    case 'recovering':
      return '; mend its disk or make room on it, and it votes again by itself';
    case 'voting':
    case 'non-voting':
      return '';
  }
};

export interface Operator {
  readonly firm: string;
  readonly who: string;
}

type Changed = Schemas['ChangedReply'];

export class Operations {
  private readonly claimsSeen = new Map<string, { renewal: number; since: Moment }>();

  constructor(
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly proposer: Proposer,
    private readonly inForce: InForce,
    private readonly view: View,
    private readonly news: Newsroom | undefined,
    private readonly clock: Clock,
    private readonly acceptance: Acceptance,
    private readonly invariants: RegisterInvariants,
  ) {}

  /** Follows the claims in force, to know for how long each has gone without renewal on this node's own clock. */
  noteClaims(document: Document): void {
    for (const [name, { renewal }] of document.claims)
      if (this.claimsSeen.get(name)?.renewal !== renewal)
        this.claimsSeen.set(name, { renewal, since: this.clock.now() });
    for (const name of this.claimsSeen.keys())
      if (!document.claims.has(name)) this.claimsSeen.delete(name);
  }

  setDoorway(operator: Operator, ask: Schemas['DoorwaySetAsk']): Promise<Outcome<Changed>> {
    const checked = checkDoorway(ask.doorway);
    if (checked.isLeft()) return Promise.resolve(checked as Outcome<never>);
    return this.change(
      operator,
      ask.change,
      { kind: 'set', doorway: checked.unsafeCoerce(), expects: ask.expects },
      ask.wait,
    );
  }

  removeDoorway(operator: Operator, ask: Schemas['DoorwayRemoveAsk']): Promise<Outcome<Changed>> {
    return this.change(
      operator,
      ask.change,
      { kind: 'remove', name: ask.name, expects: ask.expects },
      ask.wait,
    );
  }

  /** Many doorways in one change: removals first, then what is set; all of it or nothing. */
  applyDoorways(operator: Operator, ask: Schemas['DoorwayApplyAsk']): Promise<Outcome<Changed>> {
    const items: DoorwayAct[] = ask.removes.map(({ name, expects }) => ({
      kind: 'remove',
      name,
      expects,
    }));
    for (const [at, { doorway, expects }] of ask.sets.entries()) {
      const checked = checkDoorway(doorway);
      if (checked.isLeft())
        return Promise.resolve(
          checked.mapLeft((fault) => ({
            ...fault,
            reason: `sets[${at}]: ${fault.reason}`,
          })) as Outcome<never>,
        );
      items.push({ kind: 'set', doorway: checked.unsafeCoerce(), expects });
    }
    if (items.length === 0)
      return Promise.resolve(
        failed('doorway.apply', 'operator', 'nothing is to be set or removed'),
      );
    return this.change(operator, ask.change, { kind: 'apply', items }, ask.wait);
  }

  claimDoorway(operator: Operator, ask: Schemas['DoorwayClaimAsk']): Promise<Outcome<Changed>> {
    const claim = this.inForce.whole?.claims.get(ask.name);
    const seen = this.claimsSeen.get(ask.name);
    const lapsed =
      claim !== undefined &&
      seen?.renewal === claim.renewal &&
      claim.renewal === ask.expects &&
      this.clock.now() - seen.since > claim.duration;
    return this.change(
      operator,
      ask.change,
      {
        kind: 'claim',
        name: ask.name,
        duration: ask.duration,
        expects: ask.expects,
        takeover: lapsed,
      },
      ask.wait,
    );
  }

  async outcome({ change, wait }: Schemas['ChangeAsk']): Promise<Outcome<Changed>> {
    const limit = this.clock.now() + wait;
    const read = await this.proposer.read(wait);
    if (read.isLeft())
      return Right({
        change,
        outcome: 'unknown',
        revision: 0,
        silent: [],
        reason: read.extract().reason,
      });
    const document = read.unsafeCoerce();
    const kept = document.outcomes.get(change);
    if (!kept)
      return Right({
        change,
        outcome: 'unknown',
        revision: 0,
        silent: [],
        reason: `not among the changes kept at revision ${document.revision}; repeat the change under the same id to have it committed`,
      });
    return this.application(change, kept.revision, limit - this.clock.now());
  }

  get(name: string): Outcome<Schemas['PlacedDoorway']> {
    const placed = this.inForce.current.named(name);
    if (!placed) return failed('doorway.get', this.peers.self.name, `there is no doorway ${name}`);
    return Right({ doorway: placed.doorway as Schemas['Doorway'], revision: placed.revision });
  }

  list(): Outcome<Schemas['DoorwayListReply']> {
    const document = this.inForce.whole;
    if (!document)
      return failed('doorway.list', this.peers.self.name, 'no revision is in force here yet');
    return Right({
      revision: document.revision,
      doorways: [...document.doorways.values()] as Schemas['PlacedDoorway'][],
      removed: [...document.removed].map(([name, revision]) => ({ name, revision })),
      claims: [...document.claims].map(([name, claim]) => ({ name, ...claim })),
    });
  }

  async at(revision: number): Promise<Outcome<Schemas['ConfigReply']>> {
    const item = revision === 0 ? await this.newest() : await this.revision(revision);
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
    if (newest.isLeft()) return newest as Outcome<never>;
    const committed = newest.unsafeCoerce().revision;
    const revisions: Schemas['HistoryReply']['revisions'] = [];
    for (
      let revision = Math.max(1, from);
      revision <= Math.min(committed, from + count - 1);
      revision++
    ) {
      const held = await this.revision(revision);
      if (held.isLeft()) return held as Outcome<never>;
      const item = held.unsafeCoerce();
      const decoded = decodeDocument(item.document, 'core');
      if (decoded.isLeft()) return decoded as Outcome<never>;
      const document = decoded.unsafeCoerce();
      const before = revisions[revisions.length - 1];
      if (before && before.digest !== document.previous)
        return failed(
          'config.history',
          'core',
          `revision ${revision} does not follow the one before it`,
        );
      const changes = document.cause.map(({ id, firm, who, act }) => ({
        id,
        firm,
        who,
        kind: act.kind,
        name: subjectOf(act),
      }));
      revisions.push({ revision, digest: documentDigest(document), changes });
    }
    return Right({ committed, revisions });
  }

  /** One revision through all nodes that can be thought of: heard of, a voter of the core, or registered. */
  async trace({ change, revision }: Schemas['TraceAsk']): Promise<Outcome<Schemas['TraceReply']>> {
    const read = await this.proposer.read(3000);
    const known = read.toMaybe().alt(Maybe.fromNullable(this.inForce.whole)).extract();
    const wanted =
      revision ?? (change === undefined ? undefined : known?.outcomes.get(change)?.revision);
    if (wanted === undefined)
      return failed(
        'change.trace',
        this.peers.self.name,
        change === undefined
          ? 'name a change or a revision'
          : `${change} is not among the changes that are kept`,
      );
    const nodes = new Map<string, { name: string; role: string }>();
    for (const { address } of this.voterDirectory.core.members)
      nodes.set(address, { name: address, role: 'core' });
    for (const [name, { address }] of known?.registered ?? [])
      nodes.set(address, { name, role: 'router' });
    for (const role of ['core', 'router'])
      for (const { name, address } of this.view.live(role)) nodes.set(address, { name, role });
    const replies = await gather(
      [...nodes.keys()],
      (address) => this.peers.ask(address, Trace, { revision: wanted }, ASK_LIMIT),
      () => false,
    );
    const changes = (await this.revision(wanted))
      .chain((item) => decodeDocument(item.document, 'core'))
      .map(({ cause }) => cause.map(({ id }) => id))
      .orDefault([]);
    const told = replies.flatMap(([address, reply]) =>
      reply
        .map(({ node, steps }) => [{ name: node, role: nodes.get(address)!.role, steps }])
        .orDefault([]),
    );
    return Right({
      revision: wanted,
      changes,
      nodes: told.sort((a, b) => (a.name < b.name ? -1 : 1)),
      silent: replies
        .filter(([, reply]) => reply.isLeft())
        .map(([address]) => nodes.get(address)!.name),
    });
  }

  async nodes(): Promise<Outcome<Schemas['NodeListReply']>> {
    const known = ['router', 'core']
      .flatMap((role) => this.view.live(role))
      .map(({ name, role, zone, address, age }) => ({ name, role, zone, address, age }));
    const replies = sound(
      await gather(
        this.voterDirectory.addresses,
        (address) =>
          this.peers.ask(address, LeaseHolders, { from: this.peers.self.name }, ASK_LIMIT),
        () => false,
      ),
    );
    const lease = new Map<string, Schemas['NodeListReply']['leases'][number]>();
    for (const { node, revision, remaining } of replies.flatMap(
      ({ leaseHolders }) => leaseHolders,
    )) {
      const before = lease.get(node);
      lease.set(node, {
        name: node,
        revision: Math.max(revision, before?.revision ?? 0),
        remaining: Math.max(remaining, before?.remaining ?? 0),
        grants: (before?.grants ?? 0) + 1,
      });
    }
    return Right({
      known,
      leases: [...lease.values()].sort((a, b) => (a.name < b.name ? -1 : 1)),
    });
  }

  engines(): Outcome<Schemas['EngineListReply']> {
    if (!this.news)
      return failed(
        'engine.list',
        this.peers.self.name,
        'a core node keeps no engines; ask a router',
      );
    const engines = [...this.news.listed.values()].map(
      ({ identifier, address, model, zone, leaving }) => ({
        identifier,
        address,
        model,
        zone,
        leaving,
      }),
    );
    return Right({
      age: Math.min(this.news.age, 1e9),
      placed: this.news.placed().size > 0,
      engines,
    });
  }

  async core(): Promise<Outcome<Schemas['CoreReply']>> {
    await this.proposer.learnCore();
    const { number, members } = this.voterDirectory.core;
    const addresses = number ? members.map(({ address }) => address) : this.voterDirectory.contacts;
    const replies = await gather(
      addresses,
      (address) => this.peers.ask(address, State, { from: this.peers.self.name }, ASK_LIMIT),
      () => false,
    );
    return Right({
      number,
      members: replies.map(([address, reply]) =>
        reply.caseOf({
          Left: ({ reason }) => ({
            address,
            id: members.find((voter) => voter.address === address)?.id ?? '',
            state: `silent: ${reason}`,
            revision: 0,
            committed: 0,
            whole: '',
          }),
          Right: (state) => ({
            address,
            id: members.find((voter) => voter.address === address)?.id ?? state.member,
            whole: state.whole,
            state:
              number && !members.some((voter) => voter.id === state.member)
                ? 'swapped: another machine answers here'
                : state.voting
                  ? 'voting'
                  : state.formed
                    ? `not voting: ${state.reason}${remedy(state.vote)}`
                    : 'newcomer',
            revision: state.revision,
            committed: state.committed,
          }),
        }),
      ),
    });
  }

  /** Forms the core group, once, from members that all answer; one that was formed before must name this very group. */
  async form(
    addresses: readonly string[],
    wanted = addresses.length,
  ): Promise<Outcome<Schemas['CoreReply']>> {
    const replies = await gather(
      addresses,
      (address) => this.peers.ask(address, State, { from: this.peers.self.name }, ASK_LIMIT),
      () => false,
    );
    const formed = replies.find(([, reply]) => reply.map((state) => state.formed).orDefault(false));
    if (formed) return this.formedBefore(addresses, formed[0], formed[1].unsafeCoerce());
    const begun = await this.peers.ask(
      addresses[0]!,
      BootstrapBegin,
      { seeds: [...addresses], wanted },
      FORM_LIMIT,
    );
    return begun.isLeft() ? (begun as Outcome<never>) : this.core();
  }

  private async formedBefore(
    addresses: readonly string[],
    by: string,
    { core, revision }: StateReply,
  ): Promise<Outcome<Schemas['CoreReply']>> {
    const { members } = JSON.parse(core) as VoterSet;
    const there = new Set(members.map(({ address }) => address));
    if (revision > 1) return failed('core.form', by, 'is already part of a formed core');
    if (there.size !== addresses.length || addresses.some((address) => !there.has(address)))
      return failed('core.form', 'core', 'a group of other members was begun there');
    await this.proposer.read(2000);
    return this.core();
  }

  /** Promotes a learner, which must answer, be able to vote, and hold the newest committed revision. */
  async addVoter(
    operator: Operator,
    { change, address, expects, wait }: Schemas['AddVoterAsk'],
  ): Promise<Outcome<Changed>> {
    const committed = await this.proposer.look(ASK_LIMIT);
    if (committed.isLeft()) return committed as Outcome<never>;
    const state = await this.peers.ask(address, State, { from: this.peers.self.name }, ASK_LIMIT);
    if (state.isLeft()) return state as Outcome<never>;
    const { member, vote, reason, revision, committed: held } = state.unsafeCoerce();
    if (vote === 'recovering' || vote === 'disqualified')
      return failed('core.addVoter', address, `can not vote: ${reason}`);
    const newest = committed.unsafeCoerce();
    if (Math.min(revision, held) < newest)
      return failed(
        'core.addVoter',
        address,
        `holds revision ${Math.min(revision, held)}, and ${newest} is committed; try again once it has caught up`,
      );
    return this.change(
      operator,
      change,
      { kind: 'addVoter', voter: { id: member, address }, expects },
      wait,
    );
  }

  async removeVoter(
    operator: Operator,
    { change, id, expects, wait }: Schemas['RemoveVoterAsk'],
  ): Promise<Outcome<Changed>> {
    const { members } = this.voterDirectory.core;
    const rest = members.filter((voter) => voter.id !== id);
    const replies = await gather(
      rest.map(({ address }) => address),
      (address) => this.peers.ask(address, State, { from: this.peers.self.name }, ASK_LIMIT),
      () => false,
    );
    const answering = sound(replies).filter(
      ({ member, voting }) => voting && rest.some((voter) => voter.id === member),
    ).length;
    if (answering < majority(rest.length))
      return failed(
        'core.removeVoter',
        id,
        `only ${answering} of the ${rest.length} members that would be left answer and vote; without a majority of them nothing could be changed again`,
      );
    return this.change(operator, change, { kind: 'removeVoter', id, vacant: false, expects }, wait);
  }

  /** Takes a router that is gone for good out of the registration, once the last registration is in force everywhere else. */
  async deregister(
    operator: Operator,
    { change, name, wait }: Schemas['DeregisterAsk'],
  ): Promise<Outcome<Changed>> {
    const limit = this.clock.now() + wait;
    const read = await this.proposer.read(wait);
    if (read.isLeft()) return read as Outcome<never>;
    const expects = read.unsafeCoerce().registeredAt;
    const application = await awaitApplication(
      expects,
      (limit - this.clock.now()) / 2,
      this.peers,
      this.voterDirectory,
      this.clock,
    );
    if (!application.everywhere)
      return failed(
        'node.deregister',
        application.silent.join(' '),
        `the last registration is not yet known to be in force everywhere: ${application.reasons.join('; ')}`,
      );
    return this.change(
      operator,
      change,
      { kind: 'deregister', name, expects },
      Math.max(100, limit - this.clock.now()),
    );
  }

  private async change(
    operator: Operator,
    id: string,
    act: Act,
    wait: number,
  ): Promise<Outcome<Changed>> {
    const limit = this.clock.now() + wait;
    const change: Change = { id, firm: operator.firm, who: operator.who, act };
    const verdict: Outcome<Verdict> = await this.proposer.propose(change, wait);
    if (verdict.isLeft()) {
      const { certainty, reason } = verdict.extract() as Fault;
      return Right({
        change: id,
        outcome: certainty === 'declined' ? 'declined' : 'unknown',
        revision: 0,
        silent: [],
        reason,
      });
    }
    const told = verdict.unsafeCoerce();
    if (told.kind !== 'applied')
      return Right({
        change: id,
        outcome: told.kind === 'indeterminate' ? 'unknown' : told.kind,
        revision: 0,
        silent: [],
        reason: told.reason,
      });
    return this.application(id, told.revision, limit - this.clock.now());
  }

  private async application(
    change: string,
    revision: number,
    left: number,
  ): Promise<Outcome<Changed>> {
    const application = await this.acceptance.of(revision, left);
    if (application.everywhere) {
      this.invariants.noteAcknowledged(revision, this.proposer.heldByMajority);
      return Right({ change, outcome: 'accepted', revision, silent: [], reason: '' });
    }
    return Right({
      change,
      outcome: 'unknown',
      revision,
      silent: [...application.silent],
      reason: `committed, but not yet known to be in force everywhere: ${application.reasons.join('; ') || 'the limit came'}`,
    });
  }

  private async newest(): Promise<Outcome<FeedItem>> {
    const committed = await this.proposer.look(2000);
    if (committed.isLeft()) return committed as Outcome<never>;
    for (const address of this.voterDirectory.addresses) {
      const reply = await this.peers.ask(address, Feed, { from: 0, wait: 0 }, ASK_LIMIT);
      const item = reply.map(({ items }) => items[0]).orDefault(undefined);
      if (
        item &&
        decodeDocument(item.document, address)
          .map((document) => document.revision >= committed.unsafeCoerce())
          .orDefault(false)
      )
        return Right(item);
    }
    return failed('config.newest', 'core', 'no member gave the newest revision');
  }

  private async revision(revision: number): Promise<Outcome<FeedItem>> {
    for (const address of this.voterDirectory.addresses) {
      const reply = await this.peers.ask(address, History, { revision }, ASK_LIMIT);
      const item = reply.map(({ items }) => items[0]).orDefault(undefined);
      if (item) return Right(item);
    }
    return failed('config.at', 'core', `no member holds revision ${revision}`);
  }
}
