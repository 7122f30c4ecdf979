/** The local fleet as a developer's tool: `up` starts one and keeps it, `play` runs scenarios and judges them. */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import yargs, { type Argv } from 'yargs';
import { hideBin } from 'yargs/helpers';
import { changeCost } from './change-cost.js';
import { Fleet, type FleetPlan } from './fleet.js';
import { measureChanges, measureOverhead } from './measure.js';
import { slopes } from './slopes/command.js';
import { soakCommand } from './soak/command.js';
import { faults, firms, openDoorways, play } from './scenario.js';

const sized = (
  y: Argv,
): Argv<{ cores: number; routers: number; engines: number; folder?: string }> =>
  y
    .option('cores', { type: 'number', default: 3 })
    .option('routers', { type: 'number', default: 8 })
    .option('engines', { type: 'number', default: 8 })
    .option('folder', {
      type: 'string',
      describe: 'Where params, logs and data go; a new temporary folder by default',
    });

const planFor = (
  argv: { cores: number; routers: number; engines: number; folder?: string },
  params?: object,
): FleetPlan => ({
  folder: argv.folder ?? mkdtempSync(join(tmpdir(), 'rudderridge-fleet-')),
  cores: argv.cores,
  routers: argv.routers,
  engines: argv.engines,
  zones: ['zone-1', 'zone-2', 'zone-3'],
  firms,
  params,
});

await yargs(hideBin(process.argv))
  .scriptName('fleet')
  .command(
    'up',
    'Starts a fleet, opens example doorways and keeps it until interrupted',
    sized,
    async (argv) => {
      const fleet = new Fleet(planFor(argv));
      await fleet.start();
      await openDoorways(fleet);
      const show = (name: string, table: ReadonlyMap<string, string>): void =>
        void process.stdout.write(
          [...table].map(([node, address]) => `${name} ${node} ${address}\n`).join(''),
        );
      show('callers', fleet.callers);
      show('operators', fleet.operators);
      process.stdout.write(
        `platform ${fleet.platform}\nfolder ${fleet.plan.folder}\nkeys sahel-caller sahel-operator aconcagua-caller aconcagua-operator\n`,
      );
      await new Promise<void>((resolve) =>
        process.once('SIGINT', resolve).once('SIGTERM', resolve),
      );
      await fleet.stop();
    },
  )
  .command(
    'play [scenarios..]',
    'Runs scenarios under traffic and judges them; exit code 1 when anything was found',
    (y) =>
      sized(y)
        .positional('scenarios', {
          type: 'string',
          array: true,
          default: ['calm'],
          describe: `some of ${[...faults.keys()].join(', ')}, or all`,
        })
        .option('seed', { type: 'number', default: 1 })
        .option('seconds', { type: 'number', default: 12 })
        .option('short', { type: 'number', default: 60, describe: 'Short questions a second' })
        .option('long', { type: 'number', default: 4, describe: 'Long requests a second' })
        .option('groups', { type: 'number', default: 4, describe: 'Shared prefixes of each firm' })
        .option('capacity', {
          type: 'number',
          default: 524_288,
          describe: 'Cache capacity of each engine in tokens',
        })
        .option('largest-prompt', { type: 'number', default: 8192 })
        .option('hot', { type: 'boolean', default: false, describe: 'One prefix for all' })
        .option('policy', {
          type: 'string',
          choices: ['index', 'least-busy', 'round-robin'],
          default: 'index',
        }),
    async (argv) => {
      const wanted = argv.scenarios.includes('all') ? [...faults.keys()] : argv.scenarios;
      for (const scenario of wanted) {
        const fault = faults.get(scenario);
        if (!fault) throw new Error(`there is no scenario ${scenario}`);
        const result = await play(
          scenario,
          {
            ...planFor(argv, {
              place: { policy: argv.policy },
              law: { largestPrompt: argv['largest-prompt'] },
            }),
            engineFlags: ['--capacity', String(argv.capacity)],
          },
          {
            seed: argv.seed,
            seconds: argv.seconds,
            shortPerSecond: argv.short,
            longPerSecond: argv.long,
            hot: argv.hot,
            groups: argv.groups,
          },
          fault,
        );
        process.stdout.write(`${JSON.stringify(result)}\n`);
        if (result.findings.length) process.exitCode = 1;
      }
    },
  )
  .command(
    'measure',
    'What a router adds to a call, and how long changes take',
    (y) => sized(y).option('count', { type: 'number', default: 200 }),
    async (argv) => {
      const fleet = new Fleet(planFor(argv));
      try {
        await fleet.start();
        await openDoorways(fleet);
        process.stdout.write(
          `${JSON.stringify({ ...(await measureOverhead(fleet, argv.count)), ...(await measureChanges(fleet, Math.ceil(argv.count / 4))) })}\n`,
        );
      } finally {
        await fleet.stop();
      }
    },
  )
  .command(changeCost)
  .command(slopes)
  .command(soakCommand)
  .demandCommand(1)
  .strict()
  .parseAsync();
