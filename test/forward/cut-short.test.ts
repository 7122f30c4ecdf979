/**
 * Requests that were read whole, or had arrived whole, and must not lose their connections: around changes of the limits, a
 * planned stop, a standstill of the process, and silent engines.
 */
import { connect, type Socket } from 'node:net';
import { expect, test } from 'vitest';
import { arrivedIsRead } from '../../src/kernel/net/arrived.js';
import { parseAddress } from '../../src/kernel/net/net.js';
import { eventually, HandClock, turns } from './clock.js';
import {
  answerHead,
  callerLine,
  openScripted,
  requestText,
  sized,
  type Exchange,
} from './scripted.js';
import { statuses, written } from './scene.js';
import { expectNoViolation } from './stage.js';

const once = { kind: 'non_idempotent', timeout: 20_000 } as const;
const resumable = {
  kind: 'streaming',
  resume: true,
  attempts: 3,
  gap: 200,
  timeout: 20_000,
} as const;

const held = (): { script: (exchange: Exchange) => void; open: Exchange[] } => {
  const open: Exchange[] = [];
  return { open, script: (exchange) => void open.push(exchange) };
};

const eventOf = (number: number): string => `id: ${number}\ndata: x\n\n`;
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const chunkedHead = (exchange: Exchange): string =>
  answerHead(exchange, 'Transfer-Encoding: chunked');

test('a stream whose engine is silent, with nowhere else to go on, is not cut before its time', async () => {
  const clock = new HandClock();
  const { open, script } = held();
  const stage = await openScripted({ scripts: [script], route: resumable, clock });
  const line = callerLine(stage.address);
  line.send(requestText('a'));
  await eventually(() => open.length === 1);
  open[0]!.socket.write(chunkedHead(open[0]!) + chunk(eventOf(1)));
  await eventually(() => line.received().includes('id: 1'));
  for (let step = 0; step < 8; step++) {
    clock.advance(500);
    await turns(10);
  }
  open[0]!.socket.write(`${chunk(eventOf(2))}0\r\n\r\n`);
  await eventually(() => line.closed() || line.reader.answers[0]?.complete === true);
  expect(statuses(line)).toEqual([[200, true]]);
  expectNoViolation(stage.requestEnds);
});

test('what an engine sent while the process stood still is read before the engine is called silent', async () => {
  const clock = new HandClock();
  const [first, second] = [held(), held()];
  const stage = await openScripted({
    scripts: [first.script, second.script],
    route: resumable,
    clock,
  });
  const line = callerLine(stage.address);
  line.send(requestText('a'));
  await eventually(() => first.open.length === 1);
  const { socket } = first.open[0]!;
  socket.write(chunkedHead(first.open[0]!) + chunk(eventOf(1)));
  await eventually(() => line.received().includes('id: 1'));
  await turns();
  await written(socket, `${chunk(eventOf(2))}0\r\n\r\n`);
  clock.advance(5000);
  await eventually(() => line.closed() || line.reader.answers[0]?.complete === true);
  expect(statuses(line)).toEqual([[200, true]]);
  expect(second.open.length).toBe(0);
});

test('a connection rests as long as its client was told, though the limit fell while a request was under way', async () => {
  const clock = new HandClock();
  const { open, script } = held();
  const stage = await openScripted({
    scripts: [script],
    route: once,
    clock,
    limits: { idleTimeout: 15_000 },
  });
  const line = callerLine(stage.address);
  line.send(requestText('a'));
  await eventually(() => open.length === 1);
  stage.limits = { idleTimeout: 1000 };
  open[0]!.socket.write(sized(open[0]!));
  await line.answered(1);
  expect(line.reader.answers[0]!.fields.get('keep-alive')).toBe('timeout=15');
  for (let step = 0; step < 50; step++) {
    clock.advance(100);
    await turns(5);
  }
  line.send(requestText('b'));
  await eventually(() => line.closed() || open.length === 2);
  expect(open.length).toBe(2);
  open[1]!.socket.write(sized(open[1]!));
  await line.answered(2);
});

test('a request that has arrived on an idle connection is read before a planned stop closes that', async () => {
  const { open, script } = held();
  const stage = await openScripted({ scripts: [script], route: once, clock: new HandClock() });
  const line = callerLine(stage.address);
  line.send(requestText('a'));
  await eventually(() => open.length === 1);
  open[0]!.socket.write(sized(open[0]!));
  await line.answered(1);
  await eventually(() => stage.forwarder.open === 0);
  await turns();
  stage.face.retire();
  await written(line.socket, requestText('b'));
  stage.face.halt();
  await eventually(() => line.closed() || open.length === 2);
  expect(open.length).toBe(2);
  open[1]!.socket.write(sized(open[1]!));
  await line.answered(2);
  expect(statuses(line)).toEqual([
    [200, true],
    [200, true],
  ]);
});

