/**
 * A voter is removed only while those that are left know the newest committed revision and are a majority of what is left: while
 * word of what is committed does not reach one of them, the lost voter is kept though a machine is ready to take over; once it
 * does, the lost one is replaced in time.
 */
import { expect, test } from 'vitest';
import { Committed, Feed, History, Tip } from '../../src/register/calls.js';
import { decodeFrame } from '../../src/wire/call.js';
import { CATCH_UP, type ControlPlane } from './cluster.js';
import { Day } from './day.js';
import { lose, type Loss } from './losses.js';

const DOWNTIME = 300;
const RANDOM_SEEDS = [1, 2, 3];
/** The calls by which a member learns what is committed. */
const NEWS = new Set([Committed.code, Feed.code, History.code, Tip.code]);

/** No news of what is committed reaches a machine; it votes on. Returns what ends that. */
const withholdNews = ({ world }: ControlPlane, number: number): (() => void) => {
  const name = `core-${number}`;
  world.net.mishap = (from, to, bytes) => {
    if (from !== name && to !== name) return 'pass';
    const frame = decodeFrame(bytes, from).toMaybe().extract();
    return frame && NEWS.has(frame.code) ? 'drop' : 'pass';
  };
  return () => (world.net.mishap = (): 'pass' => 'pass');
};

const play = async (seed: number, wanted: 3 | 5, loss: Loss): Promise<void> => {
  const day = new Day({ seed, wanted, routers: 0 });
  const { plane } = day;
  await day.begin();
  const tolerated = (wanted - 1) / 2;
  const lost = plane.voterNumbers.slice(0, tolerated);
  const uninformed = plane.voterNumbers[tolerated]!;
  const before = plane.voterSet;
  const deliver = withholdNews(plane, uninformed);
  await plane.world.until(Promise.all(lost.map((number) => lose(plane, loss, number, DOWNTIME))));
  const { acknowledged } = day.operators.ledger;
  const sofar = acknowledged.size;
  await plane.pass(2 * CATCH_UP);
  const told = `seed ${seed}, ${wanted} voters, ${loss}`;
  expect(plane.voterSet, told).toEqual(before);
  expect(acknowledged.size, told).toBeGreaterThan(sofar);
  deliver();
  const isReplaced = (): boolean => plane.voterSet.number > before.number && plane.isWhole(1);
  expect(await plane.pass(CATCH_UP, isReplaced), told).toBe(true);
  await day.recovered();
};

test.each(['moved', 'wiped'] as const)(
  'a lost voter is kept while one of those left does not know what is committed: %s',
  async (loss) => {
    for (const wanted of [3, 5] as const)
      for (const seed of RANDOM_SEEDS) await play(seed, wanted, loss);
  },
);
