/** The stand-in engine's batches on virtual time: slots, urgency, steps, prompts in pieces, kept parts, memory. */
import { expect, test } from 'vitest';
import { Host } from '../../src/sim/host.js';
import { World } from '../../src/sim/world.js';
import { Batch, type BatchParams, type Work } from '../../src/stand/opaque/batch.js';
import { PartCache } from '../../src/stand/opaque/parts.js';

const params: BatchParams = {
  slots: 2,
  queue: 2,
  stepBase: 5,
  stepEach: 1,
  readRate: 50,
  readPiece: 500,
  cacheTokens: 10_000,
};

interface Seen {
  begun: number;
  tokens: number[];
  ended: number;
  hits: number;
}

const stage = (
  over: Partial<BatchParams> = {},
): { world: World; batch: Batch; submit: (work?: Partial<Work>) => Seen | undefined } => {
  const world = new World(1);
  const host = new Host(world, 'h', '127.0.0.1:1');
  const batch = new Batch({ ...params, ...over }, host.clock);
  const submit = (work: Partial<Work> = {}): Seen | undefined => {
    const seen: Seen = { begun: 0, tokens: [], ended: 0, hits: -1 };
    const taken = batch.submit({
      model: 'm',
      parts: [],
      tokens: 100,
      output: 4,
      urgency: 5,
      begun: (_, hits) => {
        seen.begun = world.now + 1;
        seen.hits = hits;
      },
      token: () => void seen.tokens.push(world.now),
      whole: () => (seen.ended = world.now),
      ...work,
    });
    return taken ? seen : undefined;
  };
  return { world, batch, submit };
};

test('a step takes longer the more run, and a prompt is read before the first token', async () => {
  const { world, submit } = stage();
  const alone = submit()!;
  await world.run(1000);
  expect(alone.tokens).toEqual([14, 20, 26, 32].map((at) => at));
  const two = [submit()!, submit()!];
  const from = world.now;
  await world.run(2000);
  expect(two.map(({ tokens }) => tokens[0]! - from)).toEqual([18, 18]);
  expect(two[0]!.tokens[1]! - two[0]!.tokens[0]!).toBe(7);
});

test('a long prompt is read in pieces, between the tokens of others', async () => {
  const { world, submit } = stage();
  const short = submit({ output: 8 })!;
  await world.run(14);
  const long = submit({ tokens: 1500 })!;
  await world.run(1000);
  expect(short.tokens.filter((at) => at < long.tokens[0]!).length).toBeGreaterThan(2);
  expect(long.tokens[0]! - 14).toBeGreaterThan(1500 / 50);
});

test('what is over the queue, or larger than the memory, is turned away', () => {
  const { submit } = stage();
  expect(
    [submit(), submit(), submit(), submit(), submit()].map((seen) => seen !== undefined),
  ).toEqual([true, true, true, true, false]);
  expect(stage().submit({ tokens: 10_000 })).toBeUndefined();
});

test('the urgent are let in first, and take the place of what is less urgent', async () => {
  const { world, submit } = stage({ slots: 1 });
  const running = submit({ urgency: 5, output: 20 })!;
  await world.run(20);
  const later = submit({ urgency: 5 })!;
  const urgent = submit({ urgency: 0 })!;
  await world.run(5000);
  expect(urgent.ended).toBeLessThan(running.ended);
  expect(running.ended).toBeLessThan(later.ended);
  expect([running, later, urgent].map(({ tokens }) => tokens.length)).toEqual([20, 4, 4]);
});

test('kept parts are not read again when all parts before them are kept too; those unused longest give way', async () => {
  const { world, submit } = stage({ cacheTokens: 1000 });
  const parts = (...ids: string[]): Partial<Work> => ({
    parts: ids.map((id) => ({ id, tokens: 200 })),
    tokens: ids.length * 200,
  });
  const run = async (...ids: string[]): Promise<number> => {
    const seen = submit(parts(...ids))!;
    await world.run(world.now + 1000);
    return seen.hits;
  };
  expect(await run('a', 'b')).toBe(0);
  expect(await run('a', 'b')).toBe(400);
  expect(await run('a', 'c')).toBe(200);
  expect(await run('x', 'b')).toBe(0);
  expect(await run('y', 'z')).toBe(0);
  expect(await run('a', 'b')).toBeLessThan(400);
});

test('when memory runs out, the newest of the least urgent is put back and read anew, with no token lost or made twice', async () => {
  const { world, batch, submit } = stage({ cacheTokens: 250 });
  const first = submit({ output: 60, urgency: 1 })!;
  const second = submit({ output: 60, urgency: 2 })!;
  await world.run(5000);
  expect([first.tokens.length, second.tokens.length]).toEqual([60, 60]);
  expect(first.ended).toBeLessThan(second.ended);
  expect(batch.load).toEqual({ waiting: 0, running: 0, used: 0 });
});

test('the part cache holds what is pinned', () => {
  const cache = new PartCache(100);
  const names = PartCache.names('m', [{ id: 'a', tokens: 60 }]);
  cache.take(names);
  expect([
    cache.hits(names),
    cache.used,
    cache.fits(PartCache.names('m', [{ id: 'b', tokens: 60 }]), 0),
  ]).toEqual([60, 60, false]);
  cache.release(names);
  cache.take(PartCache.names('m', [{ id: 'b', tokens: 60 }]));
  expect(cache.hits(names)).toBe(0);
});
