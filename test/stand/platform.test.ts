/** The stand-in list on virtual time: lag, pages, zones, the rate limit, and when a leaver is first shown. */
import { expect, test } from 'vitest';
import { Host } from '../../src/sim/host.js';
import { World } from '../../src/sim/world.js';
import type { Listed } from '../../src/pool/engine.js';
import { PlatformStand } from '../../src/stand/platform/platform.js';

const listed = (identifier: string, zone = 'a'): Listed => ({
  identifier,
  address: '127.0.0.1:1',
  model: 'm',
  adapters: [],
  weight_generation: '1',
  zone,
  labels: {},
  cache_capacity_tokens: 1,
  prefill_rate: 1,
  leaving: false,
  service: 's',
  slots: 4,
});
const stage = (
  perSecond: number,
  pageSize?: number,
): { platform: PlatformStand; pass: (ms: number) => Promise<unknown>; host: Host } => {
  const world = new World(1);
  const host = new Host(world, 'h', '127.0.0.1:1');
  return {
    platform: new PlatformStand(
      { address: '127.0.0.1:0', lag: 300, perSecond, pageSize },
      host.clock,
    ),
    pass: (ms) => world.run(world.now + ms),
    host,
  };
};
const names = (page: ReturnType<PlatformStand['read']>): string[] =>
  page!.engines.map(({ identifier }) => identifier);

test('the list trails behind what was told to it', async () => {
  const { platform, pass, host } = stage(100);
  platform.put(listed('e1'));
  expect(names(platform.read())).toEqual([]);
  await pass(300);
  expect(names(platform.read())).toEqual(['e1']);
  const left = host.clock.wall();
  platform.leave('e1');
  expect(platform.read()!.engines[0]!.leaving).toBe(false);
  await pass(300);
  expect(platform.read()!.engines[0]!.leaving).toBe(true);
  expect(platform.shownLeaving('e1')).toBe(left + 300);
  expect(platform.shownLeaving('e2')).toBeUndefined();
});

test('pages and zones', async () => {
  const { platform, pass } = stage(100, 2);
  for (const [at, name] of ['e1', 'e2', 'e3', 'e4', 'e5'].entries())
    platform.put(listed(name, at % 2 ? 'b' : 'a'));
  await pass(300);
  const first = platform.read()!;
  const second = platform.read(undefined, first.next!)!;
  const third = platform.read(undefined, second.next!)!;
  expect([first, second, third].map(names)).toEqual([['e1', 'e2'], ['e3', 'e4'], ['e5']]);
  expect(third.next).toBeNull();
  expect(names(platform.read('b'))).toEqual(['e2', 'e4']);
});

test('calls over the rate are declined, until a second has passed', async () => {
  const { platform, pass } = stage(3);
  expect([0, 1, 2, 3].map(() => platform.read() !== undefined)).toEqual([true, true, true, false]);
  await pass(1000);
  expect(platform.read()).toBeDefined();
  expect([platform.answered, platform.declined]).toEqual([4, 1]);
});
