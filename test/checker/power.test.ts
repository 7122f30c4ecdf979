/**
 * Loss of power at every step of every write, with each unsynced name kept or lost by itself and unsynced bytes present,
 * absent or torn. A member started again never holds less than it had answered, also when it was killed first, answered by
 * what the killed process had left, and lost power then. All members losing power at once lose nothing acknowledged.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from 'vitest';
import { FolderDisk } from '../../src/kernel/disk/disk.js';
import { SeededRandom } from '../../src/kernel/random/random.js';
import type { Change } from '../../src/register/document.js';
import { SimDisk } from '../../src/sim/disk.js';
import { simBase, simCore, type SimBase, type SimCore } from '../../src/sim/nodes.js';
import { Platter } from '../../src/sim/platter.js';
import { World } from '../../src/sim/world.js';
import { following, formed, isAccepted, type LoneMember } from './lone-member.js';

/** Promises, votes and learned revisions, until the member is gone; what of them was answered with yes. */
const work = async (lone: LoneMember): Promise<{ promised: number; accepted: number }> => {
  const second = following(lone.first, 'second');
  const third = following(second, 'third');
  const answered = { promised: 0, accepted: 0 };
  const prepare = async (counter: number): Promise<void> => {
    const reply = await lone.prepare(counter);
    if (reply.map(({ promised }) => promised).orDefault(false)) answered.promised = counter;
  };
  await prepare(4);
  if (isAccepted(await lone.accept(4, second))) answered.accepted = 4;
  await prepare(5);
  if (isAccepted(await lone.accept(5, following(second, 'unchosen')))) answered.accepted = 5;
  if (isAccepted(await lone.accept(7, second))) answered.accepted = 7;
  await lone.ask(Promise.race([lone.learn(8, third), lone.pause(2000)]));
  if (isAccepted(await lone.accept(9, following(third, 'fourth')))) answered.accepted = 9;
  return answered;
};

const stepsOfWork = async (): Promise<readonly [from: number, to: number]> => {
  const lone = await formed();
  const from = lone.disk.steps;
  await work(lone);
  return [from + 1, lone.disk.steps];
};

test('a member that lost power at any step of its writes holds all that it had answered', async () => {
  const [from, to] = await stepsOfWork();
  expect(to - from).toBeGreaterThan(30);
  for (let step = from; step <= to; step++)
    for (let seed = 1; seed <= 12; seed++) {
      const lone = await formed(seed);
      lone.disk.powerCutAtStep = (each) => each === step;
      lone.disk.onPowerCut = () => lone.kill();
      const answered = await work(lone);
      await lone.start();
      const { counter, promised } = lone.held;
      expect(counter, `step ${step}, seed ${seed}`).toBeGreaterThanOrEqual(answered.accepted);
      expect(promised, `step ${step}, seed ${seed}`).toBeGreaterThanOrEqual(answered.promised);
      expect(lone.member.state().voting, `step ${step}, seed ${seed}`).toBe(true);
    }
});

test('a member that was killed at any step, answered by what was left, and then lost power holds all that it had answered', async () => {
  const [from, to] = await stepsOfWork();
  for (let step = from; step <= to; step++)
    for (let seed = 1; seed <= 6; seed++) {
      const lone = await formed(seed);
      lone.disk.powerCutAtStep = (each) => {
        if (each === step) lone.kill();
        return false;
      };
      await work(lone);
      await lone.start();
      const reply = await lone.prepare(20);
      const told = reply.unsafeCoerce();
      expect(told.promised).toBe(true);
      lone.kill();
      lone.disk.losePower();
      await lone.start();
      const { counter, promised } = lone.held;
      expect(counter, `step ${step}, seed ${seed}`).toBeGreaterThanOrEqual(told.accepted.counter);
      expect(promised, `step ${step}, seed ${seed}`).toBeGreaterThanOrEqual(20);
    }
});

test('a member whose folder failed to sync votes again only by what a loss of power leaves', async () => {
  for (let seed = 1; seed <= 30; seed++) {
    const lone = await formed(seed);
    lone.disk.failure = ({ kind }) => (kind === 'syncFolder' ? 'EIO' : '');
    expect(isAccepted(await lone.accept(9, following(lone.first, 'second')))).toBe(false);
    expect(await lone.ask(lone.member.recover())).toBe(false);
    lone.disk.failure = () => '';
    expect(await lone.ask(lone.member.recover())).toBe(true);
    const told = (await lone.prepare(20)).unsafeCoerce();
    lone.kill();
    lone.disk.losePower();
    await lone.start();
    expect(lone.held.counter, `seed ${seed}`).toBeGreaterThanOrEqual(told.accepted.counter);
    expect(lone.held.promised, `seed ${seed}`).toBe(20);
  }
});

test('a member killed in its very first writes, and started again before power goes, keeps its id and what it answered', async () => {
  const last = (await formed()).disk.steps;
  expect(last).toBeGreaterThan(10);
  for (let step = 1; step <= last; step++)
    for (let seed = 1; seed <= 12; seed++) {
      const lone = await formed(seed, (each) => each === step);
      const { id } = lone.member;
      expect(isAccepted(await lone.accept(4, following(lone.first, 'second')))).toBe(true);
      lone.kill();
      lone.disk.losePower();
      await lone.start();
      expect(lone.member.id, `step ${step}, seed ${seed}`).toBe(id);
      expect(lone.held, `step ${step}, seed ${seed}`).toMatchObject({ counter: 4, revision: 2 });
    }
});

