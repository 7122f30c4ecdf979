/**
 * What control does with bodies that are too large, cut off, slow, of another type, very deep or full of huge numbers:
 * each gets an end, none reaches the product as something else than what was sent, and the face goes on afterwards.
 */
import 'reflect-metadata';
import { connect, type Socket } from 'node:net';
import { afterAll, beforeAll, beforeEach, expect, test } from 'vitest';
import { BODY_BOUND, ControlController, WAIT } from '../../platform/control.js';
import type { ConfigurationCalls, ConfigureReply } from '../../src/api/configuration.js';
import { openFace } from '../../src/faces/common/face.js';
import { failed } from '../../src/kernel/fault/fault.js';
import { names } from '../../src/node/names.js';
import { readConfiguration, readPatch } from '../../src/route/check.js';

const BODY_TIMEOUT = 150;

let taken: unknown[] = [];

const judged = (read: ReturnType<typeof readConfiguration>): Promise<ConfigureReply> =>
  Promise.resolve(
    read.caseOf<ConfigureReply>({
      Left: ({ reason }) => ({ outcome: 'invalid', version: 0, reason }),
      Right: ({ value }) => {
        taken.push(value);
        return { outcome: 'accepted', version: value.version, reason: '' };
      },
    }),
  );

const calls: ConfigurationCalls = {
  replace: (configuration) => judged(readConfiguration(configuration)),
  patch: (patch) => judged(readPatch(patch) as unknown as ReturnType<typeof readConfiguration>),
  read: () => Promise.resolve(failed('read', 'core', 'not asked here')),
};

let port = 0;
let close = (): Promise<void> => Promise.resolve();
beforeAll(async () => {
  const services = new Map<string, unknown>([
    [names.configurator, calls],
    [WAIT, 4000],
  ]);
  const app = (
    await openFace('127.0.0.1:0', BODY_BOUND, [ControlController], services, BODY_TIMEOUT)
  ).unsafeCoerce();
  port = Number(new URL(await app.getUrl()).port);
  close = () => app.close();
});
afterAll(() => close());
beforeEach(() => {
  taken = [];
});

const items = {
  routes: [
    {
      name: 'r',
      hostname: 'h',
      path_prefix: '/r/',
      route_kind: 'streaming',
      timeout_ms: 1000,
      service: 's',
    },
  ],
  services: [{ name: 's' }],
};
const sound = JSON.stringify({ version: 9, ...items });
const soundPatch = JSON.stringify({ version: 9, set_items: items });

const head = (...fields: readonly string[]): string =>
  ['PUT /-/configuration HTTP/1.1', 'Host: control', 'If-Match: 7', ...fields, '', ''].join('\r\n');
const JSON_TYPE = 'Content-Type: application/json';
const lengthOf = (body: string): string => `Content-Length: ${Buffer.byteLength(body)}`;

interface Exchange {
  readonly socket: Socket;
  /** The status line's code once there is an answer; undefined when the connection ends without one. */
  readonly status: Promise<number | undefined>;
  readonly ended: Promise<void>;
}

const open = (): Exchange => {
  const socket = connect(port, '127.0.0.1');
  const ended = new Promise<void>((resolve) => socket.once('close', () => resolve()));
  socket.on('error', () => undefined);
  const status = new Promise<number | undefined>((resolve) => {
    let text = '';
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      const code = /^HTTP\/1\.1 (\d{3}) /.exec(text)?.[1];
      if (code !== undefined) resolve(Number(code));
    });
    void ended.then(() => resolve(undefined));
  });
  return { socket, status, ended };
};

const send = async (method: string, body: string, type = 'application/json'): Promise<number> => {
  const answer = await fetch(`http://127.0.0.1:${port}/-/configuration`, {
    method,
    body,
    headers: { 'content-type': type, 'if-match': '7' },
  });
  await answer.arrayBuffer();
  return answer.status;
};

const expectWorking = async (): Promise<void> => {
  taken = [];
  expect(await send('PUT', sound)).toBe(200);
  expect(taken).toHaveLength(1);
};

test('a body that says that it is too large is refused before it comes', async () => {
  const { socket, status } = open();
  socket.write(head(JSON_TYPE, `Content-Length: ${BODY_BOUND + 1}`));
  expect(await status).toBe(413);
  socket.destroy();
  expect(taken).toEqual([]);
  await expectWorking();
});

test('a body without a length is refused as soon as it has become too large', async () => {
  const { socket, status } = open();
  socket.write(head(JSON_TYPE, 'Transfer-Encoding: chunked'));
  const chunk = Buffer.alloc(1 << 20, ' ');
  let over = false;
  void status.then(() => (over = true));
  for (let sent = 0; sent <= BODY_BOUND && !over; sent += chunk.length)
    socket.write(Buffer.concat([Buffer.from('100000\r\n'), chunk, Buffer.from('\r\n')]));
  expect(await status).toBe(413);
  socket.destroy();
  expect(taken).toEqual([]);
  await expectWorking();
});

