/** The platform's calls on the configuration and its question for readiness, over HTTP on loopback. */
import 'reflect-metadata';
import { Right } from 'purify-ts';
import { afterAll, beforeAll, beforeEach, expect, test } from 'vitest';
import { BODY_BOUND, ControlController, WAIT } from '../../platform/control.js';
import { readinessFace } from '../../platform/readiness.js';
import type { ConfigurationCalls, ConfigureReply } from '../../src/api/configuration.js';
import { openFace } from '../../src/faces/common/face.js';
import { failed } from '../../src/kernel/fault/fault.js';
import { names } from '../../src/node/names.js';

let asked: unknown[] = [];
let reply: () => Promise<ConfigureReply>;
let held: ReturnType<ConfigurationCalls['read']>;
let ready = '';
const calls: ConfigurationCalls = {
  replace: (configuration, expects, wait) => (
    asked.push(['replace', configuration, expects, wait]),
    reply()
  ),
  patch: (patch, expects, wait) => (asked.push(['patch', patch, expects, wait]), reply()),
  read: () => held,
};
const told = (outcome: ConfigureReply['outcome']) => () =>
  Promise.resolve({ outcome, version: 3, reason: 'because' });

let url = '';
let close = (): Promise<void> => Promise.resolve();
beforeAll(async () => {
  const services = new Map<string, unknown>([
    [names.configurator, calls],
    [WAIT, 4000],
    [names.status, () => ready],
  ]);
  const app = (
    await openFace('127.0.0.1:0', BODY_BOUND, [ControlController], services)
  ).unsafeCoerce();
  url = await app.getUrl();
  close = () => app.close();
});
afterAll(() => close());
beforeEach(() => {
  asked = [];
  reply = told('accepted');
});

const change = (
  method: string,
  body: unknown,
  match: string | null = '7',
  type = 'application/json',
): Promise<Response> =>
  fetch(`${url}/-/configuration`, {
    method,
    body: typeof body === 'string' ? body : JSON.stringify(body),
    headers: { 'content-type': type, ...(match !== null && { 'if-match': match }) },
  });
const whole = {
  version: 9,
  routes: [{ name: 'r', hostname: 'h', path_prefix: '/' }],
  services: [],
};

test('a whole configuration and a patch reach the product in its own words', async () => {
  expect((await change('PUT', whole)).status).toBe(200);
  expect(
    (await change('PATCH', { version: 9, remove_names: { routes: ['r'] } }, '"7"')).status,
  ).toBe(200);
  expect(asked).toEqual([
    [
      'replace',
      { version: 9, routes: [{ name: 'r', host: 'h', prefix: '/' }], services: [] },
      7,
      4000,
    ],
    ['patch', { version: 9, set: {}, remove: { routes: ['r'] } }, 7, 4000],
  ]);
});

test('each outcome has its status; what may still come to be is never told as refused', async () => {
  for (const [outcome, status] of [
    ['accepted', 200],
    ['conflict', 412],
    ['invalid', 400],
    ['unknown', 503],
  ] as const) {
    reply = told(outcome);
    const answer = await change('PUT', whole);
    expect(answer.status).toBe(status);
    expect(await answer.json()).toMatchObject({ version: 3 });
    expect(answer.headers.has('retry-after')).toBe(status === 503);
  }
  reply = () => Promise.reject(new Error('broke'));
  expect((await change('PUT', whole)).status).toBe(503);
});

test('a call that can not be read reaches nobody', async () => {
  expect((await change('PUT', '{"version":9,"routes":[')).status).toBe(400);
  expect((await change('PATCH', '')).status).toBe(400);
  expect((await change('PUT', whole, null)).status).toBe(400);
  expect((await change('PUT', whole, 'seven')).status).toBe(400);
  expect((await change('PUT', `"${'x'.repeat(BODY_BOUND)}"`)).status).toBe(413);
  expect(asked).toEqual([]);
});

test('the configuration is read back in the words it came in, and a read that fails says so', async () => {
  held = Promise.resolve(Right({ version: 9, routes: [], services: [], extra: { note: 1 } }));
  const answer = await fetch(`${url}/-/configuration`);
  expect([answer.status, await answer.json()]).toEqual([
    200,
    { version: 9, routes: [], services: [], note: 1 },
  ]);
  held = Promise.resolve(Right(undefined));
  expect((await fetch(`${url}/-/configuration`)).status).toBe(404);
  held = Promise.resolve(failed('read', 'core', 'no majority'));
  expect((await fetch(`${url}/-/configuration`)).status).toBe(503);
});

test('readiness follows the node', async () => {
  const face = (await readinessFace(() => ready).listen('127.0.0.1:0')).unsafeCoerce();
  const ask = (path: string, method = 'GET'): Promise<Response> =>
    fetch(`http://${face.address}${path}`, { method });
  ready = '';
  expect((await ask('/-/ready')).status).toBe(200);
  expect((await ask('/-/ready?from=entry')).status).toBe(200);
  expect((await ask('/-/ready', 'HEAD')).status).toBe(200);
  ready = 'stopping';
  const stopping = await ask('/-/ready');
  expect([stopping.status, await stopping.text()]).toEqual([503, 'stopping']);
  expect((await ask('/-/other')).status).toBe(404);
  expect((await ask('/-/ready', 'POST')).status).toBe(404);
  await face.close();
});
