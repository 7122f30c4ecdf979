/** The calls of the leases: renewing a node's lease, giving it back, and confirming that none stands on an old revision. */
import { call } from '../wire/call.js';
import { choice, flag, list, number, struct, text } from '../wire/field.js';

export interface RenewAsk {
  node: string;
  incarnation: string;
  address: string;
  zone: string;
  revision: number;
  report: number;
}
/** `nodes`: how many nodes hold leases of this member, the asker counted. */
export interface RenewReply {
  granted: boolean;
  duration: number;
  reason: string;
  nodes: number;
}
export const Renew = call<RenewAsk, RenewReply>(
  16,
  'lease.renew',
  struct({
    node: text,
    incarnation: text,
    address: text,
    zone: text,
    revision: number,
    report: number,
  }),
  struct({ granted: flag, duration: number, reason: text, nodes: number }),
);

export const Goodbye = call<{ node: string; incarnation: string }, { known: boolean }>(
  17,
  'lease.goodbye',
  struct({ node: text, incarnation: text }),
  struct({ known: flag }),
);

export interface Report {
  node: string;
  revision: number;
}
const reportField = struct<Report>({ node: text, revision: number });
/**
 * Why a member does not confirm for a revision:
 * - `none`: it confirms.
 * - `not-voting`: it does not vote now.
 * - `behind`: it holds only an older revision, so what it knows of the routers may be old as well.
 * - `new-voter`: it has been voting for less than one lease and may have forgotten grants.
 * - `older-lease`: a node may still serve by an older revision.
 */
export type ConfirmRefusal = (typeof CONFIRM_REFUSALS)[number];
const CONFIRM_REFUSALS = ['none', 'not-voting', 'behind', 'new-voter', 'older-lease'] as const;

export interface ConfirmReply {
  confirmed: boolean;
  refusal: ConfirmRefusal;
  silent: string[];
  reason: string;
  registered: string[];
  reports: Report[];
}
export const Confirm = call<{ revision: number; wait: number }, ConfirmReply>(
  18,
  'lease.confirm',
  struct({ revision: number, wait: number }),
  struct({
    confirmed: flag,
    refusal: choice(CONFIRM_REFUSALS),
    silent: list(text),
    reason: text,
    registered: list(text),
    reports: list(reportField),
  }),
);

export interface LeaseHolder {
  node: string;
  incarnation: string;
  address: string;
  zone: string;
  revision: number;
  remaining: number;
}
export const LeaseHolders = call<{ from: string }, { leaseHolders: LeaseHolder[] }>(
  19,
  'lease.leaseHolders',
  struct({ from: text }),
  struct({
    leaseHolders: list(
      struct<LeaseHolder>({
        node: text,
        incarnation: text,
        address: text,
        zone: text,
        revision: number,
        remaining: number,
      }),
    ),
  }),
);

/** One router confirming for another: it will report nothing newer than the revision until the lease ends. */
export interface PeerLeaseAsk {
  node: string;
  revision: number;
}
export interface PeerLeaseReply {
  node: string;
  granted: boolean;
  duration: number;
  reason: string;
}
export const PeerLease = call<PeerLeaseAsk, PeerLeaseReply>(
  20,
  'lease.peer',
  struct({ node: text, revision: number }),
  struct({ node: text, granted: flag, duration: number, reason: text }),
);
