/**
 * A core member cut off for twenty seconds, in every way, while orders of all kinds and reads go on at all nodes and
 * routers still reach it. What it must not do: hand out an old configuration as the newest, refuse a proper order,
 * acknowledge anything without a majority, keep a caller waiting, or hold a router on what is old.
 */
import { expect, test } from 'vitest';
import {
  ACKNOWLEDGE,
  ANSWER,
  CutOffStage,
  RESTART_AFTER,
  shapes,
  victims,
  type Shape,
  type Victim,
} from './cutoff-stage.js';

const CUT = 20_000;
/** After this long in a cut, or after a start in it, its member knows, and answers without waiting its whole time. */
const NOTICED = 2000;
const AT_ONCE = ANSWER * 0.3 + 5;
const SEEDS = Number(process.env['CUTOFF_SEEDS'] ?? 2);

const cutsTheCore = (shape: Shape): boolean => shape !== 'clients';
const bothWays = (shape: Shape): boolean =>
  shape === 'isolated' || shape === 'core' || shape === 'core-restarted';

const play = async (seed: number, shape: Shape, kind: Victim): Promise<CutOffStage> => {
  const stage = new CutOffStage(seed);
  const { world } = stage;
  await stage.ready();
  const stop = stage.work();
  await world.run(world.now + 4000);
  const victim = stage.victim(kind);
  const { name } = stage.cores[victim]!.host;
  const heal = stage.cutOff([victim], shape);
  const from = world.now;
  await world.run(from + CUT);
  heal();
  const healed = world.now;
  await world.run(healed + 6000);
  stop();
  await world.run(world.now + 3000);
  expect(stage.judge()).toEqual([]);
  const noticedFrom = from + NOTICED + (shape === 'core-restarted' ? RESTART_AFTER : 0);
  const during = <T extends { node: string; start: number; end: number }>(
    calls: readonly T[],
  ): T[] =>
    calls.filter(({ node, start, end }) => node === name && start > noticedFrom && end < healed);
  const slow = (calls: readonly { start: number; end: number }[]): number =>
    calls.filter(({ start, end }) => end - start > AT_ONCE).length;
  if (cutsTheCore(shape)) {
    const orders = during(stage.orders).filter((order) => order.kind !== 'invalid');
    const reads = during(stage.readings);
    expect(reads.length).toBeGreaterThan(20);
    expect(orders.filter(({ outcome }) => outcome === 'accepted')).toEqual([]);
    if (bothWays(shape)) expect(reads.filter(({ version }) => version !== undefined)).toEqual([]);
    expect([slow(orders), slow(reads)]).toEqual([0, 0]);
  }
  const times = stage.acknowledgements.map(({ sent, at }) => at - sent);
  expect(times.length).toBeGreaterThan(40);
  expect(Math.max(...times)).toBeLessThan(ACKNOWLEDGE);
  const after = stage.orders.filter(
    ({ node, start, kind: of }) => node === name && of !== 'invalid' && start > healed + 1500,
  );
  expect(after.length).toBeGreaterThan(0);
  expect(after.filter(({ outcome }) => outcome !== 'accepted')).toEqual([]);
  return stage;
};

for (const shape of shapes)
  for (const kind of victims)
    test(`cut off ${shape}, the member that is ${kind}`, async () => {
      for (let seed = 1; seed <= SEEDS; seed++) await play(seed, shape, kind);
    });
