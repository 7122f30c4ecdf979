/**
 * A fleet whose routers serve on when their lease lapses: a change is accepted within bounds whatever befalls a router, a
 * core member or its disk; revisions reach every router that is in touch at once; a restarted router has the newest one
 * at once; and nothing is registered, granted or claimed.
 */
import { expect, test } from 'vitest';
import { failed } from '../../src/kernel/fault/fault.js';
import { PeerLease } from '../../src/lease/calls.js';
import { Keep, Take } from '../../src/claim/calls.js';
import type { Configuration } from '../../src/route/shape.js';
import { simCore, simRouter, type SimCore, type SimRouter } from '../../src/sim/nodes.js';
import { SimDisk } from '../../src/sim/disk.js';
import { World } from '../../src/sim/world.js';
import { decodeFrame } from '../../src/wire/call.js';

const cores = [1, 2, 3];
const routers = [1, 2, 3, 4];
const seeds = cores.map((at) => `127.0.0.1:${at}`);
const over = {
  form: true,
  lease: { duration: 2000, renew: 500, lapse: 'serve', patience: 400 },
  feed: { wait: 500 },
  claims: { enabled: false },
  core: { replaceAfter: 1000, wanted: 3 },
};
const site = { fleet: 'f', seeds, over };
const version = (number: number): Configuration => ({
  version: number,
  routes: [
    { name: 'a', host: 'h', prefix: '/a/', kind: 'idempotent', timeout: number, service: 's' },
  ],
  services: [{ name: 's' }],
});

class Fleet {
  readonly world: World;
  readonly disks: SimDisk[];
  readonly cores: SimCore[];
  readonly routers: SimRouter[];

  constructor(seed = 1) {
    this.world = new World(seed);
    this.disks = cores.map(() => new SimDisk(this.world));
    this.cores = cores.map((at) => this.startCore(at));
    this.routers = routers.map((at) => this.startRouter(at));
  }

  startCore(at: number): SimCore {
    const core = simCore(this.world, `core-${at}`, seeds[at - 1]!, 'z', this.disks[at - 1]!, site);
    void core.node.start();
    return core;
  }

  startRouter(at: number): SimRouter {
    const router = simRouter(
      this.world,
      `router-${at}`,
      `127.0.0.1:${10 + at}`,
      'z',
      site,
      () => () => Promise.resolve(failed('list', 'platform', 'there is none')),
      () => undefined,
    );
    void router.node.start();
    return router;
  }

  async ready(): Promise<void> {
    expect(
      await this.world.run(10_000, () => this.routers.every(({ lease }) => lease.holds())),
    ).toBe(true);
  }

  /** Puts a version in place through one core node; says how long the acknowledgement took. */
  async configure(at: number, number: number, expects: number): Promise<number> {
    const before = this.world.now;
    const reply = await this.world.until(
      this.cores[at - 1]!.configurator.replace(version(number), expects, 4000),
    );
    expect(reply).toEqual({ outcome: 'accepted', version: number, reason: '' });
    return this.world.now - before;
  }

  /** How long until the routers given have a version in force. */
  async reaches(number: number, some = this.routers): Promise<number> {
    const before = this.world.now;
    expect(
      await this.world.run(before + 5000, () =>
        some.every(({ inForce }) => inForce.routes.version >= number),
      ),
    ).toBe(true);
    return this.world.now - before;
  }
}

test('with all well a change is accepted once every router has it in force, and no revision is made for anything else', async () => {
  const fleet = new Fleet();
  const calls = new Set<number>();
  fleet.world.net.mishap = (from, _, frame) => {
    decodeFrame(frame, from).ifRight(({ code }) => calls.add(code));
    return 'pass';
  };
  await fleet.ready();
  const took = await fleet.configure(1, 4, 0);
  expect(fleet.routers.map(({ inForce }) => inForce.routes.version)).toEqual([4, 4, 4, 4]);
  expect(took).toBeLessThan(100);
  await fleet.world.run(fleet.world.now + 5000);
  expect(fleet.cores.map(({ member }) => member.committedRevision)).toEqual([2, 2, 2]);
  expect([PeerLease.code, Keep.code, Take.code].filter((code) => calls.has(code))).toEqual([]);
});

