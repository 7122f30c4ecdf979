/** Which losses voters bear where they stand, and the choice of those that bear most, against a search through all sets. */
import fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import {
  bearableLosses,
  chooseVoters,
  shortfall,
  votersFor,
  type Candidate,
  type Layout,
  type Location,
  type Losses,
} from '../../src/register/failure-domains.js';

/** Machines by zone, as "a a b": the first letter is the zone, what follows it the region. */
const placesOf = (text: string): Location[] =>
  text.split(' ').map((each) => ({ zone: each, region: each.slice(1) || 'r' }));

const layoutOf = (text: string): Layout =>
  Object.fromEntries(placesOf(text).map(({ zone, region }) => [zone, region]));

const candidatesAt = (places: readonly Location[]): Candidate[] =>
  places.map((location, at) => ({ id: `m-${at}`, location, rank: at % 2 }));

const lossesOf = (machines: number, zones: number, regions: number): Losses => ({
  machines,
  zones,
  regions,
});

/** Whether voters keep a majority whichever of their domains are lost, by trying all of them. */
const bearsAny = (domains: readonly string[], losses: number): boolean => {
  const names = [...new Set(domains)];
  const tryFrom = (at: number, left: number, lost: ReadonlySet<string>): boolean => {
    if (left === 0 || at === names.length) {
      const standing = domains.filter((domain) => !lost.has(domain)).length;
      return 2 * standing > domains.length;
    }
    return tryFrom(at + 1, left, lost) && tryFrom(at + 1, left - 1, new Set([...lost, names[at]!]));
  };
  return tryFrom(0, losses, new Set());
};

const subsetsOf = <T>(items: readonly T[]): T[][] =>
  items.reduce<T[][]>((sets, item) => [...sets, ...sets.map((set) => [...set, item])], [[]]);

const place = fc.record({ zone: fc.constantFrom('a', 'b', 'c', 'd', 'e') }).map(({ zone }) => ({
  zone,
  region: 'ab'.includes(zone) ? 'r1' : 'cd'.includes(zone) ? 'r2' : 'r3',
}));
const losses = fc.record({
  machines: fc.integer({ min: 0, max: 3 }),
  zones: fc.integer({ min: 0, max: 2 }),
  regions: fc.integer({ min: 0, max: 1 }),
});

describe('what voters bear', () => {
  test.each([
    ['a', lossesOf(0, 0, 0)],
    ['a a b', lossesOf(1, 0, 0)],
    ['a b c', lossesOf(1, 1, 0)],
    ['a a b b c', lossesOf(2, 1, 0)],
    ['a a b c', lossesOf(1, 0, 0)],
    ['a b c d e', lossesOf(2, 2, 0)],
    ['a1 b2 c3', lossesOf(1, 1, 1)],
    ['a1 b1 c2 d2 e3', lossesOf(2, 2, 1)],
  ])('%s', (text, expected) => {
    expect(bearableLosses(placesOf(text))).toEqual(expected);
  });

  test('whichever zones are lost, a majority is left, and with one more it need not be', () => {
    fc.assert(
      fc.property(fc.array(place, { minLength: 1, maxLength: 9 }), (places) => {
        const { zones } = bearableLosses(places);
        const domains = places.map(({ zone }) => zone);
        expect(bearsAny(domains, zones)).toBe(true);
        expect(bearsAny(domains, zones + 1)).toBe(false);
      }),
    );
  });
});

describe('which machines are chosen', () => {
  test('no other set falls less short of what is asked', () => {
    fc.assert(
      fc.property(fc.array(place, { minLength: 1, maxLength: 9 }), losses, (places, asked) => {
        const most = 2 * Math.max(1, asked.machines, asked.zones, asked.regions) + 1;
        const all = candidatesAt(places);
        const missing = (chosen: readonly Candidate[]): number =>
          shortfall(
            chosen.map(({ location }) => location),
            asked,
          );
        const best = Math.min(
          ...subsetsOf(all)
            .filter(({ length }) => length > 0 && length <= most)
            .map(missing),
        );
        expect(missing(chooseVoters(all, 1, most, asked))).toBe(best);
      }),
      { numRuns: 300 },
    );
  });

  test('of two machines of a zone, the one with the lower rank', () => {
    const all = placesOf('a a b b c').map((location, at) => ({
      id: `m-${at}`,
      location,
      rank: at === 1 || at === 3 ? 0 : 1,
    }));
    const chosen = chooseVoters(all, 1, 3, lossesOf(1, 1, 0)).map(({ id }) => id);
    expect(chosen.sort()).toEqual(['m-1', 'm-3', 'm-4']);
  });

  test('where no zone is to be borne, rank goes first', () => {
    const all = placesOf('a a a b c').map((location, at) => ({
      id: `m-${at}`,
      location,
      rank: at < 3 ? 0 : 1,
    }));
    const chosen = chooseVoters(all, 1, 3, lossesOf(1, 0, 0)).map(({ id }) => id);
    expect(chosen.sort()).toEqual(['m-0', 'm-1', 'm-2']);
  });
});

test('how many voters are wanted follows from what is asked, as far as there are zones for it', () => {
  expect(votersFor(lossesOf(1, 1, 0), layoutOf('a b c'))).toBe(3);
  expect(votersFor(lossesOf(1, 2, 0), layoutOf('a b c d e'))).toBe(5);
  expect(votersFor(lossesOf(1, 2, 0), layoutOf('a b c d'))).toBe(3);
  expect(votersFor(lossesOf(2, 1, 1), layoutOf('a1 b1 c2 d2'))).toBe(5);
  expect(votersFor(lossesOf(0, 0, 0), {})).toBe(3);
  expect(votersFor(lossesOf(9, 0, 0), {})).toBe(9);
});
