/**
 * Rival configurations under the checker: two operators at two core nodes, each with a version of its own on top of the
 * same one, while frames are lost, late or come twice, and power goes at any sync. What each was told must be true of what
 * is read back from every node afterwards, and a call without a clear answer is resent until it has one.
 */
import { expect, test } from 'vitest';
import type { ConfigureReply } from '../../src/api/configuration.js';
import { Accept, Prepare, Committed } from '../../src/register/calls.js';
import type { Configuration } from '../../src/route/shape.js';
import { explore, type Script } from '../../src/sim/explore.js';
import { simCore, type SimCore } from '../../src/sim/nodes.js';
import { SimDisk } from '../../src/sim/disk.js';
import { World } from '../../src/sim/world.js';
import { decodeFrame, type Frame } from '../../src/wire/call.js';

const addresses = ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'];
const watched = new Set([Prepare.code, Accept.code, Committed.code]);
const site = { fleet: 'f', seeds: addresses, over: { form: true } };
const version = (number: number): Configuration => ({
  version: number,
  routes: [
    { name: 'a', host: 'h', prefix: '/a/', kind: 'idempotent', timeout: number, service: 's' },
  ],
  services: [{ name: 's' }],
});

interface Power {
  readonly member: number;
  readonly write: number;
  readonly moment: 'before' | 'after';
}

class Fleet {
  readonly world = new World(3);
  readonly disks = addresses.map(() => new SimDisk(this.world));
  readonly cores: SimCore[] = addresses.map((_, at) => this.start(at));

  start(at: number): SimCore {
    const core = simCore(this.world, `core-${at}`, addresses[at]!, 'z', this.disks[at]!, site);
    const disk = this.disks[at]!;
    disk.onPowerCut = (): void => {
      core.host.kill();
      this.world.at(400, () => (this.cores[at] = this.start(at)));
    };
    void core.node.start();
    return core;
  }

  async formed(): Promise<void> {
    expect(
      await this.world.run(10_000, () => this.cores.every(({ inForce }) => inForce.revision > 0)),
    ).toBe(true);
  }

  /** Sends a version again, to one node after the other, until it has a clear answer. */
  async commit(number: number, expects: number): Promise<ConfigureReply['outcome']> {
    for (let at = 0; ; at++) {
      const { outcome } = await this.world.until(
        this.cores[at % 3]!.configurator.replace(version(number), expects, 8000),
      );
      if (outcome !== 'unknown') return outcome;
    }
  }

  async read(at: number): Promise<number> {
    const read = await this.world.until(this.cores[at]!.configurator.read(8000));
    return read.map((configuration) => configuration?.version ?? 0).orDefault(-1);
  }
}

const run = async (script: Script, power?: Power): Promise<number> => {
  const fleet = new Fleet();
  const { world, cores, disks } = fleet;
  await fleet.formed();
  if (power) {
    const disk = disks[power.member]!;
    const from = disk.writes;
    disk.powerCut = (write) => (write === from + power.write ? power.moment : 'no');
  }
  let choices = 0;
  world.net.mishap = (from, _, frame) => {
    const decoded = decodeFrame(frame, from);
    if (!decoded.isRight() || !watched.has((decoded.extract() as Frame).code)) return 'pass';
    return script.get(choices++) ?? 'pass';
  };
  const answers: Array<ConfigureReply | undefined> = [undefined, undefined];
  [3, 5].forEach(
    (number, at) =>
      void cores[at]!.configurator.replace(version(number), 0, 4000).then(
        (reply) => (answers[at] = reply),
      ),
  );
  await world.run(world.now + 6000);
  const made = choices;
  world.net.mishap = () => 'pass';
  await world.run(world.now + 1000);
  const clear = [];
  for (const [at, number] of [3, 5].entries()) {
    const first = answers[at]?.outcome ?? 'unknown';
    const committed = await fleet.commit(number, 0);
    if (first !== 'unknown') expect(committed).toBe(first);
    clear.push(committed);
  }
  expect([...clear].sort()).toEqual(['accepted', 'conflict']);
  const winner = clear[0] === 'accepted' ? 3 : 5;
  for (const at of [0, 1, 2]) expect(await fleet.read(at)).toBe(winner);
  return made;
};

test('of rival configurations one is accepted and one is told of the conflict, under lost, late and repeated frames', async () => {
  const { runs, choices } = await explore((script) => run(script), 60);
  expect(choices).toBeGreaterThan(20);
  expect(runs).toBeGreaterThan(100);
});

test('and when power goes at any sync, before it or right after', async () => {
  for (let member = 0; member < 3; member++)
    for (let write = 1; write <= 5; write++)
      for (const moment of ['before', 'after'] as const)
        for (const lost of [undefined, 5, 14])
          await run(lost === undefined ? new Map() : new Map([[lost, 'drop']]), {
            member,
            write,
            moment,
          });
});

test('what was acknowledged is read back from every node after all are killed, and after one disk is lost with it', async () => {
  for (const lost of [undefined, 0, 1, 2]) {
    const fleet = new Fleet();
    const { world, cores, disks } = fleet;
    await fleet.formed();
    expect((await world.until(cores[0]!.configurator.replace(version(4), 0, 4000))).outcome).toBe(
      'accepted',
    );
    expect(
      (
        await world.until(
          cores[2]!.configurator.patch(
            { version: 6, set: { services: [{ name: 't' }] }, remove: {} },
            4,
            4000,
          ),
        )
      ).outcome,
    ).toBe('accepted');
    cores.forEach(({ host }) => host.kill());
    if (lost !== undefined) disks[lost]!.lose();
    for (const at of [0, 1, 2]) cores[at] = fleet.start(at);
    for (const at of [0, 1, 2]) expect(await fleet.read(at)).toBe(6);
    expect(await fleet.commit(4, 0)).toBe('accepted');
    expect(await fleet.commit(9, 4)).toBe('conflict');
    expect(await fleet.commit(9, 6)).toBe('accepted');
  }
});

test('what is invalid is refused without the core; what is proper is unknown while no majority of it answers', async () => {
  const fleet = new Fleet();
  const { world, cores } = fleet;
  await fleet.formed();
  cores[1]!.host.kill();
  cores[2]!.host.freeze();
  const refused = await world.until(
    cores[0]!.configurator.replace({ ...version(4), services: [] }, 0, 3000),
  );
  expect(refused).toMatchObject({
    outcome: 'invalid',
    version: 0,
    reason: 'route a: service names s, which is no service',
  });
  expect(
    (await world.until(cores[0]!.configurator.replace({ ...version(4), services: [] }, 2, 3000)))
      .outcome,
  ).toBe('conflict');
  const before = world.now;
  expect((await world.until(cores[0]!.configurator.replace(version(4), 0, 3000))).outcome).toBe(
    'unknown',
  );
  expect(world.now - before).toBeLessThanOrEqual(3010);
  expect((await world.until(cores[0]!.configurator.read(1500))).isLeft()).toBe(true);
  cores[2]!.host.thaw();
  expect(await fleet.commit(4, 0)).toBe('accepted');
});
