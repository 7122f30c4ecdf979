/** Which value a round builds upon: the highest ballot, save where that contradicts what is known to be committed. */
import { expect, test } from 'vitest';
import type { Ballot } from '../../src/register/ballot.js';
import type { PrepareReply } from '../../src/register/calls.js';
import { applyChanges } from '../../src/register/change.js';
import { encodeDocument, genesis, type Document } from '../../src/register/document.js';
import { documentDigest } from '../../src/register/document-digest.js';
import { roundValue } from '../../src/register/round-value.js';

const ballotOf = (counter: number): Ballot => ({ counter, node: 'n', incarnation: 'i' });
const first = genesis('f', [{ id: 'a', address: '127.0.0.1:1' }]);

const after = (document: Document, name: string): Document =>
  applyChanges(document, [
    {
      id: `change-${name}`,
      firm: 's',
      who: 'o',
      act: { kind: 'claim', name, duration: 1, expects: 0, takeover: false },
    },
  ]).document;

const promiseOf = (counter: number, committed: number, document: Document): PrepareReply => ({
  promised: true,
  highest: ballotOf(99),
  accepted: ballotOf(counter),
  committed,
  digest: documentDigest(document),
  document: encodeDocument(document),
});

const second = after(first, 'chosen');
const rival = after(first, 'rival');
const third = after(second, 'next');
const QUORUM = 2;

const chosenOf = (...promises: PrepareReply[]): { value: Document; isCommitted: boolean } => {
  const { document, isCommitted } = roundValue(promises, QUORUM).unsafeCoerce();
  return { value: document, isCommitted };
};

test('the value of the highest ballot is built upon, and is committed once a majority accepted it in one ballot', () => {
  expect(chosenOf(promiseOf(3, 1, second), promiseOf(2, 1, first))).toEqual({
    value: second,
    isCommitted: false,
  });
  expect(chosenOf(promiseOf(3, 1, second), promiseOf(3, 1, second))).toEqual({
    value: second,
    isCommitted: true,
  });
  expect(chosenOf(promiseOf(3, 2, second), promiseOf(2, 1, first)).isCommitted).toBe(true);
});

test.each([
  ['another value of the committed revision', rival, 2, second],
  ['a revision before the committed one', first, 2, second],
  ['a value on top of another than the committed one', after(rival, 'child'), 2, second],
  ['a sibling of the parent of what is accepted', rival, 2, third],
])('%s was never chosen, even under a higher ballot', (_, never, committed, known) => {
  for (const promises of [
    [promiseOf(9, 1, never), promiseOf(7, committed, known)],
    [promiseOf(7, committed, known), promiseOf(9, 1, never)],
  ])
    expect(chosenOf(...promises)).toEqual({
      value: known,
      isCommitted: known.revision <= committed,
    });
});

test('two different values under one ballot are no majority for either', () => {
  expect(chosenOf(promiseOf(5, 1, second), promiseOf(5, 1, rival)).isCommitted).toBe(false);
});

test('a value on top of the committed one is built upon', () => {
  expect(chosenOf(promiseOf(9, 1, third), promiseOf(7, 2, second))).toEqual({
    value: third,
    isCommitted: false,
  });
});
