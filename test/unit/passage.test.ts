/** Small parts of the passage: lines by share, back-pressure toward a slow caller, the chart, soundness, whole events. */
import { EventEmitter } from 'node:events';
import type { FastifyReply } from 'fastify';
import { expect, test } from 'vitest';
import { StreamSink } from '../../src/faces/callers/sinks.js';
import { Journal } from '../../src/kernel/journal/journal.js';
import { Chart, type PassageEvent } from '../../src/passage/chart.js';
import { idOfSend } from '../../src/passage/exchange.js';
import { Lines, type Liner } from '../../src/passage/line.js';
import { RetryBudget } from '../../src/passage/retry.js';
import { SseReader } from '../../src/passage/sse.js';
import { Soundness } from '../../src/pool/soundness.js';
import { Host } from '../../src/sim/host.js';
import { World } from '../../src/sim/world.js';

test('long drafts do not starve short questions, and a full line takes no more', () => {
  const lines = new Lines();
  const order: string[] = [];
  let room = 0;
  const liner = (doorway: string, cost: number, share: number): Liner => ({
    doorway,
    share,
    bound: 30,
    cost,
    attempt: () => room > 0 && room-- > 0 && order.push(doorway) > 0,
  });
  for (let at = 0; at < 30; at++) lines.enter(liner('drafts', 2000, 1));
  expect(lines.enter(liner('drafts', 2000, 1))).toBe(false);
  for (let at = 0; at < 30; at++) lines.enter(liner('questions', 50, 4));
  room = 35;
  lines.serve();
  expect(order.filter((doorway) => doorway === 'questions').length).toBe(30);
  expect(lines.ahead('drafts')).toBe(25);
});

test('a slow caller holds the stream back until it drains, and one that is gone ends it', async () => {
  const raw = Object.assign(new EventEmitter(), {
    destroyed: false,
    writableFinished: false,
    writeHead: () => undefined,
    write: () => false,
  });
  const sink = new StreamSink({ raw, hijack: () => undefined } as unknown as FastifyReply, 'r');
  let passed = false;
  const writing = sink.write({ raw: 'data: x\n\n', data: 'x' }, 'e').then((on) => (passed = on));
  await new Promise((resolve) => setImmediate(resolve));
  expect(passed).toBe(false);
  raw.emit('drain');
  expect(await writing).toBe(true);
  const last = sink.write({ raw: 'data: y\n\n', data: 'y' }, 'e');
  raw.destroyed = true;
  raw.emit('close');
  expect(await last).toBe(false);
  expect(sink.gone.aborted).toBe(true);
});

test('an illegal step is a fault that is seen, and changes nothing', () => {
  const { clock } = new Host(new World(1), 'h', '127.0.0.1:1');
  const journal = new Journal<PassageEvent>(clock);
  const chart = new Chart('r', journal);
  expect([chart.step('matched'), chart.step('streaming'), chart.state]).toEqual([
    true,
    false,
    'matched',
  ]);
  expect(journal.tail().map(({ event }) => event.kind)).toEqual(['step', 'fault']);
});

test('suspicion never empties the pool, and one probe goes first', async () => {
  const world = new World(1);
  const soundness = new Soundness(new Host(world, 'h', '127.0.0.1:1').clock);
  const names = ['a', 'b', 'c', 'd'];
  for (const name of names) soundness.bad(name);
  expect(soundness.usable(names).size).toBe(2);
  for (const name of ['b', 'c', 'd']) soundness.good(name);
  expect([...soundness.usable(names)]).toEqual(['b', 'c', 'd']);
  await world.run(1500);
  expect(soundness.usable(names).has('a')).toBe(true);
  soundness.begin('a');
  expect(soundness.usable(names).has('a')).toBe(false);
  soundness.good('a');
  expect(soundness.usable(names).has('a')).toBe(true);
});

test('over any span at most a twentieth of the fresh traffic is sent again, and one more', () => {
  const budget = new RetryBudget(0.05);
  expect(budget.spend()).toBe(false);
  const spent: number[] = [];
  for (let fresh = 1; fresh <= 2000; fresh++) {
    budget.noteFresh();
    const failing = fresh % 700 > 600;
    for (let tries = 0; failing && tries < 3; tries++) if (budget.spend()) spent.push(fresh);
  }
  expect(spent.length).toBeGreaterThan(5);
  for (const [from, first] of spent.entries())
    for (const [to, last] of spent.entries())
      if (to >= from) expect(to - from + 1).toBeLessThanOrEqual((last - first) * 0.05 + 1.0001);
});

test('events are handed on whole, however the bytes are cut, and never a part at the end', () => {
  const bytes = Buffer.from('data: {"a":"ü"}\n\ndata: [DONE]\r\n\r\ndata: par');
  for (let size = 1; size < 7; size++) {
    const reader = new SseReader();
    const events: string[] = [];
    for (let at = 0; at < bytes.length; at += size)
      for (const { data } of reader.push(bytes.subarray(at, at + size), 'p').unsafeCoerce())
        events.push(data);
    expect(events).toEqual(['{"a":"ü"}', '[DONE]']);
    expect(reader.empty).toBe(false);
  }
});

test('an engine is told the whole id of a request, however long it and the name of the node are', () => {
  const [node, request] = ['n'.repeat(86), 'r'.repeat(128)];
  expect(idOfSend(node, 1234, request)).toBe(`${node}-1234-${request}`);
});
