/**
 * Leases and "accepted" under the checker: three members and two nodes whose leases are renewed while a change is
 * made, with frames lost, late or repeated, a node frozen, and members started again. At no moment after "accepted"
 * was told may any node hold standing on an older revision.
 */
import { expect, test } from 'vitest';
import { Goodbye, Renew, Confirm, PeerLease } from '../../src/lease/calls.js';
import { awaitApplication } from '../../src/lease/application.js';
import type { Change } from '../../src/register/document.js';
import { explore, type Script } from '../../src/sim/explore.js';
import { decodeFrame, type Frame } from '../../src/wire/call.js';
import { openStage } from './stage.js';

const watched = new Set([Renew.code, Confirm.code, Goodbye.code, PeerLease.code]);

/** So many frames of each run may meet a mishap. */
const CHOICES = 60;

interface Fault {
  readonly freeze?: number;
  /** The first node's whole machine is suspended, its monotonic clock standing. */
  readonly suspend?: number;
  /** How long after all stand the failure strikes. */
  readonly after?: number;
  /** The first node's wall clock is set by this much, and so is every member's. */
  readonly jump?: number;
  readonly restart?: readonly number[];
  /** The first node is cut off from the core, and maybe from the other nodes too. */
  readonly cut?: 'core' | 'all';
  /** Nodes don't hand on revisions, so that the first stays on the old one. */
  readonly mute?: boolean;
}

const change: Change = {
  id: 'c',
  firm: 's',
  who: 'o',
  act: { kind: 'claim', name: 'quotes', duration: 1000, expects: 0, takeover: false },
};

const run = async (script: Script, fault: Fault = {}): Promise<number> => {
  const { world, cores, nodes, startCore, operator } = await openStage(5, 3, !fault.mute);
  let choices = 0;
  world.net.mishap = (from, _, frame) => {
    const decoded = decodeFrame(frame, from);
    if (!decoded.isRight() || !watched.has((decoded.extract() as Frame).code)) return 'pass';
    return choices < CHOICES ? (script.get(choices++) ?? 'pass') : 'pass';
  };
  await world.run(world.now + (fault.after ?? 0));
  if (fault.freeze !== undefined) {
    nodes[0]!.host.freeze();
    world.at(fault.freeze, () => nodes[0]!.host.thaw());
  }
  if (fault.suspend !== undefined) {
    nodes[0]!.host.suspend();
    world.at(fault.suspend, () => nodes[0]!.host.thaw());
  }
  if (fault.jump !== undefined) for (const { host } of [nodes[0]!, ...cores]) host.jump(fault.jump);
  if (fault.cut)
    world.part(['n'], ['core-0', 'core-1', 'core-2', ...(fault.cut === 'all' ? ['m', 'o'] : [])]);
  if (fault.cut) await world.run(world.now + 7000);
  if (fault.cut) expect(nodes[0]!.lease.holds()).toBe(fault.cut === 'core');
  const verdict = await world.until(operator.proposer.propose(change, 5000));
  const revision = verdict
    .map((told) => (told.kind === 'applied' ? told.revision : 0))
    .orDefault(0);
  for (const at of fault.restart ?? []) {
    cores[at]!.host.kill();
    world.at(50, () => (cores[at] = startCore(at)));
  }
  let accepted = false;
  const seeking = awaitApplication(
    revision,
    12_000,
    operator.peers,
    operator.voterDirectory,
    operator.host.clock,
  ).then(({ everywhere }) => {
    accepted = everywhere;
    return everywhere;
  });
  const wrong = (): boolean =>
    nodes.some(({ lease, inForce }) => lease.holds() && inForce.revision < revision) && accepted;
  // A revision in force never goes back, so once all have the new one and no mishap is left, nothing can go wrong.
  const calm = Object.keys(fault).length === 0;
  const surelyOver = (): boolean =>
    calm &&
    accepted &&
    choices >= CHOICES &&
    nodes.every(({ inForce }) => inForce.revision >= revision);
  await world.run(world.now + 16_000, () => wrong() || surelyOver());
  expect(wrong()).toBe(false);
  expect(revision).toBe(5);
  expect(await world.until(seeking)).toBe(true);
  const behind = fault.cut === 'all' || (fault.cut === 'core' && fault.mute);
  expect(nodes.map(({ inForce }) => inForce.revision)).toEqual([behind ? 4 : 5, 5, 5]);
  if (fault.cut) expect(nodes[0]!.lease.holds()).toBe(!behind);
  return choices;
};

test('accepted is never told while a node can stand on an older revision: lost, late and repeated frames', async () => {
  const { runs, choices } = await explore((script) => run(script), 60);
  expect(choices).toBe(CHOICES);
  expect(runs).toBeGreaterThan(200);
});

test('nor while a node is frozen and wakes, before its lease ends or long after', async () => {
  for (const freeze of [200, 1500, 4000, 4990, 5200, 8000]) await run(new Map(), { freeze });
});

