/**
 * Leases as a core member grants them. A lease is granted only to a node whose revision in force is at least the
 * newest one this member has accepted on its disk, so what it confirmed for holds through its own restart. A member that
 * restarted has forgotten its grants, and waits one whole lease before it confirms; one that was formed in this very
 * life has none to forget.
 */
import { Right } from 'purify-ts';
import { within, type Clock, type Moment } from '../kernel/clock/clock.js';
import type { Outcome } from '../kernel/fault/fault.js';
import type { Member } from '../register/member.js';
import type { Peers } from '../wire/peers.js';
import {
  Goodbye,
  Renew,
  LeaseHolders,
  Confirm,
  type RenewAsk,
  type RenewReply,
  type ConfirmRefusal,
  type ConfirmReply,
  type Report,
} from './calls.js';
import { TERMS, type LeaseTerms } from './terms.js';

const BOUND = 1024;
const WAIT_BOUND = 5000;

interface Grant extends RenewAsk {
  readonly until: Moment;
}

type Verdict = Omit<ConfirmReply, 'registered' | 'reports'>;

const refused = (refusal: ConfirmRefusal, reason: string, silent: string[] = []): Verdict => ({
  confirmed: false,
  refusal,
  silent,
  reason,
});

const CONFIRMED: Verdict = { confirmed: true, refusal: 'none', silent: [], reason: '' };
const OLDER_LEASE = 'nodes still stand on an older revision';

export class Grants {
  private readonly grants = new Map<string, Grant>();
  /** The newest revision each router has reported; a report is a fact and is never taken back. */
  private readonly reports = new Map<string, number>();
  private readonly watchers = new Set<() => void>();
  /** When this process first found itself voting; before that it may have granted, or others in its stead. */
  private votingSince: Moment | undefined;
  private readonly newborn: boolean;

  constructor(
    private readonly member: Member,
    private readonly peers: Peers,
    private readonly clock: Clock,
    private readonly terms: LeaseTerms = TERMS,
  ) {
    this.newborn = !member.state().formed;
  }

  serve(): void {
    this.peers.handle(Renew, (ask) => Right(this.renew(ask)));
    this.peers.handle(Goodbye, ({ node, incarnation }) => {
      const known = this.grants.delete(`${node}/${incarnation}`);
      this.member.followers.forget(node);
      this.wake();
      return Right({ known });
    });
    this.peers.handle(Confirm, ({ revision, wait }) => {
      const limit = Math.min(wait, WAIT_BOUND);
      return this.terms.lapse === 'stop'
        ? this.confirm(revision, limit)
        : this.confirmFollowers(revision, limit);
    });
    this.peers.handle(LeaseHolders, () => {
      this.sweep();
      const now = this.clock.now();
      return Right({
        leaseHolders: [...this.grants.values()].map(
          ({ node, incarnation, address, zone, revision, until }) => ({
            node,
            incarnation,
            address,
            zone,
            revision,
            remaining: until - now,
          }),
        ),
      });
    });
  }

  private renew(ask: RenewAsk): RenewReply {
    const state = this.member.voteStatus;
    if (state.voting) this.votingSince ??= this.clock.now();
    const declined = (reason: string): RenewReply => ({
      granted: false,
      duration: 0,
      reason,
      nodes: 0,
    });
    if (!state.voting) return declined(state.reason);
    if (this.terms.lapse === 'stop' && ask.revision < state.revision)
      return declined(`revision ${state.revision} is newer than ${ask.revision}`);
    const key = `${ask.node}/${ask.incarnation}`;
    this.sweep();
    if (!this.grants.has(key) && this.grants.size >= BOUND)
      return declined(`${BOUND} nodes stand already`);
    if (this.reports.size < BOUND || this.reports.has(ask.node))
      this.reports.set(ask.node, Math.max(ask.report, this.reports.get(ask.node) ?? 0));
    this.grants.set(key, { ...ask, until: (this.clock.now() + this.terms.duration) as Moment });
    this.wake();
    return { granted: true, duration: this.terms.duration, reason: '', nodes: this.grants.size };
  }

  private async confirm(revision: number, wait: number): Promise<Outcome<ConfirmReply>> {
    const limit = this.clock.now() + wait;
    for (;;) {
      const reply = this.judge(revision);
      const left = limit - this.clock.now();
      if (reply.confirmed || left <= 0) return Right(reply);
      let wake: () => void = () => undefined;
      const news = new Promise<void>((resolve) => this.watchers.add((wake = resolve)));
      await within(this.clock, Math.min(left, 100), news);
      this.watchers.delete(wake);
    }
  }

  /**
   * Where leases only tell who is there: waits for the nodes that follow this member, and tells which of those with a
   * lease are known here to have the revision in force. One that follows another member is known there.
   */
  private async confirmFollowers(revision: number, wait: number): Promise<Outcome<ConfirmReply>> {
    const { followers } = this.member;
    this.sweep();
    const holders = new Set([...this.grants.values()].map(({ node }) => node));
    await followers.caughtUp(holders, revision, wait);
    this.sweep();
    const silent: string[] = [];
    const reports: Report[] = [];
    for (const grant of this.grants.values()) {
      const { node } = grant;
      const reported = Math.max(grant.revision, followers.revisionOf(node));
      if (reported < revision) silent.push(node);
      else reports.push({ node, revision: reported });
    }
    const verdict = silent.length === 0 ? CONFIRMED : refused('older-lease', OLDER_LEASE, silent);
    return Right({ ...verdict, registered: [], reports });
  }

  private judge(revision: number): ConfirmReply {
    const known = this.member.newest;
    const registered = [...(known?.registered.keys() ?? [])];
    return {
      ...this.weigh(revision),
      registered,
      reports: [...this.reports].map(([node, reported]) => ({ node, revision: reported })),
    };
  }

  private weigh(revision: number): Verdict {
    const state = this.member.voteStatus;
    if (!state.voting) return refused('not-voting', state.reason);
    if (state.revision < revision)
      return refused('behind', `holds only revision ${state.revision}`);
    this.votingSince ??= this.clock.now();
    const founder = this.newborn && this.member.founder;
    if (
      this.terms.lapse === 'stop' &&
      !founder &&
      this.clock.now() < this.votingSince + this.terms.duration
    )
      return refused('new-voter', 'voting for less than one lease');
    this.sweep();
    const silent = [...this.grants.values()]
      .filter((grant) => grant.revision < revision)
      .map(({ node }) => node);
    return silent.length === 0 ? CONFIRMED : refused('older-lease', OLDER_LEASE, silent);
  }

  private sweep(): void {
    const now = this.clock.now();
    for (const [key, { until }] of this.grants) if (until <= now) this.grants.delete(key);
  }

  private wake(): void {
    for (const wake of [...this.watchers]) wake();
  }
}
