/** The record of how requests end: each ends once, by a named cause, and what must never be is counted. */
import { Socket } from 'node:net';
import { Right } from 'purify-ts';
import { expect, test } from 'vitest';
import { violationOf, type EndCause, type RequestEnd } from '../../src/forward/request-end.js';
import { RequestEnds } from '../../src/forward/request-ends.js';
import { PlannedWork } from '../../src/monitor/planned-work.js';
import { eventually, HandClock, turns } from './clock.js';
import {
  answerHead,
  callerLine,
  openScripted,
  requestText,
  sized,
  type Exchange,
  type ScriptedStage,
} from './scripted.js';
import { expectNoViolation } from './stage.js';

const once = { kind: 'non_idempotent', timeout: 1000 } as const;

const held = (): { script: (exchange: Exchange) => void; open: Exchange[] } => {
  const open: Exchange[] = [];
  return { open, script: (exchange) => void open.push(exchange) };
};

const causes = ({ requestEnds }: ScriptedStage): Array<readonly [EndCause, number]> =>
  [...requestEnds.counts].sort(([one], [other]) => one.localeCompare(other));

const ended = async (stage: ScriptedStage): Promise<void> => {
  await eventually(() => stage.taken.count > 0 && stage.forwarder.open === 0);
};

const usualEnd: RequestEnd = {
  id: 'a',
  cause: 'answered',
  status: 200,
  isReadWhole: true,
  isSent: true,
  isAnswerShort: false,
  engine: 'e',
  age: 10,
  limit: 1000,
};

const ledger = (): {
  ends: RequestEnds;
  clock: HandClock;
  lines: Array<Map<string, unknown>>;
  plannedWork: PlannedWork;
} => {
  const clock = new HandClock();
  const lines: Array<Map<string, unknown>> = [];
  const plannedWork = new PlannedWork(clock);
  const log = (event: string, fields: ReadonlyArray<readonly [string, unknown]> = []): void =>
    void lines.push(new Map([['event', event], ...fields]));
  return { ends: new RequestEnds(clock, log, plannedWork), clock, lines, plannedWork };
};

test('answers, refusals and failures are told apart, and none of them is logged', async () => {
  const clock = new HandClock();
  const stage = await openScripted({
    scripts: [(exchange) => void exchange.socket.write(sized(exchange))],
    route: once,
    clock,
  });
  const line = callerLine(stage.address);
  line.send(requestText('a'));
  await line.answered(1);
  line.send(requestText('b').replace('/a/', '/nowhere/'));
  await line.answered(2);
  await eventually(() => stage.forwarder.open === 0);
  expect(causes(stage)).toEqual([
    ['answered', 1],
    ['refused', 1],
  ]);
  expectNoViolation(stage.requestEnds);
});

test('an answer that its engine breaks off ends by that cause', async () => {
  const { open, script } = held();
  const stage = await openScripted({ scripts: [script], route: once });
  const line = callerLine(stage.address);
  line.send(requestText('a'));
  await eventually(() => open.length === 1);
  open[0]!.socket.write(`${answerHead(open[0]!, 'Content-Length: 6')}abc`);
  await eventually(() => line.received().includes('abc'));
  open[0]!.socket.destroy();
  await line.over();
  await ended(stage);
  expect(causes(stage)).toEqual([['engine-broke-off', 1]]);
  expectNoViolation(stage.requestEnds);
});

test('an answer that is not over by its deadline ends by that cause, not before', async () => {
  const clock = new HandClock();
  const { open, script } = held();
  const stage = await openScripted({ scripts: [script], route: once, clock });
  const line = callerLine(stage.address);
  line.send(requestText('a'));
  await eventually(() => open.length === 1);
  open[0]!.socket.write(`${answerHead(open[0]!, 'Content-Length: 6')}abc`);
  await eventually(() => line.received().includes('abc'));
  clock.advance(999);
  await turns();
  expect(stage.forwarder.open).toBe(1);
  clock.advance(200);
  await line.over();
  await ended(stage);
  expect(causes(stage)).toEqual([['deadline', 1]]);
  expectNoViolation(stage.requestEnds);
});

