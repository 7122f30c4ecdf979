/**
 * What a change of the configuration costs each node: a fleet of real processes at rest, then under changes in a steady
 * rhythm, and the processor time of each node in both, as the kernel tells it. Counts of frames and bytes are held by
 * test/checker/change-cost.test.ts.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { loadavg, tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import type { Argv, CommandModule } from 'yargs';
import { operate } from '../client/operate.js';
import type { Schemas } from '../api/schema.js';
import { Fleet, operatorKey } from './fleet.js';
import { configurationOf, patchOf } from './slopes/items.js';
import { usageOf } from './slopes/usage.js';

const FIRM = 'sahel';
const WAIT = 5000;
/** A fleet is at rest this long after its configuration came into force. */
const SETTLE = 3000;

/** What to measure. */
export interface ChangeCostAsk {
  readonly cores: number;
  readonly routers: number;
  readonly routes: number;
  readonly changes: number;
  /** The ms from one change to the next. */
  readonly gap: number;
  /** Where each node writes its processor profile, if anywhere. */
  readonly profiles?: string;
}

/** Milliseconds of processor time of a node: in a second of rest, and for one change on top of that. */
export interface NodeCost {
  readonly node: string;
  readonly rest: number;
  readonly change: number;
}

/** The deployment that is modelled: routers serve on when their lease lapses, and ids are not claimed. */
const MODEL = {
  lease: { lapse: 'serve', duration: 1500, renew: 500, patience: 500 },
  claims: { enabled: false },
  feed: { wait: 500 },
  core: { keep: 2, replaceAfter: 30_000 },
};

const rounded = (value: number): number => Math.round(value * 100) / 100;

const times = (fleet: Fleet): Map<string, number> =>
  new Map([...fleet.peers.keys()].map((node) => [node, usageOf(fleet.pid(node)).processor * 1000]));

const expectAccepted = (told: Schemas['RoutesChangedReply'] | undefined): void => {
  if (told?.outcome !== 'accepted') throw new Error(`not accepted: ${JSON.stringify(told)}`);
};

const changeOnce = async (fleet: Fleet, version: number, routes: number): Promise<void> => {
  const cores = [...fleet.operators.keys()].filter((name) => name.startsWith('core'));
  const node = fleet.operators.get(cores[version % cores.length]!)!;
  const patch = patchOf(version % routes, version);
  const told = await operate({ node, key: operatorKey(FIRM) }, 'routes.patch', {
    patch: { ...patch },
    expects: version - 1,
    wait: WAIT,
  });
  expectAccepted(told.toMaybe().extract());
};

const configureFirst = async (fleet: Fleet, routes: number): Promise<void> => {
  const configuration = configurationOf(routes, 1);
  const target = { node: fleet.operators.get('core-1')!, key: operatorKey(FIRM) };
  const told = await operate(target, 'routes.put', {
    configuration: { ...configuration },
    expects: 0,
    wait: WAIT,
  });
  expectAccepted(told.toMaybe().extract());
};

const costsOf = (
  before: ReadonlyMap<string, number>,
  middle: ReadonlyMap<string, number>,
  after: ReadonlyMap<string, number>,
  span: number,
  changes: number,
): NodeCost[] =>
  [...before].map(([node, began]) => {
    const rest = (middle.get(node)! - began) / span;
    const busy = after.get(node)! - middle.get(node)!;
    return {
      node,
      rest: rounded(rest * 1000),
      change: rounded((busy - rest * span) / changes),
    };
  });

/** Measures a fleet of the size asked for; the time at rest is as long as the changes take. */
export const measureChangeCost = async (ask: ChangeCostAsk): Promise<NodeCost[]> => {
  const folder = mkdtempSync(join(tmpdir(), 'rudderridge-cost-'));
  const profiling = ask.profiles ? ['--cpu-prof', `--cpu-prof-dir=${ask.profiles}`] : [];
  const fleet = new Fleet({
    folder,
    cores: ask.cores,
    routers: ask.routers,
    engines: 0,
    zones: ['zone-1', 'zone-2', 'zone-3'],
    firms: [FIRM],
    params: MODEL,
    nodeFlags: profiling,
  });
  try {
    await fleet.start();
    const cores = [...fleet.operators.keys()].filter((name) => name.startsWith('core'));
    await fleet.ready(cores, 60_000);
    await configureFirst(fleet, ask.routes);
    await pause(SETTLE);
    const span = ask.changes * ask.gap;
    const before = times(fleet);
    await pause(span);
    const middle = times(fleet);
    const began = performance.now();
    for (let at = 1; at <= ask.changes; at++) {
      await changeOnce(fleet, at + 1, ask.routes);
      await pause(Math.max(0, began + at * ask.gap - performance.now()));
    }
    const after = times(fleet);
    if (ask.profiles) await fleet.retire();
    return costsOf(before, middle, after, span, ask.changes);
  } finally {
    await fleet.stop();
    rmSync(folder, { recursive: true, force: true });
  }
};

const report = (ask: ChangeCostAsk, costs: readonly NodeCost[]): void => {
  const mean = (kind: string, of: (cost: NodeCost) => number): number => {
    const values = costs.filter(({ node }) => node.startsWith(kind)).map(of);
    return rounded(values.reduce((sum, value) => sum + value, 0) / values.length);
  };
  process.stdout.write(
    `${JSON.stringify({
      ...ask,
      coreChangeMs: mean('core', ({ change }) => change),
      routerChangeMs: mean('router', ({ change }) => change),
      coreRestMsPerSecond: mean('core', ({ rest }) => rest),
      routerRestMsPerSecond: mean('router', ({ rest }) => rest),
      load: loadavg().map(rounded),
    })}\n`,
  );
};

/** The command `change-cost`. */
export const changeCost: CommandModule = {
  command: 'change-cost',
  describe: 'Measures the processor time that a change of the configuration costs each node',
  builder: (y: Argv) =>
    y
      .option('cores', { type: 'number', default: 5 })
      .option('routers', { type: 'number', default: 6 })
      .option('routes', { type: 'string', default: '45,500,1400', describe: 'Counts of routes' })
      .option('changes', { type: 'number', default: 150 })
      .option('gap', { type: 'number', default: 120, describe: 'Milliseconds between changes' })
      .option('profiles', { type: 'string', describe: 'A folder for the profile of each node' }),
  handler: async (argv) => {
    for (const routes of String(argv['routes']).split(',').map(Number)) {
      const ask: ChangeCostAsk = {
        cores: argv['cores'] as number,
        routers: argv['routers'] as number,
        routes,
        changes: argv['changes'] as number,
        gap: argv['gap'] as number,
        ...(argv['profiles'] !== undefined && { profiles: argv['profiles'] as string }),
      };
      report(ask, await measureChangeCost(ask));
    }
  },
};
