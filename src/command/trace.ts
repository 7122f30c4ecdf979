/** The operator command `trace`: a change's steps through all nodes. */
import type { Argv } from 'yargs';
import type { Schemas } from '../api/schema.js';
import { operate } from '../client/operate.js';
import { targetOf, withCommonOptions, type CommonOptions } from './options.js';
import { finish } from './outcome.js';

type NodeTrace = Schemas['TraceReply']['nodes'][number];

/** The options of the command `trace`. */
export type TraceOptions = CommonOptions & { what: string; json: boolean };

/** Adds the options of the command `trace`. */
export const traceCommand = (yargs: Argv): Argv<TraceOptions> =>
  withCommonOptions(yargs)
    .positional('what', {
      type: 'string',
      demandOption: true,
      describe: 'A change id, or a revision as a number',
    })
    .option('json', { type: 'boolean', default: false });

/** Runs the command `trace`. */
export const runTrace = async (argv: TraceOptions): Promise<void> => {
  const traced = await operate(targetOf(argv), 'change.trace', traceAsk(argv.what));
  if (argv.json || traced.isLeft()) return void finish(traced);
  const { revision, changes, nodes, silent } = traced.unsafeCoerce();
  printLine(`revision ${revision} changes ${changes.join(' ') || '-'}`);
  nodes.map(describeNode).forEach(printLine);
  for (const name of silent) printLine(`${name} silent`);
};

const traceAsk = (what: string): Schemas['TraceAsk'] =>
  /^[0-9]+$/.test(what) ? { revision: Number(what) } : { change: what };

const describeNode = ({ name, role, steps }: NodeTrace): string =>
  `${name} ${role} ${steps.map(describeStep).join(' ') || 'nothing noted'}`;

const describeStep = ({ step, after, ballot }: NodeTrace['steps'][number]): string =>
  `${step}+${after}ms${ballot ? `(${ballot})` : ''}`;

const printLine = (line: string): void => void process.stdout.write(`${line}\n`);