test('a router that is frozen, killed or cut off delays acceptance by the patience at most', async () => {
  for (const strike of ['freeze', 'kill', 'cut'] as const) {
    const fleet = new Fleet();
    await fleet.ready();
    if (strike === 'cut') fleet.world.part(['router-1'], ['core-1', 'core-2', 'core-3']);
    else fleet.routers[0]!.host[strike]();
    expect(await fleet.configure(2, 4, 0)).toBeLessThan(600);
    expect(await fleet.reaches(4, fleet.routers.slice(1))).toBeLessThan(100);
    await fleet.world.run(fleet.world.now + 2500);
    expect(await fleet.configure(3, 6, 4)).toBeLessThan(100);
  }
});

test('with a core member killed, frozen, cut off, slow or stalled, at whatever moment, a change is accepted in time and reaches all', async () => {
  for (const strike of ['freeze', 'kill', 'cut', 'slow', 'stall'] as const)
    for (const hit of cores)
      for (const ahead of [0, 40, 700, 3000]) {
        const fleet = new Fleet(hit);
        await fleet.ready();
        const core = fleet.cores[hit - 1]!;
        if (strike === 'cut')
          fleet.world.part(
            [`core-${hit}`],
            ['core-1', 'core-2', 'core-3', 'router-1', 'router-2', 'router-3', 'router-4'],
          );
        else if (strike === 'slow') fleet.disks[hit - 1]!.latency *= 50;
        else if (strike === 'stall') fleet.disks[hit - 1]!.stalled = true;
        else core.host[strike]();
        await fleet.world.run(fleet.world.now + ahead);
        const via = (hit % 3) + 1;
        const took = await fleet.configure(via, 4, 0);
        expect({ strike, hit, ahead, fine: took < 1500 }).toEqual({
          strike,
          hit,
          ahead,
          fine: true,
        });
        const reached = await fleet.reaches(4);
        expect({ strike, hit, ahead, fine: reached < 500 }).toEqual({
          strike,
          hit,
          ahead,
          fine: true,
        });
        await fleet.world.run(fleet.world.now + 1500);
        await fleet.configure(via, 6, 4);
        expect({ strike, hit, ahead, fine: (await fleet.reaches(6)) < 500 }).toEqual({
          strike,
          hit,
          ahead,
          fine: true,
        });
      }
});

test('without the core routers serve on with what they have; one that restarts begins only once a majority told it', async () => {
  const fleet = new Fleet();
  await fleet.ready();
  await fleet.configure(1, 4, 0);
  fleet.cores.forEach(({ host }) => host.kill());
  await fleet.world.run(fleet.world.now + 20_000);
  expect(fleet.routers.map(({ lease }) => [lease.holds(), lease.serves()])).toEqual(
    routers.map(() => [false, true]),
  );
  fleet.routers[0]!.host.kill();
  const restarted = fleet.startRouter(1);
  await fleet.world.run(fleet.world.now + 5000);
  expect([restarted.lease.serves(), restarted.inForce.revision]).toEqual([false, 0]);
  cores.forEach((at) => (fleet.cores[at - 1] = fleet.startCore(at)));
  expect(await fleet.reaches(4, [restarted])).toBeLessThan(1500);
  expect(restarted.lease.serves()).toBe(true);
});

test('a restarted router has the newest revision at once, also with a core member dead, frozen or cut off', async () => {
  for (const strike of ['none', 'freeze', 'kill', 'cut'] as const)
    for (const hit of cores) {
      const fleet = new Fleet(hit);
      await fleet.ready();
      await fleet.configure(1, 4, 0);
      if (strike === 'cut')
        fleet.world.part(
          [`core-${hit}`],
          routers.map((at) => `router-${at}`),
        );
      else if (strike !== 'none') fleet.cores[hit - 1]!.host[strike]();
      fleet.routers[0]!.host.kill();
      const restarted = fleet.startRouter(1);
      const reached = await fleet.reaches(4, [restarted]);
      expect({ strike, hit, fine: reached < 100 }).toEqual({ strike, hit, fine: true });
    }
});
