/**
 * Forming the group under the checker: seeds killed at every step, with or without their disks, one that is dark from the
 * start, other orders of seeds, lost and late frames. A group is formed where that is owed, and there are never two.
 */
import { describe, expect, test } from 'vitest';
import {
  BootstrapAccept,
  BootstrapPrepare,
  BootstrapStatus,
} from '../../src/register/bootstrap/calls.js';
import { Form } from '../../src/register/calls.js';
import { SeededRandom } from '../../src/kernel/random/random.js';
import { explore, type Script } from '../../src/sim/explore.js';
import { decodeFrame, type Frame } from '../../src/wire/call.js';
import { Machines, SEEDS } from './machines.js';

/** One first revision and no fork mean one group. */
const groups = (machines: Machines): number => machines.formed.size + machines.forks.size;

describe('a first start', () => {
  test('three seeds form the group at once, whatever order their lists have', async () => {
    for (const order of [
      [1, 2, 3],
      [3, 1, 2],
      [2, 3, 1],
    ]) {
      const machines = new Machines(order[0]!);
      for (const number of SEEDS) machines.start(number, { seeds: order, first: true });
      expect(await machines.run(500, () => machines.voters(3))).toBe(true);
      expect(await machines.change()).toBe('applied');
      expect(groups(machines)).toBe(1);
    }
  });

  test('a seed that is dark from the start holds nothing up, and has a vote once it comes', async () => {
    for (const dark of SEEDS) {
      const machines = new Machines(10 + dark);
      for (const number of SEEDS) if (number !== dark) machines.start(number, { first: true });
      expect({ dark, formed: await machines.run(1500, () => machines.voters(2)) }).toEqual({
        dark,
        formed: true,
      });
      expect(await machines.change()).toBe('applied');
      machines.start(dark, { first: false });
      expect(await machines.run(4000, () => machines.voters(3))).toBe(true);
      machines.kill((dark % 3) + 1);
      expect(await machines.change()).toBe('applied');
      expect(groups(machines)).toBe(1);
    }
  });

  test('with two losses borne, five machines that answer are voters from the first revision on', async () => {
    const machines = new Machines(4, 5);
    for (const number of [5, 4, 1, 2, 3]) machines.start(number, { first: true });
    expect(await machines.run(1000, () => machines.voters(5))).toBe(true);
    expect(machines.alive[0]!.member.knownCore.number).toBe(1);
    machines.kill(1, 'lost');
    machines.kill(2, 'lost');
    expect(await machines.change([3, 4, 5])).toBe('applied');
  });
});

describe('all seeds are killed at any moment of the first start', () => {
  for (const [wanted, numbers] of [
    [3, SEEDS],
    [5, [1, 2, 3, 4, 5]],
  ] as const)
    test(`${wanted} machines: one group is formed after they are back, with other lists of seeds too`, async () => {
      for (let moment = 0; moment <= 60; moment += 1) {
        const machines = new Machines(1000 + moment, wanted);
        for (const number of numbers) machines.start(number, { first: true });
        await machines.run(moment);
        for (const number of numbers) machines.kill(number);
        await machines.run(300);
        for (const number of numbers) {
          const seeds =
            wanted === 3 ? [3, 1, 2] : [number, (number % 5) + 1, ((number + 1) % 5) + 1];
          machines.start(number, { seeds, first: false });
        }
        const formed = await machines.run(4000, () => machines.voters(wanted));
        expect({ moment, formed }).toEqual({ moment, formed: true });
        expect(await machines.change()).toBe('applied');
        expect({ moment, groups: groups(machines) }).toEqual({ moment, groups: 1 });
      }
    });
});

describe('one seed is killed at any moment of the first start', () => {
  test('with its disk kept or lost, and back soon or late: one group, and a change is acknowledged without it', async () => {
    for (const killed of SEEDS)
      for (const disk of ['kept', 'lost'] as const)
        for (let moment = 0; moment <= 48; moment += 4) {
          const machines = new Machines(2000 + moment);
          for (const number of SEEDS) machines.start(number, { first: true });
          await machines.run(moment);
          machines.kill(killed, disk);
          if (moment % 8 === 0) {
            await machines.run(50);
            machines.start(killed, { first: false });
          }
          expect(await machines.change()).toBe('applied');
          machines.kill(killed);
          machines.start(killed, { first: false });
          const whole = await machines.run(5000, () => machines.voters(3));
          expect({ killed, disk, moment, whole, groups: groups(machines) }).toEqual({
            killed,
            disk,
            moment,
            whole: true,
            groups: 1,
          });
        }
  });
});

test('lost, repeated and late frames between the seeds: never two groups, and one in the end', async () => {
  const watched = new Set([
    BootstrapStatus.code,
    BootstrapPrepare.code,
    BootstrapAccept.code,
    Form.code,
  ]);
  const run =
    (first: boolean) =>
    async (script: Script): Promise<number> => {
      const machines = new Machines(7);
      let choices = 0;
      machines.world.net.mishap = (from, _, frame) => {
        const decoded = decodeFrame(frame, from);
        if (!decoded.isRight() || !watched.has((decoded.extract() as Frame).code)) return 'pass';
        return choices < 60 ? (script.get(choices++) ?? 'pass') : 'pass';
      };
      for (const number of SEEDS) machines.start(number, { first });
      expect(await machines.run(9000, () => machines.voters(3))).toBe(true);
      expect(groups(machines)).toBe(1);
      return choices;
    };
  expect((await explore(run(true), 60)).runs).toBeGreaterThan(100);
  expect((await explore(run(false), 60)).runs).toBeGreaterThan(100);
});

test('random kills, losses of disks and cuts while the group is formed: never two groups, and one in the end', async () => {
  for (let seed = 1; seed <= 150; seed++) {
    const random = new SeededRandom(seed);
    const machines = new Machines(seed, seed % 3 === 0 ? 5 : 3);
    const numbers = seed % 3 === 0 ? [1, 2, 3, 4, 5] : SEEDS;
    for (const number of numbers)
      machines.world.at(300 * random.fraction(), () => machines.start(number, { first: true }));
    const tolerated = (numbers.length - 1) / 2;
    let lostDisks = 0;
    await machines.run(20 + 400 * random.fraction());
    for (let step = 0; step < 6; step++) {
      const number = numbers[Math.floor(random.fraction() * numbers.length)]!;
      const other = numbers[Math.floor(random.fraction() * numbers.length)]!;
      const fate = random.fraction();
      const loses = fate < 0.4 && lostDisks < tolerated && machines.cores.has(number);
      if (loses) lostDisks += 1;
      if (fate < 0.8) machines.kill(number, loses ? 'lost' : 'kept');
      else if (number !== other) machines.world.part([`core-${number}`], [`core-${other}`]);
      await machines.run(60 * random.fraction());
      if (machines.cores.get(number)?.host.dead) machines.start(number, { first: false });
      await machines.run(60 * random.fraction());
    }
    machines.world.heal();
    for (const number of numbers)
      if (!machines.cores.has(number)) machines.start(number, { first: true });
    const formed = await machines.run(12_000, () => machines.voters(numbers.length));
    expect({ seed, formed, groups: groups(machines) }).toEqual({ seed, formed: true, groups: 1 });
  }
});
