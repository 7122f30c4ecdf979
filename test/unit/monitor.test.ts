/** What a process tells of its own costs: stalls seen by late timers, work by kind, frames by call; and bounded logs. */
import { Registry } from 'prom-client';
import { expect, test } from 'vitest';
import { SystemClock, type Moment } from '../../src/kernel/clock/clock.js';
import { rateLimited } from '../../src/kernel/log/rate-limit.js';
import { NodeWork } from '../../src/monitor/node-work.js';
import { PlannedWork } from '../../src/monitor/planned-work.js';
import { Stalls } from '../../src/monitor/stalls.js';
import { WorkMeter } from '../../src/monitor/work-meter.js';
import { costMetrics } from '../../src/node/cost-metrics.js';
import { applyDelta, deltaOf } from '../../src/register/delta.js';
import { documentWork } from '../../src/register/document-work.js';
import { decodeDocument, encodeDocument, genesis } from '../../src/register/document.js';
import { documentDigest } from '../../src/register/document-digest.js';
import { Stage } from '../../src/wire/call.js';
import { encodeFrame } from '../../src/wire/call.js';
import { Traffic } from '../../src/wire/traffic.js';
import { HandClock } from '../forward/clock.js';

const at = (ms: number): Moment => ms as Moment;

test('a stall is the longest lateness of the timers that it held up, and is reported once', () => {
  const reported: number[] = [];
  const stalls = new Stalls((length) => void reported.push(length));
  stalls.note(at(1000), 3);
  stalls.note(at(1010), 49);
  expect([stalls.count, stalls.longest(at(1010))]).toEqual([0, 0]);
  for (const [now, late] of [
    [2000, 300],
    [2001, 450],
    [2002, 120],
  ] as const)
    stalls.note(at(now), late);
  expect([stalls.count, stalls.milliseconds, stalls.longest(at(2002))]).toEqual([1, 450, 450]);
  stalls.note(at(3000), 70);
  expect([stalls.count, stalls.milliseconds]).toEqual([2, 520]);
  expect(reported).toEqual([300, 70]);
});

test('the longest stall is forgotten after 10 to 20 s', () => {
  const stalls = new Stalls();
  stalls.note(at(1000), 200);
  expect(stalls.longest(at(10_900))).toBe(200);
  expect(stalls.longest(at(11_100))).toBe(200);
  expect(stalls.longest(at(21_200))).toBe(0);
  stalls.note(at(30_000), 90);
  expect(stalls.longest(at(90_000))).toBe(0);
});

test("the system's clock tells how late its timers fire, and not of those that were given up", async () => {
  const clock = new SystemClock();
  const late: number[] = [];
  clock.onTimer = (_, ms) => void late.push(ms);
  const stop = new AbortController();
  const given = clock.sleep(600_000, stop.signal);
  stop.abort();
  await given;
  expect(late).toEqual([]);
  const fired = clock.sleep(0);
  const begun = performance.now();
  while (performance.now() - begun < 60);
  await fired;
  expect(late.length).toBe(1);
  expect(late[0]).toBeGreaterThan(50);
});

test('work is added up by kind', () => {
  const meter = new WorkMeter(['one', 'other']);
  expect(
    meter.measure(
      'one',
      () => 'abc',
      ({ length }) => length,
    ),
  ).toBe('abc');
  meter.add('one', 7, 10);
  meter.add('one', 2);
  const one = meter.costs.get('one')!;
  expect([one.runs, one.bytes, one.longest]).toEqual([3, 13, 7]);
  expect(one.milliseconds).toBeGreaterThanOrEqual(9);
  expect(meter.costs.get('other')).toEqual({ runs: 0, milliseconds: 0, longest: 0, bytes: 0 });
});

test('work on documents is counted where it is done', () => {
  const runs = (): number[] => [...documentWork.costs.values()].map((cost) => cost.runs);
  const before = runs();
  const one = genesis('f', []);
  decodeDocument(encodeDocument(one), 'p');
  encodeDocument(one);
  documentDigest(one);
  const next = { ...one, revision: 2, previous: documentDigest(one) };
  const digest = documentDigest(next);
  const delta = deltaOf(one, next)!;
  expect(applyDelta(one, delta, digest, 'p').isRight()).toBe(true);
  const counted = runs().map((run, kind) => run - before[kind]!);
  // Each document is encoded and digested once; making a delta applies it, and each application digests what it made.
  expect([...documentWork.costs.keys()]).toEqual([
    'encode',
    'decode',
    'digest',
    'make-delta',
    'apply-delta',
  ]);
  expect(counted).toEqual([1, 1, 4, 1, 2]);
});

test('the ages of planned work are those of the last of each kind', () => {
  const clock = new HandClock();
  const work = new PlannedWork(clock);
  expect(work.age('stop')).toBeUndefined();
  work.note('configuration');
  clock.advance(10);
  work.note('configuration');
  clock.advance(5);
  expect([work.age('configuration'), work.age('reload')]).toEqual([5, undefined]);
});

test('a bounded log tells how many lines it left out', () => {
  const clock = new HandClock();
  const lines: string[] = [];
  const log = rateLimited(
    (event, fields = []) => void lines.push(`${event} ${JSON.stringify(fields)}`),
    clock,
    { lines: 2, window: 100 },
  );
  for (const event of ['a', 'b', 'c', 'd']) log(event);
  clock.advance(100);
  log('e', [['x', 1]]);
  log('f');
  expect(lines).toEqual(['a []', 'b []', 'e [["x",1],["suppressed",2]]', 'f []']);
});

test('costs are told as metrics', async () => {
  const registry = new Registry();
  const traffic = new Traffic();
  const stalls = new Stalls();
  const clock = new HandClock();
  const work = new NodeWork();
  costMetrics(registry, { work, stalls, traffic, clock });
  traffic.note('sent', 'node', encodeFrame(Stage.ask, 255, 1, Buffer.alloc(10)));
  stalls.note(clock.now(), 80);
  work.add('put-in-force', 3, 100);
  const text = await registry.metrics();
  for (const line of [
    'rudderridge_event_loop_stall_ms 80',
    'rudderridge_event_loop_stalls 1',
    'rudderridge_work_ms_total{kind="put-in-force"} 3',
    'rudderridge_work_bytes_total{kind="put-in-force"} 100',
    'rudderridge_work_runs_total{kind="take-revision"} 0',
    'rudderridge_work_longest_ms{kind="put-in-force"} 3',
    'rudderridge_peer_messages_total{call="other",way="sent"} 1',
  ])
    expect(text.split('\n')).toContain(line);
});
