/**
 * What changed from one revision to the next, so that whoever holds the one needs not be sent the other whole. Tables
 * and named items are compared one by one; what stayed is not told. The one who makes a delta also applies it, and gives
 * it out only when the very same document comes of it; the one who takes it is told the digest of what must come of it.
 */
import { Right } from 'purify-ts';
import { differenceOf } from '../route/difference.js';
import type { Configuration } from '../route/shape.js';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import type { Document } from './document.js';
import type { Digest } from './hash.js';
import { documentDigest } from './document-digest.js';
import { documentWork } from './document-work.js';

interface TableDelta {
  readonly set: ReadonlyArray<readonly [string | number, unknown]>;
  readonly drop: ReadonlyArray<string | number>;
}

interface ItemsDelta {
  readonly set: readonly Named[];
  readonly drop: readonly string[];
}

interface Named {
  readonly name: string;
}

interface Delta {
  /** All that is not a table, whole. */
  readonly head: Record<string, unknown>;
  readonly tables: Record<string, TableDelta>;
  /** Absent when nothing of it changed. */
  readonly configuration?: {
    readonly head: Record<string, unknown>;
    readonly routes: ItemsDelta;
    readonly services: ItemsDelta;
  };
}

const TABLES = ['doorways', 'removed', 'claims', 'outcomes', 'registered', 'versions'] as const;

type Table = ReadonlyMap<string | number, unknown>;

const same = (a: unknown, b: unknown): boolean =>
  a === b || JSON.stringify(a) === JSON.stringify(b);

const tableDelta = (before: Table, after: Table): TableDelta => {
  if (before === after) return { set: [], drop: [] };
  return {
    set: [...after].filter(([key, value]) => !before.has(key) || !same(before.get(key), value)),
    drop: [...before.keys()].filter((key) => !after.has(key)),
  };
};

const applyTable = (before: Table, { set, drop }: TableDelta): Table => {
  if (set.length === 0 && drop.length === 0) return before;
  const after = new Map(before);
  for (const key of drop) after.delete(key);
  for (const [key, value] of set) after.set(key, value);
  return after;
};

const itemsDelta = (wholeBefore: readonly Named[], wholeAfter: readonly Named[]): ItemsDelta => {
  const { before, after } = differenceOf(wholeBefore, wholeAfter);
  const known = new Map(before.map((item) => [item.name, item]));
  const names = new Set(after.map(({ name }) => name));
  return {
    set: after.filter((item) => !same(known.get(item.name), item)),
    drop: before.filter(({ name }) => !names.has(name)).map(({ name }) => name),
  };
};

/** What is set takes the place of its namesake, or comes last. */
const applyItems = <T extends Named>(
  before: readonly T[],
  { set, drop }: ItemsDelta,
): readonly T[] => {
  if (set.length === 0 && drop.length === 0) return before;
  const fresh = new Map((set as readonly T[]).map((item) => [item.name, item]));
  const gone = new Set(drop);
  const kept = before
    .filter(({ name }) => !gone.has(name))
    .map((item) => {
      const other = fresh.get(item.name);
      fresh.delete(item.name);
      return other ?? item;
    });
  return [...kept, ...fresh.values()];
};

const headOf = (document: Document): Record<string, unknown> =>
  Object.fromEntries(
    Object.entries(document).filter(
      ([name]) => name !== 'configuration' && !(TABLES as readonly string[]).includes(name),
    ),
  );

const configurationHead = (configuration: Configuration): Record<string, unknown> =>
  Object.fromEntries(
    Object.entries(configuration).map(([name, value]) => [
      name,
      name === 'routes' || name === 'services' ? [] : (value as unknown),
    ]),
  );

const configurationDelta = (
  before: Configuration | undefined,
  after: Configuration | undefined,
): Delta['configuration'] => {
  if (!after || before === after) return undefined;
  const routes = itemsDelta(before?.routes ?? [], after.routes);
  const services = itemsDelta(before?.services ?? [], after.services);
  if (
    before &&
    before.version === after.version &&
    routes.set.length + routes.drop.length + services.set.length + services.drop.length === 0
  )
    return undefined;
  return { head: configurationHead(after), routes, services };
};

/** The delta from one document to the next, or nothing when the next can't be had by one. */
export const deltaOf = (before: Document, after: Document): Uint8Array | undefined =>
  documentWork.measure(
    'make-delta',
    () => makeDelta(before, after),
    (bytes) => bytes?.length ?? 0,
  );

const makeDelta = (before: Document, after: Document): Uint8Array | undefined => {
  const configuration = configurationDelta(before.configuration, after.configuration);
  const delta: Delta = {
    head: headOf(after),
    tables: Object.fromEntries(TABLES.map((name) => [name, tableDelta(before[name], after[name])])),
    ...(configuration && { configuration }),
  };
  const bytes = Buffer.from(JSON.stringify(delta));
  const applied = applyDelta(before, bytes, documentDigest(after), 'self');
  return applied.isRight() ? bytes : undefined;
};

/** The document that a delta makes of the one it was made from; only with the digest it must have. */
export const applyDelta = (
  before: Document,
  bytes: Uint8Array,
  digest: Digest,
  peer: string,
): Outcome<Document> =>
  documentWork.measure(
    'apply-delta',
    () => rebuild(before, bytes, digest, peer),
    () => bytes.length,
  );

const rebuild = (
  before: Document,
  bytes: Uint8Array,
  digest: Digest,
  peer: string,
): Outcome<Document> => {
  try {
    const { head, tables, configuration } = JSON.parse(
      Buffer.from(bytes).toString('utf8'),
    ) as Delta;
    const after = {
      ...head,
      ...Object.fromEntries(TABLES.map((name) => [name, applyTable(before[name], tables[name]!)])),
      configuration: configuration
        ? {
            ...configuration.head,
            routes: applyItems(before.configuration?.routes ?? [], configuration.routes),
            services: applyItems(before.configuration?.services ?? [], configuration.services),
          }
        : before.configuration,
    } as unknown as Document;
    return documentDigest(after) === digest
      ? Right(after)
      : failed('delta.apply', peer, 'does not make the document it should');
  } catch (thrown) {
    return failed('delta.apply', peer, String(thrown));
  }
};
