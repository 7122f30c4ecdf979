/** The options that all operator commands have, and what the calls to a node need of them. */
import { randomUUID } from 'node:crypto';
import type { Argv } from 'yargs';
import type { Target } from '../client/operate.js';

const DEFAULT_WAIT_MS = 10_000;

/** The options that all operator commands have. */
export interface CommonOptions {
  node: string;
  key: string;
  wait: number;
  change?: string;
  expects?: number;
}

/** The common options of a command that takes a name. */
export type NamedOptions = CommonOptions & { name: string };

/** The common options of a command that takes a file. */
export type FileOptions = CommonOptions & { file: string };

/** Adds the options that all operator commands have. */
export const withCommonOptions = (yargs: Argv): Argv<CommonOptions> =>
  yargs
    .option('node', {
      type: 'string',
      demandOption: true,
      describe: 'Operator address of any node, IP:PORT',
    })
    .option('key', {
      type: 'string',
      default: process.env['RUDDERRIDGE_KEY'] ?? '',
      describe: 'Operator key; RUDDERRIDGE_KEY by default',
    })
    .option('wait', {
      type: 'number',
      default: DEFAULT_WAIT_MS,
      describe: 'Milliseconds to wait for the outcome',
    })
    .option('change', {
      type: 'string',
      describe: 'Change id, to repeat a change safely; a new one by default',
    })
    .option('expects', {
      type: 'number',
      describe:
        'What must be there now: the revision of the doorway, the renewal of the claim, the number of the core set, the version of the routes; read from the node by default',
    });

/** Adds the common options and the positional `name`. */
export const withName = (yargs: Argv): Argv<NamedOptions> =>
  withCommonOptions(yargs).positional('name', { type: 'string', demandOption: true });

/** Adds the common options and the positional `file`. */
export const withFile = (yargs: Argv, describe?: string): Argv<FileOptions> =>
  withCommonOptions(yargs).positional('file', { type: 'string', demandOption: true, describe });

/** The node and the key that the options name. */
export const targetOf = ({ node, key }: CommonOptions): Target => ({ node, key });

/** The change id that the options name, or a new one. */
export const changeIdOf = ({ change }: CommonOptions): string => change ?? randomUUID();
