/** The calls of the register between proposers, members and followers. */
import { call } from '../wire/call.js';
import {
  blob,
  choice,
  flag,
  list,
  number,
  optionalText,
  struct,
  text,
  type Field,
} from '../wire/field.js';
import { ballotField, type Ballot } from './ballot.js';

/** `set` and `voters`: the number of the voter set that the round is run under, and the digest of who is in it. */
export interface PrepareAsk {
  set: number;
  voters: string;
  ballot: Ballot;
  /** The digest of a revision that the proposer holds and need not be sent, or nothing. */
  known: string;
}
/**
 * `digest`, `document`: the accepted value where the ballot was promised; the document is empty where it is the one that
 * the proposer holds.
 */
export interface PrepareReply {
  promised: boolean;
  highest: Ballot;
  accepted: Ballot;
  committed: number;
  digest: string;
  document: Uint8Array;
}
export const Prepare = call<PrepareAsk, PrepareReply>(
  1,
  'register.prepare',
  struct({ set: number, voters: text, ballot: ballotField, known: text }),
  struct({
    promised: flag,
    highest: ballotField,
    accepted: ballotField,
    committed: number,
    digest: text,
    document: blob,
  }),
);

/** `document`: the value, whole where `base` is empty, else the delta that makes it of the revision with that digest. */
export interface AcceptAsk {
  set: number;
  voters: string;
  ballot: Ballot;
  document: Uint8Array;
  base: string;
  /** The digest of the value. */
  digest: string;
}
/** `lacksBase`: the value must be sent whole, since what is accepted here is not the revision that the delta is for. */
export interface AcceptReply {
  accepted: boolean;
  highest: Ballot;
  lacksBase: boolean;
}
export const Accept = call<AcceptAsk, AcceptReply>(
  2,
  'register.accept',
  struct({
    set: number,
    voters: text,
    ballot: ballotField,
    document: blob,
    base: text,
    digest: text,
  }),
  struct({ accepted: flag, highest: ballotField, lacksBase: flag }),
);

export interface CommitNotice {
  revision: number;
  ballot: Ballot;
  digest: string;
}
export const Committed = call<CommitNotice, { known: boolean }>(
  3,
  'register.committed',
  struct({ revision: number, ballot: ballotField, digest: text }),
  struct({ known: flag }),
);

/**
 * Whether a member votes, and if not, why:
 * - `voting`: it promises and accepts.
 * - `non-voting`: it is in no voter set, so it has nothing to vote on.
 * - `recovering`: its disk failed; it votes again by itself once the disk works.
 * - `disqualified`: what it voted for may be lost, so it never votes again under its identity.
 */
export type VoteState = (typeof VOTE_STATES)[number];
const VOTE_STATES = ['voting', 'non-voting', 'recovering', 'disqualified'] as const;

/** `sure`: all this member ever voted for is in what it tells, whether or not it can vote now. */
export interface StateReply {
  member: string;
  formed: boolean;
  voting: boolean;
  vote: VoteState;
  sure?: boolean;
  reason: string;
  accepted: Ballot;
  revision: number;
  committed: number;
  core: string;
  whole: string;
  zone: string;
  region: string;
}
export const State = call<{ from: string }, StateReply>(
  4,
  'register.state',
  struct({ from: text }),
  struct({
    member: text,
    formed: flag,
    voting: flag,
    vote: choice(VOTE_STATES),
    sure: flag,
    reason: text,
    accepted: ballotField,
    revision: number,
    committed: number,
    core: text,
    whole: text,
    zone: text,
    region: text,
  }),
);

export interface FeedItem {
  ballot: Ballot;
  document: Uint8Array;
}
/** An item as it is sent: whole when `base` is 0, else the delta from that revision, with the digest of what it makes. */
export interface FeedFrame extends FeedItem {
  base: number;
  digest: string;
}
export interface FeedReply {
  committed: number;
  checkpoint: boolean;
  items: FeedFrame[];
}
/**
 * `deltas`: the asker holds the revision it names, and takes what follows as deltas. `node`: the asker's name, where the
 * revision it names is in force there.
 */
export interface FeedAsk {
  from: number;
  wait: number;
  deltas?: boolean;
  node?: string | undefined;
}
export const Feed = call<FeedAsk, FeedReply>(
  5,
  'register.feed',
  struct<FeedAsk>({
    from: number,
    wait: number,
    deltas: flag as Field<boolean | undefined>,
    node: optionalText,
  }),
  struct({
    committed: number,
    checkpoint: flag,
    items: list(
      struct<FeedFrame>({ ballot: ballotField, document: blob, base: number, digest: text }),
    ),
  }),
);

/** Waits until something committed beyond a revision, without taking it: how a follower notices a source that is behind. */
export const Tip = call<{ from: number; wait: number }, { committed: number }>(
  9,
  'register.tip',
  struct({ from: number, wait: number }),
  struct({ committed: number }),
);

export const Form = call<{ document: Uint8Array }, { formed: boolean }>(
  6,
  'register.form',
  struct({ document: blob }),
  struct({ formed: flag }),
);

export const History = call<{ revision: number }, { items: FeedItem[] }>(
  7,
  'register.history',
  struct({ revision: number }),
  struct({ items: list(struct<FeedItem>({ ballot: ballotField, document: blob })) }),
);
