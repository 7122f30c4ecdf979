/** The callers' connections: whatever comes on one, no answer is given for a request that it does not belong to. */
import { expect, test } from 'vitest';
import { eventually, HandClock, turns } from './clock.js';
import {
  answerHead,
  callerLine,
  openScripted,
  requestText,
  sized,
  type Exchange,
} from './scripted.js';

const once = { kind: 'non_idempotent' } as const;

/** Engines whose answers wait until the test lets them go. */
const held = (): { script: (exchange: Exchange) => void; open: Exchange[] } => {
  const open: Exchange[] = [];
  return { open, script: (exchange) => void open.push(exchange) };
};

for (const [name, behind] of [
  ['bytes that are no request', '\u0001 nonsense \r\n\r\n'],
  ['a header that is too large', `GET /a/ HTTP/1.1\r\nX-Large: ${'x'.repeat(140_000)}\r\n\r\n`],
] as const)
  test(`behind a request under way, ${name} get no answer in its place`, async () => {
    const { open, script } = held();
    const stage = await openScripted({ scripts: [script], route: once });
    const line = callerLine(stage.address);
    line.send(requestText('first'));
    await eventually(() => open.length === 1);
    line.send(behind);
    await turns(200);
    expect(line.reader.answers).toEqual([]);
    open[0]!.socket.write(sized(open[0]!));
    await line.over();
    expect(line.reader.answers.map(({ status, complete }) => [status, complete])[0]).toEqual([
      200,
      true,
    ]);
    expect(line.reader.answers[0]!.body.toString()).toBe('of first');
    expect(line.reader.answers.slice(1).map(({ status }) => status >= 400)).toEqual([true]);
  });

test('behind a request under way, a header that does not end is no reason to answer 408 in its place', async () => {
  const { open, script } = held();
  const stage = await openScripted({
    scripts: [script],
    route: once,
    limits: { headerTimeout: 100 },
  });
  const line = callerLine(stage.address);
  line.send(`${requestText('first')}POST /a/ HT`);
  await eventually(() => open.length === 1);
  // The server looks for such headers once a second; a third connection, quiet from its start, shows that it did.
  const quiet = callerLine(stage.address);
  quiet.send('POST');
  await quiet.over();
  await turns(200);
  expect(line.reader.answers).toEqual([]);
  open[0]!.socket.write(sized(open[0]!));
  await line.answered(1);
  expect(line.reader.answers[0]).toMatchObject({ status: 200, complete: true });
  expect(line.reader.answers[0]!.body.toString()).toBe('of first');
});

test('a stream under way is not broken off by bytes behind its request', async () => {
  const { open, script } = held();
  const stage = await openScripted({ scripts: [script], route: once });
  const line = callerLine(stage.address);
  line.send(requestText('first'));
  await eventually(() => open.length === 1);
  open[0]!.socket.write(`${answerHead(open[0]!, 'Content-Length: 6')}abc`);
  await eventually(() => line.reader.answers.length === 1);
  line.send('\u0001 nonsense \r\n\r\n');
  await turns(200);
  open[0]!.socket.write('def');
  await line.over();
  expect(line.reader.answers[0]).toMatchObject({ status: 200, complete: true });
});

test('a request sent ahead has its time from its arrival, not from its turn', async () => {
  const clock = new HandClock();
  const { open, script } = held();
  const stage = await openScripted({
    scripts: [script],
    clock,
    route: { kind: 'non_idempotent', timeout: 1000 },
  });
  const line = callerLine(stage.address);
  line.send(requestText('first') + requestText('second'));
  await eventually(() => open.length === 1);
  await turns();
  clock.advance(600);
  open[0]!.socket.write(sized(open[0]!));
  await eventually(() => open.length === 2);
  expect(Number(/x-deadline-ms: (\d+)/i.exec(open[1]!.head)?.[1])).toBe(400);
  clock.advance(400);
  await line.answered(2);
  expect(line.reader.answers.map(({ status }) => status)).toEqual([200, 504]);
});

test('a request sent ahead whose time ends before its turn is refused and runs nowhere', async () => {
  const clock = new HandClock();
  const { open, script } = held();
  const stage = await openScripted({
    scripts: [script],
    clock,
    route: { kind: 'non_idempotent', timeout: 1000 },
  });
  const line = callerLine(stage.address);
  line.send(requestText('first') + requestText('second', '', ['X-Deadline-Ms: 500']));
  await eventually(() => open.length === 1);
  await turns();
  clock.advance(600);
  open[0]!.socket.write(sized(open[0]!));
  await line.answered(2);
  expect(line.reader.answers.map(({ status }) => status)).toEqual([200, 503]);
  expect(stage.engines[0]!.ids).toEqual(['first']);
});

test('a caller that does not read holds its request no longer than its time', async () => {
  const clock = new HandClock();
  const { open, script } = held();
  const stage = await openScripted({
    scripts: [script],
    clock,
    route: { kind: 'non_idempotent', timeout: 1000 },
  });
  const line = callerLine(stage.address);
  line.socket.pause();
  line.send(requestText('first'));
  await eventually(() => open.length === 1);
  const { socket } = open[0]!;
  socket.write(answerHead(open[0]!, 'Content-Length: 100000000'));
  const piece = Buffer.alloc(1 << 20, 'x');
  while (socket.write(piece)) await turns(1);
  await turns(2000);
  expect(stage.forwarder.open).toBe(1);
  clock.advance(1000);
  await eventually(() => stage.forwarder.open === 0);
  await eventually(() => open[0]!.closed());
  line.socket.resume();
  await line.over();
  expect(line.reader.answers[0]).toMatchObject({ status: 200, complete: false });
});

test('an answer that ends by its connection never looks whole when it was cut', async () => {
  const { open, script } = held();
  const stage = await openScripted({ scripts: [script], route: once });
  const line = callerLine(stage.address);
  line.send(requestText('first').replace('HTTP/1.1', 'HTTP/1.0'));
  await eventually(() => open.length === 1);
  open[0]!.socket.write(`${answerHead(open[0]!, 'Transfer-Encoding: chunked')}3\r\nabc\r\n`);
  await eventually(() => line.received().includes('abc'));
  open[0]!.socket.destroy();
  await line.over();
  expect(line.error()).toBe('ECONNRESET');
});

test('a caller that leaves while its request waits for its turn is not waited for', async () => {
  const clock = new HandClock();
  const { open, script } = held();
  const stage = await openScripted({ scripts: [script], clock, route: once });
  const line = callerLine(stage.address);
  line.send(requestText('first') + requestText('second', 'body'));
  await eventually(() => open.length === 1);
  await eventually(() => stage.forwarder.open === 2);
  line.socket.resetAndDestroy();
  await eventually(() => stage.forwarder.open === 0);
  expect(stage.engines[0]!.ids).toEqual(['first']);
});
