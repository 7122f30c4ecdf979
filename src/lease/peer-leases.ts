/**
 * Routers confirming for each other, for when the core is out of reach. A router grants a lease to one whose revision
 * in force is no older than its own, and then holds back its report of anything newer until that lease has ended. Since
 * "accepted" needs the reports of a majority of the registered routers, and a cut-off router needs the leases of a
 * majority, one of those who confirmed would have had to report too early. A router that was started again has forgotten
 * its grants and reports nothing for one lease, unless it was not registered before.
 */
import { Right } from 'purify-ts';
import type { InForce } from '../doorway/match.js';
import { later, type Clock, type Moment } from '../kernel/clock/clock.js';
import type { Peers } from '../wire/peers.js';
import { PeerLease, type PeerLeaseAsk, type PeerLeaseReply } from './calls.js';
import { TERMS, type LeaseTerms } from './terms.js';

const BOUND = 1024;

export class PeerLeases {
  /** For each node, until when it may stand on a revision by this one's word. */
  private readonly granted = new Map<string, Map<number, Moment>>();
  private readonly started: Moment;
  private registeredBefore: boolean | undefined;

  constructor(
    private readonly node: string,
    private readonly inForce: InForce,
    private readonly peers: Peers,
    private readonly clock: Clock,
    private readonly terms: LeaseTerms = TERMS,
  ) {
    this.started = clock.now();
  }

  serve(): void {
    this.peers.handle(PeerLease, (ask) => Right(this.grant(ask)));
  }

  /** The newest revision this router may tell the core that it has in force. */
  get report(): number {
    const document = this.inForce.whole;
    if (!document) return 0;
    this.registeredBefore ??= document.registered.has(this.node);
    const now = this.clock.now();
    if (this.registeredBefore && now < this.started + this.terms.duration) return 0;
    let report = document.revision;
    for (const [node, leases] of this.granted) {
      for (const [revision, until] of leases) {
        if (until <= now) leases.delete(revision);
        else report = Math.min(report, revision);
      }
      if (leases.size === 0) this.granted.delete(node);
    }
    return report;
  }

  private grant({ node, revision }: PeerLeaseAsk): PeerLeaseReply {
    const declined = (reason: string): PeerLeaseReply => ({
      node: this.node,
      granted: false,
      duration: 0,
      reason,
    });
    const own = this.inForce.revision;
    if (own === 0) return declined('nothing is in force here yet');
    if (own > revision) return declined(`revision ${own} is in force here`);
    if (!this.granted.has(node) && this.granted.size >= BOUND) return declined('too many leases');
    const leases = this.granted.get(node) ?? new Map<number, Moment>();
    this.granted.set(node, leases.set(revision, later(this.clock.now(), this.terms.duration)));
    return { node: this.node, granted: true, duration: this.terms.duration, reason: '' };
  }
}
