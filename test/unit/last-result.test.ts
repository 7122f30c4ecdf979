/** What was made of the last text is made once, however often the text comes. */
import { expect, test } from 'vitest';
import { lastResult } from '../../src/kernel/memo/last-result.js';

test('the same text is worked on once, and another text each time it comes anew', () => {
  const worked: string[] = [];
  const make = lastResult((text) => {
    worked.push(text);
    return text.length;
  });
  expect(['a', 'a', '', '', 'bc', 'a'].map(make)).toEqual([1, 1, 0, 0, 2, 1]);
  expect(worked).toEqual(['a', '', 'bc', 'a']);
});
