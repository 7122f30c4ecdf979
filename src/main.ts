/** The one program: the role is a subcommand. */
import 'reflect-metadata';
import yargs, { type Argv } from 'yargs';
import { hideBin } from 'yargs/helpers';
import { configCommand } from './command/config.js';
import { coreSetCommand } from './command/core-set.js';
import { runDaemon } from './command/daemon.js';
import { doorwayCommand } from './command/doorway.js';
import { nodeCommand } from './command/node.js';
import { routesCommand } from './command/routes.js';
import { runTrace, traceCommand } from './command/trace.js';
import type { Fault } from './kernel/fault/fault.js';
import { readParams } from './params/read.js';
import { standCommand } from './stand/command.js';

interface DaemonFlags {
  params?: string;
  name?: string;
  fleet?: string;
  zone?: string;
  callers?: string;
  operators?: string;
  peers?: string;
  seeds?: string[];
  folder?: string;
  form?: boolean;
  platform?: string;
}

const daemonFlags = (y: Argv): Argv<DaemonFlags> =>
  y
    .option('params', { type: 'string', describe: 'Params file, JSON or YAML; flags win over it' })
    .option('name', { type: 'string', describe: 'Name of this node, unique in the fleet' })
    .option('fleet', { type: 'string', describe: 'Id of the fleet' })
    .option('zone', { type: 'string', describe: 'Zone of this node' })
    .option('callers', { type: 'string', describe: 'Address for callers, IP:PORT' })
    .option('operators', { type: 'string', describe: 'Address for operators, IP:PORT' })
    .option('peers', { type: 'string', describe: 'Address for peers, IP:PORT' })
    .option('seeds', { type: 'string', array: true, describe: 'Seed addresses of other processes' })
    .option('folder', { type: 'string', describe: 'Data folder (core)' })
    .option('form', {
      type: 'boolean',
      describe: 'Let the first seed form the core group from empty seeds',
    })
    .option('platform', {
      type: 'string',
      describe: "URL of the platform's list of engines",
    });

const flagLayer = (argv: DaemonFlags): unknown => ({
  name: argv.name,
  fleet: argv.fleet,
  zone: argv.zone,
  seeds: argv.seeds,
  folder: argv.folder,
  form: argv.form,
  listen: { callers: argv.callers, operators: argv.operators, peers: argv.peers },
  platform: { url: argv.platform },
});

const bad = ({ step, peer, reason }: Fault): void => {
  process.stderr.write(`step=${step} peer=${peer}: ${reason}\n`);
  process.exitCode = 2;
};

const daemon =
  (role: 'core' | 'router') =>
  async (argv: DaemonFlags): Promise<void> => {
    const reread = (): ReturnType<typeof readParams> => readParams(argv.params, flagLayer(argv));
    const read = await reread();
    if (read.isLeft()) return void bad(read.extract());
    process.exit(await runDaemon(role, read.unsafeCoerce(), reread));
  };

await yargs(hideBin(process.argv))
  .scriptName('rudderridge')
  .usage('$0 COMMAND: a router fleet for language model engines')
  .command(
    'core',
    'Runs a control machine, which keeps the register on its disk',
    daemonFlags,
    daemon('core'),
  )
  .command(
    'router',
    'Runs a router, which carries requests to engines',
    daemonFlags,
    daemon('router'),
  )
  .command('doorway', 'Sets, removes, claims and shows doorways', doorwayCommand)
  .command('routes', 'Puts, patches and shows the configuration of routes', routesCommand)
  .command('config', 'Shows and exports the configuration', configCommand)
  .command('node', 'Shows nodes and engines', nodeCommand)
  .command('core-set', 'Forms and shows the core group', coreSetCommand)
  .command(
    'trace <what>',
    'Follows one change or revision through all nodes',
    traceCommand,
    runTrace,
  )
  .command(
    'check-params <file>',
    'Checks a params file',
    (y) => y.positional('file', { type: 'string', demandOption: true }),
    async (argv) => {
      (await readParams(argv.file, {})).caseOf({
        Left: bad,
        Right: (params) => void process.stdout.write(`${JSON.stringify(params, null, 2)}\n`),
      });
    },
  )
  .command(
    'stand',
    'Stand-ins for engines, the platform and callers, for trying and testing',
    standCommand,
  )
  .demandCommand(1, 'name a command')
  .strict()
  .fail((message, error, y) => {
    process.stderr.write(`${message ?? error?.message}\n\n`);
    y.showHelp('error');
    process.exit(2);
  })
  .help()
  .version(false)
  .parseAsync();
