/** The judge itself: each planted violation is found, and clean evidence is left alone. */
import { expect, test } from 'vitest';
import { judge, type Breach, type Evidence } from '../../src/stand/judge/judge.js';
import type { CallerRecord } from '../../src/stand/caller/caller.js';
import type { RunRecord } from '../../src/stand/engine/engine.js';

const call = (over: Partial<CallerRecord> = {}): CallerRecord => ({
  id: 'q',
  repeatable: false,
  began: 0,
  firstPiece: 1,
  ended: 2,
  status: 200,
  outcome: 'result',
  reason: '',
  retryAfter: '',
  engine: 'e',
  text: 'abc',
  pieces: 3,
  ...over,
});
const ran = (over: Partial<RunRecord> = {}): RunRecord => ({
  engine: 'e',
  passage: 'p',
  request: 'q',
  firm: 's',
  at: 1000,
  continues: '',
  text: 'abc',
  ended: 'done',
  blocks: 0,
  hits: 0,
  ...over,
});
const evidence = (over: Partial<Evidence>): Evidence => ({
  callers: [call()],
  runs: [ran()],
  resumes: () => false,
  allowed: () => true,
  left: new Map(),
  overreach: 0,
  ...over,
});

test('clean evidence gives no finding', () => {
  expect(judge(evidence({}))).toEqual([]);
  const resumed = {
    resumes: () => true,
    callers: [
      call({ repeatable: true, text: 'abcde' }),
      ...Array.from({ length: 30 }, (_, at) =>
        call({ id: `x${at}`, outcome: 'declined', text: '' }),
      ),
    ],
    runs: [
      ran({ text: 'abcx', ended: 'cut' }),
      ran({ passage: 'p2', continues: 'abc', text: 'de' }),
    ],
  };
  expect(judge(evidence(resumed))).toEqual([]);
  expect(
    judge(evidence({ ...resumed, resumes: () => false })).map(({ breach }) => breach),
  ).toContain('spliced');
  expect(
    judge(
      evidence({
        ...resumed,
        runs: [resumed.runs[0]!, ran({ passage: 'p2', continues: 'abd', text: 'de' })],
      }),
    ).map(({ breach }) => breach),
  ).toContain('spliced');
  for (const text of ['abde', 'abccde', 'abcxde'])
    expect(
      judge(
        evidence({
          ...resumed,
          callers: [call({ repeatable: true, text }), ...resumed.callers.slice(1)],
        }),
      ),
    ).not.toEqual([]);
  expect(
    judge(
      evidence({
        callers: [call({ outcome: 'broken', text: 'ab' })],
        runs: [ran({ ended: 'cut' })],
      }),
    ),
  ).toEqual([]);
});

const planted: ReadonlyArray<readonly [Breach, Partial<Evidence>]> = [
  [
    'ran-twice',
    {
      runs: [ran(), ran({ engine: 'f', passage: 'p2' })],
      callers: Array.from({ length: 40 }, (_, at) =>
        call(at === 0 ? {} : { id: `x${at}`, outcome: 'declined', text: '' }),
      ),
    },
  ],
  ['declined-but-ran', { callers: [call({ outcome: 'declined', text: '' })] }],
  ['partial-as-complete', { callers: [call({ text: 'ab' })] }],
  ['foreign-text', { callers: [call({ text: 'xyz' })] }],
  ['spliced', { callers: [call({ outcome: 'broken', text: 'axc' })] }],
  ['disallowed-engine', { allowed: () => false }],
  ['after-leaving', { runs: [ran({ at: 9000 })], left: new Map([['e', 5000]]) }],
  [
    'retry-share',
    {
      callers: [call({ repeatable: true })],
      runs: [ran({ ended: 'cut' }), ran({ passage: 'p2' })],
    },
  ],
  ['overreach', { overreach: 1 }],
];

for (const [breach, over] of planted)
  test(`a planted ${breach} is found`, () =>
    expect(judge(evidence(over)).map((finding) => finding.breach)).toEqual([breach]));
