/** The configuration as one change: validity, patches, races on one version, resends, and what the history keeps of it. */
import { expect, test } from 'vitest';
import { applyChanges, VERSIONS, type Verdict } from '../../src/register/change.js';
import {
  decodeDocument,
  encodeDocument,
  genesis,
  type Change,
  type ConfigureAct,
  type Document,
} from '../../src/register/document.js';
import {
  BYTE_BOUND,
  ITEM_BOUND,
  mergePatch,
  readConfiguration,
  readPatch,
} from '../../src/route/check.js';
import type { Configuration, Patch, Route } from '../../src/route/shape.js';

const route = (name: string, over: Partial<Route> = {}): Route => ({
  name,
  host: 'h.example',
  prefix: `/${name}/`,
  kind: 'streaming',
  timeout: 5000,
  service: 's',
  ...over,
});
const configuration = (version: number, over: Partial<Configuration> = {}): Configuration => ({
  version,
  routes: [route('a')],
  services: [{ name: 's' }, { name: 't' }],
  ...over,
});
const reasonOf = (value: unknown): string =>
  readConfiguration(value).caseOf({ Left: ({ reason }) => reason, Right: () => '' });

const whole = (
  version: number,
  expects: number,
  over: Partial<Configuration> = {},
  digest = `w${version}-${expects}`,
): Change => {
  const act: ConfigureAct = {
    kind: 'configure',
    version,
    expects,
    digest,
    whole: configuration(version, over),
  };
  return { id: `version-${version}-${digest}`, firm: '', who: 'n', act };
};
const patched = (version: number, expects: number, patch: Omit<Patch, 'version'>): Change => {
  const act: ConfigureAct = {
    kind: 'configure',
    version,
    expects,
    digest: `p${version}-${expects}`,
    patch: { version, ...patch },
  };
  return { id: `version-${version}-${act.digest}`, firm: '', who: 'n', act };
};
const apply = (
  document: Document,
  ...changes: Change[]
): { document: Document; verdicts: Verdict[] } => {
  const applied = applyChanges(document, changes);
  return {
    document: applied.document,
    verdicts: changes.map(({ id }) => applied.verdicts.get(id)!),
  };
};
const start = genesis('f', []);

test('a proper configuration is read whole, with fields we do not know', () => {
  const given = configuration(7, {
    routes: [
      route('a', { extra: { colour: 'red' } }),
      route('b', {
        split: [
          { service: 's', weight: 90 },
          { service: 's', weight: 10 },
          { service: 't', weight: 0 },
        ],
      }),
    ],
    extra: { more: [1] },
  });
  const { value, text } = readConfiguration(given).unsafeCoerce();
  expect(value).toEqual(given);
  expect(JSON.parse(text)).toEqual(given);
  expect(readConfiguration({ ...given, limits: undefined }).unsafeCoerce().text).toBe(text);
});

test('each kind of invalid configuration is named with its item and field', () => {
  expect(reasonOf(undefined)).toMatch(/nothing/);
  expect(reasonOf('text')).toMatch(/expected/);
  expect(reasonOf({ version: 3, services: [] })).toMatch(/^routes is nothing/);
  expect(reasonOf(configuration(1.5))).toMatch(/^version is 1\.5: .*whole number/);
  expect(reasonOf(configuration(2 ** 60))).toMatch(/^version is/);
  expect(reasonOf(configuration(1, { routes: [route('a', { timeout: 0 })] }))).toMatch(
    /^routes\.0\.timeout is 0: .*above 0/,
  );
  expect(reasonOf(configuration(1, { routes: [route('a', { timeout: NaN })] }))).toMatch(
    /^routes\.0\.timeout is null/,
  );
  expect(reasonOf(configuration(1, { routes: [route('a', { prefix: '/a' })] }))).toMatch(
    /^routes\.0\.prefix is "\/a"/,
  );
  expect(reasonOf(configuration(1, { routes: [route('a', { prefix: 'a/' })] }))).toMatch(
    /^routes\.0\.prefix/,
  );
  expect(reasonOf(configuration(1, { routes: [route('a', { kind: 'other' as never })] }))).toMatch(
    /^routes\.0\.kind/,
  );
  expect(
    reasonOf(
      configuration(1, {
        routes: [
          route('a', {
            split: [
              { service: 's', weight: -1 },
              { service: 't', weight: 2 },
            ],
          }),
        ],
      }),
    ),
  ).toMatch(/^routes\.0\.split\.0\.weight is -1/);
  expect(
    reasonOf(configuration(1, { routes: [route('a', { split: [{ service: 's', weight: 0 }] })] })),
  ).toBe('route a: split has weights that sum to 0');
  expect(reasonOf(configuration(1, { routes: [route('a', { split: [] })] }))).toMatch(/^route a: /);
  expect(reasonOf(configuration(1, { routes: [route('a', { service: 'gone' })] }))).toBe(
    'route a: service names gone, which is no service',
  );
  expect(
    reasonOf(
      configuration(1, { routes: [route('a', { split: [{ service: 'gone', weight: 1 }] })] }),
    ),
  ).toBe('route a: split names gone, which is no service');
  expect(
    reasonOf(configuration(1, { routes: [{ ...route('a'), service: undefined } as never] })),
  ).toMatch(/^route a: service is nothing/);
  expect(reasonOf(configuration(1, { routes: [route('a'), route('a', { prefix: '/b/' })] }))).toBe(
    'route a is there twice',
  );
  expect(reasonOf(configuration(1, { services: [{ name: 's' }, { name: 's' }] }))).toBe(
    'service s is there twice',
  );
  expect(
    reasonOf(
      configuration(1, { routes: [route('a'), route('b', { host: 'H.example', prefix: '/a/' })] }),
    ),
  ).toBe('route b: host and prefix are those of route a');
});

