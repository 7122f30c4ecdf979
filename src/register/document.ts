/**
 * One revision of the fleet's configuration: the register's whole value at that revision, chained to the one
 * before by digest, with the changes that made it. As text it is JSON with tables as sorted pairs, so that equal
 * documents have equal digests on every node.
 */
import { createHash } from 'node:crypto';
import { Right } from 'purify-ts';
import type { Doorway, Placed } from '../doorway/shape.js';
import type { Configuration, Patch } from '../route/shape.js';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import { documentWork } from './document-work.js';

export type Revision = number;
export type ChangeId = string;
export type Digest = string;

export interface Voter {
  readonly id: string;
  readonly address: string;
}

export interface VoterSet {
  readonly number: number;
  /** How many voters there should be; fewer members than this means that a newcomer may take one. */
  readonly wanted: number;
  readonly members: readonly Voter[];
}

/** A router that counts toward the majority that confirms for routers cut off from the core. */
export interface Registered {
  readonly address: string;
  readonly zone: string;
  /** The touching law it keeps, so that others notice one that differs. */
  readonly law: string;
}

export interface Claim {
  readonly firm: string;
  readonly renewal: number;
  readonly duration: number;
}

export type DoorwayAct =
  | { readonly kind: 'set'; readonly doorway: Doorway; readonly expects: Revision }
  | { readonly kind: 'remove'; readonly name: string; readonly expects: Revision };

/**
 * The operators' configuration under the next version, on top of the version expected: whole, or as a patch. What is kept
 * in the history names only the versions and the digest of the request.
 */
export interface ConfigureAct {
  readonly kind: 'configure';
  readonly version: number;
  readonly expects: number;
  readonly digest: Digest;
  readonly whole?: Configuration;
  readonly patch?: Patch;
}

export type Act =
  | DoorwayAct
  /** Many doorways at once: all of it or nothing. */
  | { readonly kind: 'apply'; readonly items: readonly DoorwayAct[] }
  | {
      readonly kind: 'claim';
      readonly name: string;
      readonly duration: number;
      readonly expects: number;
      readonly takeover: boolean;
    }
  | {
      readonly kind: 'addVoter';
      readonly voter: Voter;
      readonly expects: number;
      /** The voter it takes over from, which is removed next; how many are wanted stays as it is. */
      readonly replaces?: string;
    }
  | {
      readonly kind: 'removeVoter';
      readonly id: string;
      readonly vacant: boolean;
      readonly expects: number;
    }
  | {
      readonly kind: 'registerRouter';
      readonly name: string;
      readonly registered: Registered;
      readonly expects: Revision;
    }
  | { readonly kind: 'deregister'; readonly name: string; readonly expects: Revision }
  | ConfigureAct;

export interface Change {
  readonly id: ChangeId;
  readonly firm: string;
  readonly who: string;
  readonly act: Act;
}

export interface Kept {
  readonly revision: Revision;
  readonly digest: Digest;
}

export interface Document {
  readonly fleet: string;
  readonly revision: Revision;
  readonly previous: Digest;
  readonly core: VoterSet;
  readonly doorways: ReadonlyMap<string, Placed>;
  readonly removed: ReadonlyMap<string, Revision>;
  readonly claims: ReadonlyMap<string, Claim>;
  readonly outcomes: ReadonlyMap<ChangeId, Kept>;
  readonly registered: ReadonlyMap<string, Registered>;
  /** The revision of the last registration or deregistration. */
  readonly registeredAt: Revision;
  /** The routes of the operators' newest version, where there are any. */
  readonly configuration?: Configuration | undefined;
  /** The requests that made the last versions, by version, oldest first, so that one that is resent is known again. */
  readonly versions: ReadonlyMap<number, Kept>;
  /** The newest version whose request is no longer remembered; absent while all of them are. */
  readonly forgottenVersion?: number | undefined;
  readonly cause: readonly Change[];
}

interface Raw extends Omit<
  Document,
  'doorways' | 'removed' | 'claims' | 'outcomes' | 'registered' | 'versions'
> {
  versions?: Array<[number, Kept]>;
  registered: Array<[string, Registered]>;
  doorways: Array<[string, Placed]>;
  removed: Array<[string, Revision]>;
  claims: Array<[string, Claim]>;
  outcomes: Array<[ChangeId, Kept]>;
}

const digestOf = (bytes: Uint8Array | string): Digest =>
  createHash('sha256').update(bytes).digest('hex');
