/** Sweeps of routing work: processor time for each request and event, memory for each open stream, the index's size. */
import { request as ask, Agent, type ClientRequest } from 'node:http';
import { loadavg } from 'node:os';
import { setTimeout as pause } from 'node:timers/promises';
import { Child } from './child.js';
import type { IndexTold } from './prefixes.js';
import type { Point } from './shape.js';

const rounded = (value: number): number => Number(value.toPrecision(5));

const figuresAt = (
  sweep: string,
  at: number,
  seconds: number,
  figures: Record<string, number>,
): Point => ({
  sweep,
  at,
  plan: { cores: 0, routers: 1, engines: 0, items: 0, seed: 0 },
  seconds: rounded(seconds),
  roles: {},
  figures,
  load: loadavg().map(rounded),
});

const PROMPT = {
  'x-model': 'model',
  'x-token-counts': '4200,200',
  'x-prompt-parts': 'system:900,tools:3100,own:200',
};

interface Bench {
  readonly forwarder: Child<number>;
  readonly agent: Agent;
  readonly end: () => Promise<void>;
}

const openBench = async (engines: number): Promise<Bench> => {
  const engine = await Child.start<number>('engine', {});
  const forwarder = await Child.start<number>(
    'forwarder',
    { ports: [engine.ready], engines },
    true,
  );
  const agent = new Agent({ keepAlive: true, maxSockets: Infinity });
  return {
    forwarder,
    agent,
    end: async () => void (agent.destroy(), await forwarder.end(), await engine.end()),
  };
};

let asked = 0;
const send = (bench: Bench, path: string, body: Buffer): ClientRequest =>
  ask({
    host: '127.0.0.1',
    port: bench.forwarder.ready,
    path,
    method: 'POST',
    agent: bench.agent,
    headers: {
      host: 'slopes.example',
      'x-request-id': `slopes-${++asked}`,
      'content-length': body.length,
      ...PROMPT,
    },
  });

const once = (bench: Bench, path: string, body: Buffer): Promise<number> =>
  new Promise((resolve, reject) => {
    const sent = send(bench, path, body);
    sent.on('error', reject);
    sent.on('response', (answer) => answer.resume().on('end', () => resolve(answer.statusCode!)));
    sent.end(body);
  });

const BODY = Buffer.alloc(16_384, 'words ');

/** Requests one after the other on some connections, each answered with a number of events at once. */
const load = async (
  bench: Bench,
  events: number,
  gap: number,
  count: number,
  lines: number,
): Promise<number> => {
  let left = count;
  let good = 0;
  await Promise.all(
    Array.from({ length: lines }, async () => {
      while (left-- > 0) if ((await once(bench, `/${events}/${gap}`, BODY)) === 200) good += 1;
    }),
  );
  return good;
};

/** Measures processor time for each request. */
export const requestPoints = async (): Promise<Point[]> => {
  const points: Point[] = [];
  for (const engines of [8, 50, 200, 770]) {
    const bench = await openBench(engines);
    await load(bench, 1, 0, 1500, 8);
    const before = (await bench.forwarder.ask()).usage;
    const began = performance.now();
    const good = await load(bench, 1, 0, 3000, 8);
    const after = (await bench.forwarder.ask()).usage;
    points.push(
      figuresAt('request by engines', engines, (performance.now() - began) / 1000, {
        requests: good,
        processorMicrosPerRequest: rounded(((after.processor - before.processor) * 1e6) / 3000),
        rss: after.rss,
      }),
    );
    await bench.end();
  }
  return points;
};

/** The gap of a few ms keeps each event a piece of its own, as an engine's steps do. */
export const eventPoints = async (): Promise<Point[]> => {
  const points: Point[] = [];
  for (const events of [1, 25, 50, 100]) {
    const bench = await openBench(8);
    await load(bench, events, 2, 200, 50);
    const before = (await bench.forwarder.ask()).usage;
    const began = performance.now();
    const good = await load(bench, events, 2, 1000, 50);
    const after = (await bench.forwarder.ask()).usage;
    points.push(
      figuresAt('request by events', events, (performance.now() - began) / 1000, {
        requests: good,
        processorMicrosPerRequest: rounded(((after.processor - before.processor) * 1e6) / 1000),
      }),
    );
    await bench.end();
  }
  return points;
};

/** Measures processor time for each event and memory for each open stream. */
export const streamPoints = async (): Promise<Point[]> => {
  const points: Point[] = [];
  const bench = await openBench(8);
  await load(bench, 1, 0, 500, 8);
  const open: ClientRequest[] = [];
  for (const streams of [0, 250, 500, 1000, 2000]) {
    while (open.length < streams) {
      const sent = send(bench, '/1000/30000', BODY);
      sent.on('error', () => undefined);
      sent.end(BODY);
      await new Promise<void>((resolve) =>
        sent.on('response', (answer) => answer.once('data', () => resolve())),
      );
      open.push(sent);
    }
    await pause(500);
    const { usage, told } = await bench.forwarder.ask<{ open: number }>();
    points.push(
      figuresAt('memory by open streams', streams, 0, {
        open: told.open,
        rss: usage.rss,
        heap: usage.heap,
      }),
    );
  }
  for (const sent of open) sent.destroy();
  await bench.end();
  return points;
};

/** Measures the size and the speed of the index. */
export const indexPoints = async (counts: readonly number[]): Promise<Point[]> => {
  const points: Point[] = [];
  const child = await Child.start('index', { engines: 770, services: 24 }, true);
  const empty = (await child.ask<IndexTold>(1)).usage;
  for (const count of counts) {
    const began = performance.now();
    const { usage, told } = await child.ask<IndexTold>(count);
    points.push(
      figuresAt('index by shared prefixes', count, (performance.now() - began) / 1000, {
        heap: usage.heap - empty.heap,
        rss: usage.rss,
        bytesPerPrefix: rounded((usage.heap - empty.heap) / count),
        findMicros: rounded(told.findMicros),
        storeMicros: rounded(told.storeMicros),
        found: told.found,
      }),
    );
  }
  await child.end();
  return points;
};
