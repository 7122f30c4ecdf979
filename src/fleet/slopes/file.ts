/** The file a run leaves: points of each sweep, one a line, with fits and predictions made anew from all of them. */
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { availableParallelism, totalmem } from 'node:os';
import { dirname } from 'node:path';
import { fitOf, predict, quantitiesOf } from './numbers.js';
import type { Fit, Point, Prediction, RunFile } from './shape.js';

/** What each sweep's fit is read at: the size expected within two years. */
export const TARGETS: ReadonlyArray<readonly [string, number]> = [
  ['routers', 410],
  ['processor', 410],
  ['engines', 770],
  ['items', 12_000],
  ['index by shared prefixes', 490_000],
  ['request by engines', 770],
];

/** Left out of all fits, so that it can be foretold. */
export const FORETOLD = 300;

const targetOf = (sweep: string): number | undefined =>
  TARGETS.find(([name]) => sweep === name || sweep.startsWith(`${name},`))?.[1];

const pairsOf = (points: readonly Point[]): Map<string, Array<readonly [number, number]>> => {
  const table = new Map<string, Array<readonly [number, number]>>();
  for (const point of points)
    for (const [quantity, value] of quantitiesOf(point))
      table.set(quantity, [...(table.get(quantity) ?? []), [point.at, value] as const]);
  return table;
};

const bySweep = (points: readonly Point[]): Map<string, Point[]> => {
  const table = new Map<string, Point[]>();
  for (const point of points) table.set(point.sweep, [...(table.get(point.sweep) ?? []), point]);
  return table;
};

/** Fits the points of each sweep. */
export const fitsOf = (points: readonly Point[]): Fit[] =>
  [...bySweep(points)].flatMap(([sweep, all]) => {
    const fitted = all.filter(({ at }) => !/^(routers|processor)/.test(sweep) || at !== FORETOLD);
    if (new Set(fitted.map(({ at }) => at)).size < 3) return [];
    return [...pairsOf(fitted)]
      .filter(([, pairs]) => pairs.length >= 3)
      .map(([quantity, pairs]) => fitOf(sweep, quantity, pairs, targetOf(sweep)));
  });

/** What the fits foretell for sizes that were measured as well. */
export const predictionsOf = (points: readonly Point[]): Prediction[] =>
  [...bySweep(points)]
    .filter(
      ([sweep, all]) => /^(routers|processor)/.test(sweep) && all.some(({ at }) => at === FORETOLD),
    )
    .flatMap(([sweep, all]) =>
      [...pairsOf(all)].flatMap(([quantity, pairs]) => {
        const measured = pairs.find(([x]) => x === FORETOLD);
        return measured && pairs.length >= 4
          ? [predict(`${sweep}: ${quantity}`, pairs, measured)]
          : [];
      }),
    );

const lines = (items: readonly unknown[]): string =>
  items.length ? `[\n${items.map((item) => JSON.stringify(item)).join(',\n')}\n]` : '[]';

/** Reads the points that earlier runs left. */
export const readPoints = (path: string): Point[] =>
  existsSync(path) ? (JSON.parse(readFileSync(path, 'utf8')) as RunFile).points.slice() : [];

/** Puts points in place of older ones of the same sweep and size, and writes the file anew. */
export const keepPoints = (path: string, fresh: readonly Point[]): RunFile => {
  const commit = execFileSync('git', ['describe', '--always', '--dirty'], {
    encoding: 'utf8',
  }).trim();
  const command = `npm run fleet -- ${process.argv.slice(2).join(' ')}`;
  const stamped = fresh.map((point) => ({
    ...point,
    taken: { at: new Date().toISOString(), command, commit },
  }));
  const again = new Set(fresh.map(({ sweep, at }) => `${sweep} ${at}`));
  const points = [
    ...readPoints(path).filter(({ sweep, at }) => !again.has(`${sweep} ${at}`)),
    ...stamped,
  ].sort((a, b) => (a.sweep === b.sweep ? a.at - b.at : a.sweep < b.sweep ? -1 : 1));
  const file: RunFile = {
    machine: { processors: availableParallelism(), memoryBytes: totalmem(), node: process.version },
    points,
    fits: fitsOf(points),
    predictions: predictionsOf(points),
  };
  mkdirSync(dirname(path), { recursive: true });
  writeFileSync(
    path,
    `{"machine":${JSON.stringify(file.machine)},\n"points":${lines(points)},\n"fits":${lines(file.fits)},\n"predictions":${lines(file.predictions)}}\n`,
  );
  return file;
};
