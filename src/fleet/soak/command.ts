/** `fleet soak`: soaks of many seeds, one after the other; a line of JSON for each, exit code 1 when anything was found. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Argv, CommandModule } from 'yargs';
import { planFor } from './plan.js';
import { soak } from './run.js';
import { TROUBLE_KINDS } from './schedule.js';

interface SoakArguments {
  seed: number;
  seeds: number;
  seconds: number;
  cores: number | undefined;
  routers: number | undefined;
  lapse: 'serve' | 'stop' | undefined;
  only: typeof TROUBLE_KINDS;
  folder: string;
  keep: boolean;
  lossAtEnd: boolean;
  series: boolean;
  bulkRoutes: number;
  linkRate: number | undefined;
  coreNarrow: boolean;
}

const options = (y: Argv): Argv<SoakArguments> =>
  y
    .option('seed', { type: 'number', default: 1, describe: 'The first seed' })
    .option('seeds', { type: 'number', default: 1, describe: 'How many seeds, one by one' })
    .option('seconds', { type: 'number', default: 60, describe: 'How long troubles go on' })
    .option('cores', {
      type: 'number',
      choices: [3, 5],
      describe: 'Drawn from the seed if left out',
    })
    .option('routers', { type: 'number', describe: 'Drawn from the seed if left out' })
    .option('lapse', { choices: ['serve', 'stop'] as const, describe: 'Drawn if left out' })
    .option('only', {
      array: true,
      choices: TROUBLE_KINDS,
      default: [] as typeof TROUBLE_KINDS,
      describe: 'Only these troubles',
    })
    .option('folder', {
      type: 'string',
      default: tmpdir(),
      describe: 'Where each seed gets a folder of its own for params, logs and data',
    })
    .option('lossAtEnd', {
      type: 'boolean',
      default: true,
      describe: 'At the end as many disks as tolerated are lost while every process is killed',
    })
    .option('series', {
      type: 'boolean',
      default: false,
      describe: 'Draw also kills, stops and reloads that come in series',
    })
    .option('bulkRoutes', {
      type: 'number',
      default: 0,
      describe: 'Routes that the configuration has besides those that are asked for',
    })
    .option('linkRate', {
      type: 'number',
      describe: 'Bytes that each connection of a router with its peers carries in a ms',
    })
    .option('coreNarrow', {
      type: 'boolean',
      default: false,
      describe: 'The connections between core machines are as narrow',
    })
    .option('keep', {
      type: 'boolean',
      default: false,
      describe: 'Keep the folders of seeds that found nothing too',
    });

const runSeed = async (seed: number, argv: SoakArguments): Promise<boolean> => {
  const folder = mkdtempSync(join(argv.folder, `soak-${seed}-`));
  const { seconds, cores, routers, lapse, only, lossAtEnd, series } = argv;
  const { bulkRoutes, linkRate, coreNarrow: isCoreNarrow } = argv;
  const size = { cores, routers, lapse, bulkRoutes, linkRate, isCoreNarrow };
  const report = await soak(planFor({ seed, seconds, folder, only, lossAtEnd, series, ...size }));
  process.stdout.write(`${JSON.stringify(report)}\n`);
  const isSound = report.findings.length === 0;
  if (isSound && !argv.keep) rmSync(folder, { recursive: true, force: true });
  return isSound;
};

/** The command `soak`. */
export const soakCommand: CommandModule<object, SoakArguments> = {
  command: 'soak',
  describe: 'Overlapping failures on real processes under traffic and changes, judged',
  builder: options,
  handler: async (argv) => {
    for (let seed = argv.seed; seed < argv.seed + argv.seeds; seed++)
      if (!(await runSeed(seed, argv))) process.exitCode = 1;
    // Node has been seen to spin at its own end over handles of connections that were reset.
    await new Promise<void>((resolve) => process.stdout.write('', () => resolve()));
    process.exit();
  },
};
