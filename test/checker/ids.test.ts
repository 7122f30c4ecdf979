/**
 * Claims on ids that may not be repeated, under the checker: rivals with frames lost, late and repeated, power cuts at
 * every synced write of a claim, the core out of reach, a member's disk lost, and each time all routers lose their
 * memory afterwards. An id that was told taken is never told taken to another owner.
 */
import { expect, test } from 'vitest';
import { Keep, Release, Take } from '../../src/claim/calls.js';
import type { Taken } from '../../src/claim/claims.js';
import { explore, type Script } from '../../src/sim/explore.js';
import { decodeFrame, type Frame } from '../../src/wire/call.js';
import { openStage, type Stage } from './stage.js';

const watched = new Set([Take.code, Keep.code, Release.code]);

const take = (stage: Stage, at: number, id: string, owner: string): Promise<Taken> =>
  stage.nodes[at]!.claims.take('firm', id, owner);

/** Two rivals at two nodes, then all nodes lose their memory, then a third. */
const rivals = async (script: Script): Promise<number> => {
  const stage = await openStage();
  const { world } = stage;
  let choices = 0;
  world.net.mishap = (from, _, frame) => {
    const decoded = decodeFrame(frame, from);
    if (!decoded.isRight() || !watched.has((decoded.extract() as Frame).code)) return 'pass';
    return choices < 24 ? (script.get(choices++) ?? 'pass') : 'pass';
  };
  const told = await world.until(
    Promise.all([take(stage, 0, 'q', 'n/1/1'), take(stage, 1, 'q', 'm/1/1')]),
  );
  world.net.mishap = () => 'pass';
  await world.run(world.now + 3000);
  await stage.loseMemories();
  told.push(await world.until(take(stage, 2, 'q', 'o/2/1')));
  expect(told.filter((each) => each === 'taken').length).toBeLessThanOrEqual(1);
  if (script.size === 0) expect(told).toContain('known');
  return choices;
};

test('one owner at most, for rivals under lost, late and repeated frames, and after all routers lost their memory', async () => {
  const { runs, choices } = await explore(rivals, 8);
  expect(choices).toBeGreaterThan(15);
  expect(runs).toBeGreaterThan(60);
});

test('power goes at every synced write of a claim, before it or right after: what was told taken stays taken', async () => {
  let cuts = 0;
  for (const how of ['before', 'after'] as const)
    for (let write = 1; write <= 3; write++) {
      const stage = await openStage();
      const { world, disks, cores, startCore } = stage;
      const told = new Map<string, Taken>();
      const first = disks[0]!.writes;
      disks[0]!.powerCut = (number) => (number === first + write ? how : 'no');
      disks[0]!.onPowerCut = () => {
        cuts += 1;
        cores[0]!.host.kill();
        world.at(500, () => startCore(0));
      };
      for (let at = 0; at < 6; at++)
        told.set(`q${at}`, await world.until(take(stage, at % 3, `q${at}`, `x/1/${at}`)));
      expect([...told.values()].filter((each) => each === 'taken').length).toBe(6);
      await world.run(world.now + 3000);
      await stage.loseMemories();
      for (const id of told.keys())
        expect(await world.until(take(stage, 0, id, `y/2/${id}`))).toBe('known');
    }
  expect(cuts).toBe(6);
});

test('claims made while the core is out of reach come to its disks once it is back', async () => {
  const stage = await openStage();
  const { world, cores, startCore, nodes } = stage;
  for (const { host } of cores) host.kill();
  expect(await world.until(take(stage, 0, 'q', 'n/1/1'))).toBe('taken');
  expect(nodes[0]!.claims.unkeptSize).toBe(1);
  cores.forEach((_, at) => startCore(at));
  expect(await world.run(world.now + 5000, () => nodes[0]!.claims.unkeptSize === 0)).toBe(true);
  await stage.loseMemories();
  expect(await world.until(take(stage, 1, 'q', 'm/2/1'))).toBe('known');
});

test('claims made without the core outlast any routers but the last', async () => {
  for (const survivor of [0, 1, 2, 3, 4]) {
    const stage = await openStage(5, 5);
    const { world, cores, startCore } = stage;
    for (const { host } of cores) host.kill();
    expect(await world.until(take(stage, 0, 'q', 'n/1/1'))).toBe('taken');
    await world.run(world.now + 100);
    cores.forEach((_, at) => startCore(at));
    await stage.loseMemories(survivor);
    expect(await world.until(take(stage, (survivor + 1) % 5, 'q', 'm/2/1'))).toBe('known');
  }
});

test('a holder that lost its memory reads it back, so that an id stays taken when the core is gone next', async () => {
  const stage = await openStage();
  const { world, cores } = stage;
  expect(await world.until(take(stage, 0, 'q', 'n/1/1'))).toBe('taken');
  await stage.loseMemories();
  for (const { host } of cores) host.kill();
  expect(await world.until(take(stage, 1, 'q', 'm/2/1'))).toBe('known');
  expect(await world.until(take(stage, 1, 'fresh', 'm/2/2'))).toBe('taken');
});

test('everything loses power the moment an id was told taken: it stays taken', async () => {
  for (let seed = 1; seed <= 4; seed++) {
    const stage = await openStage(seed);
    const { world, cores, disks, startCore } = stage;
    for (const disk of disks) disk.latency = 40;
    expect(await world.until(take(stage, 0, 'q', 'n/1/1'))).toBe('taken');
    for (const { host } of cores) host.kill();
    await world.run(world.now + 500);
    cores.forEach((_, at) => startCore(at));
    await stage.loseMemories();
    expect(await world.until(take(stage, 1, 'q', 'm/2/1'))).toBe('known');
  }
});

test('a claim outlasts the member that kept it: a newcomer asks the others before it answers for the past', async () => {
  const stage = await openStage();
  const { world, cores, disks, startCore } = stage;
  expect(await world.until(take(stage, 0, 'q', 'n/1/1'))).toBe('taken');
  for (const lost of [0, 1, 2]) {
    cores[lost]!.host.kill();
    disks[lost]!.lose();
    await world.run(world.now + 500);
    cores[lost] = startCore(lost);
    expect(
      await world.run(
        world.now + 30_000,
        () => cores[lost]!.member.state().voting && cores[lost]!.keeper.whole,
      ),
    ).toBe(true);
  }
  await stage.loseMemories();
  expect(await world.until(take(stage, 1, 'q', 'm/2/1'))).toBe('known');
});

test('many claims at once share synced writes, and a released one can be taken again', async () => {
  const stage = await openStage();
  const { world, cores, disks } = stage;
  for (const disk of disks) disk.latency = 20;
  const told = await world.until(
    Promise.all(Array.from({ length: 60 }, (_, at) => take(stage, at % 3, `q${at}`, `x/1/${at}`))),
  );
  expect(told.every((each) => each === 'taken')).toBe(true);
  await world.run(world.now + 1000);
  for (const { keeper } of cores) {
    expect(keeper.kept).toBeGreaterThanOrEqual(60);
    expect(keeper.writes).toBeLessThan(15);
  }
  await world.until(stage.nodes[0]!.claims.release('firm', 'q0', 'x/1/0'));
  expect(await world.until(take(stage, 1, 'q0', 'y/1/1'))).toBe('taken');
});
