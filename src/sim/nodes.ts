/** Nodes of a simulated fleet, put together from the same classes as the program's own, on a host of the world. */
import { Keeper } from '../claim/keeper.js';
import { Configurator } from '../api/configurator.js';
import { Operations } from '../api/operations.js';
import { CoreNode } from '../core/module.js';
import { InForce } from '../doorway/match.js';
import { silentLog, type Log } from '../kernel/log/log.js';
import type { Net } from '../kernel/net/net.js';
import { checkParams, type Params } from '../params/shape.js';
import { Member } from '../register/member.js';
import { Proposer } from '../register/proposer.js';
import type { RegisterInvariants } from '../register/register-invariants.js';
import { VoterDirectory } from '../register/voter-directory.js';
import { Store } from '../register/store.js';
import { Tracing } from '../trace/tracing.js';
import { View } from '../view/view.js';
import { Peers } from '../wire/peers.js';
import { Prefixes } from '../index/prefixes.js';
import { Journal } from '../kernel/journal/journal.js';
import { Acceptance } from '../lease/acceptance.js';
import { RouterLease } from '../lease/router-lease.js';
import { PeerLeases } from '../lease/peer-leases.js';
import { Claims } from '../claim/claims.js';
import type { PassageEvent } from '../passage/chart.js';
import { NodeWork } from '../monitor/node-work.js';
import { PlannedWork } from '../monitor/planned-work.js';
import { TakenIds } from '../passage/ids.js';
import { Lines } from '../passage/line.js';
import { Passage } from '../passage/passage.js';
import { RetryBudget } from '../passage/retry.js';
import { Chooser } from '../place/choose.js';
import { Newsroom, type Fetch } from '../pool/news.js';
import { Soundness } from '../pool/soundness.js';
import { RouterNode } from '../router/node.js';
import { SimChannels, type SimEngine } from './engine.js';
import type { SimDisk } from './disk.js';
import { Host } from './host.js';
import type { World } from './world.js';

export interface SimSite {
  readonly fleet: string;
  readonly seeds: readonly string[];
  readonly over?: object;
  /** Laid around the net of each node, as to count what goes over it. */
  readonly net?: (net: Net, node: string) => Net;
}

export interface SimBase {
  readonly host: Host;
  readonly log: Log;
  readonly params: Params;
  readonly peers: Peers;
  readonly voterDirectory: VoterDirectory;
  readonly proposer: Proposer;
  readonly inForce: InForce;
  readonly view: View;
  readonly stop: AbortController;
  readonly acceptance: Acceptance;
  readonly configurator: Configurator;
  readonly invariants: RegisterInvariants;
}

export interface SimCore extends SimBase {
  readonly member: Member;
  readonly keeper: Keeper;
  readonly operations: Operations;
  readonly node: CoreNode;
}

export const simBase = (
  world: World,
  name: string,
  address: string,
  zone: string,
  role: 'core' | 'router',
  site: SimSite,
  outer: Log = silentLog,
): SimBase => {
  const host = new Host(world, name, address);
  const tracing = new Tracing(name, host.clock);
  const log = tracing.tap(outer);
  const params = checkParams(
    {
      fleet: site.fleet,
      name,
      zone,
      seeds: site.seeds,
      listen: { peers: address, callers: address, operators: address },
    },
    site.over ?? {},
  ).unsafeCoerce();
  const self = { fleet: site.fleet, name, incarnation: host.random.identity() };
  const peers = new Peers(site.net?.(host.net, name) ?? host.net, host.clock, log, self);
  tracing.serve(peers);
  const voterDirectory = new VoterDirectory(params.seeds);
  const proposer = new Proposer(peers, voterDirectory, host.clock, host.random, log);
  const view = new View(
    { name, incarnation: self.incarnation, address, zone, role, age: 0, beat: 0, suspect: false },
    params.seeds,
    peers,
    host.clock,
    host.random,
    params.view.every,
  );
  const inForce = new InForce();
  const invariants = world.registerInvariants(log);
  const acceptance = new Acceptance(peers, voterDirectory, host.clock, params.lease);
  const configurator = new Configurator(
    peers,
    voterDirectory,
    proposer,
    acceptance,
    inForce,
    host.clock,
    invariants,
  );
  return {
    host,
    log,
    params,
    peers,
    voterDirectory,
    proposer,
    inForce,
    view,
    stop: new AbortController(),
    acceptance,
    configurator,
    invariants,
  };
};

