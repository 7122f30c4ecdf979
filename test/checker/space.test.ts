/**
 * The disk of a member is never filled by what the member writes: not while removals fail or lag behind, not by files that
 * a dead process left aside, not by revisions mended after an absence, and not by configurations of the largest size.
 */
import { mkdir, mkdtemp, readdir, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from 'vitest';
import { FolderDisk } from '../../src/kernel/disk/disk.js';
import { encodeDocument, genesis, type Document } from '../../src/register/document.js';
import { Store } from '../../src/register/store.js';
import { Host } from '../../src/sim/host.js';
import { World } from '../../src/sim/world.js';
import { CapacityDisk } from './capacity.js';
import { DISK, Plane } from './catchup.js';

const DOCUMENT = 100_000;
const KEPT = 1_000_000;

/** A document of that many bytes. */
const documentOf = (revision: number): Document => {
  const empty = { ...genesis('', []), revision };
  return { ...empty, fleet: 'f'.repeat(DOCUMENT - encodeDocument(empty).length) };
};

const ballot = (counter: number) => ({ counter, node: 'n', incarnation: 'i' });

interface Written {
  readonly world: World;
  readonly disk: CapacityDisk;
  readonly store: Store;
  /** Writes revisions up to the one given as a member does, and says how many were refused. */
  readonly write: (from: number, to: number) => Promise<number>;
}

const storeOn = async (seed: number): Promise<Written> => {
  const world = new World(seed);
  const disk = new CapacityDisk(world, 4 * KEPT);
  const host = new Host(world, 'core', '127.0.0.1:1');
  const store = new Store(disk.open(host), 'f', { revisions: 0, bytes: KEPT });
  await world.until(store.open());
  const write = async (from: number, to: number): Promise<number> => {
    let refused = 0;
    for (let revision = from; revision <= to; revision++) {
      const filed = { ballot: ballot(revision), document: documentOf(revision) };
      const kept = await world.until(store.keepRevision(revision, filed));
      if (kept.isLeft()) refused += 1;
      store.prune(store.floor(revision));
    }
    return refused;
  };
  return { world, disk, store, write };
};

test('while removals fail, revisions are refused before the disk is full; once they work all goes on', async () => {
  for (let seed = 1; seed <= 10; seed++) {
    const { world, disk, write } = await storeOn(seed);
    expect(await write(1, 20)).toBe(0);
    disk.removals = 'fail';
    expect(await write(21, 100)).toBeGreaterThan(0);
    expect(disk.ranOut).toBe(false);
    expect(disk.most).toBeLessThan(3 * KEPT);
    disk.removals = 'work';
    expect(await write(101, 140)).toBe(0);
    await world.run(world.now + 5000);
    expect(disk.used).toBeLessThan(1.3 * KEPT);
  }
});

test('while removals are slow, new revisions wait for them and the disk is not filled', async () => {
  for (let seed = 1; seed <= 10; seed++) {
    const { world, disk, write } = await storeOn(seed);
    disk.removals = 'slow';
    expect(await write(1, 150)).toBe(0);
    expect(disk.ranOut).toBe(false);
    expect(disk.most).toBeLessThan(3 * KEPT);
    await world.run(world.now + 10_000);
    expect(disk.used).toBeLessThan(1.3 * KEPT);
  }
});

test('a process removes what an earlier one left aside, also one with the same process number', async () => {
  const root = await mkdtemp(join(tmpdir(), 'disk-'));
  await mkdir(join(root, 'revisions'));
  const aside = join(root, 'revisions', `000000000007.aside-${process.pid}-3`);
  await writeFile(aside, 'cut short');
  const disk = new FolderDisk(root);
  const written = await Promise.all(
    ['1', '2', '3'].map((name) => disk.write(`revisions/${name}`, Buffer.from('x'))),
  );
  expect(written.every((each) => each.isRight())).toBe(true);
  expect((await readdir(join(root, 'revisions'))).sort()).toEqual(['1', '2', '3']);
  await rm(root, { recursive: true });
});

/** Half a member's disk may be taken by revisions and what is mended; the rest is for files aside and probes. */
const SMALL = 2_000_000;

test('a member that dies in the middle of writes, again and again, and mends what it missed never fills its disk', async () => {
  for (let seed = 1; seed <= 4; seed++) {
    const plane = new Plane(seed, 300, 0, { keep: 0, keepBytes: SMALL / 4 }, SMALL);
    expect(await plane.begin()).toBe(true);
    for (let round = 0; round < 12; round++) {
      const hit = 1 + (round % 2);
      const died = plane.disks[hit]!.writes + 3;
      plane.disks[hit]!.powerCut = (write) => (write === died ? 'before' : 'no');
      plane.disks[hit]!.onPowerCut = () => plane.cores[hit]!.host.kill();
      for (let at = 0; at < 12; at++) expect(await plane.change()).toBeDefined();
      plane.disks[hit]!.powerCut = () => 'no';
      plane.cores[hit]!.host.kill();
      plane.cores[hit] = plane.startCore(hit);
      expect(await plane.caughtUp(hit)).toBeDefined();
      await plane.pass(1500);
    }
    await plane.pass(10_000);
    for (const disk of plane.disks) {
      expect(disk.ranOut).toBe(false);
      expect(disk.used).toBeLessThan(0.3 * SMALL);
      expect(disk.most).toBeLessThan(0.5 * SMALL);
    }
  }
});

test('with configurations of the largest size a disk is not filled, also while a member mends what it missed', async () => {
  const plane = new Plane(1, 14_000, 0, { keep: 0 });
  expect(await plane.begin()).toBe(true);
  plane.cores[2]!.host.kill();
  for (let at = 0; at < 10; at++) expect(await plane.change()).toBeDefined();
  plane.cores[2] = plane.startCore(2);
  expect(await plane.caughtUp(2)).toBeDefined();
  await plane.pass(6000);
  for (const disk of plane.disks) {
    expect(disk.ranOut).toBe(false);
    expect(disk.most).toBeLessThan(0.5 * DISK);
  }
});
