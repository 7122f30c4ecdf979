/**
 * Changing the core set: a lost disk, a machine at a new address, a removed member that comes back, changes cut short;
 * one member at a time, and nothing accepted is lost, with rival changes and lost or late frames meanwhile.
 */
import { expect, test } from 'vitest';
import type { Schemas } from '../../src/api/schema.js';
import { Accept, Prepare } from '../../src/register/calls.js';
import type { Change } from '../../src/register/document.js';
import { explore, type Script } from '../../src/sim/explore.js';
import { simBase, simCore, type SimBase, type SimCore } from '../../src/sim/nodes.js';
import { SimDisk } from '../../src/sim/disk.js';
import { World } from '../../src/sim/world.js';
import { decodeFrame, type Frame } from '../../src/wire/call.js';

const operator = { firm: 's', who: 'o' };
const site = { fleet: 'f', seeds: [1, 2, 3].map((at) => `127.0.0.1:${at}`), over: { form: true } };

class Core {
  readonly world: World;
  readonly disks = new Map<number, SimDisk>();
  readonly cores = new Map<number, SimCore>();
  readonly client: SimBase;
  private changes = 0;
  private claims = 0;

  constructor(
    seed: number,
    private readonly replaceAfter = 0,
  ) {
    this.world = new World(seed);
    for (const at of [1, 2, 3]) this.start(at);
    this.client = simBase(this.world, 'client', '127.0.0.1:90', 'z', 'router', site);
  }

  start(at: number): SimCore {
    const disk = this.disks.get(at) ?? new SimDisk(this.world);
    this.disks.set(at, disk);
    const core = simCore(this.world, `core-${at}`, `127.0.0.1:${at}`, 'z', disk, {
      ...site,
      over: { form: true, core: { replaceAfter: this.replaceAfter } },
    });
    this.cores.set(at, core);
    void core.node.start();
    return core;
  }

  at(number: number): SimCore {
    return this.cores.get(number)!;
  }

  async claim(): Promise<string> {
    const change: Change = {
      id: `c${++this.changes}`,
      firm: 's',
      who: 'o',
      act: { kind: 'claim', name: 'n', duration: 1, expects: this.claims, takeover: false },
    };
    const told = await this.world.until(this.client.proposer.propose(change, 15_000));
    if (told.map(({ kind }) => kind === 'applied').orDefault(false)) this.claims += 1;
    return told.map(({ kind }) => kind as string).orDefault('fault');
  }

  async addVoter(via: number, address: string): Promise<Schemas['ChangedReply']> {
    const { operations, voterDirectory } = this.at(via);
    return (
      await this.world.until(
        operations.addVoter(operator, {
          change: `c${++this.changes}`,
          address,
          expects: voterDirectory.core.number,
          wait: 15_000,
        }),
      )
    ).unsafeCoerce();
  }

  async removeVoter(via: number, number: number): Promise<Schemas['ChangedReply']> {
    const { operations, voterDirectory } = this.at(via);
    const { id } = voterDirectory.core.members.find(
      ({ address }) => address === `127.0.0.1:${number}`,
    )!;
    return (
      await this.world.until(
        operations.removeVoter(operator, {
          change: `c${++this.changes}`,
          id,
          expects: voterDirectory.core.number,
          wait: 15_000,
        }),
      )
    ).unsafeCoerce();
  }

  get claimed(): number {
    return this.claims;
  }
}

test('a lost disk: the newcomer at the same address votes only once let in, and what was accepted survives the next loss', async () => {
  const core = new Core(1);
  await core.world.run(3000);
  expect(await core.claim()).toBe('applied');
  core.at(3).host.kill();
  core.disks.get(3)!.lose();
  core.start(3);
  await core.world.run(core.world.now + 3000);
  expect(core.at(3).member.state()).toMatchObject({ voting: false });
  expect((await core.removeVoter(1, 3)).outcome).toBe('accepted');
  expect((await core.addVoter(2, '127.0.0.1:3')).outcome).toBe('accepted');
  await core.world.run(core.world.now + 2000);
  expect(core.at(3).member.state()).toMatchObject({ voting: true });
  core.at(1).host.kill();
  expect(await core.claim()).toBe('applied');
  core.at(2).host.kill();
  core.start(1);
  expect(await core.claim()).toBe('applied');
  expect(core.at(3).member.newest!.claims.get('n')!.renewal).toBe(core.claimed);
});

test('a machine at a new address takes over, followers learn it, and the removed member can neither vote nor be believed', async () => {
  const core = new Core(2);
  await core.world.run(3000);
  await core.claim();
  const router = simBase(core.world, 'late', '127.0.0.1:91', 'z', 'router', site);
  core.start(4);
  await core.world.run(core.world.now + 2000);
  expect((await core.addVoter(1, '127.0.0.1:4')).outcome).toBe('accepted');
  core.at(3).host.kill();
  expect((await core.removeVoter(1, 3)).outcome).toBe('accepted');
  core.start(3);
  await core.world.run(core.world.now + 4000);
  expect(core.at(3).member.state()).toMatchObject({ voting: false, reason: 'not in the core set' });
  core.at(2).host.kill();
  expect(await core.claim()).toBe('applied');
  core.at(1).host.kill();
  await core.world.run(core.world.now + 1000);
  expect((await core.world.until(router.proposer.read(4000))).isLeft()).toBe(true);
  core.start(1);
  await core.world.run(core.world.now + 3000);
  expect(
    (await core.world.until(router.proposer.read(10_000)))
      .map(({ claims }) => claims.get('n')!.renewal)
      .extract(),
  ).toBe(core.claimed);
  expect(router.voterDirectory.addresses).toEqual(['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:4']);
});

