/**
 * A simulated control plane of three core members and some routers with a configuration of many routes, whose disk writes
 * and frames are counted by node, for tests of members and routers that missed many changes.
 */
import type { Disk } from '../../src/kernel/disk/disk.js';
import { failed } from '../../src/kernel/fault/fault.js';
import { configurationOf, patchOf } from '../../src/fleet/slopes/items.js';
import {
  simCore,
  simRouter,
  type SimCore,
  type SimRouter,
  type SimSite,
} from '../../src/sim/nodes.js';
import { type Host } from '../../src/sim/host.js';
import { World } from '../../src/sim/world.js';
import { CountedNet, Traffic } from '../../src/wire/traffic.js';
import { CapacityDisk } from './capacity.js';

export const seeds = [1, 2, 3].map((at) => `127.0.0.1:${at}`);
/** A core machine's disk, in bytes, and the ms of a synced write of file and folder. */
export const DISK = 128 * 1024 * 1024;
const SYNCED_WRITE = 10;
const ANSWER_LIMIT = 4000;
/** The bound within which a member that is back must be caught up, as on the sites. */
export const CATCH_UP = 4000;

/** What a node read, wrote and received so far. */
export interface Cost {
  readonly receivedFrames: number;
  readonly receivedBytes: number;
  readonly diskWrites: number;
  readonly diskBytes: number;
}

export const costBetween = (before: Cost, after: Cost): Cost => ({
  receivedFrames: after.receivedFrames - before.receivedFrames,
  receivedBytes: after.receivedBytes - before.receivedBytes,
  diskWrites: after.diskWrites - before.diskWrites,
  diskBytes: after.diskBytes - before.diskBytes,
});

/** A simulated disk that counts what is written to it. */
export class CountedDisk extends CapacityDisk {
  written = { writes: 0, bytes: 0 };

  override open(host: Host): Disk {
    const disk = super.open(host);
    return {
      sync: () => disk.sync(),
      read: (path) => disk.read(path),
      list: (folder) => disk.list(folder),
      remove: (path) => disk.remove(path),
      write: (path, bytes) => {
        this.written.writes += 1;
        this.written.bytes += bytes.length;
        return disk.write(path, bytes);
      },
    };
  }
}

export class Plane {
  readonly world: World;
  readonly disks: CountedDisk[];
  readonly cores: SimCore[];
  readonly routers: SimRouter[] = [];
  version = 0;
  private readonly traffics = new Map<string, Traffic>();

  constructor(
    seed: number,
    private readonly routes: number,
    routers: number,
    private readonly core: object = {},
    capacity = DISK,
  ) {
    this.world = new World(seed);
    this.disks = seeds.map(() => new CountedDisk(this.world, capacity));
    this.disks.forEach((disk) => (disk.latency = SYNCED_WRITE));
    this.cores = seeds.map((_, at) => this.startCore(at));
    for (let at = 0; at < routers; at++) this.routers.push(this.startRouter(at));
  }

  get site(): SimSite {
    return {
      fleet: 'f',
      seeds,
      over: {
        form: true,
        lease: { duration: 1000, renew: 333, lapse: 'serve', patience: 300 },
        feed: { wait: 500 },
        claims: { enabled: false },
        core: { replaceAfter: 1000, wanted: 3, keep: 2, keepBytes: DISK / 4, ...this.core },
      },
      net: (inner, node) => new CountedNet(inner, this.trafficOf(node)),
    };
  }

  startCore(at: number): SimCore {
    const core = simCore(this.world, `core-${at}`, seeds[at]!, 'z', this.disks[at]!, this.site);
    void core.node.start();
    return core;
  }

  startRouter(at: number): SimRouter {
    const router = simRouter(
      this.world,
      `router-${at}`,
      `127.0.0.1:${100 + at}`,
      'z',
      this.site,
      () => () => Promise.resolve(failed('list', 'platform', 'there is none')),
      () => undefined,
    );
    void router.node.start();
    return router;
  }

  /** The first configuration, in force at all routers. */
  async begin(): Promise<boolean> {
    await this.pass(3000);
    const { world } = this;
    const configuration = configurationOf(this.routes, 1);
    const told = await world.until(
      this.cores[0]!.configurator.replace(configuration, 0, ANSWER_LIMIT),
    );
    this.version = 1;
    return told.outcome === 'accepted' && this.everywhere(this.routers, 3000);
  }

  /** One route is patched on top of what is in force; the ms until the answer, or nothing when it is not accepted. */
  async change(by: SimCore = this.cores[0]!): Promise<number | undefined> {
    const began = this.world.now;
    const next = this.version + 1;
    const told = await this.world.until(
      by.configurator.patch(patchOf(next % this.routes, next), this.version, ANSWER_LIMIT),
    );
    if (told.outcome !== 'accepted') return undefined;
    this.version = next;
    return this.world.now - began;
  }

  /** One change after the other until something happens; the newest version that was acknowledged before. */
  async changeUntil(happened: Promise<void>): Promise<number> {
    const { world } = this;
    let isOver = false;
    void happened.then(() => (isOver = true));
    while (!isOver) {
      const next = this.version + 1;
      let outcome = '';
      const alive = this.cores.find(({ host }) => !host.dead)!;
      void alive.configurator
        .patch(patchOf(next % this.routes, next), this.version, ANSWER_LIMIT)
        .then((told) => (outcome = told.outcome));
      await world.run(world.now + ANSWER_LIMIT, () => isOver || outcome !== '');
      if (outcome === 'accepted') this.version = next;
      await world.run(world.now + 20, () => isOver);
    }
    return this.version;
  }

  /** Until the newest version is in force at these routers. */
  everywhere(routers: readonly SimRouter[], limit: number): Promise<boolean> {
    return this.world.run(this.world.now + limit, () =>
      routers.every(({ inForce }) => inForce.routes.version === this.version),
    );
  }

  /** The ms until a member votes and knows the newest version as committed. */
  async caughtUp(at: number, limit = CATCH_UP): Promise<number | undefined> {
    const began = this.world.now;
    const { member } = this.cores[at]!;
    const done = await this.world.run(
      began + limit,
      () => member.state().voting && member.chain.document?.configuration?.version === this.version,
    );
    return done ? this.world.now - began : undefined;
  }

  pass(duration: number): Promise<boolean> {
    return this.world.run(this.world.now + duration);
  }

  cost(name: string): Cost {
    const received = this.trafficOf(name).counts.filter(({ way }) => way === 'received');
    const { writes, bytes } = this.disks[Number(name.replace('core-', ''))]?.written ?? {
      writes: 0,
      bytes: 0,
    };
    return {
      receivedFrames: received.reduce((sum, { messages }) => sum + messages, 0),
      receivedBytes: received.reduce((sum, each) => sum + each.bytes, 0),
      diskWrites: writes,
      diskBytes: bytes,
    };
  }

  trafficOf(node: string): Traffic {
    const traffic = this.traffics.get(node) ?? new Traffic();
    this.traffics.set(node, traffic);
    return traffic;
  }
}
