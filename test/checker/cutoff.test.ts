/**
 * A core member cut off for twenty seconds, in every way, while orders of all kinds and reads go on at all nodes and
 * routers still reach it. What it must not do: hand out an old configuration as the newest, refuse a proper order,
 * acknowledge anything without a majority, keep a caller waiting, or hold a router on what is old.
 */
import { expect, test } from 'vitest';
import { Accept } from '../../src/register/calls.js';
import { decodeFrame, Stage } from '../../src/wire/call.js';
import {
  ACKNOWLEDGE,
  ANSWER,
  APPLY,
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
/** How long after a cut a member that was cut off may take to acknowledge again. */
const BACK = 600;
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

test('a router that starts and reaches only the member cut off begins from nothing, and has the newest once it reaches others', async () => {
  for (let seed = 1; seed <= 6; seed++) {
    const stage = new CutOffStage(seed);
    const { world } = stage;
    await stage.ready();
    await world.until(stage.change());
    const victim = seed % 3;
    const others = stage.coreNames.filter((_, at) => at !== victim);
    const heal = stage.cutOff([victim], 'core');
    await world.until(stage.change());
    const mend = world.part(
      ['router-0'],
      [...others, ...stage.routerNames.filter((name) => name !== 'router-0')],
    );
    stage.restartRouter(0);
    await world.run(world.now + CUT);
    expect(stage.routers[0]!.inForce.revision).toBe(0);
    heal();
    mend();
    expect(
      await world.run(
        world.now + APPLY,
        () => stage.routers[0]!.inForce.routes.version === stage.version,
      ),
    ).toBe(true);
  }
});

test('of five voters two are cut off together: the same holds', async () => {
  for (let seed = 1; seed <= 2 * SEEDS; seed++) {
    const stage = new CutOffStage(seed, 5);
    const { world } = stage;
    await stage.ready();
    const stop = stage.work();
    await world.run(world.now + 3000);
    const [first, second] = [stage.victim('acknowledged'), stage.victim('feeder')];
    const victims = [first, second === first ? (first + 1) % 5 : second];
    const heal = stage.cutOff(victims, shapes[seed % shapes.length]!);
    await world.run(world.now + CUT);
    heal();
    await world.run(world.now + 5000);
    stop();
    await world.run(world.now + 3000);
    expect(stage.judge()).toEqual([]);
    const times = stage.acknowledgements.map(({ sent, at }) => at - sent);
    expect(Math.max(...times)).toBeLessThan(ACKNOWLEDGE);
  }
});

test('an order given up before its first accept is never proposed, also when the cut ends right after', async () => {
  for (let seed = 1; seed <= 6; seed++) {
    const stage = new CutOffStage(seed);
    const { world } = stage;
    await stage.ready();
    await world.until(stage.change());
    const heal = stage.cutOff([0], 'core');
    await world.run(world.now + 100 * seed * seed);
    const order = await world.until(stage.order(0, 'put', 100, stage.version));
    expect(order.outcome).toBe('unknown');
    heal();
    await world.run(world.now + 6000);
    expect((await world.until(stage.read(1))).version).toBe(stage.version);
    expect((await world.until(stage.order(0, 'put', 100, stage.version))).outcome).toBe('accepted');
  }
});

test('orders are acknowledged at once at a member that is in contact over a slow link', async () => {
  const stage = new CutOffStage(3);
  const { world } = stage;
  await stage.ready();
  world.net.latency = 40;
  world.net.jitter = 20;
  await world.run(world.now + 2000);
  for (const at of [0, 1, 2]) {
    const order = await world.until(stage.order(at, 'put', stage.version + 1, stage.version));
    expect(order.outcome).toBe('accepted');
    stage.version += 1;
  }
});

test('a member that is cut off says so to whoever asks whether it is ready, and no longer once it is back', async () => {
  const stage = new CutOffStage(2);
  const { world } = stage;
  await stage.ready();
  const { node, proposer } = stage.cores[1]!;
  expect(node.ready()).toBe('');
  const heal = stage.cutOff([1], 'core');
  await world.run(world.now + NOTICED);
  expect(node.ready()).toMatch(/^no contact with a majority of the core; silent: .*:1 .*:3$/);
  expect(proposer.contact.silentVoters.length).toBe(2);
  heal();
  expect(await world.run(world.now + NOTICED, () => node.ready() === '')).toBe(true);
});

test('an order whose promises come only after it was given up is never proposed', async () => {
  const stage = new CutOffStage(4);
  const { world } = stage;
  await stage.ready();
  await world.until(stage.change());
  await world.run(world.now + 2000);
  world.net.latency = ANSWER * 0.6;
  world.net.jitter = 0;
  const order = await world.until(stage.order(0, 'put', 100, stage.version));
  expect(order.outcome).toBe('unknown');
  await world.run(world.now + 4000);
  world.net.latency = 1;
  await world.run(world.now + 4000);
  expect((await world.until(stage.read(1))).version).toBe(stage.version);
});

test('cut off between promise and accept, a member acknowledges nothing', async () => {
  for (const at of [0, 1, 2]) {
    const stage = new CutOffStage(at + 1);
    const { world } = stage;
    await stage.ready();
    await world.until(stage.change());
    const { name } = stage.cores[at]!.host;
    const others = stage.coreNames.filter((other) => other !== name);
    let heal: (() => void) | undefined;
    world.net.mishap = (from, to, frame) => {
      const accepts = decodeFrame(frame, from)
        .map(({ code, stage: kind }) => code === Accept.code && kind === Stage.ask)
        .orDefault(false);
      if (accepts && from === name && others.includes(to)) heal ??= world.part([name], others);
      return heal && from === name && others.includes(to) ? 'drop' : 'pass';
    };
    const order = await world.until(stage.order(at, 'put', 100, stage.version));
    expect(heal).toBeDefined();
    expect(order.outcome).toBe('unknown');
    const elsewhere = await world.until(stage.order((at + 1) % 3, 'put', 200, stage.version));
    expect(elsewhere.outcome).toBe('accepted');
    world.net.mishap = () => 'pass';
    heal!();
    await world.run(world.now + NOTICED);
    for (const reader of [0, 1, 2])
      expect((await world.until(stage.read(reader))).version).toBe(200);
  }
});

test('a member acknowledges again within a moment after the cut', async () => {
  for (let seed = 1; seed <= 12; seed++) {
    const stage = new CutOffStage(seed);
    const { world } = stage;
    await stage.ready();
    await world.until(stage.change());
    const heal = stage.cutOff([0], 'core');
    await world.run(world.now + 4000 + 137 * seed);
    heal();
    const healed = world.now;
    const next = stage.version + 1;
    while ((await world.until(stage.order(0, 'put', next, stage.version))).outcome !== 'accepted')
      await world.run(world.now + 20);
    expect(world.now - healed).toBeLessThan(BACK);
  }
});
