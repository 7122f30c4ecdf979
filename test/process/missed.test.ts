/**
 * Real processes on loopback: a core member and a router that were down for 10, 100 and 1,000 changes of a configuration of
 * 500 routes are caught up after their start. Their processor time until then is shown with FIGURES set; it is no verdict.
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { operate } from '../../src/client/operate.js';
import { Fleet, operatorKey } from '../../src/fleet/fleet.js';
import { configurationOf, patchOf } from '../../src/fleet/slopes/items.js';
import { usageOf } from '../../src/fleet/slopes/usage.js';

const ROUTES = 500;
const FIRM = 'sahel';
const CORE = 'core-3';
const ROUTER = 'router-1';
const fleet = new Fleet({
  folder: mkdtempSync(join(tmpdir(), 'rr-')),
  cores: 3,
  routers: 1,
  engines: 0,
  zones: ['a'],
  firms: [FIRM],
  opaque: true,
  params: {
    claims: { enabled: false },
    lease: { duration: 1500, renew: 400, lapse: 'serve', patience: 200 },
    core: { replaceAfter: 600_000, keep: 2 },
  },
});
const target = (): { node: string; key: string } => ({
  node: fleet.operators.get('core-1')!,
  key: operatorKey(FIRM),
});
let version = 0;

const change = async (): Promise<boolean> => {
  const next = version + 1;
  const told =
    version === 0
      ? await operate(target(), 'routes.put', {
          configuration: { ...configurationOf(ROUTES, next) },
          expects: 0,
          wait: 5000,
        })
      : await operate(target(), 'routes.patch', {
          patch: { ...patchOf(next % ROUTES, next) },
          expects: version,
          wait: 5000,
        });
  if (told.isRight()) version = next;
  return told.isRight();
};

/** Until a node has the newest revision in force. */
const caughtUp = async (name: string): Promise<number> => {
  const newest = await fleet.metric('core-1', 'revision_in_force');
  await fleet.until(
    `${name} to be caught up`,
    async () => (await fleet.metric(name, 'revision_in_force').catch(() => 0)) >= newest,
  );
  return usageOf(fleet.pid(name)).processor;
};

beforeAll(async () => {
  await fleet.start();
  await fleet.until('the core', change);
  await fleet.ready([CORE]);
  await caughtUp(ROUTER);
});
afterAll(() => fleet.stop());

test('nodes that missed 10, 100 and 1,000 changes are caught up after their start', async () => {
  for (const missed of [10, 100, 1000]) {
    await Promise.all([fleet.kill(CORE), fleet.kill(ROUTER)]);
    for (let at = 0; at < missed; at++) await fleet.until('a change', change);
    fleet.again(CORE);
    fleet.again(ROUTER);
    const processor = await Promise.all([caughtUp(CORE), caughtUp(ROUTER)]);
    if (process.env['FIGURES']) console.log(JSON.stringify({ missed, processor }));
    await fleet.ready([CORE]);
    expect(await fleet.metric(ROUTER, 'revision_in_force')).toBe(
      await fleet.metric('core-1', 'revision_in_force'),
    );
  }
});
