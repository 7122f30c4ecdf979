/**
 * Views at the larger site's size: a node that is killed is noticed by all and stays gone, a lossy net makes few lose
 * sight of one that lives, a frozen one comes back, and one that a neighbour alone can't reach is not lost.
 */
import { expect, test } from 'vitest';
import { simBase, type SimBase } from '../../src/sim/nodes.js';
import { World } from '../../src/sim/world.js';

const seeds = ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'];

const start = async (
  seed: number,
): Promise<{ world: World; nodes: Map<string, SimBase>; seen: (name: string) => number }> => {
  const world = new World(seed);
  const nodes = new Map<string, SimBase>();
  for (let at = 1; at <= 11; at++) {
    const node = simBase(world, `n${at}`, `127.0.0.1:${at}`, 'z', at <= 3 ? 'core' : 'router', {
      fleet: 'f',
      seeds,
    });
    nodes.set(`n${at}`, node);
    node.view.serve();
    void node.peers.serve(`127.0.0.1:${at}`);
    void node.view.run(node.stop.signal);
  }
  const seen = (name: string): number =>
    [...nodes].filter(
      ([other, { host, view }]) =>
        other !== name &&
        !host.dead &&
        ['core', 'router'].some((role) => view.live(role).some((entry) => entry.name === name)),
    ).length;
  expect(await world.run(20_000, () => [...nodes.keys()].every((name) => seen(name) === 10))).toBe(
    true,
  );
  await world.run(world.now + 5000);
  return { world, nodes, seen };
};

test('a killed node is noticed by all within seconds and does not come back by hearsay', async () => {
  for (let seed = 1; seed <= 8; seed++) {
    const { world, nodes, seen } = await start(seed);
    nodes.get('n5')!.host.kill();
    expect(await world.run(world.now + 12_000, () => seen('n5') === 0)).toBe(true);
    let back = 0;
    for (let step = 0; step < 100; step++) {
      await world.run(world.now + 100);
      back += seen('n5');
    }
    expect(back).toBe(0);
  }
});

test('with one frame in twenty lost, hardly anyone loses sight of a node that lives', async () => {
  let missing = 0;
  let looks = 0;
  for (let seed = 1; seed <= 4; seed++) {
    const { world, nodes, seen } = await start(seed);
    world.net.mishap = () => (world.random.fraction() < 0.05 ? 'drop' : 'pass');
    for (let step = 0; step < 150; step++) {
      await world.run(world.now + 200);
      for (const name of nodes.keys()) missing += 10 - seen(name);
      looks += 110;
    }
  }
  expect(missing / looks).toBeLessThan(0.0005);
});

test('a node that froze and wakes refutes what is said of it, and is seen by all again', async () => {
  for (const lasts of [1500, 4000, 9000, 20_000]) {
    const { world, nodes, seen } = await start(7);
    const { host, view } = nodes.get('n6')!;
    host.freeze();
    world.at(lasts, () => host.thaw());
    await world.run(world.now + lasts);
    if (lasts > 12_000) expect(seen('n6')).toBe(0);
    expect(await world.run(world.now + 10_000, () => seen('n6') === 10)).toBe(true);
    if (lasts > 9000) expect(view.self.beat).toBeGreaterThan(0);
  }
});

test('a node that one neighbour alone can not reach stays in its view, by way of others', async () => {
  const { world, nodes } = await start(3);
  world.part(['n4'], ['n9']);
  let lost = 0;
  for (let step = 0; step < 200; step++) {
    await world.run(world.now + 100);
    if (
      !nodes
        .get('n4')!
        .view.live('router')
        .some(({ name }) => name === 'n9')
    )
      lost += 1;
  }
  expect(lost).toBe(0);
});
