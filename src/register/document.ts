/**
 * One revision of the fleet's configuration: the register's whole value at that revision, chained to the one
 * before by digest, with the changes that made it. As text it is JSON with tables as sorted pairs; its digest
 * (document-digest.ts) is put together from those of its parts.
 */
import { Right } from 'purify-ts';
import type { Doorway, Placed } from '../doorway/shape.js';
import { ChunkCache } from '../route/chunks.js';
import type { Configuration, Patch } from '../route/shape.js';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import { documentWork } from './document-work.js';
import { digestOf, type Digest } from './hash.js';

export type Revision = number;
export type ChangeId = string;

export interface Voter {
  readonly id: string;
  readonly address: string;
  /** Where it stands; absent in revisions that earlier versions wrote. */
  readonly zone?: string | undefined;
  readonly region?: string | undefined;
}

export interface VoterSet {
  readonly number: number;
  /** How many voters there should be; fewer members than this means that a newcomer may take one. */
  readonly wanted: number;
  readonly members: readonly Voter[];
  /** The voter that the newest one took over from, which is to be removed next; absent where there is none. */
  readonly replaced?: string | undefined;
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

const entryTexts = new WeakMap<object, string>();

/** The JSON text of an entry of a table, which never changes; it is written once, since the next revisions share it. */
const entryText = (value: unknown): string => {
  if (typeof value !== 'object' || value === null) return JSON.stringify(value);
  const known = entryTexts.get(value);
  if (known !== undefined) return known;
  const text = JSON.stringify(value);
  entryTexts.set(value, text);
  return text;
};

const pairsText = (pairs: ReadonlyArray<readonly [string | number, unknown]>): string =>
  `[${pairs.map(([key, value]) => `[${JSON.stringify(key)},${entryText(value)}]`).join(',')}]`;

const sortedPairs = (table: ReadonlyMap<string, unknown>): string =>
  pairsText([...table].sort(([a], [b]) => (a < b ? -1 : 1)));

/** The text of the items of a list without the brackets around them. */
const itemsText = new ChunkCache((items) => Buffer.from(JSON.stringify(items).slice(1, -1)));

/** The text of an object in pieces. A field is a text, a list of pieces, or left out. */
const objectPieces = (
  fields: ReadonlyArray<readonly [string, string | readonly Uint8Array[] | undefined]>,
): Uint8Array[] => {
  const pieces: Uint8Array[] = [];
  let written = '{';
  for (const [name, value] of fields) {
    if (value === undefined) continue;
    written += `${written === '{' && pieces.length === 0 ? '' : ','}${JSON.stringify(name)}:`;
    if (typeof value === 'string') written += value;
    else {
      pieces.push(Buffer.from(written), ...value);
      written = '';
    }
  }
  pieces.push(Buffer.from(`${written}}`));
  return pieces;
};

const COMMA = Buffer.from(',');

const listPieces = (items: readonly object[]): Uint8Array[] => [
  Buffer.from('['),
  ...itemsText.valuesOf(items).flatMap((piece, at) => (at > 0 ? [COMMA, piece] : [piece])),
  Buffer.from(']'),
];

const configurationPieces = (configuration: Configuration): Uint8Array[] =>
  objectPieces(
    Object.entries(configuration).map(([name, value]: [string, unknown]) => [
      name,
      name === 'routes' || name === 'services'
        ? listPieces(value as readonly object[])
        : JSON.stringify(value),
    ]),
  );

const encoded = new WeakMap<Document, Uint8Array>();

/** The text of a document in bytes; it is made once, and only where a whole document is to be written or sent. */
export const encodeDocument = (document: Document): Uint8Array => {
  const known = encoded.get(document);
  if (known) return known;
  const bytes = documentWork.measure(
    'encode',
    () => encode(document),
    ({ length }) => length,
  );
  encoded.set(document, bytes);
  return bytes;
};

const encode = (document: Document): Uint8Array => {
  const { configuration } = document;
  const pieces = objectPieces([
    ['fleet', JSON.stringify(document.fleet)],
    ['revision', JSON.stringify(document.revision)],
    ['previous', JSON.stringify(document.previous)],
    ['core', JSON.stringify(document.core)],
    ['doorways', sortedPairs(document.doorways)],
    ['removed', sortedPairs(document.removed)],
    ['claims', sortedPairs(document.claims)],
    ['outcomes', pairsText([...document.outcomes])],
    ['registered', sortedPairs(document.registered)],
    ['registeredAt', JSON.stringify(document.registeredAt)],
    ['configuration', configuration && configurationPieces(configuration)],
    ['versions', document.versions.size ? pairsText([...document.versions]) : undefined],
    ['forgottenVersion', JSON.stringify(document.forgottenVersion)],
    ['cause', JSON.stringify(document.cause)],
  ]);
  return Buffer.concat(pieces);
};

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
