/** The operators' commands on the configuration of routes. Exit codes as for the other commands; 3 also for a conflict. */
import type { Argv } from 'yargs';
import { operate } from '../client/operate.js';
import type { Outcome } from '../kernel/fault/fault.js';
import { readDocument } from './document.js';
import {
  targetOf,
  withCommonOptions,
  withFile,
  type CommonOptions,
  type FileOptions,
} from './options.js';
import { finish, finishBadUse } from './outcome.js';

const withRoutesFile = (yargs: Argv): Argv<FileOptions> => withFile(yargs, 'JSON or YAML');

/** The version to build on: as told, or the one in place. */
const base = async (argv: CommonOptions): Promise<Outcome<number>> => {
  const shown = await operate(targetOf(argv), 'routes.show', { wait: argv.wait });
  return shown.map(({ configuration }) => argv.expects ?? Number(configuration?.['version'] ?? 0));
};

const change =
  (
    send: (
      argv: CommonOptions,
      items: Record<string, unknown>,
      expects: number,
    ) => Promise<Outcome<unknown>>,
  ) =>
  async (argv: FileOptions): Promise<void> => {
    const items = await readDocument<Record<string, unknown>>('routes.read', argv.file);
    if (items.isLeft()) return void finishBadUse(items);
    const expects = await base(argv);
    if (expects.isLeft()) return void finish(expects);
    finish(await send(argv, items.unsafeCoerce(), expects.unsafeCoerce()));
  };

/** The command `routes`. */
export const routesCommand = (yargs: Argv): Argv =>
  yargs
    .command(
      'put <file>',
      'Puts a whole configuration of routes',
      withRoutesFile,
      change((argv, configuration, expects) =>
        operate(targetOf(argv), 'routes.put', { configuration, expects, wait: argv.wait }),
      ),
    )
    .command(
      'patch <file>',
      'Sets and removes named items: version, set, remove',
      withRoutesFile,
      change((argv, patch, expects) =>
        operate(targetOf(argv), 'routes.patch', { patch, expects, wait: argv.wait }),
      ),
    )
    .command(
      'show',
      'Shows the newest accepted configuration of routes',
      withCommonOptions,
      async (argv) => finish(await operate(targetOf(argv), 'routes.show', { wait: argv.wait })),
    )
    .demandCommand(1, 'name what to do with the routes');
