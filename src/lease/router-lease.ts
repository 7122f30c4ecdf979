/**
 * A node's own lease: a lease that a majority of the core renews, or when the core is out of reach a majority of the
 * registered routers, counted strictly from the moment the node asked. `holds`
 * is asked immediately before each act the lease covers, since a process may have been frozen in between. Whether a node
 * may serve is the same question under terms by which it stops when the lease lapses; under the others it may serve with
 * whatever it has in force.
 */
import type { Clock, Moment } from '../kernel/clock/clock.js';
import { SLACK, within } from '../kernel/clock/clock.js';
import type { Log } from '../kernel/log/log.js';
import { gather, majority, sound } from '../register/gather.js';
import type { VoterDirectory } from '../register/voter-directory.js';
import type { Peers } from '../wire/peers.js';
import type { InForce } from '../doorway/match.js';
import { Goodbye, Renew, PeerLease, type RenewReply } from './calls.js';
import { TERMS, type LeaseTerms } from './terms.js';
import type { PeerLeases } from './peer-leases.js';

const ASK_LIMIT = 900;
/** Below this share left of the core's lease, the other routers are asked to confirm. */
const WORRY = 0.64;

export interface Self {
  readonly node: string;
  readonly incarnation: string;
  readonly address: string;
  readonly zone: string;
}

export class RouterLease {
  private until = -Infinity as Moment;
  private confirmed = -Infinity as Moment;
  private nudge: () => void = () => undefined;
  private leaving = false;
  private stood = false;
  private reported = 0;
  private counted = 0;

  constructor(
    private readonly self: Self,
    private readonly inForce: InForce,
    private readonly peerLeases: PeerLeases,
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly terms: LeaseTerms = TERMS,
  ) {}

  holds(): boolean {
    return !this.leaving && this.remaining > 0;
  }

  /** Whether this node may serve with what it has in force. */
  serves(): boolean {
    return this.terms.lapse === 'stop' ? this.holds() : !this.leaving && this.inForce.revision > 0;
  }

  get remaining(): number {
    return Math.max(0, Math.max(this.until, this.confirmed) - SLACK - this.clock.strict());
  }

  /** How many nodes stood when this one's lease was last renewed, as far as the core knows; 0 before. */
  get nodes(): number {
    return this.counted;
  }

  /**
   * A new revision came into force. Where "accepted" waits for leases on it, and while none is held, the lease is renewed at
   * once; else the feed has reported the revision, and the lease is renewed in its time.
   */
  noteRevision(): void {
    if (this.terms.lapse === 'stop' || !this.holds()) this.nudge();
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      let woken = false;
      const nudged = new Promise<void>((resolve) => {
        this.nudge = (): void => {
          woken = true;
          resolve();
        };
      });
      if (this.inForce.revision > 0 && !this.leaving)
        await Promise.race([Promise.all([this.renew(), this.seekPeerLeases()]), nudged]);
      if (this.holds() !== this.stood) {
        this.stood = this.holds();
        this.log(this.stood ? 'lease-held' : 'lease-lapsed', [
          ['revision', this.inForce.revision],
          ['by', this.clock.strict() < this.until ? 'core' : 'routers'],
        ]);
      }
      if (!woken && !signal.aborted) await within(this.clock, this.terms.renew, nudged);
    }
  }

  private get limit(): number {
    return Math.min(ASK_LIMIT, this.terms.renew * 0.9);
  }

  async leave(): Promise<void> {
    this.leaving = true;
    const { node, incarnation } = this.self;
    await gather(
      this.voterDirectory.addresses,
      (address) => this.peers.ask(address, Goodbye, { node, incarnation }, this.limit),
      () => false,
    );
  }

  private async renew(): Promise<void> {
    const asked = this.clock.strict();
    const { report } = this.peerLeases;
    const { members } = this.voterDirectory.core;
    const quorum = majority(members.length);
    const granted = (replies: readonly RenewReply[]): RenewReply[] =>
      replies.filter((reply) => reply.granted);
    const replies = await gather(
      members.map(({ address }) => address),
      (address) =>
        this.peers.ask(
          address,
          Renew,
          { ...this.self, revision: this.inForce.revision, report },
          this.limit,
        ),
      (all) => granted(sound(all)).length >= quorum,
    );
    const grants = granted(sound(replies));
    if (members.length === 0 || grants.length < quorum) return;
    const duration = Math.min(...grants.map((reply) => reply.duration));
    this.counted = Math.max(...grants.map(({ nodes }) => nodes));
    this.until = Math.max(this.until, asked + duration) as Moment;
    if (report > this.reported) this.log('reported', [['revision', report]]);
    this.reported = Math.max(this.reported, report);
  }

  /** Cut off from the core: a majority of the registered routers, this one counted, may confirm for it. */
  private async seekPeerLeases(): Promise<void> {
    const document = this.inForce.whole;
    const asked = this.clock.strict();
    if (
      !document?.registered.has(this.self.node) ||
      this.until - asked > this.terms.duration * WORRY
    )
      return;
    const quorum = majority(document.registered.size);
    const others = [...document.registered].filter(([name]) => name !== this.self.node);
    const names = new Map(others.map(([name, { address }]) => [address, name]));
    const granted = new Set([this.self.node]);
    await gather(
      others.map(([, { address }]) => address),
      async (address) => {
        const reply = await this.peers.ask(
          address,
          PeerLease,
          { node: this.self.node, revision: document.revision },
          this.limit,
        );
        reply.ifRight((peerLease) => {
          if (peerLease.granted && peerLease.node === names.get(address))
            granted.add(peerLease.node);
        });
        return reply;
      },
      () => granted.size >= quorum,
    );
    if (granted.size >= quorum)
      this.confirmed = Math.max(this.confirmed, asked + this.terms.duration) as Moment;
  }
}