for (const [how, leave] of [
  ['closes', (line: ReturnType<typeof callerLine>) => void line.socket.end()],
  ['resets', (line: ReturnType<typeof callerLine>) => void line.socket.resetAndDestroy()],
] as const)
  test(`a client that ${how} its connection has left, with all that it sent ahead`, async () => {
    const { open, script } = held();
    const stage = await openScripted({ scripts: [script], route: once, clock: new HandClock() });
    const line = callerLine(stage.address);
    line.send(requestText('a') + requestText('b'));
    await eventually(() => stage.forwarder.open === 2);
    await eventually(() => open.length === 1);
    leave(line);
    await ended(stage);
    expect(causes(stage)).toEqual([['client-left', 2]]);
    expectNoViolation(stage.requestEnds);
  });

for (const [how, leave] of [
  ['closes', (line: ReturnType<typeof callerLine>) => void line.socket.end()],
  ['is gone from', (line: ReturnType<typeof callerLine>) => void line.socket.destroy()],
  ['resets', (line: ReturnType<typeof callerLine>) => void line.socket.resetAndDestroy()],
] as const)
  test(`a client that ${how} its connection in the middle of its answer while this process stops has left`, async () => {
    const { open, script } = held();
    const stage = await openScripted({ scripts: [script], route: once, clock: new HandClock() });
    const line = callerLine(stage.address);
    line.send(requestText('a'));
    await eventually(() => open.length === 1);
    open[0]!.socket.write(`${answerHead(open[0]!, 'Content-Length: 6')}abc`);
    await eventually(() => line.received().includes('abc'));
    stage.face.retire();
    stage.face.halt();
    await turns();
    leave(line);
    await ended(stage);
    expect(causes(stage)).toEqual([['client-left', 1]]);
    expectNoViolation(stage.requestEnds);
  });

test('a request behind one that asked for the end of the connection is not begun', async () => {
  const { open, script } = held();
  const stage = await openScripted({ scripts: [script], route: once, clock: new HandClock() });
  const line = callerLine(stage.address);
  line.send(requestText('a', '', ['Connection: close']) + requestText('b'));
  await eventually(() => open.length === 1);
  await turns();
  open[0]!.socket.write(sized(open[0]!));
  await line.over();
  await ended(stage);
  expect(causes(stage).filter(([cause]) => cause !== 'behind-closed')).toEqual([['answered', 1]]);
  expectNoViolation(stage.requestEnds);
});

test('what is still under way when a stop closes all connections ends by that cause', async () => {
  const { open, script } = held();
  const stage = await openScripted({ scripts: [script], route: once, clock: new HandClock() });
  const line = callerLine(stage.address);
  line.send(requestText('a'));
  await eventually(() => open.length === 1);
  await stage.face.close();
  await ended(stage);
  expect(causes(stage)).toEqual([['stop-deadline', 1]]);
  expectNoViolation(stage.requestEnds);
});

test('a connection that is closed without a word over a whole request is a violation', async () => {
  const { open, script } = held();
  const stage = await openScripted({ scripts: [script], route: once, clock: new HandClock() });
  const sockets: Socket[] = [];
  stage.face['server'].on('connection', (socket: Socket) => sockets.push(socket));
  const line = callerLine(stage.address);
  line.send(requestText('a'));
  await eventually(() => open.length === 1);
  sockets[0]!.destroy();
  await ended(stage);
  expect(causes(stage)).toEqual([['unaccounted', 1]]);
  expect(stage.requestEnds.violations.counts.get('whole-request-cut')).toBe(1);
});

test('an answer that is finished though its engine did not end it whole is a violation', async () => {
  const { open, script } = held();
  const stage = await openScripted({ scripts: [script], route: once, clock: new HandClock() });
  // A defect of the link: it takes the end of the connection for the end of the answer.
  const send = stage.links.send.bind(stage.links);
  stage.links.send = async (...asked) =>
    (await send(...asked)).map((answer) => {
      const next = answer.next.bind(answer);
      answer.next = async (patience) => {
        const piece = await next(patience);
        return piece.isLeft() ? Right(undefined) : piece;
      };
      return answer;
    });
  const line = callerLine(stage.address);
  line.send(requestText('a'));
  await eventually(() => open.length === 1);
  open[0]!.socket.write(`${answerHead(open[0]!, 'Content-Length: 6')}abc`);
  await eventually(() => line.received().includes('abc'));
  open[0]!.socket.destroy();
  await ended(stage);
  expect(stage.requestEnds.violations.counts.get('short-answer-finished')).toBe(1);
});

