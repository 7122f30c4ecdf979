/**
 * Disks of core members that fill up, stall, refuse or slow down: the member stays readable and out of the vote, changes go
 * on without it, and it votes again by itself once its disk works, so that another member may be lost next. Old
 * revisions go, and what is left is whole on every member.
 */
import { mkdtemp, readdir, rm, writeFile, mkdir } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from 'vitest';
import { FolderDisk } from '../../src/kernel/disk/disk.js';
import { Feed, State } from '../../src/register/calls.js';
import { decodeDocument } from '../../src/register/document.js';
import type { Configuration } from '../../src/route/shape.js';
import { simBase, simCore, type SimBase, type SimCore } from '../../src/sim/nodes.js';
import { SimDisk } from '../../src/sim/disk.js';
import { World } from '../../src/sim/world.js';

const seeds = [1, 2, 3].map((at) => `127.0.0.1:${at}`);
const version = (number: number, routes = 1): Configuration => ({
  version: number,
  routes: Array.from(
    { length: routes },
    (_, at) =>
      ({
        name: `r${at}`,
        host: 'h',
        prefix: `/${at}/`,
        kind: 'idempotent',
        timeout: number,
        service: 's',
      }) as const,
  ),
  services: [{ name: 's' }],
});

class Core {
  readonly world: World;
  readonly disks: SimDisk[];
  readonly cores: SimCore[];
  readonly client: SimBase;
  version = 0;

  constructor(
    seed: number,
    private readonly core: object = {},
  ) {
    this.world = new World(seed);
    this.disks = seeds.map(() => new SimDisk(this.world));
    this.cores = seeds.map((_, at) => this.start(at));
    this.client = simBase(this.world, 'client', '127.0.0.1:90', 'z', 'router', this.site);
  }

  get site(): { fleet: string; seeds: string[]; over: object } {
    return {
      fleet: 'f',
      seeds,
      over: {
        form: true,
        lease: { duration: 2000, renew: 500, lapse: 'serve', patience: 400 },
        feed: { wait: 500 },
        claims: { enabled: false },
        core: { replaceAfter: 1000, wanted: 3, ...this.core },
      },
    };
  }

  start(at: number): SimCore {
    const core = simCore(this.world, `core-${at}`, seeds[at]!, 'z', this.disks[at]!, this.site);
    void core.node.start();
    return core;
  }

  async change(routes = 1): Promise<number> {
    const before = this.world.now;
    const next = this.version + 1;
    expect(
      await this.world.until(
        this.client.configurator.replace(version(next, routes), this.version, 4000),
      ),
    ).toMatchObject({ outcome: 'accepted' });
    this.version = next;
    return this.world.now - before;
  }

  async formed(): Promise<void> {
    await this.world.run(this.world.now + 3000);
    await this.change();
  }

  async votes(at: number, limit = 2500): Promise<boolean> {
    return this.world.run(
      this.world.now + limit,
      () =>
        this.cores[at]!.member.state().voting &&
        this.cores[at]!.member.newest?.configuration?.version === this.version,
    );
  }

  files(at: number): string[] {
    return [...this.disks[at]!.files.keys()].filter((path) => path.startsWith('revisions/')).sort();
  }
}

test('a full or refusing disk takes the member out of the vote, readable; it votes again by itself, and the next loss is borne', async () => {
  for (const hit of [0, 1, 2])
    for (const lasts of [200, 3000]) {
      const core = new Core(hit + 1);
      await core.formed();
      core.disks[hit]!.full = true;
      await core.change();
      await core.change();
      await core.world.run(core.world.now + lasts);
      expect(core.cores[hit]!.member.state()).toMatchObject({ voting: false, reason: 'ENOSPC' });
      const read = await core.world.until(core.cores[hit]!.configurator.read(1000));
      expect(read.map((configuration) => configuration?.version).extract()).toBe(core.version);
      expect(core.cores[hit]!.inForce.routes.version).toBe(core.version);
      core.disks[hit]!.full = false;
      expect(await core.votes(hit)).toBe(true);
      core.cores[(hit + 1) % 3]!.host.kill();
      await core.change();
    }
});

