/**
 * Guards against a header that is taken in part: requests with over a thousand fields ran without the body whose length, or
 * coding, stood behind them. Every server hands on all fields, or refuses the whole request.
 */
import 'reflect-metadata';
import { readdirSync, readFileSync } from 'node:fs';
import { connect } from 'node:net';
import { join } from 'node:path';
import { Body, Controller, Headers, Post } from '@nestjs/common';
import { afterEach, describe, expect, test } from 'vitest';
import { makeApplication, openFace } from '../../src/faces/common/face.js';
import { OnDemandFace } from '../../src/faces/common/on-demand-face.js';
import { PlainFace } from '../../src/faces/common/plain-face.js';
import { parseAddress } from '../../src/kernel/net/net.js';
import { callerLine, openScripted, requestText, sized } from '../forward/scripted.js';

const LIMIT = 16_384;
const COUNTS = [10, 900, 999, 1000, 1001, 1100, 2500];
const BODY = 'a draft for wagon 7';

const fieldsOf = (count: number): string[] =>
  Array.from({ length: count }, (_, at) => `x-${at}: 1`);
const codings: ReadonlyArray<readonly [string, string]> = [
  [`Content-Length: ${BODY.length}`, BODY],
  ['Transfer-Encoding: chunked', `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`],
];

/** A request whose last fields are those given. */
const requestWith = (id: string, count: number, last: readonly string[], body: string): string =>
  [
    'POST /a/ HTTP/1.1',
    'Host: h.example',
    `X-Request-Id: ${id}`,
    ...fieldsOf(count),
    ...last,
    '',
    body,
  ].join('\r\n');

const closing: Array<() => Promise<unknown>> = [];
afterEach(async () => {
  for (const close of closing.splice(0)) await close();
});

describe('requests of callers', () => {
  test('every field reaches the engine, and the body whose length or coding comes last', async () => {
    const { address, engines } = await openScripted({
      scripts: [(exchange) => void exchange.socket.write(sized(exchange))],
      route: { kind: 'non_idempotent' },
      limits: { headerBytes: 3 * LIMIT },
    });
    const line = callerLine(address);
    let asked = 0;
    for (const count of COUNTS)
      for (const [coding, body] of codings) {
        line.send(requestWith(`r-${asked}`, count, ['X-Deadline-Ms: 5000', coding], body));
        await line.answered(++asked);
        const { head, body: ran } = engines[0]!.exchanges[asked - 1]!;
        const told = `${count} fields, ${coding}`;
        expect(line.reader.answers[asked - 1]!.status, told).toBe(200);
        expect(ran.toString(), told).toBe(BODY);
        expect(head.match(/^x-\d+: 1$/gm)?.length, told).toBe(count);
        expect(Number(/^x-deadline-ms: (\d+)$/im.exec(head)![1]), told).toBeLessThanOrEqual(5000);
      }
  });

  test.each([
    ['over the limit in force', { headerBytes: LIMIT }, 3000],
    ['over what the server reads where no limit is in force', {}, 20_000],
  ])('a header %s is refused, and nothing of it runs', async (_, limits, count) => {
    const { address, engines } = await openScripted({
      scripts: [(exchange) => void exchange.socket.write(sized(exchange))],
      route: { kind: 'non_idempotent' },
      limits,
    });
    for (const [coding, body] of codings) {
      const line = callerLine(address);
      line.send(requestWith('r', count, [coding], body));
      await line.answered(1);
      expect(line.reader.answers[0]!.status).toBe(431);
    }
    expect(engines[0]!.exchanges).toEqual([]);
  });
});

test('where the limits in force allow more than the server reads by itself, it reads that much', async () => {
  const stage = await openScripted({
    scripts: [(exchange) => void exchange.socket.write(sized(exchange))],
    route: { kind: 'non_idempotent' },
  });
  const ask = async (): Promise<number> => {
    const line = callerLine(stage.address);
    line.send(requestWith('r', 20_000, [codings[0]![0]], BODY));
    await line.answered(1);
    return line.reader.answers[0]!.status;
  };
  expect(await ask()).toBe(431);
  stage.limits = { headerBytes: 20 * LIMIT };
  expect(await ask()).toBe(200);
  expect(stage.engines[0]!.exchanges[0]!.body.toString()).toBe(BODY);
});

