/** What callers send reaches the engine as it was sent and what engines answer comes back so; nothing can be smuggled. */
import { expect, test } from 'vitest';
import { digestOfRequest } from '../../src/stand/opaque/record.js';
import { expectClean, openStage, raw, until } from './stage.js';

const once = { kind: 'non_idempotent' } as const;
const bytes = Buffer.from(Array.from({ length: 70_000 }, (_, at) => (at * 7 + (at >> 8)) % 256));

for (const method of ['GET', 'POST', 'PUT', 'DELETE', 'PATCH', 'OPTIONS', 'PROPFIND', 'REPORT']) {
  test(`${method} with its path, query and body, with a length or in chunks`, async () => {
    const stage = await openStage({ engines: 1, route: once });
    const target = '/a/b%2Fc/../d;e=f//g?x=1&y=%20%c3%a9&z=a+b&&=[]';
    const bodies =
      method === 'GET' || method === 'OPTIONS'
        ? [Buffer.alloc(0)]
        : [Buffer.alloc(0), Buffer.from('x'), bytes];
    for (const body of bodies)
      for (const chunked of [0, 1000])
        expect(
          await stage.ask({ method, target, body, chunked: chunked && body.length ? chunked : 0 }),
        ).toMatchObject({ status: 200, complete: true });
    expect(stage.engines[0]!.requests.map(({ digest }) => digest)).toEqual(
      bodies.flatMap((body) => [0, 1].map(() => digestOfRequest(method, target, body))),
    );
    await expectClean(stage);
  });
}

test('HEAD gets the head of an answer and no body', async () => {
  const stage = await openStage({ engines: 1, route: once });
  expect(await stage.ask({ method: 'HEAD', body: Buffer.alloc(0) })).toMatchObject({
    status: 200,
    complete: true,
    body: '',
  });
});

test('fields are handed on as they came, save those of one connection and our own', async () => {
  const stage = await openStage({ engines: 1, route: once });
  const told = await stage.ask({
    fields: [
      ['X-One', 'a'],
      ['x-one', 'b, c'],
      ['X-Empty', ''],
      ['X-Latin', 'caf\u00e9'],
      ['Cookie', 'k=v; l=w'],
      ['Authorization', 'Bearer t'],
      ['Accept-Encoding', 'identity'],
      ['X-Urgency', '9'],
      ['X-Expect-Engine', 'spoofed'],
      ['Keep-Alive', 'timeout=3'],
      ['Proxy-Connection', 'keep-alive'],
      ['TE', 'trailers'],
      ['Connection', 'x-listed'],
      ['X-Listed', 'hop'],
      ['Upgrade', 'other/1'],
    ],
  });
  expect(told.status).toBe(200);
  const { fields } = stage.engines[0]!.requests[0]!;
  const pairs = Array.from(
    { length: fields.length / 2 },
    (_, at) => [fields[2 * at]!, fields[2 * at + 1]!] as const,
  );
  const valuesOf = (name: string): string[] =>
    pairs.filter(([each]) => each.toLowerCase() === name).map(([, value]) => value);
  expect(pairs.filter(([name]) => /^x-(one|empty|latin)$/i.test(name))).toEqual([
    ['X-One', 'a'],
    ['x-one', 'b, c'],
    ['X-Empty', ''],
    ['X-Latin', 'caf\u00e9'],
  ]);
  expect([
    valuesOf('cookie'),
    valuesOf('authorization'),
    valuesOf('accept-encoding'),
    valuesOf('host'),
    valuesOf('x-request-id'),
  ]).toEqual([['k=v; l=w'], ['Bearer t'], ['identity'], ['h.example'], [told.id]]);
  expect([valuesOf('x-urgency'), valuesOf('x-expect-engine')]).toEqual([['3'], ['engine-1']]);
  for (const name of [
    'keep-alive',
    'proxy-connection',
    'te',
    'x-listed',
    'upgrade',
    'transfer-encoding',
  ])
    expect([name, valuesOf(name)]).toEqual([name, []]);
  expect(valuesOf('connection').filter((value) => /x-listed/i.test(value))).toEqual([]);
  const [deadline] = valuesOf('x-deadline-ms').map(Number);
  expect(valuesOf('x-deadline-ms')).toHaveLength(1);
  expect(deadline).toBeGreaterThan(0);
  expect(deadline).toBeLessThanOrEqual(20_000);
  await expectClean(stage);
});

test('a large answer comes back whole, in chunks or with its length', async () => {
  const stage = await openStage({ engines: 1, route: once });
  for (const size of [0, 1, 60_000, 70_000, 3_000_000]) {
    const told = await stage.ask({ target: `/a/?bytes=${size}` });
    expect([size, told.complete, told.body.length >= size]).toEqual([size, true, true]);
  }
  await expectClean(stage);
});

