/**
 * Hundreds of changes in quick succession on a configuration of many routes: while the disks of all members are in trouble
 * one after the other, while all members lose power in the middle of a write, and in calm. Each change is acknowledged in
 * time, members and routers keep up, and what was acknowledged is neither lost nor ever replaced by something older.
 */
import { expect, test } from 'vitest';
import { pick } from '../../src/kernel/random/random.js';
import { encodeDocument } from '../../src/register/document.js';
import { CATCH_UP, costBetween, Plane } from './catchup.js';

const ACKNOWLEDGED = 4000;
const IN_FORCE = 2000;
const GAP = 50;
const LOST = 'the write in hand is kept or lost by chance';

/** Watches that no router goes back, and that a member which starts again holds no less than it held before. */
class Watch {
  private readonly inForce = new Map<object, number>();
  private readonly held = [0, 0, 0];
  readonly steps: string[] = [];

  constructor(private readonly plane: Plane) {}

  look = (): boolean => {
    for (const router of this.plane.routers) {
      const before = this.inForce.get(router) ?? 0;
      const { version } = router.inForce.routes;
      if (version < before) this.steps.push(`${router.host.name}: ${before} to ${version}`);
      this.inForce.set(router, version);
    }
    this.plane.cores.forEach(({ member, host }, at) => {
      const revision = member.newest?.revision;
      if (revision === undefined || host.dead) return;
      if (revision < this.held[at]!)
        this.steps.push(`${host.name}: ${this.held[at]} to ${revision}`);
      this.held[at] = revision;
    });
    return false;
  };
}

/** One change after the other at any member that lives, until the moment given; the longest time until an answer. */
const changing = async (plane: Plane, watch: Watch, until: number): Promise<number> => {
  let longest = 0;
  while (plane.world.now < until) {
    const alive = plane.cores.filter(({ host }) => !host.dead);
    const took = await plane.change(pick(plane.world.random, alive)!);
    expect(took).toBeDefined();
    longest = Math.max(longest, took!);
    await plane.world.run(plane.world.now + GAP, watch.look);
  }
  return longest;
};

const trouble = {
  full: { full: true },
  stalled: { stalled: true },
  slow: { latency: 250 },
} as const;
const working = { full: false, stalled: false, latency: 10 };

test('while the disk of one member after the other is in trouble, each change is acknowledged in time and members come back', async () => {
  for (const [at, kind] of (['full', 'stalled', 'slow'] as const).entries()) {
    const plane = new Plane(20 + at, 200, 2);
    const watch = new Watch(plane);
    expect(await plane.begin()).toBe(true);
    for (const hit of [0, 1, 2, 0]) {
      Object.assign(plane.disks[hit]!, trouble[kind]);
      expect(await changing(plane, watch, plane.world.now + 3000)).toBeLessThan(ACKNOWLEDGED);
      Object.assign(plane.disks[hit]!, working);
      expect(await changing(plane, watch, plane.world.now + CATCH_UP)).toBeLessThan(ACKNOWLEDGED);
      expect(await plane.caughtUp(hit, 0)).toBe(0);
      expect(await plane.everywhere(plane.routers, IN_FORCE)).toBe(true);
    }
    expect(plane.version).toBeGreaterThan(100);
    expect(watch.steps).toEqual([]);
    for (const { host } of plane.cores) host.kill();
    for (const number of [0, 1, 2]) plane.cores[number] = plane.startCore(number);
    expect(await plane.caughtUp(0)).toBeDefined();
  }
});

test(`all members lose power in the middle of hundreds of changes, and ${LOST}: nothing acknowledged is lost, nobody goes back`, async () => {
  for (let seed = 1; seed <= 4; seed++) {
    const plane = new Plane(40 + seed, 100, 2);
    const watch = new Watch(plane);
    const { world } = plane;
    expect(await plane.begin()).toBe(true);
    for (let round = 0; round < 8; round++) {
      await changing(plane, watch, world.now + 500);
      const disk = pick(world.random, plane.disks)!;
      const last = disk.writes + 1 + Math.floor(6 * world.random.fraction());
      const when = pick(world.random, ['before', 'after'] as const)!;
      const powerOff = new Promise<void>((resolve) => {
        disk.onPowerCut = () => {
          for (const { host } of plane.cores) host.kill();
          if (round % 2) plane.routers[1]!.host.kill();
          resolve();
        };
      });
      disk.powerCut = (write) => (write === last ? when : 'no');
      const acknowledged = await plane.changeUntil(powerOff);
      disk.powerCut = () => 'no';
      await world.run(world.now + 300, watch.look);
      for (const number of [0, 1, 2]) plane.cores[number] = plane.startCore(number);
      if (round % 2) plane.routers[1] = plane.startRouter(1);
      await world.run(
        world.now + CATCH_UP,
        () => watch.look() || plane.routers[1]!.inForce.routes.version > 0,
      );
      expect(plane.routers[1]!.inForce.routes.version).toBeGreaterThanOrEqual(acknowledged);
      const read = await world.until(plane.cores[0]!.configurator.read(CATCH_UP));
      plane.version = read.map((configuration) => configuration?.version ?? 0).orDefault(-1);
      expect(plane.version).toBeGreaterThanOrEqual(acknowledged);
      expect(await plane.everywhere(plane.routers, IN_FORCE)).toBe(true);
    }
    expect(watch.steps).toEqual([]);
  }
});

test('hundreds of changes one right after the other are each acknowledged in time, and all keep up', async () => {
  const plane = new Plane(60, 200, 3);
  const watch = new Watch(plane);
  expect(await plane.begin()).toBe(true);
  for (let round = 0; round < 10; round++) {
    expect(await changing(plane, watch, plane.world.now + 2000)).toBeLessThan(ACKNOWLEDGED / 4);
    expect(await plane.everywhere(plane.routers, IN_FORCE / 4)).toBe(true);
  }
  expect(plane.version).toBeGreaterThan(200);
  expect(watch.steps).toEqual([]);
});

