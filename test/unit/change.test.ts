/** Changes as functions of the value: races, repeated ids, removed names, claims and ties. */
import { expect, test } from 'vitest';
import type { Doorway } from '../../src/doorway/shape.js';
import { applyChanges, WINDOW } from '../../src/register/change.js';
import {
  decodeDocument,
  encodeDocument,
  genesis,
  type Act,
  type Change,
  type Document,
} from '../../src/register/document.js';

const doorway = (name: string, over: Partial<Doorway> = {}): Doorway => ({
  name,
  firm: 's',
  match: { tag: name },
  engines: [],
  repeatable: false,
  resume: false,
  limits: { firstToken: 1, total: 2 },
  line: 1,
  share: 1,
  ...over,
});
const change = (id: string, act: Act, firm = 's'): Change => ({ id, firm, who: 'o', act });
const put = (id: string, expects: number, over: Partial<Doorway> = {}): Change =>
  change(id, { kind: 'set', doorway: doorway('d', over), expects });
const start = genesis('f', []);
const apply = (
  document: Document,
  ...changes: Change[]
): { document: Document; kinds: string[] } => {
  const applied = applyChanges(document, changes);
  return {
    document: applied.document,
    kinds: changes.map(({ id }) => applied.verdicts.get(id)!.kind),
  };
};

test('of two rivals in one batch the second has lost, and both keep their outcome when repeated', () => {
  const first = apply(start, put('a', 0), put('b', 0));
  expect(first.kinds).toEqual(['applied', 'lost']);
  const again = apply(first.document, put('a', 0), put('b', 0));
  expect(again.kinds).toEqual(['applied', 'lost']);
  expect(again.document).toBe(first.document);
});

test('an id used for another change is declined', () => {
  const { document } = apply(start, put('a', 0));
  expect(apply(document, put('a', 2, { line: 9 })).kinds).toEqual(['declined']);
});

test('a lost creation can not come back after a removal', () => {
  const made = apply(start, put('a', 0)).document;
  const gone = apply(made, change('r', { kind: 'remove', name: 'd', expects: 2 })).document;
  expect(apply(gone, put('late', 0)).kinds).toEqual(['lost']);
  expect(apply(gone, put('knowing', 3)).kinds).toEqual(['applied']);
});

test('a firm changes only its own doorways and names it may claim', () => {
  const { document } = apply(start, put('a', 0));
  expect(
    apply(
      document,
      change('x', { kind: 'set', doorway: doorway('d', { firm: 't' }), expects: 2 }, 't'),
    ).kinds,
  ).toEqual(['declined']);
  expect(
    apply(document, change('x', { kind: 'remove', name: 'd', expects: 2 }, 't')).kinds,
  ).toEqual(['declined']);
  expect(
    apply(
      document,
      change('x', { kind: 'claim', name: 'd', duration: 1, expects: 1, takeover: true }, 't'),
    ).kinds,
  ).toEqual(['declined']);
  const claimed = apply(
    start,
    change('c', { kind: 'claim', name: 'n', duration: 5, expects: 0, takeover: false }),
  ).document;
  expect(
    apply(
      claimed,
      change('x', { kind: 'claim', name: 'n', duration: 1, expects: 1, takeover: false }, 't'),
    ).kinds,
  ).toEqual(['declined']);
  expect(
    apply(
      claimed,
      change('x', { kind: 'claim', name: 'n', duration: 1, expects: 1, takeover: true }, 't'),
    ).kinds,
  ).toEqual(['applied']);
  expect(
    apply(
      claimed,
      change('x', { kind: 'claim', name: 'n', duration: 1, expects: 0, takeover: true }, 't'),
    ).kinds,
  ).toEqual(['lost']);
});

test('doorways that match the very same requests are declined', () => {
  const { document } = apply(start, put('a', 0));
  expect(
    apply(
      document,
      change('x', { kind: 'set', doorway: doorway('e', { match: { tag: 'd' } }), expects: 0 }),
    ).kinds,
  ).toEqual(['declined']);
});

test('the window of ids is bounded, and a revision survives its text', () => {
  let document = start;
  for (let at = 0; at < WINDOW + 20; at += 256)
    document = apply(
      document,
      ...Array.from({ length: 256 }, (_, each) =>
        change(`c${at + each}`, {
          kind: 'claim',
          name: 'n',
          duration: 5,
          expects: at + each,
          takeover: false,
        }),
      ),
    ).document;
  expect(document.outcomes.size).toBe(WINDOW);
  const text = encodeDocument(document);
  expect(encodeDocument(decodeDocument(text, 'x').unsafeCoerce())).toEqual(text);
});

test('many doorways in one change: all of it or nothing, ties judged at the end, and what stands in the way named by place', () => {
  const { document } = apply(
    start,
    put('a', 0),
    change('b', { kind: 'set', doorway: doorway('e'), expects: 0 }),
  );
  const swap = change('swap', {
    kind: 'apply',
    items: [
      { kind: 'set', doorway: doorway('d', { match: { tag: 'e' } }), expects: 2 },
      { kind: 'set', doorway: doorway('e', { match: { tag: 'd' } }), expects: 2 },
    ],
  });
  const swapped = apply(document, swap);
  expect(swapped.kinds).toEqual(['applied']);
  expect(
    [...swapped.document.doorways.values()].map(({ doorway: { match }, revision }) => [
      match.tag,
      revision,
    ]),
  ).toEqual([
    ['e', 3],
    ['d', 3],
  ]);
  const stale = change('stale', {
    kind: 'apply',
    items: [
      { kind: 'set', doorway: doorway('f'), expects: 0 },
      { kind: 'remove', name: 'd', expects: 1 },
    ],
  });
  const lost = applyChanges(document, [stale]);
  expect(lost.verdicts.get('stale')).toEqual({
    kind: 'lost',
    reason: 'items[1]: doorway d is at revision 2, not 1',
  });
  expect(lost.document).toBe(document);
  const tie = change('tie', {
    kind: 'apply',
    items: [
      { kind: 'set', doorway: doorway('f', { match: { tag: 'd' } }), expects: 0 },
      { kind: 'set', doorway: doorway('g'), expects: 0 },
    ],
  });
  expect(apply(document, tie).kinds).toEqual(['declined']);
  const twice = change('twice', {
    kind: 'apply',
    items: [
      { kind: 'remove', name: 'd', expects: 2 },
      { kind: 'set', doorway: doorway('d'), expects: 2 },
    ],
  });
  expect(apply(document, twice).kinds).toEqual(['declined']);
  expect(apply(document, swap, put('late', 2)).kinds).toEqual(['applied', 'lost']);
});