export { digestOf };

const documentDigests = new WeakMap<Uint8Array, Digest>();

/** The digest of a document's bytes, which are never changed once they are made; it is worked out once. */
export const documentDigest = (bytes: Uint8Array): Digest => {
  const known = documentDigests.get(bytes);
  if (known !== undefined) return known;
  const digest = documentWork.measure(
    'digest',
    () => digestOf(bytes),
    () => bytes.length,
  );
  documentDigests.set(bytes, digest);
  return digest;
};

/** Names a voter set by what it is: two proposed changes of one set bear the same number. */
export const voterSetDigest = ({ number, members }: VoterSet): Digest =>
  digestOf(JSON.stringify([number, ...members.map(({ id }) => id).sort()]));

/** A change as the history keeps it, without the whole of a configuration. */
export const slim = (change: Change): Change => {
  if (change.act.kind !== 'configure') return change;
  const { kind, version, expects, digest } = change.act;
  return { ...change, act: { kind, version, expects, digest } };
};

export const changeDigest = (change: Change): Digest =>
  digestOf(
    JSON.stringify([change.firm, change.act], (key, value: unknown) =>
      key === 'takeover' ? undefined : value,
    ),
  );

const pairs = <V>(table: ReadonlyMap<string, V>): Array<[string, V]> =>
  [...table].sort(([a], [b]) => (a < b ? -1 : 1));

/** The text of a document, from which its digest is made. */
export const encodeDocument = (document: Document): Uint8Array =>
  documentWork.measure(
    'encode',
    () => encode(document),
    (bytes) => bytes.length,
  );

const encode = (document: Document): Uint8Array =>
  Buffer.from(
    JSON.stringify({
      fleet: document.fleet,
      revision: document.revision,
      previous: document.previous,
      core: document.core,
      doorways: pairs(document.doorways),
      removed: pairs(document.removed),
      claims: pairs(document.claims),
      outcomes: [...document.outcomes],
      registered: pairs(document.registered),
      registeredAt: document.registeredAt,
      configuration: document.configuration,
      versions: document.versions.size ? [...document.versions] : undefined,
      forgottenVersion: document.forgottenVersion,
      cause: document.cause,
    }),
  );

/** Reads a document; `peer` is whom it came from. */
export const decodeDocument = (bytes: Uint8Array, peer: string): Outcome<Document> =>
  documentWork.measure(
    'decode',
    () => decode(bytes, peer),
    () => bytes.length,
  );

const decode = (bytes: Uint8Array, peer: string): Outcome<Document> => {
  try {
    const raw = JSON.parse(Buffer.from(bytes).toString('utf8')) as Raw;
    if (!Number.isSafeInteger(raw.revision) || typeof raw.fleet !== 'string')
      return failed('document.decode', peer, 'not a revision of ours');
    return Right({
      fleet: raw.fleet,
      revision: raw.revision,
      previous: raw.previous,
      core: raw.core,
      doorways: new Map(raw.doorways),
      removed: new Map(raw.removed),
      claims: new Map(raw.claims),
      outcomes: new Map(raw.outcomes),
      registered: new Map(raw.registered),
      registeredAt: raw.registeredAt,
      configuration: raw.configuration,
      versions: new Map(raw.versions ?? []),
      forgottenVersion: raw.forgottenVersion,
      cause: raw.cause,
    });
  } catch (thrown) {
    return failed('document.decode', peer, String(thrown));
  }
};

export const genesis = (
  fleet: string,
  members: readonly Voter[],
  wanted = members.length,
): Document => ({
  fleet,
  revision: 1,
  previous: '',
  core: { number: 1, wanted: Math.max(wanted, members.length), members },
  doorways: new Map(),
  removed: new Map(),
  claims: new Map(),
  outcomes: new Map(),
  registered: new Map(),
  registeredAt: 0,
  versions: new Map(),
  cause: [],
});

/** What a change is about, for people. */
export const subjectOf = (act: Act): string => {
  switch (act.kind) {
    case 'set':
      return act.doorway.name;
    case 'apply':
      return act.items.map(subjectOf).join(' ').slice(0, 400);
    case 'addVoter':
      return act.voter.address;
    case 'removeVoter':
      return act.id;
    case 'configure':
      return `version ${act.version}`;
    case 'remove':
    case 'claim':
    case 'registerRouter':
    case 'deregister':
      return act.name;
  }
};
