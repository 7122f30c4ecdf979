/** The command `slopes` of the fleet tool. */
import type { Argv, CommandModule } from 'yargs';
import type { RunAsk } from './run.js';

/** The deployment that is modelled: routers serve on when their lease lapses, and ids are not claimed. */
const MODEL = { lease: { lapse: 'serve' }, claims: { enabled: false } };

const numbers = (text: unknown): number[] => String(text).split(',').map(Number);

/** The command `slopes`. */
export const slopes: CommandModule = {
  command: 'slopes [parts..]',
  describe:
    'Measures how the control plane and routing work grow with the fleet; docs/CAPACITY.md quotes its runs',
  builder: (y: Argv) =>
    y
      .positional('parts', {
        type: 'string',
        array: true,
        default: ['all'],
        describe: 'Sweeps to take; the points of the others stay in the file',
      })
      .option('sizes', {
        type: 'string',
        default: '10,50,100,200,400',
        describe: 'Counts of routers',
      })
      .option('cores', { type: 'string', default: '3,5', describe: 'Counts of core nodes' })
      .option('engines', { type: 'string', default: '8,50,200,400,770' })
      .option('items', {
        type: 'string',
        default: '10,350,1000,2000,4000',
        describe: 'Counts of routes',
      })
      .option('prefixes', { type: 'string', default: '1000,10000,50000,100000,250000,490000' })
      .option('seconds', {
        type: 'number',
        default: 20,
        describe: 'Seconds that are counted, virtual on the simulator',
      })
      .option('at-once', { type: 'number', default: 3, describe: 'Simulated fleets at once' })
      .option('seed', { type: 'number', default: 1 })
      .option('over', {
        type: 'string',
        default: JSON.stringify(MODEL),
        describe: 'Params laid over those of each node, as JSON',
      })
      .option('out', { type: 'string', default: 'docs/capacity/slopes.json' }),
  handler: async (argv) => {
    const { runSlopes } = await import('./run.js');
    const ask: RunAsk = {
      parts: argv['parts'] as string[],
      sizes: numbers(argv['sizes']),
      cores: numbers(argv['cores']),
      engines: numbers(argv['engines']),
      items: numbers(argv['items']),
      prefixes: numbers(argv['prefixes']),
      seconds: argv['seconds'] as number,
      atOnce: argv['at-once'] as number,
      seed: argv['seed'] as number,
      over: JSON.parse(argv['over'] as string) as object,
      out: argv['out'] as string,
    };
    await runSlopes(ask);
  },
};