const head = (...lines: string[]): string =>
  `${['POST /a/x HTTP/1.1', 'Host: h.example', 'X-Request-Id: one', 'X-Deadline-Ms: 3000', ...lines].join('\r\n')}\r\n\r\n`;
const smuggled =
  'POST /a/smuggled HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: two\r\nContent-Length: 0\r\n\r\n';

/** Each carries a second request that must not run, or can't be told where it ends. */
const attempts: ReadonlyArray<readonly [string, string]> = [
  [
    'a length and chunks',
    `${head('Content-Length: 5', 'Transfer-Encoding: chunked')}0\r\n\r\n${smuggled}`,
  ],
  [
    'chunks and a length',
    `${head('Transfer-Encoding: chunked', `Content-Length: ${5 + smuggled.length}`)}0\r\n\r\n${smuggled}`,
  ],
  ['two lengths', `${head('Content-Length: 0', `Content-Length: ${smuggled.length}`)}${smuggled}`],
  ['two lengths in one field', `${head(`Content-Length: 0, ${smuggled.length}`)}${smuggled}`],
  ['a length that is no number', `${head('Content-Length: +0')}${smuggled}`],
  ['a coding that is not chunked', `${head('Transfer-Encoding: xchunked')}${smuggled}`],
  ['chunked and not last', `${head('Transfer-Encoding: chunked, identity')}0\r\n\r\n${smuggled}`],
  [
    'two codings',
    `${head('Transfer-Encoding: identity', 'Transfer-Encoding: chunked')}0\r\n\r\n${smuggled}`,
  ],
  ['a space before the colon', `${head('Transfer-Encoding : chunked')}0\r\n\r\n${smuggled}`],
  [
    'a folded field',
    `${head('X-Fold: a\r\n Transfer-Encoding: chunked', 'Content-Length: 0')}${smuggled}`,
  ],
  ['a tab that folds', `${head('Transfer-Encoding:\r\n\tchunked')}0\r\n\r\n${smuggled}`],
  ['a chunk size that is none', `${head('Transfer-Encoding: chunked')}zz\r\n0\r\n\r\n${smuggled}`],
  ['a negative chunk size', `${head('Transfer-Encoding: chunked')}-1\r\n0\r\n\r\n${smuggled}`],
  [
    'a chunk size with a prefix',
    `${head('Transfer-Encoding: chunked')}0x3\r\nabc\r\n0\r\n\r\n${smuggled}`,
  ],
  [
    'a chunk size too large',
    `${head('Transfer-Encoding: chunked')}ffffffffffffffff1\r\nabc\r\n0\r\n\r\n${smuggled}`,
  ],
  [
    'a chunk longer than told',
    `${head('Transfer-Encoding: chunked')}3\r\nabcdef\r\n0\r\n\r\n${smuggled}`,
  ],
  [
    'a bare line feed in a chunk size',
    `${head('Transfer-Encoding: chunked')}3\nabc\r\n0\r\n\r\n${smuggled}`,
  ],
  [
    'a bare return in a field',
    `${head('X-Bare: a\rTransfer-Encoding: chunked', 'Content-Length: 0')}${smuggled}`,
  ],
  ['a zero byte in a field', `${head('X-Zero: a\u0000b', 'Content-Length: 0')}${smuggled}`],
];
for (const [name, sent] of attempts) {
  test(`not run, and nothing behind it: ${name}`, async () => {
    const stage = await openStage({ engines: 1, route: once });
    const { answers } = await raw(stage.front, [sent], 2);
    const ids = stage.engines[0]!.requests.map(({ id }) => id);
    expect(ids.includes('two') && answers.length < 2).toBe(false);
    expect(ids.filter((id) => id === 'two')).toEqual([]);
    for (const { status } of answers) expect(status).toBeGreaterThanOrEqual(400);
  });
}

test('two hosts are none', async () => {
  const stage = await openStage({ engines: 1, route: once });
  expect(
    (await raw(stage.front, [head('Host: other.example', 'Content-Length: 0')])).answers[0]!.status,
  ).toBeGreaterThanOrEqual(400);
  expect(stage.engines[0]!.requests).toEqual([]);
});

test('a request without body that is declined leaves its connection open', async () => {
  const stage = await openStage({ engines: 1, route: once });
  const { answers } = await raw(
    stage.front,
    ['GET /none/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: a\r\n\r\n', smuggled],
    2,
  );
  expect(answers.map(({ status }) => status)).toEqual([404, 200]);
});

test('of requests sent ahead during a stop, only the last answer ends the connection', async () => {
  const stage = await openStage({ engines: 1, route: once, limits: { bodyBytes: 1000 } });
  stage.forwarder.close();
  const { answers } = await raw(stage.front, [head('Content-Length: 0'), smuggled], 2);
  expect(answers.map(({ status, fields }) => [status, fields.get('connection')])).toEqual([
    [200, 'keep-alive'],
    [200, 'close'],
  ]);
  expect(stage.engines[0]!.requests.map(({ id }) => id)).toEqual(['one', 'two']);
  await until('no request under way', () => stage.forwarder.open === 0);
});

