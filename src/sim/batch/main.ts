/** Ways of placing compared over scenarios and seeds; prints one line of means for each. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import type { Figures } from './figures.js';
import { ways, type Way } from './rivals.js';
import { play } from './run.js';
import { scenario, troubles } from './scenarios.js';

const columns: ReadonlyArray<readonly [string, (of: Figures) => number, number]> = [
  ['worth', ({ worth }) => worth, 4],
  ['worst', ({ worst }) => worst, 3],
  ['long.in', ({ long }) => long.inTime, 4],
  ['long.p50', ({ long }) => long.p50, 0],
  ['long.p99', ({ long }) => long.p99, 0],
  ['long.ref', ({ long }) => long.refusals, 3],
  ['short.in', ({ short }) => short.inTime, 4],
  ['short.p50', ({ short }) => short.p50, 0],
  ['short.p99', ({ short }) => short.p99, 0],
  ['short.ref', ({ short }) => short.refusals, 3],
  ['read', ({ read }) => read, 3],
  ['hits', ({ hits }) => hits, 3],
  ['herd', ({ herd }) => herd, 0],
  ['local', ({ local }) => local, 3],
  ['dispersion', ({ dispersion }) => dispersion, 2],
];

await yargs(hideBin(process.argv))
  .scriptName('batch')
  .command(
    '$0',
    'Compares ways of placing by simulation',
    (y) =>
      y
        .option('engines', { type: 'number', array: true, default: [6, 8] })
        .option('routers', { type: 'number', array: true, default: [6, 8] })
        .option('load', { type: 'number', array: true, default: [1, 1.4] })
        .option('seeds', { type: 'number', default: 4 })
        .option('span', { type: 'number', default: 24_000 })
        .option('way', { type: 'string', array: true, choices: ways, default: [...ways] })
        .option('trouble', {
          type: 'string',
          array: true,
          choices: [...troubles.keys()],
          default: ['calm'],
        })
        .option('weights', {
          type: 'string',
          default: '{}',
          describe: 'JSON of weights of the choice to try',
        }),
    (argv) => {
      process.stdout.write(
        `${['trouble'.padEnd(18), 'E'.padStart(4), 'N'.padStart(4), 'load'.padStart(5), 'way'.padEnd(12), ...columns.map(([name]) => name.padStart(9))].join(' ')}\n`,
      );
      for (const trouble of argv.trouble)
        for (const engines of argv.engines)
          for (const routers of argv.routers)
            for (const load of argv.load)
              for (const way of argv.way) {
                const runs = Array.from({ length: argv.seeds }, (_, at) =>
                  play(
                    troubles.get(trouble)!(scenario(engines, routers, load, argv.span)),
                    way as Way,
                    at + 1,
                    JSON.parse(argv.weights) as object,
                  ),
                );
                const means = columns.map(([, of, digits]) =>
                  (runs.reduce((sum, run) => sum + of(run), 0) / runs.length)
                    .toFixed(digits)
                    .padStart(9),
                );
                process.stdout.write(
                  `${[trouble.padEnd(18), String(engines).padStart(4), String(routers).padStart(4), String(load).padStart(5), way.padEnd(12), ...means].join(' ')}\n`,
                );
              }
    },
  )
  .strict()
  .parseAsync();
