/**
 * The proposer of a first revision dies while its value is accepted by some seeds only. Whoever proposes next sees that
 * value in the promises and must go on with it, since it may have been chosen.
 */
import { expect, test } from 'vitest';
import { BootstrapAccept } from '../../src/register/bootstrap/calls.js';
import type { Ballot } from '../../src/register/ballot.js';
import { Form } from '../../src/register/calls.js';
import { digestOf } from '../../src/register/hash.js';
import { unseal } from '../../src/register/store.js';
import { decodeFrame } from '../../src/wire/call.js';
import { addressOf, Machines } from './machines.js';

const BOOTSTRAP_FILE = 'bootstrap';
const PROPOSER = 1;
const RANDOM_SEEDS = 20;

/** The digest of the first revision that the acceptor of a machine has accepted, if any. */
const acceptedBy = (machines: Machines, number: number): string | undefined => {
  const file = machines.disks.get(number)!.files.get(BOOTSTRAP_FILE);
  const opened = file && unseal(BOOTSTRAP_FILE, file).toMaybe().extract();
  if (!opened || (opened.head.get('accepted') as Ballot).counter === 0) return undefined;
  return digestOf(opened.body);
};

/** The votes of a proposer are asked of these machines alone, and nobody is told what was chosen. */
const limitAccepts = (machines: Machines, accepting: readonly number[]): void => {
  const names = new Set(accepting.map((number) => `core-${number}`));
  machines.world.net.mishap = (from, to, frame) => {
    if (from !== `core-${PROPOSER}`) return 'pass';
    const code = decodeFrame(frame, from)
      .map((decoded) => decoded.code)
      .orDefault(-1);
    if (code === Form.code) return 'drop';
    return code === BootstrapAccept.code && !names.has(to) ? 'drop' : 'pass';
  };
};

for (const { wanted, asked, votes } of [
  { wanted: 3, asked: [2], votes: 1 },
  { wanted: 3, asked: [3], votes: 1 },
  { wanted: 3, asked: [1, 2, 3], votes: 2 },
  { wanted: 5, asked: [1, 2, 3, 4, 5], votes: 3 },
])
  test(`${votes} of ${wanted} seeds accepted (asked: ${asked.join(' ')}), then the proposer dies: its value is the first revision`, async () => {
    const numbers = Array.from({ length: wanted }, (_, at) => at + 1);
    for (let seed = 1; seed <= RANDOM_SEEDS; seed++) {
      const machines = new Machines(seed, wanted);
      for (const number of numbers) machines.start(number, { seeds: numbers, first: true });
      limitAccepts(machines, asked);
      const acceptedValues = (): string[] =>
        numbers.flatMap((number) => acceptedBy(machines, number) ?? []);
      const isAccepted = (): boolean => acceptedValues().length === votes;
      expect({ seed, accepted: await machines.run(2000, isAccepted) }).toEqual({
        seed,
        accepted: true,
      });
      const [value] = acceptedValues();
      expect(new Set(acceptedValues()).size).toBe(1);
      machines.kill(PROPOSER);
      expect(machines.formed.size).toBe(0);
      machines.world.net.mishap = () => 'pass';
      const formed = await machines.run(6000, () => machines.voters(wanted - 1));
      expect({ seed, formed, value: [...machines.formed] }).toEqual({
        seed,
        formed: true,
        value: [value],
      });
      expect(machines.voterSet.members.map(({ address }) => address)).toContain(
        addressOf(PROPOSER),
      );
      expect(await machines.change(numbers)).toBe('applied');
      expect(machines.forks.size).toBe(0);
    }
  });