test("a member silent for the param's time is replaced by a newcomer by itself, at a new address or on a lost disk; without a newcomer nothing changes", async () => {
  const core = new Core(4, 3000);
  await core.world.run(3000);
  await core.claim();
  core.at(3).host.kill();
  await core.world.run(core.world.now + 8000);
  expect(core.at(1).voterDirectory.core.number).toBe(1);
  core.start(4);
  await core.world.run(core.world.now + 8000);
  expect(core.at(1).voterDirectory.core).toMatchObject({
    number: 3,
    members: [{ address: '127.0.0.1:1' }, { address: '127.0.0.1:2' }, { address: '127.0.0.1:4' }],
  });
  core.at(2).host.kill();
  core.disks.get(2)!.lose();
  core.start(2);
  await core.world.run(core.world.now + 9000);
  expect(core.at(2).member.state()).toMatchObject({ voting: true });
  core.at(1).host.kill();
  expect(await core.claim()).toBe('applied');
  expect(core.at(4).member.newest!.claims.get('n')!.renewal).toBe(core.claimed);
});

test('no voter is taken away when those that answer would not be a majority of the rest', async () => {
  const core = new Core(6, 3000);
  await core.world.run(3000);
  core.at(3).host.kill();
  core.at(2).host.freeze();
  await core.world.run(core.world.now + 4000);
  core.disks.get(3)!.lose();
  core.start(3);
  core.world.at(2500, () => core.at(2).host.thaw());
  await core.world.run(core.world.now + 20_000);
  expect(
    core
      .at(1)
      .voterDirectory.core.members.map(({ address }) => address)
      .sort(),
  ).toEqual(['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3']);
  expect([1, 2, 3].map((at) => core.at(at).member.state().voting)).toEqual([true, true, true]);
  core.at(2).host.kill();
  core.at(3).host.kill();
  await core.world.run(core.world.now + 500);
  const { id } = core
    .at(1)
    .voterDirectory.core.members.find(({ address }) => address === '127.0.0.1:2')!;
  const told = await core.world.until(
    core.at(1).operations.removeVoter(operator, {
      change: 'x',
      id,
      expects: core.at(1).voterDirectory.core.number,
      wait: 3000,
    }),
  );
  expect(
    told
      .swap()
      .map(({ step }) => step)
      .extract(),
  ).toBe('core.removeVoter');
});

test("a sleeping member keeps its vote while another member's disk is lost for good, whenever that happens", async () => {
  for (let lost = 400; lost <= 4000; lost += 300) {
    const core = new Core(8, 3000);
    await core.world.run(3000);
    await core.claim();
    core.at(3).host.suspend();
    core.world.at(7200, () => core.at(3).host.thaw());
    core.world.at(lost, () => {
      core.at(2).host.kill();
      core.disks.get(2)!.lose();
    });
    core.world.at(lost + 1100, () => core.start(2));
    await core.world.run(core.world.now + 25_000);
    expect({ lost, voting: [1, 2, 3].map((at) => core.at(at).member.state().voting) }).toEqual({
      lost,
      voting: [true, true, true],
    });
    expect(await core.claim()).toBe('applied');
  }
});

test('a vote that was taken away stays to be filled when giving it to the newcomer fails at first', async () => {
  const core = new Core(5, 3000);
  await core.world.run(3000);
  core.at(3).host.kill();
  core.start(4);
  expect(
    await core.world.run(core.world.now + 9000, () => core.at(1).voterDirectory.core.number === 2),
  ).toBe(true);
  core.at(2).host.kill();
  await core.world.run(core.world.now + 12_000);
  core.start(2);
  await core.world.run(core.world.now + 10_000);
  expect(core.at(4).member.state()).toMatchObject({ voting: true });
});

test('a set change under lost, late and repeated frames, with a rival change: no accepted change is lost', async () => {
  const watched = new Set([Prepare.code, Accept.code]);
  const run = async (script: Script): Promise<number> => {
    const core = new Core(3);
    await core.world.run(3000);
    await core.claim();
    core.start(4);
    await core.world.run(core.world.now + 2000);
    let choices = 0;
    core.world.net.mishap = (from, _, frame) => {
      const decoded = decodeFrame(frame, from);
      if (!decoded.isRight() || !watched.has((decoded.extract() as Frame).code)) return 'pass';
      return choices < 40 ? (script.get(choices++) ?? 'pass') : 'pass';
    };
    const adding = core.addVoter(1, '127.0.0.1:4');
    const claiming = core.claim();
    const added = await adding;
    const claimed = await claiming;
    expect(['accepted', 'unknown']).toContain(added.outcome);
    expect(claimed).toBe('applied');
    core.world.net.mishap = () => 'pass';
    await core.world.run(core.world.now + 4000);
    core.at(1).host.kill();
    await core.world.run(core.world.now + 500);
    const read = (await core.world.until(core.at(2).proposer.read(15_000))).unsafeCoerce();
    expect(read.claims.get('n')!.renewal).toBe(core.claimed);
    if (added.outcome === 'accepted') expect(read.core.members).toHaveLength(4);
    return choices;
  };
  const { runs } = await explore(run, 40);
  expect(runs).toBeGreaterThan(60);
});
