/** The face for requests on loopback: the limits in force, and the order of a planned stop. */
import {
  Agent,
  request as httpRequest,
  type ClientRequest,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import { createServer, type AddressInfo } from 'node:net';
import { Worker } from 'node:worker_threads';
import { expect, test } from 'vitest';
import { SystemClock } from '../../src/kernel/clock/clock.js';
import { RequestsFace } from '../../src/faces/requests/face.js';
import type { Limits } from '../../src/route/shape.js';

const freePort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });

interface Open {
  readonly face: RequestsFace;
  readonly port: number;
  /** Requests handed on, with what answers them. */
  readonly taken: Array<{ request: IncomingMessage; response: ServerResponse }>;
  limits: Limits;
}

const open = async (): Promise<Open> => {
  const taken: Open['taken'] = [];
  const port = await freePort();
  const made = { taken, port, limits: {} as Limits };
  const face = new RequestsFace(
    {
      open: 0,
      drain: () => Promise.resolve(0),
      handle: (request, response) => void taken.push({ request, response }),
    },
    () => made.limits,
    new SystemClock(),
  );
  expect((await face.listen(`127.0.0.1:${port}`)).isRight()).toBe(true);
  return Object.assign(made, { face });
};

const until = async (question: () => boolean): Promise<void> => {
  while (!question()) await new Promise((resolve) => setImmediate(resolve));
};

const send = (
  port: number,
  agent: Agent,
): { asked: ClientRequest; answer: Promise<IncomingMessage> } => {
  const asked = httpRequest({ host: '127.0.0.1', port, agent, method: 'POST', path: '/a/b?c' });
  const answer = new Promise<IncomingMessage>((resolve, reject) =>
    asked.once('response', (message) => resolve(message.resume())).once('error', reject),
  );
  asked.end('body');
  return { asked, answer };
};

test('callers are told how long they may stay idle, by the limits in force at the time', async () => {
  const { face, port, taken } = await open().then((opened) =>
    Object.assign(opened, { limits: { idleTimeout: 7000 } }),
  );
  const agent = new Agent({ keepAlive: true });
  const { answer } = send(port, agent);
  await until(() => taken.length === 1);
  expect([taken[0]!.request.method, taken[0]!.request.url]).toEqual(['POST', '/a/b?c']);
  taken[0]!.response.writeHead(200).end('x');
  expect((await answer).headers).toMatchObject({
    connection: 'keep-alive',
    'keep-alive': 'timeout=7',
  });
  agent.destroy();
  await face.close();
});

test('on a planned stop new requests are still taken at first, answers end their connections, then nothing new comes in', async () => {
  const { face, port, taken } = await open();
  const agent = new Agent({ keepAlive: true });
  const early = send(port, agent);
  await until(() => taken.length === 1);
  face.retire();
  const late = send(port, agent);
  await until(() => taken.length === 2);
  face.halt();
  await expect(send(port, new Agent()).answer).rejects.toMatchObject({ code: 'ECONNREFUSED' });
  for (const { response } of taken) response.writeHead(200).end('whole');
  for (const { answer } of [early, late]) expect((await answer).headers.connection).toBe('close');
  await face.close();
});

test('an answer begun before a planned stop ends its connection too, so that nothing more is read on it', async () => {
  const { face, port, taken } = await open();
  const agent = new Agent({ keepAlive: true });
  const begun = send(port, agent);
  await until(() => taken.length === 1);
  taken[0]!.response.writeHead(200).write('the head and a piece');
  const answer = await begun.answer;
  face.retire();
  face.halt();
  const { socket } = answer;
  const ended = new Promise<void>((resolve) => answer.once('end', () => resolve()));
  taken[0]!.response.end('the rest');
  await ended;
  for (let turn = 0; turn < 50; turn++) await new Promise((resolve) => setImmediate(resolve));
  const next = send(port, agent).answer.then(
    () => 'answered',
    () => 'refused',
  );
  await until(() => taken.length === 2 || socket.destroyed);
  expect(taken.length).toBe(1);
  expect(await next).toBe('refused');
  agent.destroy();
  await face.close();
});

test('errors of the listening socket, as when there are no file descriptors left, end nothing', async () => {
  const { face, port, taken } = await open();
  const server = face['server'];
  for (let count = 0; count < 3; count++) server.emit('error', new Error('accept EMFILE'));
  const { answer } = send(port, new Agent());
  await until(() => taken.length === 1);
  taken[0]!.response.writeHead(200).end('x');
  expect((await answer).statusCode).toBe(200);
  await face.close();
});

/** Opens connections from a thread of its own, each with a whole request, and tells what became of each. */
const OPENER = `
const { connect } = require('node:net');
const { parentPort, workerData: { port, count, shared } } = require('node:worker_threads');
const cells = new Int32Array(shared);
const written = () => {
  Atomics.add(cells, 0, 1);
  Atomics.notify(cells, 0);
};
const open = () => {
  const socket = connect(port, '127.0.0.1', () =>
    socket.write('POST /a HTTP/1.1\\r\\nHost: a\\r\\nContent-Length: 4\\r\\n\\r\\nbody', written));
  socket.once('data', (bytes) => parentPort.postMessage(String(bytes.subarray(0, 12))));
  socket.once('error', ({ code }) => parentPort.postMessage(code));
};
Atomics.wait(cells, 1, 0);
for (let at = 0; at < count; at++) open();
`;

test('connections that waited to be accepted through a standstill are served by a planned stop', async () => {
  const COUNT = 40;
  const { face, port, taken } = await open();
  const shared = new SharedArrayBuffer(8);
  const cells = new Int32Array(shared);
  const opener = new Worker(OPENER, { eval: true, workerData: { port, count: COUNT, shared } });
  const told: string[] = [];
  opener.on('message', (message: string) => told.push(message));
  await new Promise((resolve) => opener.once('online', resolve));
  Atomics.store(cells, 1, 1);
  Atomics.notify(cells, 1);
  // The event loop stands still until every request is written whole.
  for (let seen = 0; seen < COUNT; seen = Atomics.load(cells, 0)) Atomics.wait(cells, 0, seen);
  face.retire();
  await face.acceptWaiting(Infinity);
  face.halt();
  await until(() => taken.length + told.length >= COUNT);
  for (const { response } of taken) response.writeHead(200).end('whole');
  await until(() => told.length === COUNT);
  expect(new Set(told)).toEqual(new Set(['HTTP/1.1 200']));
  await face.close();
  await opener.terminate();
});
