/** The calls by which core machines agree on the first revision, before any group exists. */
import { call } from '../../wire/call.js';
import { blob, choice, flag, list, number, struct, text } from '../../wire/field.js';
import { ballotField, type Ballot } from '../ballot.js';

/**
 * What an acceptor of the first revision may do.
 * - `none`: nothing on its disk says that it was there from the beginning; it votes in no ordinary round.
 * - `candidate`: promised in a unanimous round; it may accept in that round alone.
 * - `voter`: its disk holds all it ever voted, from its first start or from a unanimous round on.
 * - `disqualified`: what it voted may be lost.
 */
export type AcceptorRole = (typeof ACCEPTOR_ROLES)[number];
const ACCEPTOR_ROLES = ['none', 'candidate', 'voter', 'disqualified'] as const;

/** Asks a core machine what it knows; `address` and `seeds` tell it about the one who asks. */
export interface StatusAsk {
  address: string;
  seeds: string[];
}
export interface StatusReply {
  member: string;
  /** It holds a revision, so a group exists. */
  formed: boolean;
  /** Its disk works, and nothing that it may have voted is lost. */
  healthy: boolean;
  role: AcceptorRole;
  /** The seeds it is bound to; for role `none` those that it was started with. */
  seeds: string[];
  promised: Ballot;
  /** The newest voter set that it knows to be committed, as JSON. */
  core: string;
  zone: string;
  region: string;
}
export const BootstrapStatus = call<StatusAsk, StatusReply>(
  96,
  'bootstrap.status',
  struct({ address: text, seeds: list(text) }),
  struct({
    member: text,
    formed: flag,
    healthy: flag,
    role: choice(ACCEPTOR_ROLES),
    seeds: list(text),
    promised: ballotField,
    core: text,
    zone: text,
    region: text,
  }),
);

/** `acceptor` is the identity of the disk that is asked, so that a vote is never counted for another one. */
export interface BootstrapPrepareAsk {
  seeds: string[];
  ballot: Ballot;
  acceptor: string;
  unanimous: boolean;
}
export interface BootstrapPrepareReply {
  promised: boolean;
  highest: Ballot;
  /** The ballot of the value accepted here; counter 0 for none. */
  accepted: Ballot;
  document: Uint8Array;
}
export const BootstrapPrepare = call<BootstrapPrepareAsk, BootstrapPrepareReply>(
  97,
  'bootstrap.prepare',
  struct({ seeds: list(text), ballot: ballotField, acceptor: text, unanimous: flag }),
  struct({ promised: flag, highest: ballotField, accepted: ballotField, document: blob }),
);

export interface BootstrapAcceptAsk {
  seeds: string[];
  ballot: Ballot;
  acceptor: string;
  document: Uint8Array;
}
export interface BootstrapAcceptReply {
  accepted: boolean;
  highest: Ballot;
}
export const BootstrapAccept = call<BootstrapAcceptAsk, BootstrapAcceptReply>(
  98,
  'bootstrap.accept',
  struct({ seeds: list(text), ballot: ballotField, acceptor: text, document: blob }),
  struct({ accepted: flag, highest: ballotField }),
);

/** An operator's order to form the group from the machines at these addresses, all of which must answer. */
export interface BeginAsk {
  seeds: string[];
  wanted: number;
}
export const BootstrapBegin = call<BeginAsk, { begun: boolean }>(
  99,
  'bootstrap.begin',
  struct({ seeds: list(text), wanted: number }),
  struct({ begun: flag }),
);
