/** The operator command `core-set`: forms the core group, shows its voters and changes them. */
import type { Argv } from 'yargs';
import type { Schemas } from '../api/schema.js';
import { operate } from '../client/operate.js';
import type { Outcome } from '../kernel/fault/fault.js';
import { changeIdOf, targetOf, withCommonOptions, type CommonOptions } from './options.js';
import { finish } from './outcome.js';

type Changed = Schemas['ChangedReply'];
type Core = Schemas['CoreReply'];
type ReplaceOptions = CommonOptions & { old: string; new: string };

const showCore = (argv: CommonOptions): Promise<Outcome<Core>> =>
  operate(targetOf(argv), 'core.show', {});

/** The member that an operator names by its id or its peer address. */
const findMember = ({ members }: Core, named: string): Core['members'][number] | undefined =>
  members.find(({ id, address }) => id === named || address === named);

const addVoter = async (argv: CommonOptions, address: string): Promise<Outcome<Changed>> => {
  const core = await showCore(argv);
  if (core.isLeft()) return core;
  return operate(targetOf(argv), 'core.addVoter', {
    change: changeIdOf(argv),
    address,
    expects: argv.expects ?? core.unsafeCoerce().number,
    wait: argv.wait,
  });
};

const removeVoter = async (argv: CommonOptions, member: string): Promise<Outcome<Changed>> => {
  const shown = await showCore(argv);
  if (shown.isLeft()) return shown;
  const core = shown.unsafeCoerce();
  return operate(targetOf(argv), 'core.removeVoter', {
    change: changeIdOf(argv),
    id: findMember(core, member)?.id ?? member,
    expects: argv.expects ?? core.number,
    wait: argv.wait,
  });
};

/** Adds the new voter first where the old one still votes, so that the group does not shrink meanwhile. */
const replaceVoter = async (argv: ReplaceOptions): Promise<void> => {
  const core = await showCore(argv);
  if (core.isLeft()) return void finish(core);
  const old = findMember(core.unsafeCoerce(), argv.old);
  const add = (): Promise<Outcome<Changed>> => addVoter(argv, argv.new);
  const remove = (): Promise<Outcome<Changed>> => removeVoter(argv, argv.old);
  const addFirst = old?.state === 'voting' && old.address !== argv.new;
  for (const step of addFirst ? [add, remove] : [remove, add]) {
    const done = await step();
    finish(done);
    if (!done.map(({ outcome }) => outcome === 'accepted').orDefault(false)) return;
  }
};

/** The command `core-set`. */
export const coreSetCommand = (yargs: Argv): Argv =>
  yargs
    .command('show', 'The core members and their state', withCommonOptions, async (argv) =>
      finish(await showCore(argv)),
    )
    .command(
      'form <members..>',
      'Forms the core group, once, from newcomers at these peer addresses',
      (y) =>
        withCommonOptions(y).positional('members', {
          type: 'string',
          array: true,
          demandOption: true,
        }),
      async (argv) => finish(await operate(targetOf(argv), 'core.form', { members: argv.members })),
    )
    .command(
      'add <address>',
      'Gives the newcomer at a peer address a vote',
      (y) => withCommonOptions(y).positional('address', { type: 'string', demandOption: true }),
      async (argv) => finish(await addVoter(argv, argv.address)),
    )
    .command(
      'remove <member>',
      'Takes a vote away, by id or peer address',
      (y) => withCommonOptions(y).positional('member', { type: 'string', demandOption: true }),
      async (argv) => finish(await removeVoter(argv, argv.member)),
    )
    .command(
      'replace <old> <new>',
      'Replaces a member (id or peer address) by the newcomer at a peer address; the same address after a lost disk',
      (y: Argv) =>
        withCommonOptions(y)
          .positional('old', { type: 'string', demandOption: true })
          .positional('new', { type: 'string', demandOption: true }),
      replaceVoter,
    )
    .demandCommand(1, 'name what to do with the core set');
