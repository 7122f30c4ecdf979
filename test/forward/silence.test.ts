/**
 * A link whose engine says nothing, and what an answer tells of its engine's silence: on the test's own time, with real
 * sockets. What a stream does about it is in silent-stream.test.ts.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import type { Answer } from '../../src/forward/answer.js';
import { HttpLinks } from '../../src/forward/link.js';
import type { Outcome } from '../../src/kernel/fault/fault.js';
import type { Engine } from '../../src/pool/engine.js';
import { eventually, HandClock, turns } from './clock.js';

const opened: Server[] = [];
afterEach(() => {
  for (const server of opened.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

const stage = async (): Promise<{
  clock: HandClock;
  links: HttpLinks;
  engine: Engine;
  taken: Map<string, ServerResponse>;
}> => {
  const taken = new Map<string, ServerResponse>();
  const server = createServer(
    (request: IncomingMessage, response) => void taken.set(request.url!, response),
  );
  opened.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const clock = new HandClock();
  const engine: Engine = {
    identifier: 'e',
    address,
    model: 'm',
    adapters: new Set(),
    weightGeneration: '1',
    zone: 'z',
    labels: new Map(),
    cacheCapacity: 1,
    prefillRate: 1,
    leaving: false,
  };
  return { clock, links: new HttpLinks(clock, 5000, 5000), engine, taken };
};

const LIMIT = 1000;

const get = (links: HttpLinks, engine: Engine, target: string): Promise<Outcome<Answer>> =>
  links.send(
    engine,
    { method: 'GET', target, fields: [['host', 'h']], body: undefined },
    LIMIT,
    new AbortController().signal,
  );

test('an engine that says nothing is waited for up to the limit, and may have run the request', async () => {
  const { clock, links, engine, taken } = await stage();
  let ended: Outcome<Answer> | undefined;
  void get(links, engine, '/late').then((outcome) => (ended = outcome));
  await eventually(() => taken.has('/late'));
  clock.advance(LIMIT - 1);
  await turns();
  expect(ended).toBeUndefined();
  clock.advance(2);
  await eventually(() => ended !== undefined);
  expect(ended!.extract()).toMatchObject({ certainty: 'unknown' });
});

test('an answer tells when its engine last spoke, on any link', async () => {
  const { clock, links, engine, taken } = await stage();
  const talking = get(links, engine, '/talk');
  await eventually(() => taken.has('/talk'));
  taken.get('/talk')!.writeHead(200).write('.');
  const talk = (await talking).unsafeCoerce();
  expect((await talk.next(LIMIT)).isRight()).toBe(true);
  clock.advance(70);
  const silent = get(links, engine, '/silent');
  await eventually(() => taken.has('/silent'));
  taken.get('/silent')!.writeHead(200).write('.');
  expect((await silent).unsafeCoerce().heardAt).toBe(clock.now());
  expect(talk.heardAt).toBe(clock.now());
});