test('a body that is cut off never reaches the product, wherever the cut is', async () => {
  for (const framing of ['length', 'chunks'] as const)
    for (let cut = 0; cut < sound.length; cut += 7) {
      const { socket, ended } = open();
      const part = sound.slice(0, cut);
      if (framing === 'length') socket.end(head(JSON_TYPE, lengthOf(sound)) + part);
      else
        socket.end(
          `${head(JSON_TYPE, 'Transfer-Encoding: chunked')}${cut ? `${cut.toString(16)}\r\n${part}\r\n` : ''}`,
        );
      await ended;
    }
  expect(taken).toEqual([]);
  await expectWorking();
});

test('a whole body whose last chunk is missing never reaches the product', async () => {
  const { socket, ended } = open();
  const size = sound.length.toString(16);
  socket.end(`${head(JSON_TYPE, 'Transfer-Encoding: chunked')}${size}\r\n${sound}\r\n`);
  await ended;
  expect(taken).toEqual([]);
});

test('a connection that is reset within a body does no harm', async () => {
  const { socket, ended } = open();
  socket.write(head(JSON_TYPE, lengthOf(sound)) + sound.slice(0, 40));
  await new Promise((resolve) => setImmediate(resolve));
  socket.resetAndDestroy();
  await ended;
  expect(taken).toEqual([]);
  await expectWorking();
});

test('a body that never comes to its end is answered 408 in bounded time', async () => {
  const { socket, status, ended } = open();
  socket.write(head(JSON_TYPE, lengthOf(sound)) + sound.slice(0, 40));
  expect(await status).toBe(408);
  await ended;
  expect(taken).toEqual([]);
  await expectWorking();
});

test('a body that trickles on is answered 408 too', async () => {
  const { socket, status } = open();
  socket.write(head(JSON_TYPE, lengthOf(sound)));
  let at = 0;
  const trickle = setInterval(() => socket.writable && socket.write(sound[at++ % 40]!), 20);
  expect(await status).toBe(408);
  clearInterval(trickle);
  socket.destroy();
  expect(taken).toEqual([]);
});

test('a head that never comes to its end is ended too', async () => {
  const { socket, ended } = open();
  socket.write('PUT /-/configuration HTTP/1.1\r\nHost: control\r\n');
  await ended;
  await expectWorking();
});

test('a body of another type, or of none, is refused', async () => {
  for (const type of [
    'text/plain',
    'application/octet-stream',
    'application/x-www-form-urlencoded',
  ])
    expect([400, 415]).toContain(await send('PUT', sound, type));
  const { socket, status } = open();
  socket.write(head(lengthOf(sound)) + sound);
  expect([400, 415]).toContain(await status);
  socket.destroy();
  expect(taken).toEqual([]);
  expect(await send('PUT', sound, 'application/json; charset=utf-8')).toBe(200);
  expect(taken).toHaveLength(1);
});

test('what is no configuration is refused, however deep, odd or huge', async () => {
  const nested = (opening: string, closing: string, depth: number): string =>
    opening.repeat(depth) + closing.repeat(depth);
  const bodiesOf = (whole: string): string[] => [
    '',
    'null',
    '7',
    '"text"',
    '[]',
    '{}',
    '\u0000',
    whole.slice(0, -1),
    `${whole}${whole}`,
    nested('[', ']', 1_000_000),
    whole.replace('"version":9', `"version":9,"more":${nested('[', ']', 100_000)}`),
    whole.replace('[{"name":"s"}]', nested('[', ']', 100_000)),
    whole.replace('"version":9', '"version":1e400'),
    whole.replace('"version":9', '"version":9007199254740993'),
    whole.replace('"version":9', '"version":-9'),
    whole.replace('"version":9', '"version":9.5'),
    whole.replace('"version":9', '"version":"9"'),
    whole.replace('"timeout_ms":1000', '"timeout_ms":1e400'),
    whole.replace('"timeout_ms":1000', '"timeout_ms":-1e308'),
    whole.replace('"name":"r"', '"__proto__":{"name":"r"}'),
  ];
  for (const [method, whole] of [
    ['PUT', sound],
    ['PATCH', soundPatch],
  ] as const)
    for (const body of bodiesOf(whole)) {
      const status = await send(method, body);
      expect(`${method} ${body.slice(0, 100)}: ${status}`).toMatch(/: 4\d\d$/);
    }
  expect(taken).toEqual([]);
  await expectWorking();
});
