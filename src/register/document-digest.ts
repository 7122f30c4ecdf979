/**
 * Digests of documents, put together from digests of their parts: each item of a list and each entry of a table has one, a
 * list has one over chunks of its items, and the document has one over its head, its tables and its lists. Parts are never
 * changed once they are made, and the documents of a chain share those that stayed, so each part is digested once, and a
 * change costs what it changed, however large the rest is.
 */
import { ChunkCache } from '../route/chunks.js';
import type { Configuration } from '../route/shape.js';
import type { Document } from './document.js';
import { documentWork } from './document-work.js';
import { digestOf, type Digest } from './hash.js';

type Table = ReadonlyMap<string | number, unknown>;

const itemDigests = new WeakMap<object, Digest>();
const tableDigests = new WeakMap<Table, Digest>();
const documentDigests = new WeakMap<Document, Digest>();

/** The characters of all parts that were digested. */
let digestedLength = 0;

const partDigest = (text: string): Digest => {
  digestedLength += text.length;
  return digestOf(text);
};

const itemDigest = (item: object): Digest => {
  const known = itemDigests.get(item);
  if (known !== undefined) return known;
  const digest = partDigest(JSON.stringify(item));
  itemDigests.set(item, digest);
  return digest;
};

const valueDigest = (value: unknown): string =>
  typeof value === 'object' && value !== null ? itemDigest(value) : JSON.stringify(value);

/** The digest of a table: of its entries in their order, or by their names where the order says nothing. */
const tableDigest = (table: Table, isOrdered: boolean): Digest => {
  const known = tableDigests.get(table);
  if (known !== undefined) return known;
  const lines: string[] = [];
  for (const [key, value] of table) lines.push(`${JSON.stringify(key)} ${valueDigest(value)}`);
  if (!isOrdered) lines.sort();
  const digest = partDigest(lines.join('\n'));
  tableDigests.set(table, digest);
  return digest;
};

const chunkDigests = new ChunkCache((items) => partDigest(items.map(itemDigest).join(' ')));

const listDigest = (items: readonly object[]): Digest =>
  partDigest(`${items.length} ${chunkDigests.valuesOf(items).join(' ')}`);

const configurationDigest = (configuration: Configuration | undefined): Digest => {
  if (!configuration) return '';
  const { routes, services, ...head } = configuration;
  return partDigest(JSON.stringify([head, listDigest(routes), listDigest(services)]));
};

/** The digest of a document, which is worked out once. */
export const documentDigest = (document: Document): Digest => {
  const known = documentDigests.get(document);
  if (known !== undefined) return known;
  const before = digestedLength;
  const digest = documentWork.measure(
    'digest',
    () => makeDigest(document),
    () => digestedLength - before,
  );
  documentDigests.set(document, digest);
  return digest;
};

const makeDigest = (document: Document): Digest => {
  const { doorways, removed, claims, outcomes, registered, versions, configuration, ...head } =
    document;
  return partDigest(
    JSON.stringify([
      head.fleet,
      head.revision,
      head.previous,
      head.core,
      head.registeredAt,
      head.forgottenVersion ?? null,
      head.cause,
      tableDigest(doorways, false),
      tableDigest(removed, false),
      tableDigest(claims, false),
      tableDigest(registered, false),
      tableDigest(outcomes, true),
      tableDigest(versions, true),
      configurationDigest(configuration),
    ]),
  );
};
