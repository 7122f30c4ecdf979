/** The list of engines by pages: read whole or not at all, within the rate, and written as the product's own list. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { fetchInstances } from '../../platform/instances.js';
import { parseList } from '../../src/pool/engine.js';

let server: Server | undefined;
afterEach(() => server?.closeAllConnections() ?? server?.close());

const platform = async (
  act: (token: string, response: ServerResponse, request: IncomingMessage) => void,
): Promise<string> => {
  server = createServer((request, response) =>
    act(
      new URL(request.url!, 'http://platform').searchParams.get('page_token') ?? '',
      response,
      request,
    ),
  );
  await new Promise<void>((resolve) => server!.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};
const send = (response: ServerResponse, value: unknown, status = 200, fields = {}): void =>
  void response
    .writeHead(status, { 'content-type': 'application/json', ...fields })
    .end(JSON.stringify(value));
const entry = (name: string, over: object = {}): object => ({
  identifier: name,
  service: 's',
  address: '10.0.0.1:80',
  zone: 'z',
  version: 'v',
  slots: 8,
  state: 'ready',
  cold_remaining_ms: 0,
  stage: 'both',
  models: [{ name: 'm', version: 3, adapters: ['a'] }],
  ...over,
});
const LIMIT = 20_000;

test('all pages make one list', async () => {
  const pages = new Map([
    ['', ['a', 'b']],
    ['second/=', ['c']],
    ['third', []],
  ]);
  const next = new Map([
    ['', 'second/='],
    ['second/=', 'third'],
    ['third', null],
  ]);
  const address = await platform((token, response, request) => {
    expect(request.url).toMatch(/^\/instances(\?|$)/);
    send(response, {
      instances: pages.get(token)!.map((name) => entry(name)),
      next_page_token: next.get(token),
    });
  });
  const { text, wait } = (await fetchInstances(address)(LIMIT)).unsafeCoerce();
  expect(wait).toBe(0);
  const engines = parseList(text, 'p').unsafeCoerce();
  expect(engines.map(({ identifier }) => identifier)).toEqual(['a', 'b', 'c']);
  expect(engines[0]).toMatchObject({
    service: 's',
    slots: 8,
    cold: 0,
    zone: 'z',
    model: 'm',
    weightGeneration: '3',
    leaving: false,
    cacheCapacity: 0,
    prefillRate: 0,
  });
  expect([...engines[0]!.adapters]).toEqual(['a']);
});

test('one that drains is leaving; fields may be missing or new', async () => {
  const address = await platform((_, response) =>
    send(response, {
      instances: [
        entry('a', { state: 'draining', cold_remaining_ms: 120 }),
        {
          identifier: 'b',
          service: 's',
          address: '10.0.0.2:80',
          zone: 'z',
          state: 'ready',
          more: 1,
        },
      ],
      next_page_token: null,
    }),
  );
  const [a, b] = parseList(
    (await fetchInstances(address)(LIMIT)).unsafeCoerce().text,
    'p',
  ).unsafeCoerce();
  expect(a).toMatchObject({ leaving: true, cold: 120 });
  expect(b).toMatchObject({ leaving: false, model: '' });
});

test('over the rate, on any page, nothing is taken and the wait is told', async () => {
  const address = await platform((token, response) =>
    token
      ? send(response, {}, 429, { 'retry-after': '0.5' })
      : send(response, { instances: [entry('a')], next_page_token: 'more' }),
  );
  expect((await fetchInstances(address)(LIMIT)).unsafeCoerce()).toEqual({ text: '', wait: 500 });
});

test('what is not a page is a fault, never a shorter list', async () => {
  const answers: Array<(response: ServerResponse) => void> = [
    (response) => send(response, {}, 500),
    (response) => send(response, { engines: [] }),
    (response) => void response.end('{"instances":['),
    (response) => response.destroy(),
  ];
  for (const answer of answers) {
    const address = await platform((token, response) =>
      token
        ? answer(response)
        : send(response, { instances: [entry('a')], next_page_token: 'more' }),
    );
    expect((await fetchInstances(address)(LIMIT)).isLeft()).toBe(true);
    server!.closeAllConnections();
  }
});
