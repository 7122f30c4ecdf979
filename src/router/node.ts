/** The tasks of a router node, which run its services. */
import { Inject, Injectable } from '@nestjs/common';
import { Operations } from '../api/operations.js';
import type { InForce } from '../doorway/match.js';
import { Prefixes } from '../index/prefixes.js';
import type { Clock } from '../kernel/clock/clock.js';
import type { Outcome } from '../kernel/fault/fault.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import { Registration } from '../lease/registration.js';
import { RouterLease } from '../lease/router-lease.js';
import { PeerLeases } from '../lease/peer-leases.js';
import { names } from '../node/names.js';
import { NodeWork } from '../monitor/node-work.js';
import type { PlannedWork } from '../monitor/planned-work.js';
import { advertisedAddress, type Params } from '../params/shape.js';
import { Claims } from '../claim/claims.js';
import { Passage } from '../passage/passage.js';
import { lawBroken, lawText } from '../place/law.js';
import { type EngineChannels } from '../pool/channel.js';
import { Newsroom } from '../pool/news.js';
import type { FeedStatus } from '../register/feed-status.js';
import { Follower } from '../register/follower.js';
import type { Document } from '../register/document.js';
import type { Proposer } from '../register/proposer.js';
import { RegisterInvariants } from '../register/register-invariants.js';
import { Relay } from '../register/relay.js';
import type { VoterDirectory } from '../register/voter-directory.js';
import type { View } from '../view/view.js';
import type { Peers } from '../wire/peers.js';

/** The longest that a planned stop takes for handing its duties over. */
const HANDOVER = 1000;

const sizeOf = (items: ReadonlyArray<{ readonly document: Uint8Array }>): number =>
  items.reduce((sum, { document }) => sum + document.length, 0);

const tenths = (milliseconds: number): number => Math.round(milliseconds * 10) / 10;

/** The tasks of a router, from start to stop. */
@Injectable()
export class RouterNode {
  private registration: Registration | undefined;
  /** How current this node is; there once it has started. */
  feed: FeedStatus | undefined;

  constructor(
    @Inject(names.params) private readonly params: Params,
    @Inject(names.peers) private readonly peers: Peers,
    @Inject(names.voterDirectory) private readonly voterDirectory: VoterDirectory,
    @Inject(names.proposer) private readonly proposer: Proposer,
    @Inject(names.inForce) private readonly inForce: InForce,
    @Inject(names.lease) private readonly lease: RouterLease,
    @Inject(names.peerLeases) private readonly peerLeases: PeerLeases,
    @Inject(names.view) private readonly view: View,
    @Inject(names.news) private readonly news: Newsroom,
    @Inject(names.claims) private readonly claims: Claims,
    @Inject(names.prefixes) private readonly prefixes: Prefixes,
    @Inject(names.passage) private readonly passage: Passage,
    @Inject(names.channels) private readonly channels: EngineChannels,
    @Inject(names.operations) private readonly operations: Operations,
    @Inject(names.clock) private readonly clock: Clock,
    @Inject(names.random) private readonly random: Random,
    @Inject(names.log) private readonly log: Log,
    @Inject(names.stop) private readonly stop: AbortController,
    @Inject(names.plannedWork) private readonly plannedWork: PlannedWork,
    @Inject(names.registerInvariants) private readonly invariants: RegisterInvariants,
    @Inject(names.nodeWork) private readonly work: NodeWork,
  ) {}

  async start(): Promise<Outcome<unknown>> {
    this.view.serve();
    this.news.serve();
    this.peerLeases.serve();
    if (this.params.claims.enabled) this.claims.serve();
    const served = await this.peers.serve(this.params.listen.peers);
    if (served.isLeft()) return served;
    const relay = new Relay(this.peers, () =>
      this.view
        .live('router')
        .filter(({ name }) => name !== this.params.name)
        .map(({ address }) => address),
    );
    relay.serve();
    this.view.addContacts(() =>
      [...(this.inForce.whole?.registered.values() ?? [])].map(({ address }) => address),
    );
    const follower = new Follower(
      this.peers,
      this.voterDirectory,
      this.proposer,
      this.clock,
      this.random,
      this.log,
      (revisions) => {
        const newest = revisions.at(-1)?.document;
        if (!newest) return;
        const begun = this.clock.now();
        const taking = begun - (follower.takingSince ?? begun);
        const frames = revisions.map(({ frame }) => frame);
        this.work.add('take-revision', taking, sizeOf(frames));
        relay.note(revisions);
        for (const { document } of revisions)
          this.invariants.noteCommitted(document.revision - 1, document.previous);
        if (!this.inForce.swap(newest)) return;
        this.invariants.noteInForce(this.inForce.revision);
        this.plannedWork.note('configuration');
        this.operations.noteClaims(newest);
        this.heedLaw(newest);
        this.lease.noteRevision();
        this.passage.stir();
        const putting = this.clock.now() - begun;
        this.work.add('put-in-force', putting, sizeOf(frames.slice(-1)));
        this.log('in-force', [
          ['revision', newest.revision],
          ['takeMs', tenths(taking)],
          ['putMs', tenths(putting)],
          ['feedBytes', sizeOf(frames)],
        ]);
      },
      '',
      relay,
      this.params.feed.wait,
    );
    const { signal } = this.stop;
    void this.view.run(signal);
    void this.news.run(signal);
    void this.lease.run(signal);
    this.feed = follower.status;
    void follower.run(signal);
    if (this.params.claims.enabled) void this.claims.run(signal);
    if (this.params.lease.lapse === 'serve') return served;
    const own = {
      address: advertisedAddress(this.params),
      zone: this.params.zone,
      law: lawText(this.params.law),
    };
    this.registration = new Registration(
      this.params.name,
      own,
      this.inForce,
      this.lease,
      this.proposer,
      this.peers,
      this.voterDirectory,
      this.clock,
      this.random,
      this.log,
    );
    void this.registration.run(signal);
    return served;
  }

  /** Claims rest on what all routers promise about their own traffic; when one promises otherwise, none are made. */
  private heedLaw({ registered }: Document): void {
    const reason = lawBroken(this.params.law, registered);
    if (this.prefixes.lawful !== (reason === ''))
      this.log(reason ? 'law-broken' : 'law-kept', [['reason', reason || undefined]]);
    this.prefixes.lawful = reason === '';
  }

  ready(): string {
    if (!this.lease.serves())
      return this.params.lease.lapse === 'stop' ? 'no lease' : 'nothing is in force yet';
    if (this.params.listen.requests && this.inForce.routes.version === 0)
      return 'no routes are in force';
    if (this.news.placed().size === 0) return 'no engine has a confirmed place';
    return '';
  }

  /** Finishes what was taken, hands its duties over, gives its lease back, and closes. */
  async drain(): Promise<number> {
    const began = this.clock.now();
    const left = await this.passage.drain(this.params.drain);
    await this.registration?.leave(
      Math.min(HANDOVER, this.params.drain + HANDOVER - (this.clock.now() - began)),
    );
    await this.lease.leave();
    this.channels.close();
    return left;
  }
}
