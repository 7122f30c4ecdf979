/** A silent engine is left only while it says nothing to anyone here: on the test's own time, with real sockets. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { HttpLinks, type Answer } from '../../src/forward/link.js';
import type { Clock, Moment } from '../../src/kernel/clock/clock.js';
import type { Outcome } from '../../src/kernel/fault/fault.js';
import type { Engine } from '../../src/pool/engine.js';

class HandClock implements Clock {
  private at = 0;
  private readonly sleepers = new Set<{ until: number; wake: () => void }>();
  now(): Moment {
    return this.at as Moment;
  }
  strict(): Moment {
    return this.at as Moment;
  }
  wall(): number {
    return this.at;
  }
  sleep(duration: number, signal?: AbortSignal): Promise<void> {
    return new Promise((wake) => {
      const sleeper = { until: this.at + duration, wake };
      this.sleepers.add(sleeper);
      signal?.addEventListener('abort', () => {
        this.sleepers.delete(sleeper);
        wake();
      });
    });
  }
  advance(by: number): void {
    this.at += by;
    for (const sleeper of [...this.sleepers].filter(({ until }) => until <= this.at)) {
      this.sleepers.delete(sleeper);
      sleeper.wake();
    }
  }
}

const opened: Server[] = [];
afterEach(() => {
  for (const server of opened.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

const until = async (question: () => boolean): Promise<void> => {
  while (!question()) await new Promise((resolve) => setImmediate(resolve));
};
const turns = async (): Promise<void> => {
  for (let turn = 0; turn < 30; turn++) await new Promise((resolve) => setImmediate(resolve));
};

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

const get = (links: HttpLinks, engine: Engine, target: string): Promise<Outcome<Answer>> =>
  links.send(
    engine,
    { method: 'GET', target, fields: [['host', 'h']], body: undefined },
    { soft: 50, hard: 1000 },
    new AbortController().signal,
  );

test('an engine that speaks to another request is borne with, up to the hard limit', async () => {
  const { clock, links, engine, taken } = await stage();
  const talking = get(links, engine, '/talk');
  await until(() => taken.has('/talk'));
  taken.get('/talk')!.writeHead(200).write('.');
  const talk = (await talking).unsafeCoerce();
  let ended: Outcome<Answer> | undefined;
  void get(links, engine, '/late').then((outcome) => (ended = outcome));
  await until(() => taken.has('/late'));
  expect((await talk.next({ soft: 50, hard: 50 })).isRight()).toBe(true);
  for (let step = 0; step < 24; step++) {
    taken.get('/talk')!.write('.');
    expect((await talk.next({ soft: 50, hard: 50 })).isRight()).toBe(true);
    clock.advance(40);
    await turns();
    expect(ended).toBeUndefined();
  }
  taken.get('/talk')!.write('.');
  await talk.next({ soft: 50, hard: 50 });
  clock.advance(41);
  await until(() => ended !== undefined);
  expect(ended!.isLeft()).toBe(true);
});

test('one that says nothing to anyone is left after the soft limit, and that may have run', async () => {
  const { clock, links, engine, taken } = await stage();
  let ended: Outcome<Answer> | undefined;
  void get(links, engine, '/late').then((outcome) => (ended = outcome));
  await until(() => taken.has('/late'));
  clock.advance(49);
  await turns();
  expect(ended).toBeUndefined();
  clock.advance(2);
  await until(() => ended !== undefined);
  expect(ended!.extract()).toMatchObject({ certainty: 'unknown' });
});