test('a router that begins is never led by a member that was left behind, whether that member lives or starts again', async () => {
  for (const startsAgain of [false, true])
    for (let seed = 1; seed <= 3; seed++) {
      const plane = new Plane(80 + seed, 100, 2);
      const { world } = plane;
      expect(await plane.begin()).toBe(true);
      const [first, second, behind] = plane.cores.map(({ host }) => host.name) as [
        string,
        string,
        string,
      ];
      const heal = world.part([behind], [first, second, 'router-0']);
      for (let at = 0; at < 60; at++) expect(await plane.change()).toBeDefined();
      plane.routers[1]!.host.kill();
      if (startsAgain) {
        plane.cores[2]!.host.kill();
        plane.cores[2] = plane.startCore(2);
      }
      const healRouter = world.part(['router-1'], [first, second, 'router-0']);
      const router = plane.startRouter(1);
      plane.routers[1] = router;
      await plane.pass(CATCH_UP);
      expect(router.inForce.routes.version).toBe(0);
      healRouter();
      await world.run(world.now + CATCH_UP, () => router.inForce.routes.version > 0);
      expect(router.inForce.routes.version).toBe(plane.version);
      heal();
      expect(await plane.caughtUp(2)).toBeDefined();
    }
});

test('a change among many costs the members and routers what changed, and not the whole revision', async () => {
  const plane = new Plane(90, 500, 2);
  expect(await plane.begin()).toBe(true);
  for (let at = 0; at < 5; at++) expect(await plane.change()).toBeDefined();
  await plane.pass(500);
  const names = ['core-0', 'core-1', 'core-2', 'router-0', 'router-1'];
  const before = names.map((name) => plane.cost(name));
  const changes = 40;
  for (let at = 0; at < changes; at++) expect(await plane.change()).toBeDefined();
  expect(await plane.everywhere(plane.routers, IN_FORCE)).toBe(true);
  const each = names.map(
    (name, at) => costBetween(before[at]!, plane.cost(name)).receivedBytes / changes,
  );
  const revision = encodeDocument(plane.cores[0]!.member.newest!).length;
  if (process.env['FIGURES']) console.log(JSON.stringify({ revision, each }));
  for (const bytes of each) expect(bytes).toBeLessThan(0.1 * revision);
});

/** Where a frame says which call it belongs to, and the code of the feed. */
const CODE_AT = 6;
const FEED = 5;

test('a member that does not hold what a change was made from is asked by the whole, and votes in the same round', async () => {
  const plane = new Plane(95, 100, 0);
  const { world } = plane;
  expect(await plane.begin()).toBe(true);
  const [first, second, behind] = plane.cores;
  const heal = world.part([behind!.host.name], [first!.host.name, second!.host.name]);
  for (let at = 0; at < 5; at++) expect(await plane.change()).toBeDefined();
  const held = behind!.member.newest!.revision;
  world.net.mishap = (_from, _to, frame) => (frame[CODE_AT] === FEED ? 'drop' : 'pass');
  heal();
  await plane.pass(100);
  second!.host.kill();
  expect(behind!.member.newest!.revision).toBe(held);
  const rounds = (): number =>
    plane
      .trafficOf(behind!.host.name)
      .counts.filter(({ way, call }) => way === 'received' && call === 'register.prepare')
      .reduce((sum, { messages }) => sum + messages, 0);
  const before = rounds();
  expect(await plane.change()).toBeDefined();
  expect(rounds() - before).toBe(1);
  expect(behind!.member.newest!.configuration?.version).toBe(plane.version);
});

test('a member with a slow disk that missed several changes writes the newest only, and votes on at once', async () => {
  for (let seed = 1; seed <= 3; seed++) {
    const plane = new Plane(100 + seed, 100, 0);
    expect(await plane.begin()).toBe(true);
    const [first, second, behind] = plane.cores;
    const heal = plane.world.part([behind!.host.name], [first!.host.name, second!.host.name]);
    for (let at = 0; at < 12; at++) expect(await plane.change()).toBeDefined();
    plane.disks[2]!.latency = 250;
    const before = plane.cost(behind!.host.name);
    heal();
    expect(await plane.caughtUp(2)).toBeLessThan(1200);
    const { diskWrites } = costBetween(before, plane.cost(behind!.host.name));
    expect(diskWrites).toBeLessThanOrEqual(3);
    second!.host.kill();
    expect(await plane.change()).toBeLessThan(ACKNOWLEDGED / 2);
  }
});

test('a member that was cut off for some changes is fed what changed, or the newest revision, and not each one whole', async () => {
  for (const missed of [3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 40]) {
    const plane = new Plane(110 + missed, 300, 0);
    expect(await plane.begin()).toBe(true);
    for (let at = 0; at < 3; at++) expect(await plane.change()).toBeDefined();
    const [first, second, behind] = plane.cores;
    const heal = plane.world.part([behind!.host.name], [first!.host.name, second!.host.name]);
    for (let at = 0; at < missed; at++) expect(await plane.change()).toBeDefined();
    const before = plane.cost(behind!.host.name);
    heal();
    expect(await plane.caughtUp(2)).toBeDefined();
    const { receivedBytes } = costBetween(before, plane.cost(behind!.host.name));
    const revision = encodeDocument(first!.member.newest!).length;
    if (process.env['FIGURES']) console.log(JSON.stringify({ missed, revision, receivedBytes }));
    expect(receivedBytes).toBeLessThan(missed < 16 ? 0.5 * revision : 2.5 * revision);
  }
});
