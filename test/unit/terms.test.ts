/** Params of leases, feed, claims and core: defaults, bounds, and what must go together. */
import { expect, test } from 'vitest';
import { TERMS } from '../../src/lease/terms.js';
import { checkParams } from '../../src/params/shape.js';

const reason = (over: object): string =>
  checkParams({ name: 'n' }, over).caseOf({ Left: (fault) => fault.reason, Right: () => '' });

test('defaults are the terms that hold without params', () => {
  const { lease, claims, core } = checkParams({ name: 'n' }).unsafeCoerce();
  expect(lease).toEqual(TERMS);
  expect([claims.enabled, core.keep, core.keepBytes, core.wanted]).toEqual([true, 0, 0, 0]);
});

test('terms are checked, each and together', () => {
  expect(reason({ lease: { lapse: 'serve' }, claims: { enabled: false } })).toBe('');
  expect(reason({ lease: { lapse: 'serve' } })).toMatch(/^claims\.enabled is true/);
  expect(reason({ lease: { lapse: 'go' } })).toMatch(/^lease\.lapse is "go"/);
  expect(reason({ lease: { duration: 1000, renew: 600 } })).toMatch(
    /^lease is .*renew to be at most half of duration/,
  );
  expect(reason({ lease: { patience: -1 } })).toMatch(/^lease\.patience is -1/);
  expect(reason({ feed: { wait: 1 } })).toMatch(/^feed\.wait is 1/);
  expect(reason({ view: { every: 1 } })).toMatch(/^view\.every is 1/);
  expect(reason({ core: { wanted: 2.5 } })).toMatch(/^core\.wanted is 2\.5: .*whole number/);
  expect(reason({ core: { keep: -1 } })).toMatch(/^core\.keep is -1/);
  expect(reason({ core: { stall: 1 } })).toMatch(/^core\.stall is 1/);
});
