/**
 * A small run of slopes by counts: a control plane of 5 and of 10 routers at rest, on the simulator's net. Bounds are the
 * budget for control of a node, and how little one more router may add to another one.
 */
import { expect, test } from 'vitest';
import { countPoint } from '../../src/fleet/slopes/counts.js';
import { ControlPlane } from '../../src/fleet/slopes/plane.js';
import type { Point } from '../../src/fleet/slopes/shape.js';

const over = { lease: { lapse: 'serve' }, claims: { enabled: false } };
const BUDGET = 3000;

const at = (routers: number): Promise<Point> =>
  countPoint({
    sweep: 'routers, 3 cores',
    at: routers,
    plan: { cores: 3, routers, engines: 50, items: 100, seed: 2, over },
    seconds: 10,
    trials: true,
  });

test('at rest a router keeps within its bytes, and what it sends hardly grows with the fleet', async () => {
  const [small, large] = [await at(5), await at(10)];
  for (const { roles, figures } of [small, large]) {
    expect(figures).toMatchObject({ settled: 1, pollers: 1, configured: 1, stormed: 30 });
    expect(roles.router!.all.sentBytes.median).toBeLessThan(BUDGET);
    expect(roles.router!.all.receivedBytes.median).toBeLessThan(BUDGET);
    expect(roles.router!.all.sentMessages.median).toBeLessThan(13);
    expect(figures['changeMsMost']).toBeLessThan(6000);
    expect(figures['stormLagMs']).toBeLessThan(6000);
    expect(figures['healedMs']).toBeLessThan(6000);
    expect(figures['bytesPerChange']).toBeLessThan(figures['documentBytes']! / 10);
  }
  expect(large.figures['countedRouters']).toBe(10);
  expect(large.roles.router!.all.sentBytes.median).toBeLessThan(
    small.roles.router!.all.sentBytes.median * 2,
  );
  const perRouter =
    (large.roles.core!.all.receivedMessages.median -
      small.roles.core!.all.receivedMessages.median) /
    5;
  expect(perRouter).toBeLessThan(3);
});

test('a seed repeats every count exactly', async () => {
  const run = async () => {
    const plane = new ControlPlane({ cores: 3, routers: 5, engines: 8, items: 0, seed: 9, over });
    await plane.start();
    return plane.quiet(5);
  };
  expect(await run()).toEqual(await run());
});

test('routers beyond what a view holds are counted by the core', async () => {
  const plane = new ControlPlane({ cores: 3, routers: 34, engines: 8, items: 0, seed: 4, over });
  expect(await plane.start()).toBe(true);
  expect(plane.knownRouters).toBeLessThan(26);
  expect(plane.countedRouters).toBe(34);
  await plane.quiet(1);
});
