/**
 * A voter that was named in the first revision and never received it: it takes the committed revision from the one voter
 * that is left, so the group is whole again after the disk of the other is lost.
 */
import { expect, test } from 'vitest';
import { BootstrapAccept, BootstrapPrepare } from '../../src/register/bootstrap/calls.js';
import { Accept, Feed, Form, Prepare, Committed } from '../../src/register/calls.js';
import { SimDisk } from '../../src/sim/disk.js';
import { simBase, simCore, type SimCore, type SimSite } from '../../src/sim/nodes.js';
import { World } from '../../src/sim/world.js';
import { decodeFrame } from '../../src/wire/call.js';

const NUMBERS = [1, 2, 3];
const SEEDS_IN_CI = 20;
const addressOf = (number: number): string => `127.0.0.1:${number}`;

const siteOf = (first: boolean): SimSite => ({
  fleet: 'f',
  seeds: NUMBERS.map(addressOf),
  over: {
    form: first,
    firstStart: first ? 'yes' : 'no',
    lease: { duration: 2000, renew: 500, lapse: 'serve', patience: 400 },
    feed: { wait: 500 },
    claims: { enabled: false },
    core: { replaceAfter: 1000, wanted: 3 },
  },
});

const start = (world: World, number: number, first: boolean): SimCore => {
  const core = simCore(
    world,
    `core-${number}`,
    addressOf(number),
    'z',
    new SimDisk(world),
    siteOf(first),
  );
  void core.node.start();
  return core;
};

/** Drops every frame that would bring a revision to a machine. */
const loseRevisions = (world: World, machine: string): void => {
  const calls = [BootstrapPrepare, BootstrapAccept, Form, Prepare, Accept, Committed, Feed];
  const codes = new Set(calls.map(({ code }) => code));
  world.net.mishap = (from, to, frame) => {
    const isLost = decodeFrame(frame, from)
      .map(({ code }) => codes.has(code))
      .orDefault(false);
    return isLost && (to === machine || from === machine) ? 'drop' : 'pass';
  };
};

const propose = async (world: World): Promise<string> => {
  const client = simBase(world, 'client', addressOf(90), 'z', 'router', siteOf(false));
  const act = { kind: 'claim', name: 'n', duration: 1, expects: 0, takeover: false } as const;
  const proposed = client.proposer.propose({ id: 'c', firm: 's', who: 'o', act }, 6000);
  return (await world.until(proposed)).map(({ kind }) => kind as string).orDefault('fault');
};

test('a voter without the first revision takes it from the only one that is left', async () => {
  for (let seed = 1; seed <= SEEDS_IN_CI; seed++) {
    const world = new World(seed);
    loseRevisions(world, 'core-3');
    const [one, two, three] = NUMBERS.map((number) => start(world, number, true));
    const isFormed = (core: SimCore | undefined): boolean => core?.member.newest !== undefined;
    expect(await world.run(10_000, () => isFormed(one) && isFormed(two))).toBe(true);
    await world.run(world.now + 500);
    expect(isFormed(three)).toBe(false);
    two!.host.kill();
    world.net.mishap = () => 'pass';
    const successor = start(world, 2, false);
    const cores = [one!, successor, three!];
    const isWhole = (): boolean => cores.every(({ member }) => member.state().voting);
    expect({ seed, whole: await world.run(world.now + 12_000, isWhole) }).toEqual({
      seed,
      whole: true,
    });
    expect(await propose(world)).toBe('applied');
  }
});

test('a seed that answers questions but holds its votes back does not hold up the forming', async () => {
  for (let seed = 1; seed <= SEEDS_IN_CI; seed++) {
    const world = new World(seed);
    loseRevisions(world, 'core-3');
    const [one, two] = NUMBERS.map((number) => start(world, number, true));
    const isFormed = (): boolean => [one!, two!].every(({ member }) => member.state().voting);
    expect({ seed, formed: await world.run(3000, isFormed) }).toEqual({ seed, formed: true });
  }
});