test('an empty body in chunks stays empty, and what follows is a request of its own', async () => {
  const stage = await openStage({ engines: 1, route: once });
  const { answers } = await raw(
    stage.front,
    [head('Transfer-Encoding: chunked'), '0;ext=1\r\nX-Trailer: t\r\n\r\n', smuggled],
    2,
  );
  expect(answers.map(({ status }) => status)).toEqual([200, 200]);
  expect(stage.engines[0]!.requests.map(({ id, bytes: size }) => [id, size])).toEqual([
    ['one', 0],
    ['two', 0],
  ]);
});

test('requests sent ahead on one connection are answered in their order, each once', async () => {
  const stage = await openStage({ engines: 2, route: once });
  const many = Array.from(
    { length: 8 },
    (_, at) =>
      `POST /a/${at}?bytes=${3000 - at * 300} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: p${at}\r\nContent-Length: 2\r\n\r\n${at}${at}`,
  );
  const { answers, malformed } = await raw(stage.front, [many.join('')], 8);
  expect(malformed).toBe('');
  expect(answers.map(({ fields }) => fields.get('x-request-id'))).toEqual(
    many.map((_, at) => `p${at}`),
  );
  for (const { status, body, fields } of answers) {
    const own = stage.engines
      .flatMap(({ requests }) => requests)
      .filter(({ id }) => id === fields.get('x-request-id'));
    expect([status, own.length, own[0]!.made.join('')]).toEqual([200, 1, body.toString('latin1')]);
  }
  expect(stage.engines.map(({ overlaps }) => overlaps)).toEqual([0, 0]);
});

test('a request that is not whole runs nowhere', async () => {
  const stage = await openStage({ engines: 1, route: once });
  const { host, port } = {
    host: stage.front.split(':')[0]!,
    port: Number(stage.front.split(':')[1]),
  };
  const { connect } = await import('node:net');
  for (const sent of [
    `${head('Content-Length: 10')}short`,
    `${head('Transfer-Encoding: chunked')}5\r\nshort\r\n`,
  ]) {
    await new Promise<void>((resolve) => {
      const socket = connect({ host, port }, () => socket.end(sent));
      socket.once('close', () => resolve());
      socket.resume();
    });
  }
  await expectClean(stage);
  expect(stage.engines[0]!.requests).toEqual([]);
});

test('bodies and fields over the bounds are declined and run nowhere', async () => {
  const stage = await openStage({
    engines: 1,
    route: once,
    limits: { bodyBytes: 1000, headerBytes: 2000 },
  });
  expect(await stage.ask({ body: Buffer.alloc(1000) })).toMatchObject({ status: 200 });
  expect(await stage.ask({ body: Buffer.alloc(1001) })).toMatchObject({
    status: 413,
    complete: true,
  });
  expect(await stage.ask({ body: Buffer.alloc(1001), chunked: 100 })).toMatchObject({
    status: 413,
    complete: true,
  });
  expect(await stage.ask({ fields: [['X-Large', 'x'.repeat(1000)]] })).toMatchObject({
    status: 200,
  });
  expect(await stage.ask({ fields: [['X-Large', 'x'.repeat(2001)]] })).toMatchObject({
    status: 431,
    complete: true,
  });
  expect(stage.engines[0]!.requests).toHaveLength(2);
  await expectClean(stage);
});

test('a body that tells it is over the bound is declined before it is sent', async () => {
  const stage = await openStage({ engines: 1, route: once, limits: { bodyBytes: 1000 } });
  expect((await raw(stage.front, [head('Content-Length: 1001')])).answers[0]!.status).toBe(413);
});

test('without route, without id: declined and run nowhere', async () => {
  const stage = await openStage({ engines: 1, route: once });
  expect(await stage.ask({ target: '/b/' })).toMatchObject({ status: 404, complete: true });
  expect(await stage.ask({ target: '/a' })).toMatchObject({ status: 404 });
  expect(await stage.ask({ host: 'g.example' })).toMatchObject({ status: 404 });
  expect(await stage.ask({ host: 'H.Example:8080' })).toMatchObject({ status: 200 });
  expect(
    (await raw(stage.front, ['GET /a/ HTTP/1.1\r\nHost: h.example\r\n\r\n'])).answers[0]!.status,
  ).toBe(400);
  expect(
    (
      await raw(stage.front, [
        'GET /a/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: a\r\nX-Request-Id: b\r\n\r\n',
      ])
    ).answers[0]!.status,
  ).toBe(400);
  expect(stage.engines[0]!.requests).toHaveLength(1);
});
