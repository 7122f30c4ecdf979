/**
 * What is worked out from one revision to the next by what changed is the same as worked out anew: the digest of a document,
 * its text, the table of routes, and the length of a configuration. Nothing may change without the digest.
 */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { applyChanges } from '../../src/register/change.js';
import {
  decodeDocument,
  encodeDocument,
  genesis,
  type Document,
} from '../../src/register/document.js';
import { documentDigest } from '../../src/register/document-digest.js';
import type { Configuration, Patch, Route } from '../../src/route/shape.js';
import { RouteTable } from '../../src/route/table.js';

const HOSTS = 6;
const PREFIXES = ['/', '/a/', '/a/b/'];
const PLACES = Array.from({ length: HOSTS * PREFIXES.length * 5 }, (_, at) => at);

/** A route whose place is that of its number, so that no two take the same. */
const routeAt = (at: number, timeout: number): Route => ({
  name: `route-${at}`,
  host: `${at % 2 ? 'Host' : 'host'}-${at % HOSTS}.example`,
  prefix: `${PREFIXES[Math.floor(at / HOSTS) % PREFIXES.length]!}${at >= 18 ? `${at}/` : ''}`,
  kind: 'idempotent',
  timeout,
  service: 'alpha',
});

const first: Configuration = {
  version: 1,
  routes: PLACES.slice(0, 70).map((at) => routeAt(at, 1)),
  services: [{ name: 'alpha' }],
};

const patch = fc.record({
  set: fc.uniqueArray(fc.constantFrom(...PLACES), { maxLength: 5 }),
  remove: fc.uniqueArray(fc.constantFrom(...PLACES), { maxLength: 4 }),
  limit: fc.option(fc.nat(9), { nil: undefined }),
});

type Drawn = typeof patch extends fc.Arbitrary<infer T> ? T : never;

const patchOf = ({ set, remove, limit }: Drawn, version: number): Patch => ({
  version,
  set: {
    routes: set.map((at) => routeAt(at, version)),
    ...(limit !== undefined && { limits: { headerBytes: limit } }),
  },
  remove: { routes: remove.map((at) => `route-${at}`) },
});

/** The documents of a chain of changes, oldest first. */
const chainOf = (patches: readonly Drawn[]): Document[] => {
  const begin = { kind: 'configure', version: 1, expects: 0, digest: 'd', whole: first } as const;
  const change = (act: typeof begin | object): Parameters<typeof applyChanges>[1] => [
    { id: 'c', firm: '', who: 'w', act: act as typeof begin },
  ];
  const documents = [applyChanges(genesis('f', []), change(begin)).document];
  for (const drawn of patches) {
    const before = documents.at(-1)!;
    const { version } = before.configuration!;
    const act = { ...begin, version: version + 1, expects: version, whole: undefined };
    const next = { ...act, patch: patchOf(drawn, version + 1) };
    documents.push(applyChanges(before, change(next)).document);
  }
  return documents;
};

const again = (document: Document): Document =>
  decodeDocument(encodeDocument(document), 'p').unsafeCoerce();

test('over any chain of changes the digest is that of the document read anew, and differs from all others', () => {
  fc.assert(
    fc.property(fc.array(patch, { minLength: 1, maxLength: 8 }), (patches) => {
      const documents = chainOf(patches);
      const digests = documents.map(documentDigest);
      expect(documents.map(again).map(documentDigest)).toEqual(digests);
      expect(new Set(digests).size).toBe(documents.length);
    }),
    { numRuns: 60, seed: 3 },
  );
});

test('the text of a document is that of its JSON, and reads the same again', () => {
  fc.assert(
    fc.property(fc.array(patch, { maxLength: 6 }), (patches) => {
      for (const document of chainOf(patches)) {
        const bytes = Buffer.from(encodeDocument(document));
        expect(JSON.stringify(JSON.parse(bytes.toString()))).toBe(bytes.toString());
        expect(Buffer.from(encodeDocument(again(document))).equals(bytes)).toBe(true);
      }
    }),
    { numRuns: 40, seed: 4 },
  );
});

test('a table of routes made from the one before finds what one made anew finds', () => {
  fc.assert(
    fc.property(fc.array(patch, { minLength: 1, maxLength: 8 }), (patches) => {
      let table = new RouteTable(undefined);
      for (const { configuration } of chainOf(patches)) {
        const before = table;
        const found = before.configuration?.routes.map(({ host, prefix }) =>
          before.match(host, prefix),
        );
        table = new RouteTable(configuration, before);
        const fresh = new RouteTable(configuration);
        for (const at of PLACES) {
          const { host, prefix } = routeAt(at, 1);
          expect(table.match(host, `${prefix}x`)).toBe(fresh.match(host, `${prefix}x`));
        }
        expect([...table.services]).toEqual([...fresh.services]);
        expect(
          before.configuration?.routes.map(({ host, prefix }) => before.match(host, prefix)),
        ).toEqual(found);
      }
    }),
    { numRuns: 60, seed: 5 },
  );
});

/** Documents that differ from one in a single part each. */
const alteredOf = (document: Document): Document[] => {
  const configuration = document.configuration!;
  const [one, other, ...rest] = configuration.routes as [Route, Route, ...Route[]];
  const withRoutes = (...routes: Route[]): Document => ({
    ...document,
    configuration: { ...configuration, routes },
  });
  return [
    withRoutes({ ...one, timeout: 77 }, other, ...rest),
    withRoutes(other, one, ...rest),
    withRoutes(one, ...rest),
    withRoutes(one, other, ...rest, routeAt(200, 1)),
    withRoutes(...configuration.routes.slice(0, -1), { ...rest.at(-1)!, timeout: 78 }),
    { ...document, configuration: { ...configuration, limits: { bodyBytes: 1 } } },
    { ...document, configuration: { ...configuration, services: [{ name: 'beta' }] } },
    { ...document, configuration: { ...configuration, version: 99 } },
    { ...document, configuration: undefined },
    { ...document, revision: 99 },
    { ...document, previous: 'x' },
    { ...document, fleet: 'g' },
    { ...document, registeredAt: 5 },
    { ...document, forgottenVersion: 1 },
    { ...document, cause: [] },
    { ...document, core: { ...document.core, wanted: 9 } },
    { ...document, claims: new Map([['c', { firm: 'f', renewal: 1, duration: 1 }]]) },
    { ...document, removed: new Map([['r', 1]]) },
    { ...document, removed: new Map([['r', 2]]) },
    { ...document, outcomes: new Map([['o', { revision: 1, digest: 'd' }]]) },
    { ...document, versions: new Map([...document.versions].slice(1)) },
    { ...document, versions: new Map([...document.versions].reverse()) },
    { ...document, registered: new Map([['n', { address: 'a', zone: 'z', law: '' }]]) },
    { ...document, registered: new Map([['m', { address: 'a', zone: 'z', law: '' }]]) },
  ];
};

test('no part of a document can differ without its digest', () => {
  const drawn = { set: [1], remove: [], limit: 3 };
  const document = chainOf([drawn, drawn]).at(-1)!;
  const altered = alteredOf(document);
  const digests = [document, ...altered].map(documentDigest);
  expect(new Set(digests).size).toBe(altered.length + 1);
  expect(altered.map(again).map(documentDigest)).toEqual(digests.slice(1));
});
