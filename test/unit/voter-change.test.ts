/** Which change of the voter set is due by what one member saw; the losses to be borne decide on additions and replacements. */
import { describe, expect, test } from 'vitest';
import type { Voter } from '../../src/register/document.js';
import { NO_LOSSES, type Losses } from '../../src/register/failure-domains.js';
import { dueChange, type Look, type VoterChange } from '../../src/register/voter-change.js';

const ONE_ZONE: Losses = { machines: 1, zones: 1, regions: 0 };
const SELF = 'a1';

/** A machine named by its zone and a number, as "b2". */
const machine = (id: string): Voter => ({
  id,
  address: `host-${id}:1`,
  zone: id.slice(0, 1),
  region: 'r',
});
const machines = (text: string): Voter[] => (text ? text.split(' ').map(machine) : []);

interface Seen {
  readonly members: string;
  readonly ready?: string;
  readonly silent?: string;
  readonly leaving?: string;
  readonly wanted?: number;
  readonly replaced?: string;
}

const lookOf = ({ members, ready, silent, leaving, wanted = 3, replaced }: Seen): Look => {
  const voters = machines(members);
  const among = (text = ''): Voter[] => voters.filter(({ id }) => text.split(' ').includes(id));
  const gone = among(silent);
  return {
    set: { number: 7, wanted, members: voters, replaced },
    current: voters.filter((voter) => !gone.includes(voter)),
    unrecoverable: [],
    suspended: [],
    silent: gone,
    leaving: among(leaving),
    ready: machines(ready ?? ''),
    locationOf: ({ zone = '', region = '' }) => ({ zone, region }),
  };
};

/** A change in short: "+b2", "+b2-a2" where it takes over, "-a2". */
const shortOf = (change: VoterChange | undefined): string => {
  if (!change) return '';
  if (change.kind === 'removeVoter') return `-${change.id}`;
  return `+${change.voter.id}${change.replaces === undefined ? '' : `-${change.replaces}`}`;
};

const due = (seen: Seen, tolerated: Losses = ONE_ZONE): string =>
  shortOf(dueChange(lookOf(seen), SELF, tolerated));

describe('a vacant place', () => {
  test('goes to the learner in the zone with the fewest voters', () => {
    expect(due({ members: 'a1 b1', ready: 'a2 b2 c1' })).toBe('+c1');
  });

  test('goes to any learner while there is no better one', () => {
    expect(due({ members: 'a1 b1', ready: 'a2' })).toBe('+a2');
  });

  test('stays vacant where the voters would bear less with the learner', () => {
    expect(due({ members: 'a1 b1 c1', ready: 'a2', wanted: 5 })).toBe('');
    expect(due({ members: 'a1 b1 c1', ready: 'a2', wanted: 5 }, NO_LOSSES)).toBe('+a2');
  });

  test('is filled where two learners together bear more', () => {
    const asked = { machines: 2, zones: 1, regions: 0 };
    expect(due({ members: 'a1 b1 c1', ready: 'a2 b2', wanted: 5 }, asked)).toBe('+a2');
  });
});

describe('voters in too few zones', () => {
  test('are replaced by a learner of another zone, one by one', () => {
    expect(due({ members: 'a1 a2 b1', ready: 'c1 a3' })).toBe('+c1-a2');
    expect(due({ members: 'a1 a2 b1', ready: 'c1 a3' }, NO_LOSSES)).toBe('');
  });

  test('stay while no learner would do better', () => {
    expect(due({ members: 'a1 a2 b1', ready: 'a3 b2' })).toBe('');
    expect(due({ members: 'a1 b1 c1', ready: 'a2 b2 c2' })).toBe('');
  });

  test('are replaced only once one that is gone is removed', () => {
    expect(due({ members: 'a1 a2 b1', ready: 'c1', silent: 'b1' })).toBe('-b1');
  });

  test('give way first where they do not vote', () => {
    const seen = lookOf({ members: 'b1 b2 a1', ready: 'c1' });
    const change = dueChange(
      { ...seen, current: seen.current.filter(({ id }) => id !== 'b1') },
      SELF,
      ONE_ZONE,
    );
    expect(shortOf(change)).toBe('+c1-b1');
  });
});

describe('a replacement that is half done', () => {
  test('is ended by whoever sees it', () => {
    expect(due({ members: 'a1 a2 b1 c1', replaced: 'a2' })).toBe('-a2');
    expect(due({ members: 'a1 a2 b1 c1', replaced: 'a2' }, NO_LOSSES)).toBe('-a2');
  });

  test('is given up where another voter is gone meanwhile', () => {
    expect(due({ members: 'a1 a2 b1 c1', replaced: 'a2', silent: 'b1' })).toBe('-b1');
    expect(due({ members: 'a1 a2 c1', replaced: 'a2' }, NO_LOSSES)).toBe('');
  });
});

test('a leaver is replaced by the learner that stands best beside those that stay', () => {
  expect(due({ members: 'a1 b1 c1', leaving: 'b1', ready: 'a2 b2' })).toBe('+b2-b1');
  expect(due({ members: 'a1 b1 c1', leaving: 'b1', ready: 'a2' })).toBe('+a2-b1');
});
