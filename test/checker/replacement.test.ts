/**
 * Core machines that come and go by themselves: vacant voters are taken at once, and an empty machine, at a new address or
 * at the old one, has its vote and the data within seconds of its start, with seeds that name dead or other machines. The
 * next loss is then borne.
 */
import { expect, test } from 'vitest';
import type { Configuration } from '../../src/route/shape.js';
import { simBase, simCore, type SimBase, type SimCore } from '../../src/sim/nodes.js';
import { SimDisk } from '../../src/sim/disk.js';
import { World } from '../../src/sim/world.js';

const CATCH_UP = 4000;
const at = (number: number): string => `127.0.0.1:${number}`;
const version = (number: number): Configuration => ({
  version: number,
  routes: [
    { name: 'a', host: 'h', prefix: '/a/', kind: 'idempotent', timeout: number, service: 's' },
  ],
  services: [{ name: 's' }],
});

class Core {
  readonly world: World;
  readonly disks = new Map<number, SimDisk>();
  readonly cores = new Map<number, SimCore>();
  readonly client: SimBase;
  private version = 0;

  constructor(
    seed: number,
    private readonly wanted = 3,
  ) {
    this.world = new World(seed);
    for (const number of [1, 2, 3]) this.start(number, [1, 2, 3], true);
    this.client = this.base('client', 90);
  }

  site(seeds: readonly number[], form = false): { fleet: string; seeds: string[]; over: object } {
    return {
      fleet: 'f',
      seeds: seeds.map(at),
      over: {
        form,
        firstStart: form ? 'yes' : 'no',
        lease: { duration: 2000, renew: 500, lapse: 'serve', patience: 400 },
        feed: { wait: 500 },
        claims: { enabled: false },
        core: { replaceAfter: 1000, wanted: this.wanted },
      },
    };
  }

  base(name: string, number: number, seeds: readonly number[] = [1, 2, 3]): SimBase {
    return simBase(this.world, name, at(number), 'z', 'router', this.site(seeds));
  }

  start(number: number, seeds: readonly number[] = [1, 2, 3], form = false): SimCore {
    const disk = this.disks.get(number) ?? new SimDisk(this.world);
    this.disks.set(number, disk);
    const core = simCore(
      this.world,
      `core-${number}`,
      at(number),
      'z',
      disk,
      this.site(seeds, form),
    );
    this.cores.set(number, core);
    void core.node.start();
    return core;
  }

  kill(number: number, disk: 'kept' | 'lost' = 'kept'): void {
    this.cores.get(number)!.host.kill();
    if (disk === 'lost') this.disks.get(number)!.lose();
  }

  /** The next version is accepted, through a client with the first seeds. */
  async change(): Promise<void> {
    const next = this.version + 1;
    expect(
      await this.world.until(this.client.configurator.replace(version(next), this.version, 4000)),
    ).toMatchObject({ outcome: 'accepted' });
    this.version = next;
  }

  /** Whether a machine votes and holds the newest version within the time. */
  async whole(number: number, limit = CATCH_UP): Promise<boolean> {
    return this.world.run(this.world.now + limit, () => {
      const { member } = this.cores.get(number)!;
      return member.state().voting && member.newest?.configuration?.version === this.version;
    });
  }

  get voters(): string[] {
    const [newest] = [...this.cores.values()]
      .filter(({ host }) => !host.dead)
      .sort((a, b) => b.member.knownCore.number - a.member.knownCore.number);
    return newest!.member.knownCore.members.map(({ address }) => address).sort();
  }

  async formed(): Promise<void> {
    await this.world.run(this.world.now + 3000);
    await this.change();
  }
}

test('later machines take the voters that are wanted at once', async () => {
  const core = new Core(1, 5);
  core.start(4);
  core.start(5, [3, 2, 1]);
  await core.world.run(core.world.now + 2500);
  expect(core.voters).toEqual([1, 2, 3, 4, 5].map(at));
  await core.change();
  core.kill(1);
  core.kill(4);
  await core.change();
  expect(await core.whole(5, 100)).toBe(true);
});