test('a connection that came up before a planned stop closes the face is accepted, once the event loop has come round', async () => {
  const { open, script } = held();
  const stage = await openScripted({ scripts: [script], route: once, clock: new HandClock() });
  stage.face.retire();
  // A connection comes up and waits to be accepted.
  const socket = connect(parseAddress(stage.address));
  let error = '';
  socket.on('error', (thrown: NodeJS.ErrnoException) => (error = thrown.code ?? thrown.message));
  socket.write(requestText('a'));
  await new Promise<void>((resolve) => process.nextTick(resolve));
  await arrivedIsRead();
  stage.face.halt();
  await eventually(() => error !== '' || open.length === 1);
  expect(error).toBe('');
  socket.destroy();
});

test('requests that were sent ahead before a planned stop are answered too', async () => {
  const { open, script } = held();
  const stage = await openScripted({ scripts: [script], route: once, clock: new HandClock() });
  const line = callerLine(stage.address);
  line.send(requestText('a') + requestText('b'));
  await eventually(() => stage.forwarder.open === 2 && open.length === 1);
  stage.face.retire();
  open[0]!.socket.write(sized(open[0]!));
  await eventually(() => line.closed() || open.length === 2);
  expect(open.length).toBe(2);
  open[1]!.socket.write(sized(open[1]!));
  await line.over();
  expect(statuses(line)).toEqual([
    [200, true],
    [200, true],
  ]);
  expectNoViolation(stage.requestEnds);
});

for (const method of ['CONNECT', 'PRI'])
  test(`${method} behind a request under way does not cut that`, async () => {
    const { open, script } = held();
    const stage = await openScripted({ scripts: [script], route: once, clock: new HandClock() });
    const line = callerLine(stage.address);
    line.send(requestText('a'));
    await eventually(() => open.length === 1);
    line.send(`${method} h.example:80 HTTP/1.1\r\nHost: h.example\r\n\r\n`);
    await turns(100);
    open[0]!.socket.write(sized(open[0]!));
    await eventually(() => line.closed() || line.reader.answers[0]?.complete === true);
    expect(statuses(line)[0]).toEqual([200, true]);
    await eventually(() => stage.forwarder.open === 0);
    expectNoViolation(stage.requestEnds);
  });

test('a header that has arrived whole while the process stood still is not called late', async () => {
  const { open, script } = held();
  const stage = await openScripted({ scripts: [script], route: once, clock: new HandClock() });
  const sockets: Socket[] = [];
  const server = stage.face['server'];
  server.on('connection', (socket: Socket) => sockets.push(socket));
  const line = callerLine(stage.address);
  const text = requestText('a');
  line.send(text.slice(0, 20));
  await eventually(() => sockets.length === 1 && sockets[0]!.bytesRead === 20);
  await written(line.socket, text.slice(20));
  // As the server does for a header that took too long, by its own clock.
  const late = Object.assign(new Error('late'), { code: 'ERR_HTTP_REQUEST_TIMEOUT' });
  server.emit('clientError', late, sockets[0]);
  await eventually(() => line.closed() || open.length === 1);
  expect(statuses(line)).toEqual([]);
  expect(open.length).toBe(1);
});

for (const [what, field] of [
  ['a control character', 'X-A: a\u0001b'],
  ['a deleted character', 'X-A: a\u007fb'],
  ['a high byte', 'X-A: a\u00e9b'],
  ['a folded line', 'X-A: a\r\n b'],
  ['an empty value', 'X-A:'],
] as const)
  test(`an engine's field with ${what} ends no request without an answer`, async () => {
    const { open, script } = held();
    const stage = await openScripted({ scripts: [script], route: once, clock: new HandClock() });
    const line = callerLine(stage.address);
    line.send(requestText('a'));
    await eventually(() => open.length === 1);
    const answer = sized(open[0]!).replace('Content-Length', `${field}\r\nContent-Length`);
    open[0]!.socket.write(Buffer.from(answer, 'latin1'));
    await eventually(() => line.closed() || line.reader.answers[0]?.complete === true);
    await eventually(() => stage.forwarder.open === 0);
    expect(statuses(line).length).toBe(1);
    expectNoViolation(stage.requestEnds);
  });

test('a defect before anything was answered is told to the client, and its connection serves on', async () => {
  const { open, script } = held();
  const stage = await openScripted({ scripts: [script], route: once, clock: new HandClock() });
  const line = callerLine(stage.address);
  const { placer } = stage;
  const place = placer.place.bind(placer);
  placer.place = () => {
    throw new Error('a defect');
  };
  line.send(requestText('a'));
  await eventually(() => line.closed() || line.reader.answers[0]?.complete === true);
  expect(statuses(line)).toEqual([[502, true]]);
  expect(stage.requestEnds.violations.counts.get('internal-fault')).toBe(1);
  placer.place = place;
  line.send(requestText('b'));
  await eventually(() => open.length === 1);
  open[0]!.socket.write(sized(open[0]!));
  await line.answered(2);
  expect(statuses(line)[1]).toEqual([200, true]);
});
