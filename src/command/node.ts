/** The operator command `node`: shows nodes and engines, and deregisters routers. */
import type { Argv } from 'yargs';
import { operate } from '../client/operate.js';
import {
  changeIdOf,
  targetOf,
  withCommonOptions,
  withName,
  type CommonOptions,
  type NamedOptions,
} from './options.js';
import { finish } from './outcome.js';

const list = async (argv: CommonOptions): Promise<void> =>
  finish(await operate(targetOf(argv), 'node.list', {}));

const engines = async (argv: CommonOptions): Promise<void> =>
  finish(await operate(targetOf(argv), 'engine.list', {}));

const deregister = async (argv: NamedOptions): Promise<void> =>
  finish(
    await operate(targetOf(argv), 'node.deregister', {
      change: changeIdOf(argv),
      name: argv.name,
      wait: argv.wait,
    }),
  );

/** The command `node`. */
export const nodeCommand = (yargs: Argv): Argv =>
  yargs
    .command('list', 'Nodes heard of, and nodes with a lease', withCommonOptions, list)
    .command('engines', 'Engines as one node has them', withCommonOptions, engines)
    .command(
      ['deregister <name>', 'deregister <name>'],
      'Takes a router that is gone for good out of the registration',
      withName,
      deregister,
    )
    .demandCommand(1, 'name what to ask');