test('a machine at a new address has the voter and the data in time, whenever it starts and whatever its seeds name', async () => {
  for (const lost of [1, 2, 3])
    for (const [later, seeds] of [
      [0, [1, 2, 3]],
      [1000, [1, 2, 3]],
      [3000, [9, 8, (lost % 3) + 1]],
      [0, [lost, 4, ((lost + 1) % 3) + 1]],
    ] as const) {
      const core = new Core(lost + later);
      await core.formed();
      core.kill(lost);
      await core.world.run(core.world.now + later);
      core.start(4, seeds);
      expect({ lost, later, whole: await core.whole(4) }).toEqual({ lost, later, whole: true });
      core.kill((lost % 3) + 1);
      await core.change();
    }
});

test('a machine that lost its disk has its vote back in time at the old address', async () => {
  for (const lost of [1, 2, 3])
    for (const down of [0, 300, 1000, 5000]) {
      const core = new Core(lost + down);
      await core.formed();
      core.kill(lost, 'lost');
      await core.world.run(core.world.now + down);
      core.start(lost);
      expect({ lost, down, whole: await core.whole(lost) }).toEqual({ lost, down, whole: true });
      core.kill((lost % 3) + 1);
      await core.change();
    }
});

test('all machines are replaced one after the other; one whose voterDirectory is from the start finds the new ones through its seeds', async () => {
  const core = new Core(7);
  await core.formed();
  core.kill(3);
  for (const [number, from] of [
    [4, 0],
    [5, 1],
    [6, 2],
  ] as const) {
    if (from) core.kill(from);
    core.start(number, [number - 1, number - 2, 1]);
    expect({ number, whole: await core.whole(number) }).toEqual({ number, whole: true });
    await core.change();
  }
  expect(core.voters).toEqual([4, 5, 6].map(at));
  const back = core.start(3, [1, 2, 6]);
  await core.world.run(core.world.now + 3000);
  expect(back.member.state()).toMatchObject({ voting: false, reason: 'not in the core set' });
  expect(
    (await core.world.until(back.configurator.read(2000)))
      .map((configuration) => configuration?.version)
      .extract(),
  ).toBe(4);
  const late = core.base('late', 91, [1, 2, 5]);
  expect(
    (await core.world.until(late.configurator.read(2000)))
      .map((configuration) => configuration?.version)
      .extract(),
  ).toBe(4);
  core.kill(4);
  expect(await core.whole(3)).toBe(true);
});

test('a member that froze and lost its vote to a newcomer asks for one again when it wakes', async () => {
  const core = new Core(8);
  await core.formed();
  core.cores.get(2)!.host.freeze();
  core.start(4);
  expect(await core.whole(4)).toBe(true);
  await core.change();
  core.cores.get(2)!.host.thaw();
  await core.world.run(core.world.now + 3000);
  expect(core.voters).toEqual([1, 3, 4].map(at));
  core.kill(1);
  expect(await core.whole(2)).toBe(true);
  expect(core.voters).toEqual([2, 3, 4].map(at));
});

test('a member that wakes takes no voter away for the silence it slept through', async () => {
  for (const frozen of [1, 2, 3]) {
    const core = new Core(9 + frozen);
    await core.formed();
    core.start(4);
    await core.world.run(core.world.now + 1000);
    core.cores.get(frozen)!.host.freeze();
    await core.world.run(core.world.now + 700);
    core.cores.get(frozen)!.host.thaw();
    await core.world.run(core.world.now + 3000);
    expect(core.voters).toEqual([1, 2, 3].map(at));
  }
});

test('a voter that is silent for less than the time keeps its place, whenever that happens', async () => {
  for (let seed = 1; seed <= 15; seed++) {
    const core = new Core(100 + seed);
    await core.formed();
    core.start(4);
    await core.world.run(core.world.now + 1000 + 70 * seed);
    const { host } = core.cores.get(1 + (seed % 3))!;
    host.freeze();
    await core.world.run(core.world.now + 700);
    host.thaw();
    await core.world.run(core.world.now + 3000);
    expect({ seed, voters: core.voters }).toEqual({ seed, voters: [1, 2, 3].map(at) });
  }
});

test('the group is formed also when the seed named first is gone before it could', async () => {
  const core = new Core(5);
  core.kill(1);
  await core.world.run(core.world.now + 2000);
  core.start(1, [1, 2, 3]);
  await core.world.run(core.world.now + 3000);
  expect(core.voters).toEqual([1, 2, 3].map(at));
  await core.change();
});
