/** The face that takes opaque requests: the limits in force on headers and idle time, and the order of a planned stop. */
import { connect } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { SystemClock } from '../../src/kernel/clock/clock.js';
import { RequestsFace } from '../../src/faces/requests/face.js';
import { parseAddress } from '../../src/kernel/net/net.js';
import type { Limits, Route } from '../../src/route/shape.js';
import { AnswerReader } from '../../src/stand/opaque/answer.js';
import { openStage, prompt, until, type Stage } from './stage.js';

const faces: RequestsFace[] = [];
afterEach(async () => void (await Promise.all(faces.splice(0).map((face) => face.close()))));

let ports = 20_000 + (process.pid % 20_000);

const open = async (
  limits: Limits,
  route: Partial<Route> = { kind: 'non_idempotent' },
  engine: { stepBase?: number } = {},
): Promise<{ stage: Stage; face: RequestsFace; address: string }> => {
  const stage = await openStage({ engines: 1, engine, route, limits });
  for (;;) {
    const address = `127.0.0.1:${++ports}`;
    const face = new RequestsFace(stage.forwarder, () => limits, new SystemClock());
    if ((await face.listen(address)).isLeft()) continue;
    faces.push(face);
    return { stage, face, address };
  }
};

interface Line {
  readonly reader: AnswerReader;
  readonly closed: () => boolean;
  send(text: string): void;
}

const line = (address: string): Line => {
  const { host, port } = parseAddress(address);
  const reader = new AnswerReader('POST');
  const socket = connect({ host, port });
  let closed = false;
  socket.on('data', (chunk: Buffer) => reader.push(chunk));
  socket.once('error', () => undefined);
  socket.once('close', () => (closed = true));
  return { reader, closed: () => closed, send: (text) => void socket.write(text) };
};
const request = (id: string, more = ''): string =>
  `POST /a/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ${id}\r\n${more || 'Content-Length: 0\r\n\r\n'}`;

test('an idle connection is closed, and its callers are told when', async () => {
  const { address, stage } = await open({ idleTimeout: 1000 });
  const kept = line(address);
  kept.send(request('a'));
  await until('its answer', () => kept.reader.answers[0]?.complete === true);
  expect(kept.reader.answers[0]).toMatchObject({ status: 200 });
  expect(kept.reader.answers[0]!.fields.get('keep-alive')).toBe('timeout=1');
  await until('it is closed', kept.closed);
  expect(stage.engines[0]!.requests).toHaveLength(1);
});

test('a header that does not come to its end is given up', async () => {
  const { address, stage } = await open({ headerTimeout: 500 });
  const slow = line(address);
  slow.send('POST /a/ HTTP/1.1\r\nHost: h.example\r\nX-Requ');
  await until('it is closed', slow.closed);
  expect(slow.reader.answers.map(({ status }) => status)).toEqual([408]);
  expect(Number(slow.reader.answers[0]!.fields.get('retry-after'))).toBeGreaterThan(0);
  expect(stage.engines[0]!.requests).toEqual([]);
});

test("a body that does not come to its end is given up with the request's time, and told as not run", async () => {
  const { address, stage } = await open({});
  for (const framing of [
    'Content-Length: 10\r\n\r\nabc',
    'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n',
  ]) {
    const slow = line(address);
    slow.send(request('a', `X-Deadline-Ms: 300\r\n${framing}`));
    await until('it is closed', slow.closed);
    expect(slow.reader.answers.map(({ status, complete }) => [status, complete])).toEqual([
      [408, true],
    ]);
  }
  expect(stage.engines[0]!.requests).toEqual([]);
  await until('no request under way', () => stage.forwarder.open === 0);
});

test('on a planned stop what is open is answered and closed, and nothing new is taken in', async () => {
  const { address, stage, face } = await open({});
  const idle = line(address);
  idle.send(request('a'));
  await until('its answer', () => idle.reader.answers[0]?.complete === true);
  face.retire();
  idle.send(request('b'));
  await until('it is closed', idle.closed);
  expect(
    idle.reader.answers.map(({ status, fields }) => [status, fields.get('connection')]),
  ).toEqual([
    [200, 'keep-alive'],
    [200, 'close'],
  ]);
  face.halt();
  const late = line(address);
  late.send(request('c'));
  await until('it is closed', late.closed);
  expect(late.reader.answers).toEqual([]);
  expect(stage.engines[0]!.requests).toHaveLength(2);
});

test('a request that follows, on its connection, an answer begun before the planned stop is answered too', async () => {
  const { address, stage, face } = await open({}, { kind: 'streaming' }, { stepBase: 20 });
  const kept = line(address);
  const streamed = `${prompt.map(([name, value]) => `${name}: ${value}`).join('\r\n')}\r\nContent-Length: 0\r\n\r\n`;
  kept.send(request('a', streamed));
  await until('its head', () => kept.reader.answers[0]?.status === 200);
  face.retire();
  kept.send(request('b', streamed));
  await until('it is closed', kept.closed);
  expect(
    kept.reader.answers.map(({ status, complete, fields }) => [
      status,
      complete,
      fields.get('connection'),
    ]),
  ).toEqual([
    [200, true, 'keep-alive'],
    [200, true, 'close'],
  ]);
  expect(stage.engines[0]!.requests).toHaveLength(2);
});