test('too many items or bytes are refused', () => {
  const many = Array.from({ length: ITEM_BOUND + 1 }, (_, at) => route(`r${at}`));
  expect(reasonOf(configuration(1, { routes: many }))).toContain(`at most ${ITEM_BOUND} routes`);
  expect(reasonOf(configuration(1, { routes: many.slice(1) }))).toBe('');
  expect(reasonOf(configuration(1, { extra: { pad: 'x'.repeat(BYTE_BOUND) } }))).toMatch(
    /more than 4194304 bytes/,
  );
  expect(
    mergePatch(configuration(1, { extra: { pad: 'x'.repeat(BYTE_BOUND) } }), {
      version: 2,
      set: {},
      remove: {},
    }).isLeft(),
  ).toBe(true);
  expect(
    mergePatch(configuration(1, { routes: many.slice(1) }), {
      version: 2,
      set: { routes: [route('one-more')] },
      remove: {},
    }).isLeft(),
  ).toBe(true);
});

test('a patch replaces and adds by name, removes by name, and keeps the rest', () => {
  const before = configuration(5, {
    routes: [route('a'), route('b')],
    limits: { bodyBytes: 9 },
    extra: { kept: true },
  });
  const made = mergePatch(before, {
    version: 9,
    set: { routes: [route('c'), route('a', { service: 't' })] },
    remove: { routes: ['b', 'never-there'] },
  }).unsafeCoerce();
  expect(made).toEqual({
    ...before,
    version: 9,
    routes: [route('a', { service: 't' }), route('c')],
  });
  expect(
    mergePatch(before, { version: 9, set: {}, remove: { services: ['s'] } }).extract(),
  ).toMatchObject({ reason: 'route a: service names s, which is no service' });
  expect(
    mergePatch(before, {
      version: 9,
      set: { routes: [route('c'), route('c')] },
      remove: {},
    }).extract(),
  ).toMatchObject({ reason: 'set: route c is there twice' });
  expect(
    mergePatch(undefined, {
      version: 9,
      set: { routes: [route('c')], services: [{ name: 's' }] },
      remove: {},
    }).unsafeCoerce().routes,
  ).toHaveLength(1);
  expect(readPatch({ version: 9, set: { routes: 'x' }, remove: {} }).isLeft()).toBe(true);
  expect(readPatch({ version: 9, set: {}, remove: { routes: ['a'] } }).isRight()).toBe(true);
});

test('of two rivals on one version one wins, in one batch and in two', () => {
  const together = apply(start, whole(3, 0), whole(5, 0));
  expect(together.verdicts).toMatchObject([
    { kind: 'applied', revision: 2 },
    { kind: 'lost', inPlace: 3 },
  ]);
  expect(together.document.configuration?.version).toBe(3);
  const later = apply(
    together.document,
    whole(5, 0),
    patched(6, 3, { set: { routes: [route('c')] }, remove: {} }),
  );
  expect(later.verdicts.map(({ kind }) => kind)).toEqual(['lost', 'applied']);
  expect(later.document.configuration).toMatchObject({
    version: 6,
    routes: [{ name: 'a' }, { name: 'c' }],
  });
});

