/** A firm's claim on a doorway name is a lease: another firm gets the name only once it went unrenewed for its duration. */
import { expect, test } from 'vitest';
import { simCore, type SimCore } from '../../src/sim/nodes.js';
import { SimDisk } from '../../src/sim/disk.js';
import { World } from '../../src/sim/world.js';

test('a claim holds while it is renewed, lapses when it is not, and a doorway in force keeps its firm', async () => {
  const world = new World(2);
  const seeds = [1, 2, 3].map((at) => `127.0.0.1:${at}`);
  const cores: SimCore[] = seeds.map((address, at) =>
    simCore(world, `core-${at}`, address, 'z', new SimDisk(world), {
      fleet: 'f',
      seeds,
      over: { form: true },
    }),
  );
  for (const { node } of cores) void node.start();
  await world.run(3000);
  let changes = 0;
  const claim = async (firm: string, expects: number): Promise<string> =>
    (
      await world.until(
        cores[0]!.operations.claimDoorway(
          { firm, who: firm },
          { change: `c${++changes}`, name: 'quotes', expects, duration: 4000, wait: 3000 },
        ),
      )
    )
      .map(({ outcome }) => outcome as string)
      .orDefault('fault');
  expect(await claim('sahel', 0)).toBe('accepted');
  await world.run(world.now + 2500);
  expect(await claim('aconcagua', 1)).toBe('declined');
  expect(await claim('sahel', 1)).toBe('accepted');
  await world.run(world.now + 2500);
  expect(await claim('aconcagua', 2)).toBe('declined');
  await world.run(world.now + 2500);
  expect(await claim('aconcagua', 2)).toBe('accepted');
  expect(await claim('sahel', 3)).toBe('declined');
  const doorway = {
    name: 'quotes',
    firm: 'aconcagua',
    match: {},
    engines: [],
    repeatable: false,
    resume: false,
    limits: { firstToken: 1, total: 2 },
    line: 1,
    share: 1,
  };
  expect(
    (
      await world.until(
        cores[0]!.operations.setDoorway(
          { firm: 'aconcagua', who: 'o' },
          { change: 'd', doorway, expects: 0, wait: 3000 },
        ),
      )
    )
      .map(({ outcome }) => outcome)
      .extract(),
  ).toBe('accepted');
  await world.run(world.now + 9000);
  expect(await claim('sahel', 4)).toBe('declined');
});
