/**
 * A member that starts again while it reaches no majority, and then first reaches one that is behind: what that one takes for
 * the newest committed revision is older than what the restarted member knew before, and it must not go back to it.
 */
import { expect, test } from 'vitest';
import { Committed, Feed } from '../../src/register/calls.js';
import { decodeFrame } from '../../src/wire/call.js';
import { Machines, SEEDS } from './machines.js';

const RANDOM_SEEDS = 20;
const RESTARTED = 1;
const LOST = 2;
const BEHIND = 3;
/** Longer than a member looks for a majority before it begins without one. */
const CUT_OFF = 2500;
const SETTLE = 1500;

const NEWS = new Set([Committed, Feed].map(({ code }) => code));

const involves = (number: number, ...ends: readonly string[]): boolean =>
  ends.includes(`core-${number}`);

/** Keeps word of what is committed from the member that is to be behind. */
const keepBehind = ({ world }: Machines): void => {
  world.net.mishap = (from, to, frame) => {
    if (!involves(BEHIND, from, to)) return 'pass';
    const code = decodeFrame(frame, from)
      .map((decoded) => decoded.code)
      .orDefault(-1);
    return NEWS.has(code) ? 'drop' : 'pass';
  };
};

const cutOff = ({ world }: Machines): void => {
  world.net.mishap = (from, to) => (involves(BEHIND, from, to) ? 'drop' : 'pass');
};

test('a restarted member takes nothing older for committed than it knew before', async () => {
  for (let seed = 1; seed <= RANDOM_SEEDS; seed++) {
    const machines = new Machines(seed);
    for (const number of SEEDS) machines.start(number, { first: true });
    expect(await machines.run(2000, () => machines.voters(3))).toBe(true);
    keepBehind(machines);
    expect(await machines.change()).toBe('applied');
    const committed = (): number => machines.cores.get(RESTARTED)!.member.committedRevision;
    expect(await machines.run(SETTLE, () => committed() === 2)).toBe(true);
    cutOff(machines);
    machines.kill(LOST, 'lost');
    machines.kill(RESTARTED);
    machines.start(RESTARTED, { first: false });
    await machines.run(CUT_OFF);
    machines.world.net.mishap = () => 'pass';
    const known = new Set<number>();
    await machines.run(SETTLE, () => {
      known.add(committed());
      return false;
    });
    expect(known, `seed ${seed}`).not.toContain(1);
    expect(committed(), `seed ${seed}`).toBe(2);
  }
});
