/**
 * Duties in a fleet larger than a view: all nodes agree on who reads the platform's list, they hear of it down a tree,
 * and when the holder is killed another one takes its place, alone again.
 */
import { Right } from 'purify-ts';
import { expect, test } from 'vitest';
import { holders } from '../../src/duty/rendezvous.js';
import { silentLog } from '../../src/kernel/log/log.js';
import { Newsroom } from '../../src/pool/news.js';
import { simBase, type SimBase } from '../../src/sim/nodes.js';
import { World } from '../../src/sim/world.js';
import { CountedNet, Traffic } from '../../src/wire/traffic.js';

const NODES = 60;
const seeds = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'];
const list = JSON.stringify({ engines: [] });

interface Node extends SimBase {
  readonly news: Newsroom;
  readonly traffic: Traffic;
}

const start = (world: World, at: number): Node => {
  const address = `10.0.0.${at}:1`;
  const traffic = new Traffic();
  const base = simBase(world, `n${at}`, address, 'z', 'router', {
    fleet: 'f',
    seeds,
    net: (net) => new CountedNet(net, traffic),
  });
  const { host, view, peers, params, stop } = base;
  const news = new Newsroom(
    () => Promise.resolve(Right({ text: list, wait: 0 })),
    params.platform,
    view,
    peers,
    host.clock,
    host.random,
    silentLog,
    () => undefined,
  );
  view.serve();
  news.serve();
  void peers.serve(address);
  void view.run(stop.signal);
  void news.run(stop.signal);
  return { ...base, news, traffic };
};

const pollsIn = async (
  world: World,
  nodes: readonly Node[],
  span: number,
): Promise<Map<string, number>> => {
  const before = nodes.map(({ news }) => news.polls);
  await world.run(world.now + span);
  return new Map(
    nodes.flatMap(({ host, news }, at) =>
      news.polls > before[at]! ? [[host.name, news.polls - before[at]!] as const] : [],
    ),
  );
};

const askedIn = ({ traffic }: Node): number =>
  traffic.counts
    .filter(({ call, way }) => call === 'pool.news' && way === 'received')
    .reduce((sum, { messages }) => sum + messages, 0);

test('one node reads the list for all, few ask it, and another follows it when it is killed', async () => {
  const world = new World(11);
  const nodes = Array.from({ length: NODES }, (_, at) => start(world, at + 1));
  await world.run(20_000);
  const [first, second] = holders(
    'list',
    nodes.map(({ host }) => host.name),
  );
  const before = nodes.map(askedIn);
  const polls = await pollsIn(world, nodes, 6000);
  expect([...polls.keys()]).toEqual([first]);
  expect(nodes.every(({ news }) => news.age < 1500)).toBe(true);
  const most = Math.max(...nodes.map((node, at) => askedIn(node) - before[at]!));
  expect(most).toBeLessThan((6 / 0.45) * (NODES / 2));

  nodes.find(({ host }) => host.name === first)!.host.kill();
  await world.run(world.now + 15_000);
  const left = nodes.filter(({ host }) => !host.dead);
  const after = await pollsIn(world, left, 6000);
  expect([...after.keys()]).toEqual([second]);
  expect(left.every(({ news }) => news.age < 1500)).toBe(true);
});