describe('answers of engines', () => {
  test('every field reaches the caller', async () => {
    const { address } = await openScripted({
      scripts: [
        ({ id, engine, socket }) =>
          void socket.write(
            [
              'HTTP/1.1 200 OK',
              ...fieldsOf(2500),
              `X-Request-Id: ${id}`,
              `X-Answer-Seal: ${engine}/${id}`,
              'Content-Length: 4',
              '',
              'done',
            ].join('\r\n'),
          ),
      ],
      route: { kind: 'non_idempotent' },
    });
    const line = callerLine(address);
    line.send(requestText('r', BODY));
    await line.answered(1);
    const text = line.received().toString();
    expect(text.match(/^x-\d+: 1\r$/gm)?.length).toBe(2500);
    expect(line.reader.answers[0]).toMatchObject({ status: 200, complete: true });
    expect(text.endsWith('\r\n\r\ndone')).toBe(true);
  });

  test('a header over what is read of engines is no answer: the caller is told that it may have run', async () => {
    const { address, engines } = await openScripted({
      scripts: [
        (exchange) =>
          void exchange.socket.write(
            sized(exchange).replace(
              'X-Request-Id',
              `${fieldsOf(20_000).join('\r\n')}\r\nX-Request-Id`,
            ),
          ),
      ],
      route: { kind: 'non_idempotent' },
    });
    const line = callerLine(address);
    line.send(requestText('r', BODY));
    await line.answered(1);
    expect(line.reader.answers[0]!.status).toBe(502);
    expect(engines[0]!.exchanges).toHaveLength(1);
  });
});

@Controller()
class EchoController {
  @Post('a')
  echo(@Headers('if-match') match: string | undefined, @Body() body: { text: string }): unknown {
    return { match, text: body.text };
  }
}

/** Opens a face that tells what it read; its address. */
const faces: ReadonlyArray<readonly [string, () => Promise<string>]> = [
  [
    'a face of its own',
    async (): Promise<string> => {
      const port = 20_000 + ((process.pid * 7) % 20_000);
      const app = await openFace(`127.0.0.1:${port}`, LIMIT, [EchoController], new Map());
      closing.push(() => app.unsafeCoerce().close());
      return `127.0.0.1:${port}`;
    },
  ],
  [
    'an application made on demand',
    async (): Promise<string> => {
      const face = new OnDemandFace(new Map(), () =>
        makeApplication(LIMIT, [EchoController], new Map()),
      );
      (await face.listen('127.0.0.1:0')).unsafeCoerce();
      closing.push(() => face.close());
      return face.address;
    },
  ],
];

/** Sends bytes, and gives all that comes back by the end of the connection. */
const exchange = (address: string, text: string): Promise<string> =>
  new Promise((resolve) => {
    const socket = connect(parseAddress(address));
    let received = '';
    socket.on('data', (chunk: Buffer) => (received += chunk.toString()));
    socket.on('error', () => undefined);
    socket.once('close', () => resolve(received));
    socket.write(text);
  });

const order = JSON.stringify({ text: BODY });
const orderFields = (match: string): string[] => [
  'Connection: close',
  'Content-Type: application/json',
  `If-Match: ${match}`,
  `Content-Length: ${order.length}`,
];
const orderText = (count: number): string =>
  requestWith('r', count, orderFields('7'), order).replace('/a/', '/a');

describe.each(faces)('orders of operators, at %s', (_, open) => {
  test('fields behind the first thousand count, such as If-Match and the length', async () => {
    const address = await open();
    for (const count of [10, 1000, 1500]) {
      const answer = await exchange(address, orderText(count));
      expect(answer, `${count} fields`).toMatch(/^HTTP\/1.1 201 /);
      expect(answer, `${count} fields`).toContain(JSON.stringify({ match: '7', text: BODY }));
    }
  });

  test('a header that is too large is refused whole', async () => {
    expect(await exchange(await open(), orderText(5000))).toMatch(/^HTTP\/1.1 431 /);
  });
});

test('the plain face refuses a header that is too large', async () => {
  const face = new PlainFace(new Map());
  (await face.listen('127.0.0.1:0')).unsafeCoerce();
  closing.push(() => face.close());
  expect(await exchange(face.address, orderText(5000))).toMatch(/^HTTP\/1.1 431 /);
});

test('no other place of the sources makes an HTTP server by itself', () => {
  const files = ['src', 'platform'].flatMap((folder) =>
    readdirSync(folder, { withFileTypes: true, recursive: true })
      .filter((entry) => entry.isFile() && entry.name.endsWith('.ts'))
      .map((entry) => join(entry.parentPath, entry.name)),
  );
  const makes = /import \{[^}]*\bcreateServer\b[^}]*\} from 'node:https?'/;
  expect(files.filter((file) => makes.test(readFileSync(file, 'utf8')))).toEqual([
    join('src', 'kernel', 'net', 'http-server.ts'),
  ]);
});
