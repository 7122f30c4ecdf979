/** The operator command `doorway`: sets, removes, claims and shows doorways. */
import type { Argv } from 'yargs';
import type { Schemas } from '../api/schema.js';
import { operate } from '../client/operate.js';
import type { Outcome } from '../kernel/fault/fault.js';
import { readDocument } from './document.js';
import { planDoorways, readWantedDoorways } from './doorway-plan.js';
import {
  changeIdOf,
  targetOf,
  withCommonOptions,
  withFile,
  withName,
  type CommonOptions,
  type FileOptions,
  type NamedOptions,
} from './options.js';
import { finish, finishBadUse, printJson } from './outcome.js';

const DEFAULT_CLAIM_MS = 600_000;

type ApplyOptions = FileOptions & { dryRun: boolean };
type ClaimOptions = NamedOptions & { duration: number };
type OutcomeOptions = CommonOptions & { id: string };

const listDoorways = (argv: CommonOptions): Promise<Outcome<Schemas['DoorwayListReply']>> =>
  operate(targetOf(argv), 'doorway.list', {});

/** The revision that a change of a doorway builds on: as told, or the one in place. */
const expectedRevision = async (argv: CommonOptions, name: string): Promise<Outcome<number>> => {
  const list = await listDoorways(argv);
  return list.map(
    ({ doorways, removed }) =>
      argv.expects ??
      doorways.find(({ doorway }) => doorway.name === name)?.revision ??
      removed.find((each) => each.name === name)?.revision ??
      0,
  );
};

const set = async (argv: FileOptions): Promise<void> => {
  const read = await readDocument<Schemas['Doorway'] | null>('doorway.read', argv.file);
  if (read.isLeft()) return void finishBadUse(read);
  const doorway = read.unsafeCoerce();
  const expects = await expectedRevision(argv, String(doorway?.name));
  if (expects.isLeft()) return void finish(expects);
  finish(
    await operate(targetOf(argv), 'doorway.set', {
      change: changeIdOf(argv),
      // The node refuses whatever is no doorway.
      doorway: doorway as Schemas['Doorway'],
      expects: expects.unsafeCoerce(),
      wait: argv.wait,
    }),
  );
};

const apply = async (argv: ApplyOptions): Promise<void> => {
  const read = await readWantedDoorways(argv.file);
  if (read.isLeft()) return void finishBadUse(read);
  const listed = await listDoorways(argv);
  if (listed.isLeft()) return void finish(listed);
  const list = listed.unsafeCoerce();
  const { sets, removes, summary } = planDoorways(read.unsafeCoerce(), list);
  if (argv.dryRun) return void printJson({ revision: list.revision, ...summary });
  if (sets.length + removes.length === 0)
    return void printJson({ outcome: 'accepted', reason: 'nothing to change', ...summary });
  finish(
    await operate(targetOf(argv), 'doorway.apply', {
      change: changeIdOf(argv),
      sets,
      removes,
      wait: argv.wait,
    }),
  );
};

const remove = async (argv: NamedOptions): Promise<void> => {
  const expects = await expectedRevision(argv, argv.name);
  if (expects.isLeft()) return void finish(expects);
  finish(
    await operate(targetOf(argv), 'doorway.remove', {
      change: changeIdOf(argv),
      name: argv.name,
      expects: expects.unsafeCoerce(),
      wait: argv.wait,
    }),
  );
};

const claim = async (argv: ClaimOptions): Promise<void> => {
  const list = await listDoorways(argv);
  if (list.isLeft()) return void finish(list);
  const { claims } = list.unsafeCoerce();
  const renewal = claims.find(({ name }) => name === argv.name)?.renewal ?? 0;
  finish(
    await operate(targetOf(argv), 'doorway.claim', {
      change: changeIdOf(argv),
      name: argv.name,
      expects: argv.expects ?? renewal,
      duration: argv.duration,
      wait: argv.wait,
    }),
  );
};

const get = async (argv: NamedOptions): Promise<void> =>
  finish(await operate(targetOf(argv), 'doorway.get', { name: argv.name }));

const list = async (argv: CommonOptions): Promise<void> => finish(await listDoorways(argv));

const outcome = async (argv: OutcomeOptions): Promise<void> =>
  finish(await operate(targetOf(argv), 'change.outcome', { change: argv.id, wait: argv.wait }));

const applyOptions = (yargs: Argv): Argv<FileOptions & { 'dry-run': boolean }> =>
  withFile(yargs, 'JSON or YAML: doorways: [...], remove: [names]').option('dry-run', {
    type: 'boolean',
    default: false,
    describe: 'Only shows what would change',
  });

const claimOptions = (yargs: Argv): Argv<ClaimOptions> =>
  withName(yargs).option('duration', {
    type: 'number',
    default: DEFAULT_CLAIM_MS,
    describe: 'Milliseconds until the claim lapses',
  });

const outcomeOptions = (yargs: Argv): Argv<OutcomeOptions> =>
  withCommonOptions(yargs).positional('id', { type: 'string', demandOption: true });

/** The command `doorway`. */
export const doorwayCommand = (yargs: Argv): Argv =>
  yargs
    .command('set <file>', 'Sets a doorway from a JSON or YAML file', (y: Argv) => withFile(y), set)
    .command(
      'apply <file>',
      'Sets and removes many doorways in one change, all of it or nothing',
      applyOptions,
      apply,
    )
    .command('remove <name>', 'Removes a doorway', withName, remove)
    .command(
      ['claim <name>', 'renew <name>'],
      'Claims a doorway name, or renews the claim',
      claimOptions,
      claim,
    )
    .command('get <name>', 'Shows one doorway', withName, get)
    .command('list', 'Shows all doorways, removed names and claims', withCommonOptions, list)
    .command('outcome <id>', 'Says what became of a change', outcomeOptions, outcome)
    .demandCommand(1, 'name what to do with the doorway');
