/**
 * A member's disk lost the newest revision that the member knows to be committed, and by the time that its repair asks for it the
 * others have gone on and taken it away. The member still knows what it was, so that what follows is held against it, and it
 * follows again once news reaches it.
 */
import { expect, test } from 'vitest';
import { Committed, Feed, Tip } from '../../src/register/calls.js';
import { decodeFrame } from '../../src/wire/call.js';
import { CATCH_UP, ControlPlane } from './cluster.js';
import { Operators } from './operators.js';

const MEMBER = 3;
const NAME = `core-${MEMBER}`;
const RANDOM_SEEDS = [1, 2, 3];
/** More than the others keep. */
const CHANGES = 8;
/** Within which a repair has looked at every revision. */
const REPAIRED = 8000;
const NEWS = new Set([Committed.code, Feed.code, Tip.code]);

const change = async (plane: ControlPlane, operators: Operators, times: number): Promise<void> => {
  for (let time = 0; time < times; time++)
    expect(await plane.world.until(operators.change())).toBe(true);
};

test('a member keeps what it knows of its newest committed revision, though no other has that any more', async () => {
  for (const seed of RANDOM_SEEDS) {
    const plane = new ControlPlane({ seed, wanted: 3, routers: 0 });
    expect(await plane.begin()).toBe(true);
    const operators = new Operators(plane);
    await change(plane, operators, 3);
    await plane.pass(REPAIRED);
    const { member } = plane.cores.get(MEMBER)!;
    const { committed, digest } = member.progress;
    expect(committed).toBe(plane.committed);
    plane.cutOff(MEMBER);
    const { files } = plane.disks.get(MEMBER)!;
    const newest = files
      .keys()
      .find((path) => Number(path.replace('revisions/', '')) === committed);
    expect(files.delete(newest!)).toBe(true);
    await change(plane, operators, CHANGES);
    plane.world.net.mishap = (from, to, bytes) => {
      const frame = decodeFrame(bytes, from).toMaybe().extract();
      return [from, to].includes(NAME) && frame && NEWS.has(frame.code) ? 'drop' : 'pass';
    };
    plane.join(MEMBER);
    await plane.pass(REPAIRED);
    expect(member.progress, `seed ${seed}`).toMatchObject({ committed, digest });
    plane.world.net.mishap = (): 'pass' => 'pass';
    expect(await plane.pass(CATCH_UP, () => plane.isWhole()), `seed ${seed}`).toBe(true);
    expect(operators.ledger.faults).toEqual([]);
  }
});