test('one number with two contents: the one in place is accepted again, the other has lost', () => {
  const { document } = apply(start, whole(3, 0));
  expect(apply(document, whole(3, 0)).verdicts).toEqual([{ kind: 'applied', revision: 2 }]);
  expect(
    apply(document, whole(3, 0, { services: [{ name: 's' }] }, 'other')).verdicts,
  ).toMatchObject([{ kind: 'lost' }]);
});

test('another version in place comes before what is invalid; on the version in place an invalid change is declined', () => {
  const { document } = apply(start, whole(3, 0));
  const bad = { routes: [route('a', { service: 'gone' })] };
  expect(apply(document, whole(4, 2, bad)).verdicts).toMatchObject([{ kind: 'lost' }]);
  expect(apply(document, whole(4, 3, bad)).verdicts).toMatchObject([
    { kind: 'declined', reason: 'route a: service names gone, which is no service' },
  ]);
  expect(apply(document, whole(3, 3), whole(2, 3)).verdicts).toMatchObject([
    { kind: 'declined', reason: 'version 3 is not above 3, which it builds on' },
    { kind: 'declined' },
  ]);
  expect(
    apply(document, patched(9, 3, { set: {}, remove: { services: ['s'] } })).verdicts,
  ).toMatchObject([{ kind: 'declined' }]);
  expect(apply(document, whole(4, 3, bad), whole(4, 2)).document).toBe(document);
});

test('a resend is accepted again after later versions, within a bounded window', () => {
  let { document } = apply(start, whole(1, 0));
  for (let version = 2; version <= VERSIONS + 10; version++)
    document = apply(document, whole(version, version - 1)).document;
  expect(document.versions.size).toBe(VERSIONS);
  expect(apply(document, whole(11, 10)).verdicts).toEqual([{ kind: 'applied', revision: 12 }]);
  expect(document.outcomes.size).toBe(0);
});

test('beyond that window a resend is never refused, since it may have been taken', () => {
  let { document } = apply(start, whole(2, 0));
  for (let each = 1; each < VERSIONS; each++)
    document = apply(document, whole(2 * each + 2, 2 * each)).document;
  expect(document.forgottenVersion).toBeUndefined();
  expect(apply(document, whole(1, 0)).verdicts).toMatchObject([{ kind: 'lost' }]);
  const newest = 2 * VERSIONS;
  document = apply(document, whole(newest + 2, newest), whole(newest + 4, newest + 2)).document;
  expect(document.forgottenVersion).toBe(4);
  for (const forgotten of [
    whole(2, 0),
    whole(4, 2),
    whole(3, 0),
    patched(4, 2, { set: {}, remove: {} }),
  ])
    expect(apply(document, forgotten).verdicts).toMatchObject([{ kind: 'indeterminate' }]);
  expect(apply(document, whole(6, 4)).verdicts).toEqual([{ kind: 'applied', revision: 4 }]);
  for (const loser of [whole(5, 4), whole(6, 4, {}, 'other'), whole(newest + 6, newest)])
    expect(apply(document, loser).verdicts).toMatchObject([{ kind: 'lost' }]);
  const again = decodeDocument(encodeDocument(document), 'x').unsafeCoerce();
  expect(again.forgottenVersion).toBe(4);
});

test('an order on top of a version that may come yet is not refused, as it may be in force then', () => {
  const { document } = apply(start, whole(3, 0));
  expect(apply(document, whole(7, 5)).verdicts).toMatchObject([{ kind: 'indeterminate' }]);
  const later = apply(document, whole(7, 5), whole(5, 3), whole(7, 5));
  expect(later.document.configuration?.version).toBe(7);
  expect(apply(document, whole(5, 7)).verdicts).toMatchObject([{ kind: 'declined' }]);
});

test('a large configuration is in the document once, and survives its text', () => {
  const routes = Array.from({ length: 350 }, (_, at) => route(`route-${at}`));
  const { document } = apply(start, whole(3, 0, { routes }));
  const text = Buffer.from(encodeDocument(document)).toString();
  expect(text.split('"route-349"')).toHaveLength(2);
  expect(document.cause).toEqual([
    {
      id: 'version-3-w3-0',
      firm: '',
      who: 'n',
      act: { kind: 'configure', version: 3, expects: 0, digest: 'w3-0' },
    },
  ]);
  const again = decodeDocument(encodeDocument(document), 'x').unsafeCoerce();
  expect(Buffer.from(encodeDocument(again)).toString()).toBe(text);
  expect(apply(again, whole(3, 0, { routes })).verdicts).toEqual([
    { kind: 'applied', revision: 2 },
  ]);
});