export const simCore = (
  world: World,
  name: string,
  address: string,
  zone: string,
  disk: SimDisk,
  site: SimSite,
  outer: Log = silentLog,
): SimCore => {
  const base = simBase(world, name, address, zone, 'core', site, outer);
  const { host, log, params, peers, voterDirectory, proposer, inForce, view, stop } = base;
  const folder = disk.open(host);
  const member = new Member(
    new Store(folder, site.fleet, { revisions: params.core.keep, bytes: params.core.keepBytes }),
    peers,
    host.clock,
    host.random,
    log,
    params.core.stall,
    base.invariants,
    { zone: params.zone, region: params.region },
  );
  world.members.watch({
    fleet: site.fleet,
    isAlive: () => !host.dead,
    progress: () => member.progress,
  });
  const keeper = new Keeper(folder, site.fleet, member, peers, host.clock, log);
  const operations = new Operations(
    peers,
    voterDirectory,
    proposer,
    inForce,
    view,
    undefined,
    host.clock,
    base.acceptance,
    base.invariants,
  );
  const node = new CoreNode(
    params,
    peers,
    folder,
    member,
    keeper,
    voterDirectory,
    proposer,
    inForce,
    view,
    operations,
    host.clock,
    host.random,
    log,
    stop,
    base.invariants,
    new NodeWork(),
  );
  return { ...base, member, keeper, operations, node };
};

export interface SimRouter extends SimBase {
  readonly lease: RouterLease;
  readonly news: Newsroom;
  readonly claims: Claims;
  readonly prefixes: Prefixes;
  readonly passage: Passage;
  readonly operations: Operations;
  readonly journal: Journal<PassageEvent>;
  readonly node: RouterNode;
}

export const simRouter = (
  world: World,
  name: string,
  address: string,
  zone: string,
  site: SimSite,
  fetch: (host: Host) => Fetch,
  engineAt: (address: string) => SimEngine | undefined,
  outer: Log = silentLog,
): SimRouter => {
  const base = simBase(world, name, address, zone, 'router', site, outer);
  const { host, log, params, peers, voterDirectory, proposer, inForce, view, stop } = base;
  const { clock, random } = host;
  const journal = new Journal<PassageEvent>(clock, 256);
  const channels = new SimChannels(host, engineAt);
  const soundness = new Soundness(clock);
  const prefixes = new Prefixes(clock, params.law, params.index.blockTokens);
  const chooser = new Chooser(params.place, params.law, zone, clock, random, params.place.policy);
  const news = new Newsroom(
    fetch(host),
    params.platform,
    view,
    peers,
    clock,
    random,
    log,
    (engines) => {
      soundness.forget(engines);
      prefixes.listed(engines);
      chooser.listed(engines);
    },
  );
  const peerLeases = new PeerLeases(name, inForce, peers, clock, params.lease);
  const lease = new RouterLease(
    { node: name, incarnation: peers.self.incarnation, address, zone },
    inForce,
    peerLeases,
    peers,
    voterDirectory,
    clock,
    log,
    params.lease,
  );
  const claims = new Claims(
    name,
    inForce,
    peers,
    voterDirectory,
    clock,
    random,
    log,
    params.claims.enabled,
  );
  const passage = new Passage(
    `${name}-${peers.self.incarnation}`,
    lease,
    inForce,
    news,
    channels,
    soundness,
    prefixes,
    chooser,
    new Lines(),
    new RetryBudget(params.passage.retryShare),
    new TakenIds(clock),
    claims,
    { ...params.passage, ...params.index },
    params.law,
    clock,
    journal,
    log,
  );
  const operations = new Operations(
    peers,
    voterDirectory,
    proposer,
    inForce,
    view,
    news,
    clock,
    base.acceptance,
    base.invariants,
  );
  const node = new RouterNode(
    params,
    peers,
    voterDirectory,
    proposer,
    inForce,
    lease,
    peerLeases,
    view,
    news,
    claims,
    prefixes,
    passage,
    channels,
    operations,
    clock,
    random,
    log,
    stop,
    new PlannedWork(clock),
    base.invariants,
    new NodeWork(),
  );
  return { ...base, lease, news, claims, prefixes, passage, operations, journal, node };
};
