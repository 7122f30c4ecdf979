/**
 * News of the list among eight routers: one poll a turn in calm times, a list that travels only when it changed, and a
 * leaver known to all who can know it well inside three seconds, whatever becomes of the holder of the duty.
 */
import { Right } from 'purify-ts';
import { expect, test } from 'vitest';
import { silentLog } from '../../src/kernel/log/log.js';
import { failed } from '../../src/kernel/fault/fault.js';
import type { Listed } from '../../src/pool/engine.js';
import { Newsroom, type Fetch } from '../../src/pool/news.js';
import { simBase, type SimBase } from '../../src/sim/nodes.js';
import { World } from '../../src/sim/world.js';

const seeds = ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'];
const EVERY = 750;
const DRAIN = 3000;

interface Reader extends SimBase {
  readonly name: string;
  readonly news: Newsroom;
}

const engine = (identifier: string, leaving = false): Listed => ({
  identifier,
  address: '127.0.0.1:99',
  model: 'm',
  adapters: [],
  weight_generation: '1',
  zone: 'z',
  labels: {},
  leaving,
});

class Platform {
  engines = [engine('a'), engine('b')];
  reads = 0;

  constructor(private readonly world: World) {}

  fetchFor({ host }: SimBase): Fetch {
    return (limit) =>
      new Promise((resolve) => {
        host.later(limit, () => resolve(failed('pool.poll', 'platform', 'no answer')));
        this.world.at(this.world.delay(), () => {
          if (this.world.isCut(host.name, 'platform')) return;
          this.reads += 1;
          const text = JSON.stringify({ engines: this.engines });
          host.later(this.world.delay(), () => resolve(Right({ text, wait: 0 })));
        });
      });
  }
}

const start = async (
  seed: number,
): Promise<{ world: World; platform: Platform; readers: Reader[] }> => {
  const world = new World(seed);
  const platform = new Platform(world);
  const readers = Array.from({ length: 8 }, (_, index): Reader => {
    const name = `r${index + 1}`;
    const base = simBase(world, name, `127.0.0.1:${index + 1}`, 'z', 'router', {
      fleet: 'f',
      seeds,
    });
    const { host, view, peers, stop } = base;
    const news = new Newsroom(
      platform.fetchFor(base),
      { every: EVERY, slice: 4000, place: 0 },
      view,
      peers,
      host.clock,
      host.random,
      silentLog,
      () => undefined,
    );
    view.serve();
    news.serve();
    void peers.serve(`127.0.0.1:${index + 1}`);
    void view.run(stop.signal);
    void news.run(stop.signal);
    return { ...base, name, news };
  });
  await world.run(20_000);
  return { world, platform, readers };
};

/** Who polls: the one whose count of polls rises. */
const holderOf = async (world: World, readers: readonly Reader[]): Promise<Reader> => {
  const before = readers.map(({ news }) => news.polls);
  await world.run(world.now + EVERY * 4);
  const risen = readers.filter(({ news }, at) => news.polls > before[at]!);
  expect(risen).toHaveLength(1);
  return risen[0]!;
};

const knows = ({ news }: Reader): boolean => news.listed.get('b')?.leaving === true;

test('in calm times one node polls, each turn once, and all have fresh news', async () => {
  const { world, platform, readers } = await start(1);
  const reads = platform.reads;
  let oldest = 0;
  for (let step = 0; step < 300; step++) {
    await world.run(world.now + 100);
    oldest = Math.max(oldest, ...readers.map(({ news }) => news.age));
  }
  expect(platform.reads - reads).toBeLessThanOrEqual(Math.ceil((30_000 / EVERY) * 1.1) + 1);
  expect(oldest).toBeLessThan(EVERY * 1.5);
});

const ends = new Map<string, (world: World, holder: Reader, others: readonly Reader[]) => void>([
  ['goes on', () => undefined],
  ['is killed', (_, { host }) => host.kill()],
  ['freezes', (_, { host }) => host.freeze()],
  [
    'is cut off from all',
    (world, { name }, others) =>
      void world.part(
        [name],
        others.map((other) => other.name),
      ),
  ],
  ['is cut off from the platform', (world, { name }) => void world.part([name], ['platform'])],
]);

for (const [what, end] of ends)
  test(`a leaver is known to all within two thirds of the drain when the holder ${what}`, async () => {
    for (let seed = 1; seed <= 6; seed++) {
      const { world, platform, readers } = await start(seed);
      const holder = await holderOf(world, readers);
      await world.run(world.now + world.random.fraction() * EVERY);
      const others = readers.filter((reader) => reader !== holder);
      end(world, holder, others);
      platform.engines = [engine('a'), engine('b', true)];
      expect(
        await world.run(world.now + (DRAIN * 2) / 3, () => others.every(knows)),
        `seed ${seed}`,
      ).toBe(true);
      if (['goes on', 'is cut off from the platform'].includes(what))
        expect(
          await world.run(world.now + DRAIN / 3, () => knows(holder)),
          `holder, seed ${seed}`,
        ).toBe(true);
    }
  });

test('the next holder dies with the first: all that live know within the drain', async () => {
  for (let seed = 1; seed <= 4; seed++) {
    const { world, platform, readers } = await start(seed);
    const first = await holderOf(world, readers);
    first.host.kill();
    await world.run(world.now + 600);
    const [second] = readers.filter(({ host }) => !host.dead);
    second!.host.kill();
    platform.engines = [engine('a'), engine('b', true)];
    expect(
      await world.run(world.now + DRAIN, () =>
        readers.every((reader) => reader.host.dead || knows(reader)),
      ),
      `seed ${seed}`,
    ).toBe(true);
  }
});
