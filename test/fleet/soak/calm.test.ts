/** The longest wait for an acknowledgement counts calm times alone. */
import { expect, test } from 'vitest';
import { longestWaitInCalm } from '../../../src/fleet/soak/calm.js';
import type { Incident } from '../../../src/fleet/soak/record.js';
import { orderOf } from './evidence.js';

const acknowledged = (...moments: number[]): ReturnType<typeof orderOf>[] =>
  moments.map((acknowledgedAt, at) => orderOf(at + 1, { acknowledgedAt }));

const down = (began: number, ended: number): Incident => ({
  kind: 'down',
  target: 'core-1',
  began,
  ended,
});

test('the longest span between two acknowledgements', () => {
  expect(longestWaitInCalm(acknowledged(1000, 1500, 9000, 9100), [])).toBe(7500);
  expect(longestWaitInCalm([], [])).toBe(0);
});

test('a disturbed time, and what settles behind it, is no calm one', () => {
  const orders = acknowledged(1000, 1500, 9000, 9100);
  expect(longestWaitInCalm(orders, [down(1600, 3000)])).toBe(3000);
  expect(longestWaitInCalm(orders, [down(1600, 3000), down(2000, 8000)])).toBe(500);
  expect(longestWaitInCalm(orders, [down(0, Infinity)])).toBe(0);
  expect(longestWaitInCalm(orders, [{ ...down(1600, 8000), kind: 'link' }])).toBe(7500);
});
