/**
 * The soak in its short form: a few seconds of overlapping troubles on real processes for each of the two ways of serving,
 * with the verdict of its judge. How long it takes is no verdict; `npm run fleet -- soak` runs it for many seeds.
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from 'vitest';
import { planFor } from '../../src/fleet/soak/plan.js';
import { soak } from '../../src/fleet/soak/run.js';

const SECONDS = 12;

test.each([
  { seed: 11, lapse: 'serve' },
  { seed: 9, lapse: 'stop' },
] as const)('seed $seed, routers without a lease $lapse', async ({ seed, lapse }) => {
  const folder = mkdtempSync(join(tmpdir(), 'rr-'));
  const plan = planFor({ seed, lapse, seconds: SECONDS, folder, cores: 3, routers: 2 });
  const { findings, orders, requests, troubles } = await soak(plan);
  expect({ findings, folder }).toMatchObject({ findings: [] });
  expect(orders['acknowledged']).toBeGreaterThan(0);
  expect(requests['served']).toBeGreaterThan(0);
  expect(Object.keys(troubles).length).toBeGreaterThan(1);
});