test('a stalled disk holds up no answer, no change and no follower, and a write that comes through late undoes nothing', async () => {
  for (const hit of [0, 1, 2])
    for (const lasts of [500, 1700, 8000]) {
      const core = new Core(hit + 4);
      await core.formed();
      core.disks[hit]!.stalled = true;
      const began = core.world.now;
      expect(await core.change()).toBeLessThan(1500);
      for (const ask of [
        core.client.peers.ask(seeds[hit]!, State, { from: 'x' }, 100),
        core.client.peers.ask(seeds[hit]!, Feed, { from: 0, wait: 0 }, 100),
      ])
        expect((await core.world.until<{ isRight(): boolean }>(ask)).isRight()).toBe(true);
      await core.change();
      await core.world.run(began + lasts);
      core.disks[hit]!.stalled = false;
      expect(await core.votes(hit)).toBe(true);
      core.cores[(hit + 1) % 3]!.host.kill();
      await core.change();
      core.cores[hit]!.host.kill();
      core.cores[hit] = core.start(hit);
      expect(
        (await core.world.until(core.client.configurator.read(4000)))
          .map((configuration) => configuration?.version)
          .extract(),
      ).toBe(core.version);
      await core.change();
    }
});

test('with a disk that is slow by twenty-five times, and another member gone, a change is committed in time', async () => {
  for (const hit of [0, 1, 2]) {
    const core = new Core(hit + 7);
    core.disks.forEach((disk) => (disk.latency = 10));
    await core.formed();
    core.disks[hit]!.latency = 250;
    await core.change();
    core.cores[(hit + 1) % 3]!.host.kill();
    expect(await core.change()).toBeLessThan(2500);
    expect(core.cores[hit]!.member.state().voting).toBe(true);
  }
});

test('with all disks full what was accepted can be read, and changes go on by themselves once they work', async () => {
  const core = new Core(9);
  await core.formed();
  for (const disk of core.disks) disk.full = true;
  const told = await core.world.until(core.client.configurator.replace(version(2), 1, 2000));
  expect(told.outcome).toBe('unknown');
  for (const { configurator } of core.cores)
    expect(
      (await core.world.until(configurator.read(1000)))
        .map((configuration) => configuration?.version)
        .extract(),
    ).toBe(1);
  for (const disk of core.disks) disk.full = false;
  await core.world.run(core.world.now + 1500);
  await core.change();
});

test('a disk that lost what this member voted for keeps it out of the vote for good', async () => {
  const core = new Core(10);
  await core.formed();
  core.disks[1]!.full = true;
  await core.change();
  core.disks[1]!.files.delete('promise');
  for (const path of core.files(1)) core.disks[1]!.files.delete(path);
  core.disks[1]!.full = false;
  await core.world.run(core.world.now + 3000);
  expect(core.cores[1]!.member.state()).toMatchObject({ voting: false, sure: false });
});

test('old revisions go, by count and by bytes; histories stay whole, and a newcomer joins', async () => {
  for (const [keep, most] of [
    [{ keep: 5 }, 6],
    [{ keepBytes: 200_000 }, 6],
  ] as const) {
    const core = new Core(11, keep);
    await core.formed();
    for (let at = 0; at < 30; at++) await core.change(350);
    await core.world.run(core.world.now + 6000);
    for (const at of [0, 1, 2]) expect(core.files(at).length).toBeLessThanOrEqual(most);
    for (const at of [0, 1, 2])
      expect(
        [...core.disks[at]!.files.values()].reduce((sum, { length }) => sum + length, 0),
      ).toBeLessThan(300_000);
    const wholes = core.cores.map(({ member }) => member.wholeDigest);
    expect(wholes[0]).not.toBe('');
    expect(new Set(wholes).size).toBe(1);
    core.cores[1]!.host.kill();
    core.disks[1]!.lose();
    core.cores[1] = core.start(1);
    expect(await core.votes(1, 4000)).toBe(true);
    core.cores[0]!.host.kill();
    await core.change(350);
    core.cores[0] = core.start(0);
    await core.world.run(core.world.now + 8000);
    expect(new Set(core.cores.map(({ member }) => member.wholeDigest)).size).toBe(1);
    const [newest] = core.files(1).slice(-1);
    const bytes = Buffer.from(core.disks[1]!.files.get(newest!)!);
    expect(
      decodeDocument(bytes.subarray(bytes.indexOf(10) + 1), 'disk')
        .map(({ configuration }) => configuration?.version)
        .extract(),
    ).toBe(core.version);
  }
});

test('what a failed or broken-off write left aside is taken away from a folder', async () => {
  const root = await mkdtemp(join(tmpdir(), 'disk-'));
  await mkdir(join(root, 'revisions', 'taken'), { recursive: true });
  await writeFile(join(root, 'revisions', '1.aside-0-7'), 'cut short');
  const disk = new FolderDisk(root);
  expect((await disk.write('revisions/taken', Buffer.from('x'))).isLeft()).toBe(true);
  expect((await disk.write('revisions/2', Buffer.from('x'))).isRight()).toBe(true);
  expect((await readdir(join(root, 'revisions'))).sort()).toEqual(['2', 'taken']);
  await rm(root, { recursive: true });
});
