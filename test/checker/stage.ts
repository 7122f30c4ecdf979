/** Three members and some registered nodes, put together from the program's own classes, for the checkers that need lease. */
import { expect } from 'vitest';
import { Claims } from '../../src/claim/claims.js';
import { silentLog } from '../../src/kernel/log/log.js';
import { Registration } from '../../src/lease/registration.js';
import { RouterLease } from '../../src/lease/router-lease.js';
import { PeerLeases } from '../../src/lease/peer-leases.js';
import { Relay } from '../../src/register/relay.js';
import { Follower } from '../../src/register/follower.js';
import { simBase, simCore, type SimBase, type SimCore } from '../../src/sim/nodes.js';
import { SimDisk } from '../../src/sim/disk.js';
import { World } from '../../src/sim/world.js';

export const addresses = ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'];
const site = { fleet: 'f', seeds: addresses, over: { form: true, core: { replaceAfter: 3000 } } };
const places = new Map([
  ['n', '127.0.0.1:11'],
  ['m', '127.0.0.1:12'],
  ['o', '127.0.0.1:13'],
  ['p', '127.0.0.1:14'],
  ['q', '127.0.0.1:15'],
]);

export interface Node extends SimBase {
  readonly lease: RouterLease;
  readonly claims: Claims;
}

const startNode = (world: World, name: string, news: boolean): Node => {
  const address = places.get(name)!;
  const base = simBase(world, name, address, 'z', 'router', site);
  const { host, inForce, invariants, peers, voterDirectory, proposer, stop } = base;
  const { clock, random } = host;
  const peerLeases = new PeerLeases(name, inForce, peers, clock);
  peerLeases.serve();
  const claims = new Claims(name, inForce, peers, voterDirectory, clock, random, silentLog);
  claims.serve();
  const lease = new RouterLease(
    { node: name, incarnation: peers.self.incarnation, address, zone: 'z' },
    inForce,
    peerLeases,
    peers,
    voterDirectory,
    clock,
    silentLog,
  );
  const relay = new Relay(peers, () =>
    news ? [...places.values()].filter((other) => other !== address) : [],
  );
  relay.serve();
  const follower = new Follower(
    peers,
    voterDirectory,
    proposer,
    clock,
    random,
    silentLog,
    (revisions) => {
      relay.note(revisions);
      for (const { document } of revisions)
        invariants.noteCommitted(document.revision - 1, document.previous);
      if (inForce.swap(revisions.at(-1)!.document)) lease.noteRevision();
      invariants.noteInForce(inForce.revision);
    },
    '',
    relay,
  );
  void peers.serve(address);
  void lease.run(stop.signal);
  void claims.run(stop.signal);
  void new Registration(
    name,
    { address, zone: 'z', law: '' },
    inForce,
    lease,
    proposer,
    peers,
    voterDirectory,
    clock,
    random,
    silentLog,
  ).run(stop.signal);
  void follower.run(stop.signal);
  return { ...base, lease, claims };
};

export interface Stage {
  readonly world: World;
  readonly cores: SimCore[];
  readonly disks: SimDisk[];
  readonly nodes: Node[];
  readonly startCore: (at: number) => SimCore;
  /** Ends all nodes, save one maybe, and starts them anew, with nothing remembered, until all grant claims again. */
  readonly loseMemories: (survivor?: number) => Promise<void>;
  /** Ends one node and starts it anew. */
  readonly restart: (at: number) => void;
  readonly operator: SimBase;
}

export const openStage = async (seed = 5, count = 3, news = true): Promise<Stage> => {
  const names = [...places.keys()].slice(0, count);
  const world = new World(seed);
  const disks = addresses.map(() => new SimDisk(world));
  const startCore = (at: number): SimCore => {
    const core = simCore(world, `core-${at}`, addresses[at]!, 'z', disks[at]!, site);
    void core.node.start();
    return core;
  };
  const cores = addresses.map((_, at) => startCore(at));
  const nodes = names.map((name) => startNode(world, name, news));
  const committed = (): boolean =>
    nodes.every(
      ({ lease, inForce, claims }) =>
        lease.holds() && inForce.whole!.registered.size === count && claims.open,
    );
  expect(await world.run(30_000, committed)).toBe(true);
  const loseMemories = async (survivor?: number): Promise<void> => {
    nodes.forEach(({ host }, at) => at !== survivor && host.kill());
    nodes.splice(
      0,
      count,
      ...names.map((name, at) => (at === survivor ? nodes[at]! : startNode(world, name, news))),
    );
    expect(await world.run(world.now + 30_000, committed)).toBe(true);
  };
  const restart = (at: number): void => {
    nodes[at]!.host.kill();
    nodes[at] = startNode(world, names[at]!, news);
  };
  const operator = simBase(world, 'op', '127.0.0.1:20', 'z', 'router', site);
  await world.until(operator.proposer.learnCore());
  return { world, cores, disks, nodes, startCore, loseMemories, restart, operator };
};