test('a request whose end is never recorded though its connection closed is a violation, once', () => {
  const { ends, clock } = ledger();
  const socket = new Socket();
  const request = ends.begin(socket);
  ends.sweep();
  socket.destroy();
  ends.sweep();
  clock.advance(4999);
  ends.sweep();
  expect(ends.violations.total).toBe(0);
  clock.advance(1);
  ends.sweep();
  ends.sweep();
  expect(ends.violations.counts.get('never-ended')).toBe(1);
  expect([ends.openCount, request.isEnded]).toEqual([0, false]);
});

test('an end that is recorded twice is a violation', () => {
  const { ends } = ledger();
  const request = ends.begin(new Socket());
  ends.end(request, usualEnd);
  expect(ends.violations.total).toBe(0);
  ends.end(request, usualEnd);
  expect(ends.violations.counts.get('ended-twice')).toBe(1);
  expect(ends.counts.get('answered')).toBe(1);
});

test('a line tells cause, times and planned work of an end that may not be; usual ends write none', () => {
  const { ends, clock, lines, plannedWork } = ledger();
  plannedWork.note('configuration');
  clock.advance(40);
  ends.end(ends.begin(new Socket()), usualEnd);
  ends.end(ends.begin(new Socket()), { ...usualEnd, cause: 'client-left' });
  expect(lines).toEqual([]);
  ends.end(ends.begin(new Socket()), { ...usualEnd, cause: 'idle-limit', status: 0 });
  expect(lines).toEqual([
    new Map<string, unknown>([
      ['event', 'request-violation'],
      ['invariant', 'whole-request-cut'],
      ['cause', 'idle-limit'],
      ['request', 'a'],
      ['status', 0],
      ['whole', true],
      ['sent', true],
      ['engine', 'e'],
      ['age', 10],
      ['left', 990],
      ['configurationAge', 40],
      ['reloadAge', undefined],
      ['stopAge', undefined],
    ]),
  ]);
});

test('lines of unusual ends are bounded, those of violations are not', () => {
  const { ends, clock, lines } = ledger();
  for (let count = 0; count < 100; count++) {
    ends.end(ends.begin(new Socket()), { ...usualEnd, cause: 'engine-broke-off' });
    ends.end(ends.begin(new Socket()), { ...usualEnd, cause: 'unaccounted' });
  }
  const of = (event: string): number => lines.filter((line) => line.get('event') === event).length;
  expect([of('request-end'), of('request-violation')]).toEqual([20, 100]);
  clock.advance(1000);
  ends.end(ends.begin(new Socket()), { ...usualEnd, cause: 'engine-broke-off' });
  expect(lines.at(-1)!.get('suppressed')).toBe(80);
});

test('which ends violate an invariant', () => {
  const violation = (over: Partial<RequestEnd>): string | undefined =>
    violationOf({ ...usualEnd, ...over });
  const excuses: readonly EndCause[] = [
    'client-left',
    'engine-broke-off',
    'stop-deadline',
    'behind-closed',
  ];
  for (const cause of excuses) expect(violation({ cause })).toBeUndefined();
  for (const cause of ['deadline', 'client-not-reading'] as const) {
    expect(violation({ cause, age: 1000 })).toBeUndefined();
    expect(violation({ cause, age: 900 })).toBe('cut-before-deadline');
  }
  const faults: readonly EndCause[] = [
    'idle-limit',
    'idle-at-stop',
    'parser-error',
    'behind-stop',
    'unaccounted',
  ];
  for (const cause of faults) {
    expect(violation({ cause })).toBe('whole-request-cut');
    expect(violation({ cause, isReadWhole: false })).toBeUndefined();
  }
  expect(violation({ cause: 'internal-fault', isReadWhole: false })).toBe('internal-fault');
  expect(violation({ isAnswerShort: true })).toBe('short-answer-finished');
});