test('nor while a whole machine is suspended with its monotonic clock standing, or clocks are set forward or back', async () => {
  for (const suspend of [200, 1500, 4000, 4990, 5200, 8000, 15_000])
    await run(new Map(), { suspend });
  for (let after = 0; after < 1000; after += 40) await run(new Map(), { suspend: 8000, after });
  for (const jump of [-3_600_000, -5000, 5000, 3_600_000])
    for (const freeze of [0, 3000, 8000]) await run(new Map(), { jump, freeze });
  for (const suspend of [3000, 8000])
    for (const restart of [[0], [0, 1, 2]]) await run(new Map(), { suspend, restart });
});

test('nor when members are started again and have forgotten their grants', async () => {
  for (const restart of [[0], [0, 1], [0, 1, 2]])
    for (const freeze of [0, 3000, 7000]) await run(new Map(), { restart, freeze });
});

test('nor while a node is cut off from the core and the others confirm for it, with lost, late and repeated frames', async () => {
  for (const cut of ['core', 'all'] as const)
    for (const mute of [true, false]) await run(new Map(), { cut, mute });
  for (const mishap of ['drop', 'late', 'twice'] as const)
    for (let choice = 0; choice < 60; choice += 4)
      await run(new Map([[choice, mishap]]), { cut: 'core', mute: choice % 8 === 0 });
});

test('without the core the nodes go on for each other; a lone one does not; and changes are accepted again after', async () => {
  const { world, cores, nodes, startCore, operator } = await openStage();
  for (const { host } of cores) host.kill();
  for (let second = 0; second < 20; second++) {
    await world.run(world.now + 1000);
    expect(nodes.map(({ lease }) => lease.holds())).toEqual([true, true, true]);
  }
  world.part(['n'], ['m', 'o']);
  await world.run(world.now + 7000);
  expect(nodes.map(({ lease }) => lease.holds())).toEqual([false, true, true]);
  world.heal();
  cores.forEach((_, at) => startCore(at));
  await world.run(world.now + 2500);
  expect(nodes.map(({ lease }) => lease.holds())).toEqual([true, true, true]);
  const verdict = await world.until(operator.proposer.propose(change, 5000));
  const revision = verdict
    .map((told) => (told.kind === 'applied' ? told.revision : 0))
    .orDefault(0);
  expect(
    (
      await world.until(
        awaitApplication(
          revision,
          12_000,
          operator.peers,
          operator.voterDirectory,
          operator.host.clock,
        ),
      )
    ).everywhere,
  ).toBe(true);
});

test('without the core a node that starts begins from the others, and one cut off from it follows them', async () => {
  const { world, cores, nodes, restart, startCore, operator } = await openStage();
  world.part(['n'], ['core-0', 'core-1', 'core-2']);
  expect((await world.until(operator.proposer.propose(change, 5000))).isRight()).toBe(true);
  expect(await world.run(world.now + 4000, () => nodes[0]!.inForce.revision === 5)).toBe(true);
  for (const { host } of cores) host.kill();
  restart(2);
  expect(await world.run(world.now + 12_000, () => nodes[2]!.lease.holds())).toBe(true);
  expect(nodes[2]!.inForce.revision).toBe(5);
  world.heal();
  cores.forEach((_, at) => startCore(at));
  expect(
    (
      await world.until(
        awaitApplication(5, 12_000, operator.peers, operator.voterDirectory, operator.host.clock),
      )
    ).everywhere,
  ).toBe(true);
});

test('nor does a node begin behind what was accepted, when only one that was cut off remembers anything', async () => {
  for (let pause = 0; pause < 900; pause += 300) {
    const { world, cores, nodes, restart, startCore, operator } = await openStage();
    world.part(['n'], ['core-0', 'core-1', 'core-2', 'm', 'o']);
    await world.run(world.now + 6000);
    const verdict = await world.until(operator.proposer.propose(change, 5000));
    expect(verdict.map(({ kind }) => kind).extract()).toBe('applied');
    expect(
      (
        await world.until(
          awaitApplication(5, 12_000, operator.peers, operator.voterDirectory, operator.host.clock),
        )
      ).everywhere,
    ).toBe(true);
    await world.run(world.now + pause);
    for (const { host } of cores) host.kill();
    restart(1);
    restart(2);
    world.heal();
    const behind = (): boolean =>
      nodes.some(({ lease, inForce }) => lease.holds() && inForce.revision < 5);
    expect(await world.run(world.now + 15_000, behind)).toBe(false);
    expect(nodes.map(({ inForce }) => inForce.revision)).toEqual([4, 0, 0]);
    cores.forEach((_, at) => startCore(at));
    expect(
      await world.run(world.now + 10_000, () =>
        nodes.every(({ lease, inForce }) => lease.holds() && inForce.revision === 5),
      ),
    ).toBe(true);
  }
});
