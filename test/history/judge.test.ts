/** Histories with and without a planted violation, and whether the checker tells them apart. */
import { expect, test } from 'vitest';
import { judgeHistory } from '../../src/history/judge.js';
import { HistoryWriter, patchRequest, replaceRequest } from './samples.js';

const kindsOf = (history: HistoryWriter): string[] =>
  judgeHistory(history.calls).map(({ kind }) => kind);

const first = replaceRequest(3, 0);
const second = replaceRequest(5, 3);
const rival = replaceRequest(5, 3, 'rival');

test('a history that one register could have given is accepted', () => {
  const history = new HistoryWriter()
    .read([0, 1], 0)
    .change([2, 4], first, 'acknowledged')
    .change([5, 9], second, 'acknowledged')
    .change([5, 9], rival, 'conflict')
    .read([6, 7], 3, 'item-3')
    .read([10, 11], 5, 'item-5')
    .change([12, 14], first, 'acknowledged')
    .change([15, 19], patchRequest(8, 5, 'more'), 'acknowledged')
    .read([20, 21], 8, 'item-5', 'more');
  expect(kindsOf(history)).toEqual([]);
});

test('an unclear call may take effect long after its answer, or never', () => {
  const unclear = new HistoryWriter()
    .change([0, 1], first, 'acknowledged')
    .change([2, 3], second, 'unclear')
    .read([4, 5], 3, 'item-3');
  expect(kindsOf(unclear)).toEqual([]);
  expect(kindsOf(unclear.read([6, 7], 5, 'item-5'))).toEqual([]);
  expect(kindsOf(unclear.read([8, 9], 3, 'item-3'))).toContain('stale-read');
});

test('an unclear call that nobody saw may explain a refusal', () => {
  const history = new HistoryWriter()
    .change([0, 1], first, 'acknowledged')
    .change([2, Infinity], second, 'unclear')
    .change([4, 6], rival, 'conflict');
  expect(kindsOf(history)).toEqual([]);
  const alone = new HistoryWriter()
    .change([0, 1], first, 'acknowledged')
    .change([4, 6], rival, 'conflict');
  expect(kindsOf(alone)).toEqual(['not-linearizable']);
});

test('two winners on top of one version are found', () => {
  const history = new HistoryWriter()
    .change([0, 1], first, 'acknowledged')
    .change([2, 9], second, 'acknowledged')
    .change([2, 9], rival, 'acknowledged');
  expect(kindsOf(history)).toEqual(['two-winners', 'not-linearizable']);
});

test('a lost update is found', () => {
  const history = new HistoryWriter()
    .change([0, 1], first, 'acknowledged')
    .change([2, 3], patchRequest(5, 3, 'more'), 'acknowledged')
    .change([4, 5], patchRequest(7, 5, 'most'), 'acknowledged')
    .read([6, 7], 7, 'item-3', 'most');
  expect(kindsOf(history)).toEqual(['not-linearizable']);
});

test('a stale read is found, also after a read of the newer version', () => {
  const acknowledged = new HistoryWriter()
    .change([0, 1], first, 'acknowledged')
    .change([2, 3], second, 'acknowledged')
    .read([4, 5], 3, 'item-3');
  expect(kindsOf(acknowledged)).toEqual(['stale-read', 'not-linearizable']);
  const seen = new HistoryWriter()
    .change([0, 1], first, 'acknowledged')
    .change([2, 20], second, 'acknowledged')
    .read([4, 5], 5, 'item-5')
    .read([6, 7], 3, 'item-3');
  expect(kindsOf(seen)).toEqual(['stale-read', 'not-linearizable']);
});

test('a read of nothing after an acknowledgement is stale', () => {
  const history = new HistoryWriter().change([0, 1], first, 'acknowledged').read([4, 5], 0);
  expect(kindsOf(history)).toEqual(['stale-read', 'not-linearizable']);
});

test('a refused repeat is found, also after other changes', () => {
  const history = new HistoryWriter()
    .change([0, 1], first, 'acknowledged')
    .change([2, 3], second, 'acknowledged')
    .change([4, 5], first, 'conflict');
  expect(kindsOf(history)).toEqual(['refused-repeat', 'not-linearizable']);
  const invalid = new HistoryWriter()
    .change([0, 1], first, 'acknowledged')
    .change([4, 5], first, 'invalid');
  expect(kindsOf(invalid)).toContain('refused-repeat');
});

test('a refused repeat of a request whose own call had no clear answer is found', () => {
  const history = new HistoryWriter()
    .change([0, 1], first, 'acknowledged')
    .change([2, Infinity], second, 'unclear')
    .read([4, 5], 5, 'item-5')
    .change([6, 7], second, 'conflict');
  expect(kindsOf(history)).toEqual(['refused-in-force', 'not-linearizable']);
});

test('a refused request that takes effect is found', () => {
  const read = new HistoryWriter()
    .change([0, 1], first, 'acknowledged')
    .change([2, 3], rival, 'conflict')
    .read([4, 5], 5, 'rival');
  expect(kindsOf(read)).toEqual(['refused-in-force', 'not-linearizable']);
  const early = replaceRequest(9, 5);
  const acknowledgedLater = new HistoryWriter()
    .change([0, 1], first, 'acknowledged')
    .change([2, 3], early, 'conflict')
    .change([4, 5], second, 'acknowledged')
    .change([6, 7], early, 'acknowledged');
  expect(kindsOf(acknowledgedLater)).toContain('refused-in-force');
});

test('an acknowledged invalid request, and a valid one that is called invalid, are found', () => {
  const invalid = replaceRequest(5, 3, 'broken', false);
  const history = new HistoryWriter()
    .change([0, 1], first, 'acknowledged')
    .change([2, 3], invalid, 'invalid')
    .change([2, 3], invalid, 'conflict');
  expect(kindsOf(history)).toEqual([]);
  expect(kindsOf(history.change([4, 5], invalid, 'acknowledged'))).toContain(
    'invalid-acknowledged',
  );
  const valid = new HistoryWriter().change([0, 1], first, 'invalid');
  expect(kindsOf(valid)).toContain('valid-called-invalid');
});

test('content that nobody sent under its number is found', () => {
  const history = new HistoryWriter()
    .change([0, 1], first, 'acknowledged')
    .read([2, 3], 3, 'other');
  expect(kindsOf(history)).toContain('content-never-sent');
});

test('the explanation names the call that has no place', () => {
  const history = new HistoryWriter()
    .change([0, 1], first, 'acknowledged')
    .change([2, 3], second, 'acknowledged')
    .read([4, 5], 3, 'item-3');
  const found = judgeHistory(history.calls).find(({ kind }) => kind === 'not-linearizable');
  expect(found?.explanation).toContain('#2 at n, 4 to 5: read: version 3');
});
