/**
 * One control plane of real processes on loopback TCP: core nodes, a few routers as they run in earnest, and hollow ones
 * many in a process. Measured are processor time, memory and start-up; counts of frames are taken on the simulator.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { loadavg, tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { Fleet, freePorts } from '../fleet.js';
import { Child } from './child.js';
import type { Report } from './role.js';
import type { HollowTold } from './hollow.js';
import { spreadOf } from './numbers.js';
import { listedEngine, ZONES } from './plane.js';
import type { Point } from './shape.js';
import { usageOf, type ProcessUsage } from './usage.js';

/** One point of a sweep with real processes. */
export interface LoopbackAsk {
  readonly sweep: string;
  readonly at: number;
  readonly cores: number;
  readonly routers: number;
  readonly engines: number;
  readonly over: object;
  readonly seconds: number;
}

const REAL = 3;
const A_PROCESS = 50;
const SETTLE = 8000;

const rounded = (value: number): number => Number(value.toPrecision(4));
const median = (values: readonly number[]): number => spreadOf(values).median;

const hollowParams = (fleet: Fleet, ports: readonly number[], over: object): object[] =>
  ports.map((port, at) => ({
    fleet: 'local',
    name: `hollow-${at}`,
    zone: `zone-${at % ZONES}`,
    listen: { callers: '127.0.0.1:1', operators: '127.0.0.1:1', peers: `127.0.0.1:${port}` },
    seeds: [...fleet.peers]
      .filter(([name]) => name.startsWith('core'))
      .map(([, address]) => address),
    platform: { url: `http://${fleet.platform}/engines` },
    law: { routers: 10_000 },
    ...over,
  }));

/** Takes one point of a sweep with real processes. */
export const loopbackPoint = async ({
  sweep,
  at,
  cores,
  routers,
  engines,
  over,
  seconds,
}: LoopbackAsk): Promise<Point> => {
  const folder = mkdtempSync(join(tmpdir(), 'rudderridge-slopes-'));
  const fleet = new Fleet({
    folder,
    cores,
    routers: REAL,
    engines: 0,
    zones: Array.from({ length: ZONES }, (_, zone) => `zone-${zone}`),
    firms: [],
    lag: 0,
    perSecond: 1000,
    params: { law: { routers: 10_000 }, ...over },
  });
  const hollows: Child<number>[] = [];
  try {
    const begun = performance.now();
    await fleet.start();
    for (let engine = 0; engine < engines; engine++) await fleet.list(listedEngine(engine));
    const realNames = [...fleet.callers.keys()];
    await fleet.ready(realNames, 60_000);
    const readyAfter = performance.now() - begun;
    const ports = await freePorts(routers - REAL);
    const params = hollowParams(fleet, ports, over);
    const coreAddresses = [...fleet.peers]
      .filter(([name]) => name.startsWith('core'))
      .map(([, address]) => address);
    for (let from = 0; from < params.length; from += A_PROCESS)
      hollows.push(
        await Child.start<number>('hollow', {
          params: params.slice(from, from + A_PROCESS),
          cores: coreAddresses,
        }),
      );
    const reports = (): Promise<Report<HollowTold>[]> =>
      Promise.all(hollows.map((child) => child.ask<HollowTold>()));
    await fleet.until(
      'all hollow routers to stand',
      async () =>
        (await reports()).reduce((sum, { told }) => sum + told.steady, 0) === params.length,
      120_000,
    );
    await pause(SETTLE);
    const names = [
      ...[...fleet.peers.keys()].filter((name) => name.startsWith('core')),
      ...realNames,
    ];
    const look = (): Map<string, ProcessUsage> =>
      new Map(names.map((name) => [name, usageOf(fleet.pid(name))]));
    const before = { processes: look(), hollows: await reports(), at: performance.now() };
    await pause(seconds * 1000);
    const after = { processes: look(), hollows: await reports(), at: performance.now() };
    const span = (after.at - before.at) / 1000;
    const millis = (name: string): number =>
      ((after.processes.get(name)!.processor - before.processes.get(name)!.processor) * 1000) /
      span;
    const hollowMillis = after.hollows.map(
      ({ usage }, place) =>
        ((usage.processor - before.hollows[place]!.usage.processor) * 1000) /
        span /
        Math.min(A_PROCESS, params.length - place * A_PROCESS),
    );
    const coreNames = names.filter((name) => name.startsWith('core'));
    const memory = (some: readonly string[], field: keyof ProcessUsage): number =>
      median(some.map((name) => after.processes.get(name)![field]));
    const figures = {
      realMillisPerSecond: rounded(median(realNames.map(millis))),
      coreMillisPerSecond: rounded(median(coreNames.map(millis))),
      coreMillisPerSecondMost: rounded(Math.max(...coreNames.map(millis))),
      hollowMillisPerSecond: rounded(median(hollowMillis)),
      realRss: memory(realNames, 'rss'),
      realOwn: memory(realNames, 'own'),
      realPeak: memory(realNames, 'peak'),
      coreRss: memory(coreNames, 'rss'),
      coreOwn: memory(coreNames, 'own'),
      corePeak: memory(coreNames, 'peak'),
      hollowHeapEach: rounded(
        median(
          after.hollows.map(
            ({ usage }, place) =>
              usage.heap / Math.min(A_PROCESS, params.length - place * A_PROCESS),
          ),
        ),
      ),
      readyAfterMs: rounded(readyAfter),
    };
    return {
      sweep,
      at,
      plan: { cores, routers, engines, items: 0, seed: 0 },
      seconds: rounded(span),
      roles: {},
      figures,
      load: loadavg().map(rounded),
    };
  } finally {
    for (const child of hollows) await child.end();
    await fleet.stop();
    rmSync(folder, { recursive: true, force: true });
  }
};
