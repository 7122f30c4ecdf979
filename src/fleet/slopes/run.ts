/** Which sweeps a run has, and in which order and how many at once they are taken. */
import { Child } from './child.js';
import type { CountAsk } from './counts.js';
import { loopbackPoint } from './loopback.js';
import { drawPlot } from './plot.js';
import { keepPoints } from './file.js';
import { eventPoints, indexPoints, requestPoints, streamPoints } from './routing.js';
import type { Point } from './shape.js';

/** Which sweeps to take, at which sizes. */
export interface RunAsk {
  readonly parts: readonly string[];
  readonly sizes: readonly number[];
  readonly cores: readonly number[];
  readonly engines: readonly number[];
  readonly items: readonly number[];
  readonly prefixes: readonly number[];
  /** Virtual seconds that are counted. */
  readonly seconds: number;
  readonly atOnce: number;
  readonly seed: number;
  readonly over: object;
  readonly out: string;
}

type Part = (ask: RunAsk, keep: (points: readonly Point[]) => void) => Promise<void>;

/** Each point in a process of its own, some at once. */
const counted = async (
  asks: readonly CountAsk[],
  atOnce: number,
  keep: (points: readonly Point[]) => void,
): Promise<void> => {
  const waiting = [...asks];
  await Promise.all(
    Array.from({ length: atOnce }, async () => {
      for (let ask = waiting.shift(); ask; ask = waiting.shift()) {
        const child = await Child.start<Point>('count', ask);
        keep([child.ready]);
        await child.end();
      }
    }),
  );
};

const countSizes: Part = ({ cores, sizes, seconds, seed, over, atOnce }, keep) =>
  counted(
    cores.flatMap((count) =>
      sizes.map((at) => ({
        sweep: `routers, ${count} cores`,
        at,
        plan: { cores: count, routers: at, engines: 50, items: 0, seed, over },
        seconds,
        trials: true,
      })),
    ),
    atOnce,
    keep,
  );

const countEngines: Part = ({ engines, seconds, seed, over, atOnce }, keep) =>
  counted(
    engines.map((at) => ({
      sweep: 'engines',
      at,
      plan: { cores: 3, routers: 20, engines: at, items: 0, seed, over },
      seconds,
      trials: false,
    })),
    atOnce,
    keep,
  );

const countItems: Part = ({ items, seconds, seed, over, atOnce }, keep) =>
  counted(
    items.map((at) => ({
      sweep: 'items',
      at,
      plan: { cores: 3, routers: 10, engines: 50, items: at, seed, over },
      seconds,
      trials: false,
    })),
    atOnce,
    keep,
  );

/** One size after the other, since each takes several processors. */
const processes: Part = async ({ cores, sizes, seconds, over }, keep) => {
  for (const count of cores)
    for (const at of sizes)
      keep([
        await loopbackPoint({
          sweep: `processor, ${count} cores`,
          at,
          cores: count,
          routers: at,
          engines: 50,
          over,
          seconds,
        }),
      ]);
};

/** The sweeps, by name. */
export const parts: ReadonlyMap<string, Part> = new Map<string, Part>([
  ['routers', countSizes],
  ['engines', countEngines],
  ['items', countItems],
  ['processor', processes],
  ['index', async ({ prefixes }, keep) => keep(await indexPoints(prefixes))],
  ['requests', async (_, keep) => keep(await requestPoints())],
  ['events', async (_, keep) => keep(await eventPoints())],
  ['streams', async (_, keep) => keep(await streamPoints())],
]);

/** Takes the sweeps asked for and writes their points. */
export const runSlopes = async (ask: RunAsk): Promise<void> => {
  const wanted = ask.parts.includes('all') ? [...parts.keys()] : ask.parts;
  for (const name of wanted) {
    const part = parts.get(name);
    if (!part)
      throw new Error(`there is no part ${name}; there are ${[...parts.keys()].join(', ')}`);
    await part(ask, (points) => {
      for (const { sweep, at, figures } of points)
        process.stdout.write(`${sweep} ${at}: ${JSON.stringify(figures)}\n`);
      drawPlot(keepPoints(ask.out, points), ask.out.replace(/\.json$/, '.svg'));
    });
  }
};
