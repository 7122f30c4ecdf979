/** The operators' commands on the configuration of routes. Exit codes as for the other commands; 3 also for a conflict. */
import { readFile } from 'node:fs/promises';
import { parse } from 'yaml';
import type { Argv } from 'yargs';
import { operate } from '../client/operate.js';
import { attempt, type Outcome } from '../kernel/fault/fault.js';
import { common, end, target, type Common } from './operators.js';

type Named = Common & { readonly file: string };

const file = (y: Argv): Argv<Named> =>
  common(y).positional('file', {
    type: 'string',
    demandOption: true,
    describe: 'JSON or YAML',
  });

const readItems = (path: string): Promise<Outcome<Record<string, unknown>>> =>
  attempt(
    'routes.read',
    path,
    async () => parse(await readFile(path, 'utf8')) as Record<string, unknown>,
  );

/** The version to build on: as told, or the one in place. */
const base = async (argv: Common): Promise<Outcome<number>> => {
  const shown = await operate(target(argv), 'routes.show', { wait: argv.wait });
  return shown.map(({ configuration }) => argv.expects ?? Number(configuration?.['version'] ?? 0));
};

const change =
  (
    send: (
      argv: Common,
      items: Record<string, unknown>,
      expects: number,
    ) => Promise<Outcome<unknown>>,
  ) =>
  async (argv: Named): Promise<void> => {
    const items = await readItems(argv.file);
    if (items.isLeft()) {
      end(items);
      process.exitCode = 2;
      return;
    }
    const expects = await base(argv);
    if (expects.isLeft()) return void end(expects);
    end(await send(argv, items.unsafeCoerce(), expects.unsafeCoerce()));
  };

/** The command `routes`. */
export const routesCommand = (yargs: Argv): Argv =>
  yargs
    .command(
      'put <file>',
      'Puts a whole configuration of routes',
      file,
      change((argv, configuration, expects) =>
        operate(target(argv), 'routes.put', { configuration, expects, wait: argv.wait }),
      ),
    )
    .command(
      'patch <file>',
      'Sets and removes named items: version, set, remove',
      file,
      change((argv, patch, expects) =>
        operate(target(argv), 'routes.patch', { patch, expects, wait: argv.wait }),
      ),
    )
    .command('show', 'Shows the newest accepted configuration of routes', common, async (argv) =>
      end(await operate(target(argv), 'routes.show', { wait: argv.wait })),
    )
    .demandCommand(1, 'name what to do with the routes');
