/**
 * A router's forwarding with stand-in engines and callers around it, over real sockets in one process. The placer takes
 * the first engine that may serve, so that each test knows which one is asked; everything is judged at the end.
 */
import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { afterEach, expect } from 'vitest';
import type { ForwardEvent } from '../../src/forward/chart.js';
import type { Forwarder } from '../../src/forward/forwarder.js';
import type { HttpLinks } from '../../src/forward/link.js';
import type { RequestEnds } from '../../src/forward/request-ends.js';
import { SystemClock } from '../../src/kernel/clock/clock.js';
import { parseAddress } from '../../src/kernel/net/net.js';
import type { Journal } from '../../src/kernel/journal/journal.js';
import { SeededRandom } from '../../src/kernel/random/random.js';
import type { TicketEnd } from '../../src/place/placer.js';
import type { Engine } from '../../src/pool/engine.js';
import type { Limits, Route } from '../../src/route/shape.js';
import { AnswerReader } from '../../src/stand/opaque/answer.js';
import { OpaqueCaller, type Asking } from '../../src/stand/opaque/caller.js';
import { OpaqueEngine, type OpaqueEngineParams } from '../../src/stand/opaque/engine.js';
import { judgeOpaque, type OpaqueFinding } from '../../src/stand/opaque/judge.js';
import type { Asked, Try } from '../../src/stand/opaque/record.js';
import { listedEngine, makeProxy } from './proxy.js';

export const clock = new SystemClock();
export const prompt = [
  ['X-Model', 'm'],
  ['X-Token-Counts', '100,24'],
  ['X-Prompt-Parts', 'aa:60,bb:40'],
] as const;

export interface Stage {
  readonly front: string;
  readonly forwarder: Forwarder;
  readonly engines: readonly OpaqueEngine[];
  readonly listed: Map<string, Engine>;
  /** How the tickets of each engine ended, in order. */
  readonly ends: ReadonlyArray<readonly [string, TicketEnd]>;
  /** How the requests ended. */
  readonly requestEnds: RequestEnds;
  readonly links: HttpLinks;
  readonly caller: OpaqueCaller;
  readonly journal: Journal<ForwardEvent>;
  /** Asks once (further tries as told), and gives the first try. */
  ask(over?: Partial<Asking>): Promise<Try>;
  asked(over?: Partial<Asking>): Promise<Asked>;
  judged(): OpaqueFinding[];
  /** The names under which engines ran requests, in order of arrival. */
  ran(): string[];
}

interface Plan {
  readonly engines?: number;
  readonly engine?: Partial<OpaqueEngineParams>;
  readonly route?: Partial<Route>;
  readonly limits?: Limits;
  readonly ratio?: number;
}

const servers: Server[] = [];
const started: OpaqueEngine[] = [];
afterEach(async () => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
  await Promise.all(started.splice(0).map((engine) => engine.close()));
});

export const until = async (what: string, question: () => boolean): Promise<void> => {
  for (let turn = 0; turn < 2000; turn++) {
    if (question()) return;
    await clock.sleep(5);
  }
  throw new Error(`it never came to: ${what}`);
};

export const openStage = async ({
  engines: count = 2,
  engine = {},
  route: over = {},
  limits,
  ratio = 100,
}: Plan = {}): Promise<Stage> => {
  const engines = Array.from(
    { length: count },
    (_, at) => new OpaqueEngine({ identifier: `engine-${at + 1}`, service: 's', ...engine }, clock),
  );
  started.push(...engines);
  const listed = new Map<string, Engine>();
  for (const each of engines) {
    const { identifier } = each.params;
    listed.set(identifier, listedEngine(identifier, await each.listen()));
  }
  const { forwarder, requestEnds, links, journal, route, configuration, ends } = makeProxy({
    listed,
    route: over,
    ...(limits ? { limits } : {}),
    ratio,
    clock,
  });
  const random = new SeededRandom(1);
  const server = createServer((request, response) => forwarder.handle(request, response));
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const front = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const caller = new OpaqueCaller(clock, random);
  const { kind, resume = false } = route;
  const asked = (more: Partial<Asking> = {}): Promise<Asked> =>
    caller.ask(
      {
        name: 'n',
        host: 'h.example',
        target: '/a/b?c=d',
        method: 'POST',
        body: Buffer.from('body'),
        repeatable: kind === 'idempotent' || resume,
        resume,
        deadline: 20_000,
        silence: 20_000,
        furtherTries: 0,
        ...(kind === 'streaming' ? { fields: prompt } : {}),
        ...more,
      },
      () => front,
    );
  return {
    front,
    forwarder,
    engines,
    listed,
    ends,
    requestEnds,
    links,
    caller,
    journal,
    asked,
    ask: async (more) => (await asked(more)).tries[0]!,
    judged: () =>
      judgeOpaque({
        asked: caller.asked,
        arrivals: engines.flatMap(({ arrivals }) => arrivals),
        configurations: [{ configuration, sentAt: 0, acceptedAt: 0, refused: false }],
        leaving: new Map(),
        bounds: { drain: 3000, apply: 2000, ratio, window: 10_000, slack: 0 },
      }),
    ran: () =>
      engines
        .flatMap(({ requests }) => requests)
        .filter(({ ran }) => ran > 0)
        .sort((a, b) => a.at - b.at || a.engine.localeCompare(b.engine))
        .map(({ engine: name }) => name),
  };
};

/** Each request that was taken ended once, in a way that may be. */
export const expectNoViolation = (ends: RequestEnds): void => {
  ends.sweep();
  expect([...ends.violations.counts].filter(([, count]) => count > 0)).toEqual([]);
  expect(ends.openCount).toBe(0);
};

/** Nothing was judged a breach, no step was out of order, and nothing is left open. */
export const expectClean = async (stage: Stage): Promise<void> => {
  await until('no request under way', () => stage.forwarder.open === 0);
  expect(stage.judged()).toEqual([]);
  expectNoViolation(stage.requestEnds);
  expect(stage.journal.tail().filter(({ event }) => event.kind === 'fault')).toEqual([]);
  expect(stage.engines.map(({ overlaps }) => overlaps)).toEqual(stage.engines.map(() => 0));
};

/** Sends bytes as they are on one connection, and reads until it closes or so many answers are whole. */
export const raw = (
  front: string,
  pieces: ReadonlyArray<string | Buffer>,
  answers = 1,
): Promise<AnswerReader> =>
  new Promise((resolve) => {
    const { host, port } = parseAddress(front);
    const reader = new AnswerReader('POST');
    const socket = connect({ host, port }, () => {
      for (const piece of pieces) socket.write(piece);
    });
    const over = (): void => {
      socket.destroy();
      resolve(reader);
    };
    socket.on('data', (chunk: Buffer) => {
      reader.push(chunk);
      if (reader.answers.filter(({ complete }) => complete).length >= answers) over();
    });
    socket.once('error', over);
    socket.once('close', over);
  });