const addresses = ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'];
const site = {
  fleet: 'f',
  seeds: addresses,
  over: { form: true, claims: { enabled: false }, core: { replaceAfter: 0, keep: 3 } },
};

/** Three members that lose power all at once, and start again. */
class Group {
  readonly world: World;
  readonly disks: SimDisk[];
  readonly client: SimBase;
  readonly acknowledged = new Set<string>();
  cores: SimCore[] = [];
  steps = 0;
  private changes = 0;

  constructor(
    seed: number,
    private readonly cutAt: number,
    private readonly strike: (group: Group, at: number) => void,
  ) {
    this.world = new World(seed);
    this.disks = addresses.map((_, at) => this.disk(at));
    this.start();
    this.client = simBase(this.world, 'client', '127.0.0.1:9', 'z', 'router', site);
  }

  async change(): Promise<void> {
    const name = `n${++this.changes}`;
    const act = { kind: 'claim', name, duration: 1, expects: 0, takeover: false } as const;
    const change: Change = { id: name, firm: 's', who: 'o', act };
    const told = await this.world.until(this.client.proposer.propose(change, 4000));
    if (told.map(({ kind }) => kind === 'applied').orDefault(false)) this.acknowledged.add(name);
  }

  /** What the group holds that a majority reads. */
  async read(): Promise<ReadonlySet<string>> {
    const read = await this.world.until(this.client.proposer.read(10_000));
    return new Set(read.map(({ claims }) => [...claims.keys()]).orDefault([]));
  }

  /** All members at once. */
  losePower(): void {
    for (const { host } of this.cores) host.kill();
    for (const disk of this.disks) disk.losePower();
    this.world.at(300, () => this.start());
  }

  /** One member's process ends in the middle of a step and is started again; all lose power once it has answered. */
  killThenLosePower(at: number): void {
    this.cores[at]!.host.kill();
    this.world.at(50, () => (this.cores[at] = this.startCore(at)));
    this.world.at(120, () => this.losePower());
  }

  private disk(at: number): SimDisk {
    const disk = new SimDisk(this.world);
    disk.powerCutAtStep = (): boolean => {
      if (++this.steps === this.cutAt) this.strike(this, at);
      return false;
    };
    return disk;
  }

  private start(): void {
    this.cores = addresses.map((_, at) => this.startCore(at));
  }

  private startCore(at: number): SimCore {
    const core = simCore(this.world, `core-${at}`, addresses[at]!, 'z', this.disks[at]!, site);
    void core.node.start();
    return core;
  }
}

const day = async (
  seed: number,
  cutAt: number,
  strike: (group: Group, at: number) => void,
): Promise<Group> => {
  const group = new Group(seed, cutAt, strike);
  for (let at = 0; at < 4; at++) await group.change();
  const read = await group.read();
  for (const name of group.acknowledged)
    expect(read.has(name), `${name}, step ${cutAt}, seed ${seed}`).toBe(true);
  expect(group.acknowledged.size, `step ${cutAt}, seed ${seed}`).toBeGreaterThanOrEqual(3);
  return group;
};

for (const [name, strike] of [
  ['all members lose power', (group: Group) => group.losePower()],
  [
    'one member is killed and back, and then all lose power',
    (group: Group, at: number) => group.killThenLosePower(at),
  ],
] as const)
  test(`${name}, at any step of any write: what was acknowledged is read back, and changes go on`, async () => {
    for (let seed = 1; seed <= 2; seed++) {
      const { steps } = await day(seed, -1, strike);
      expect(steps).toBeGreaterThan(100);
      for (let step = 1; step <= steps; step++) await day(seed, step, strike);
    }
  });

test('the simulated disk keeps or loses each unsynced name by itself, and tears unsynced bytes', () => {
  const outcomes = new Set<string>();
  for (let seed = 1; seed <= 200; seed++) {
    const platter = new Platter();
    platter.makeFolder('/data');
    platter.syncFolder('/');
    platter.create('/data/old').synced = Buffer.from('old');
    platter.syncFolder('/data');
    const fresh = platter.create('/data/aside');
    fresh.bytes = Buffer.from('fresh');
    platter.rename('/data/aside', '/data/old');
    platter.create('/data/other');
    platter.losePower(new SeededRandom(seed));
    const text = (path: string): string => {
      const file = platter.file(path);
      return file ? Buffer.from(file.bytes).toString() : 'absent';
    };
    outcomes.add(['/data/old', '/data/aside', '/data/other'].map(text).join(' '));
  }
  for (const outcome of [
    'fresh absent absent',
    'old absent ',
    'old fresh absent',
    ' absent absent',
  ])
    expect([...outcomes], outcome).toContain(outcome);
  expect([...outcomes].some((outcome) => /^fre?s? /.test(outcome))).toBe(true);
});

test('the disk of the program writes, lists, syncs and removes on a real file system too', async () => {
  const root = await mkdtemp(join(tmpdir(), 'disk-'));
  const disk = new FolderDisk(join(root, 'data'));
  expect((await disk.sync()).isRight()).toBe(true);
  expect((await disk.write('a/one', Buffer.from('1'))).isRight()).toBe(true);
  expect((await disk.sync()).isRight()).toBe(true);
  expect((await disk.list('a')).extract()).toEqual(['one']);
  expect((await disk.remove('a/one')).isRight()).toBe(true);
  expect((await disk.read('a/one')).extract()).toBeUndefined();
  expect((await disk.list('b')).extract()).toEqual([]);
  await rm(root, { recursive: true });
});
