/**
 * A stream whose engine falls silent is never ended for that silence: it may be taken up at another engine, and while
 * none takes it up the first one is waited for as long as the request may be held. On the test's own time, with real
 * sockets.
 */
import { expect, test } from 'vitest';
import { eventually, HandClock, turns } from './clock.js';
import {
  answerHead,
  callerLine,
  notRun,
  openScripted,
  requestText,
  type CallerLine,
  type Exchange,
  type Script,
  type ScriptedStage,
} from './scripted.js';

const EVENTS = 4;
/** Beyond every limit on silence, and well within the time of a request (5 s where its caller tells none). */
const SILENCE = 3000;

const event = (id: number): string => `id: ${id}\ndata: ${id}\n\n`;
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

const begin = (exchange: Exchange, first: number): void =>
  void exchange.socket.write(
    answerHead(exchange, 'Transfer-Encoding: chunked') + chunk(event(first)),
  );

const goOn = ({ socket }: Exchange, from: number): void => {
  for (let id = from; id <= EVENTS; id++) socket.write(chunk(event(id)));
  socket.write('0\r\n\r\n');
};

/** Says its head and the event that is due, then nothing. */
const beginsOnly: Script = (exchange) =>
  begin(exchange, Number(/^last-event-id: (\d+)/im.exec(exchange.head)?.[1] ?? 0) + 1);
const saysNothing: Script = () => undefined;
const turnsAway: Script = (exchange) => void exchange.socket.write(notRun(exchange));

interface Scene {
  readonly stage: ScriptedStage;
  readonly clock: HandClock;
  readonly line: CallerLine;
  readonly exchange: (engine: number) => Exchange | undefined;
}

const open = async (scripts: readonly Script[], attempts: number, ratio = 100): Promise<Scene> => {
  const clock = new HandClock();
  const stage = await openScripted({
    scripts,
    clock,
    ratio,
    route: { resume: true, attempts, target: 400, gap: 250 },
  });
  const line = callerLine(stage.address);
  line.send(requestText('r1'));
  await eventually(() => stage.engines[0]!.exchanges.length > 0);
  return { stage, clock, line, exchange: (engine) => stage.engines[engine]!.exchanges[0] };
};

const received = (line: CallerLine, id: number): Promise<void> =>
  eventually(() => line.closed() || line.received().includes(event(id)));

/** Lets time pass in steps, so that all that waits on it gets its turn. */
const pass = async (clock: HandClock, duration: number): Promise<void> => {
  for (let passed = 0; passed < duration; passed += 100) {
    clock.advance(100);
    await turns();
  }
};

const expectWhole = async (line: CallerLine): Promise<void> => {
  await line.answered(1);
  const [answer] = line.reader.answers;
  expect(answer).toMatchObject({ status: 200, complete: true });
  expect(answer!.body.toString()).toBe(
    Array.from({ length: EVENTS }, (_, at) => event(at + 1)).join(''),
  );
};

test('where the route allows one engine only', async () => {
  const { clock, line, exchange } = await open([beginsOnly], 1);
  await received(line, 1);
  await pass(clock, SILENCE);
  expect(line.closed()).toBe(false);
  goOn(exchange(0)!, 2);
  await expectWhole(line);
});

test('where no retry is left in the budget', async () => {
  const { clock, line, exchange, stage } = await open([beginsOnly, beginsOnly], 3, 0);
  await received(line, 1);
  await pass(clock, SILENCE);
  expect(stage.engines[1]!.exchanges).toEqual([]);
  expect(line.closed()).toBe(false);
  goOn(exchange(0)!, 2);
  await expectWhole(line);
});

test('where the attempts were spent on a request sent twice because its first engine was late', async () => {
  const { clock, line, exchange, stage } = await open([saysNothing, beginsOnly], 2);
  while (stage.engines[1]!.exchanges.length === 0) await pass(clock, 100);
  await received(line, 1);
  await pass(clock, SILENCE);
  expect(line.closed()).toBe(false);
  goOn(exchange(1)!, 2);
  await expectWhole(line);
});

test('where there is no other engine', async () => {
  const { clock, line, exchange } = await open([beginsOnly], 3);
  await received(line, 1);
  await pass(clock, SILENCE);
  expect(line.closed()).toBe(false);
  goOn(exchange(0)!, 2);
  await expectWhole(line);
});

test('where the other engine turns it away', async () => {
  const { clock, line, exchange, stage } = await open([beginsOnly, turnsAway], 2);
  await received(line, 1);
  await pass(clock, SILENCE);
  expect(stage.engines[1]!.exchanges).toHaveLength(1);
  expect(line.closed()).toBe(false);
  goOn(exchange(0)!, 2);
  await expectWhole(line);
});

test('where the other engine says nothing either, and the first one goes on', async () => {
  const { clock, line, exchange, stage } = await open([beginsOnly, saysNothing], 2);
  await received(line, 1);
  await pass(clock, SILENCE);
  expect(stage.engines[1]!.exchanges).toHaveLength(1);
  expect(line.closed()).toBe(false);
  goOn(exchange(0)!, 2);
  await expectWhole(line);
  await eventually(() => exchange(1)!.closed());
});

test('where the other engine takes it up and falls silent in its turn', async () => {
  const { clock, line, exchange, stage } = await open([beginsOnly, beginsOnly], 2);
  await received(line, 1);
  while (stage.engines[1]!.exchanges.length === 0) await pass(clock, 100);
  await received(line, 2);
  await pass(clock, SILENCE);
  expect(line.closed()).toBe(false);
  goOn(exchange(1)!, 3);
  await expectWhole(line);
  await eventually(() => exchange(0)!.closed());
});

test('and ends visibly broken at the end of its time', async () => {
  const { clock, line } = await open([beginsOnly], 1);
  await received(line, 1);
  await pass(clock, 5200);
  await line.over();
  expect(line.reader.answers[0]!.complete).toBe(false);
});

test('and an engine that speaks to another request is not left', async () => {
  const { clock, line, exchange, stage } = await open([beginsOnly, beginsOnly], 3);
  await received(line, 1);
  const other = callerLine(stage.address);
  other.send(requestText('r2'));
  await received(other, 1);
  const talking = stage.engines[0]!.exchanges[1]!;
  for (let id = 2; id < 10; id++) {
    talking.socket.write(chunk(event(id)));
    await received(other, id);
    await pass(clock, 400);
  }
  expect(stage.engines[1]!.exchanges).toEqual([]);
  goOn(exchange(0)!, 2);
  await expectWhole(line);
});
