/** Routers whose lease does not stop them serve on without the core, as long as it is gone, and never by an older version. */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { request } from 'undici';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { Fleet } from '../../src/fleet/fleet.js';
import { OpaqueScene, routeTo } from '../../src/fleet/opaque.js';
import type { Configuration } from '../../src/route/shape.js';

const duration = 1500;
const fleet = new Fleet({
  folder: mkdtempSync(join(tmpdir(), 'rr-')),
  cores: 3,
  routers: 2,
  engines: 0,
  zones: ['a'],
  firms: ['sahel'],
  opaque: true,
  params: {
    claims: { enabled: false },
    lease: { duration, renew: 400, lapse: 'serve', patience: 400 },
  },
});
const scene = new OpaqueScene(fleet, 11);
const host = 'rail.example';
const configuration = (version: number, service: string): Configuration => ({
  version,
  routes: [routeTo('once', service, { kind: 'non_idempotent' }), routeTo('again', service)],
  services: [{ name: 'alpha' }, { name: 'beta' }],
});
const expectSound = (): void =>
  expect(scene.judged({ drain: 3000, apply: 2000, ratio: 0.05, window: 10_000, slack: 3 })).toEqual(
    [],
  );
const served = (from: number, till: number): number[] => {
  const asked = scene.caller.asked.filter(({ began }) => began >= from && began < till);
  return [asked.filter(({ outcome }) => outcome === 'served').length, asked.length];
};

beforeAll(async () => {
  await fleet.start();
  for (const service of ['alpha', 'beta'])
    for (const at of [1, 2]) await scene.startEngine(`${service}-${at}`, service);
  await fleet.until(
    'the core',
    async () => (await scene.put('core-1', configuration(1, 'alpha'), 0)) === 'accepted',
  );
  await fleet.ready(fleet.requests.keys());
  void scene.follow();
  for (const router of fleet.requests.keys())
    await fleet.until(
      'an answer',
      async () =>
        (await scene.ask('warm', { host, target: '/once/', repeatable: false }, router)).outcome ===
        'served',
    );
  void scene.drive([
    { name: 'once', asking: { host, target: '/once/x', repeatable: false }, perSecond: 20 },
    { name: 'again', asking: { host, target: '/again/x', repeatable: true }, perSecond: 20 },
  ]);
});
afterAll(async () => {
  await scene.close();
  await fleet.stop();
});

test('the whole core is gone for many leases: nothing is refused for it', async () => {
  expect(await scene.put('core-2', configuration(2, 'beta'), 1)).toBe('accepted');
  const from = Date.now();
  await Promise.all(['core-1', 'core-2', 'core-3'].map((name) => fleet.kill(name)));
  await pause(4 * duration);
  const [whole, all] = served(from, Date.now() - 1000);
  expect(all).toBeGreaterThan(40);
  expect(whole).toBe(all);
  expectSound();
});

test('once the core is back, changes are accepted and in force', async () => {
  for (const name of ['core-1', 'core-2', 'core-3']) fleet.again(name);
  await fleet.ready(['core-1', 'core-2', 'core-3']);
  expect(await scene.put('core-1', configuration(3, 'alpha'), 2)).toBe('accepted');
  await pause(2500);
  const from = Date.now();
  await pause(1000);
  await scene.rest();
  expect(
    scene.arrivals.filter(({ at, ran, service }) => at > from && ran > 0 && service !== 'alpha'),
  ).toEqual([]);
  expectSound();
});

test('every node tells of the invariants that it checks, none of which was violated', async () => {
  for (const [name, address] of fleet.operators) {
    const text = await (await request(`http://${address}/metrics`)).body.text();
    const told = text.split('\n').filter((line) => /^rudderridge_\w+_violations\{/.test(line));
    const metrics = new Set(told.map((line) => line.slice(0, line.indexOf('{'))));
    expect([name, metrics.has('rudderridge_register_invariant_violations')]).toEqual([name, true]);
    if (fleet.requests.has(name))
      expect([name, metrics.has('rudderridge_request_invariant_violations')]).toEqual([name, true]);
    expect(told.filter((line) => !line.endsWith(' 0'))).toEqual([]);
  }
});

test('requests that ended are counted by cause', async () => {
  for (const name of fleet.requests.keys())
    expect(await fleet.metric(name, 'request_ends_total{cause="answered"}')).toBeGreaterThan(0);
});

test('a router that starts anew while the core is gone answers by the newest version or not at all', async () => {
  expect(await scene.put('core-3', configuration(4, 'beta'), 3)).toBe('accepted');
  await Promise.all(['core-1', 'core-2', 'core-3', 'router-1'].map((name) => fleet.kill(name)));
  fleet.again('router-1');
  const from = Date.now();
  await pause(2500);
  for (const router of fleet.requests.keys())
    for (let at = 0; at < 5; at++)
      await scene.ask('anew', { host, target: '/again/x', repeatable: true }, router);
  const answered = scene.caller.asked.filter(
    ({ name, outcome }) => name === 'anew' && outcome === 'served',
  );
  expect(answered.length).toBeGreaterThanOrEqual(5);
  expect(
    scene.arrivals.filter(({ at, ran, service }) => at > from && ran > 0 && service !== 'beta'),
  ).toEqual([]);
  expectSound();
});
