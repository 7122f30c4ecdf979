/**
 * A face made on demand, over HTTP on loopback: no application without a request that needs one, one for all that come,
 * and the first request answered whole. Its answers on the process itself are those of the application.
 */
import 'reflect-metadata';
import { Body, Controller, Post } from '@nestjs/common';
import { Registry } from 'prom-client';
import { afterEach, expect, test } from 'vitest';
import { makeApplication, openFace } from '../../src/faces/common/face.js';
import { OnDemandFace, type MakeApplication } from '../../src/faces/common/on-demand-face.js';
import { statusAnswers } from '../../src/faces/common/status-answers.js';
import { StatusController } from '../../src/faces/common/status.js';
import { failed } from '../../src/kernel/fault/fault.js';
import { gauge } from '../../src/node/metrics.js';
import { names } from '../../src/node/names.js';

const BODY_BOUND = 1024 * 1024;

@Controller()
class EchoController {
  @Post('echo')
  echo(@Body() body: unknown): unknown {
    return body;
  }
}

let reason = '';
const registry = new Registry();
gauge(registry, 'samples', 'A sample', () => 7);
const services = new Map<string, unknown>([
  [names.status, () => reason],
  [names.metrics, registry],
]);
const controllers = [EchoController, StatusController];
const answers = statusAnswers(() => reason, registry);

const closing: Array<() => Promise<unknown>> = [];
afterEach(async () => {
  reason = '';
  for (const close of closing.splice(0)) await close();
});

/** Opens a face that counts how often its application was made; the first `failures` of them fail. */
const openCounting = async (failures = 0): Promise<{ url: string; made: () => number }> => {
  let count = 0;
  const make: MakeApplication = async () => {
    count += 1;
    return count <= failures
      ? failed('face.make', 'self', 'no memory')
      : makeApplication(BODY_BOUND, controllers, services);
  };
  const face = new OnDemandFace(answers, make);
  (await face.listen('127.0.0.1:0')).unsafeCoerce();
  closing.push(() => face.close());
  return { url: `http://${face.address}`, made: () => count };
};

const post = (url: string, value: unknown): Promise<Response> =>
  fetch(`${url}/echo`, {
    method: 'POST',
    body: JSON.stringify(value),
    headers: { 'content-type': 'application/json' },
  });

const seen = async (response: Response): Promise<unknown[]> => [
  response.status,
  response.headers.get('content-type'),
  await response.text(),
];

test('questions on the process itself make no application, and are answered as the application does', async () => {
  const { url, made } = await openCounting();
  const whole = (await openFace('127.0.0.1:0', BODY_BOUND, controllers, services)).unsafeCoerce();
  closing.push(() => whole.close());
  const applicationUrl = await whole.getUrl();
  for (reason of ['', 'starting'])
    for (const path of ['/live', '/ready', '/metrics', '/ready?verbose'])
      for (const method of ['GET', 'HEAD'])
        expect(await seen(await fetch(url + path, { method }))).toEqual(
          await seen(await fetch(applicationUrl + path, { method })),
        );
  expect(made()).toBe(0);
});

test('the first request is answered whole, and those that come meanwhile by the same application', async () => {
  const { url, made } = await openCounting();
  const values = [1, 2, 3].map((number) => ({ number, text: 'x'.repeat(300_000) }));
  const replies = await Promise.all(values.map((value) => post(url, value)));
  expect(await Promise.all(replies.map((reply) => reply.json()))).toEqual(values);
  expect(replies.map(({ status }) => status)).toEqual([201, 201, 201]);
  expect((await fetch(`${url}/nowhere`)).status).toBe(404);
  expect(made()).toBe(1);
});

test('a body over the bound is refused by the application as ever', async () => {
  const { url } = await openCounting();
  expect((await post(url, 'x'.repeat(BODY_BOUND + 1))).status).toBe(413);
});

test('where the application cannot be made, the request is told so and the next one tries again', async () => {
  const { url, made } = await openCounting(1);
  const refused = await post(url, {});
  expect(refused.status).toBe(500);
  expect(await refused.json()).toEqual({
    outcome: 'declined',
    step: 'face.make',
    peer: 'self',
    reason: 'no memory',
  });
  expect((await post(url, {})).status).toBe(201);
  expect(made()).toBe(2);
});

test('an address in use is a failure of the start', async () => {
  const face = new OnDemandFace(answers, () => makeApplication(BODY_BOUND, [], services));
  (await face.listen('127.0.0.1:0')).unsafeCoerce();
  closing.push(() => face.close());
  const second = new OnDemandFace(answers, () => makeApplication(BODY_BOUND, [], services));
  expect((await second.listen(face.address)).isLeft()).toBe(true);
});

test('closing ends open connections, and the application where there is one', async () => {
  let closed = 0;
  const face = new OnDemandFace(answers, async () =>
    (await makeApplication(BODY_BOUND, controllers, services)).map((application) => ({
      ...application,
      close: (): Promise<unknown> => {
        closed += 1;
        return application.close();
      },
    })),
  );
  (await face.listen('127.0.0.1:0')).unsafeCoerce();
  const url = `http://${face.address}`;
  expect((await post(url, {})).status).toBe(201);
  await face.close();
  expect(closed).toBe(1);
  await expect(fetch(`${url}/live`)).rejects.toThrow();
});
