/** The operators' commands: doorway, config, node, core-set. Exit codes: 0 done, 3 declined or lost, 4 unknown, 2 bad use. */
import { randomUUID } from 'node:crypto';
import { readFile, writeFile } from 'node:fs/promises';
import { isDeepStrictEqual } from 'node:util';
import { parse } from 'yaml';
import type { Argv } from 'yargs';
import type { Schemas } from '../api/schema.js';
import { checkDoorway } from '../doorway/shape.js';
import { attempt, type Fault, type Outcome } from '../kernel/fault/fault.js';
import { decodeDocument, digestOf } from '../register/document.js';
import { documentDigest } from '../register/document-digest.js';
import { operate, type Target } from '../client/operate.js';

/** The exit code for each outcome of a change. */
export const exitCodes = new Map<string, number>([
  ['accepted', 0],
  ['declined', 3],
  ['lost', 3],
  ['conflict', 3],
  ['invalid', 3],
  ['unknown', 4],
]);

const show = (value: unknown): void =>
  void process.stdout.write(`${JSON.stringify(value, null, 2)}\n`);

/** Prints an outcome and sets the exit code. */
export const end = (outcome: Outcome<unknown>): void => {
  outcome.caseOf({
    Right: (value) => {
      show(value);
      const told = (value as { outcome?: string } | undefined)?.outcome;
      if (told !== undefined) process.exitCode = exitCodes.get(told) ?? 0;
    },
    Left: ({ step, peer, reason, certainty }: Fault) => {
      process.stderr.write(`${certainty} step=${step} peer=${peer}: ${reason}\n`);
      process.exitCode = certainty === 'declined' ? 3 : 4;
    },
  });
};

/** The options that all operator commands have. */
export interface Common {
  node: string;
  key: string;
  wait: number;
  change?: string;
  expects?: number;
}

/** The node and the key that the options name. */
export const target = ({ node, key }: Common): Target => ({ node, key });

/** Adds the options that all operator commands have. */
export const common = (yargs: Argv): Argv<Common> =>
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
      default: 10_000,
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

const expected = async (argv: Common, name: string): Promise<Outcome<number>> => {
  const list = await operate(target(argv), 'doorway.list', {});
  return list.map(
    ({ doorways, removed }) =>
      argv.expects ??
      doorways.find(({ doorway }) => doorway.name === name)?.revision ??
      removed.find((each) => each.name === name)?.revision ??
      0,
  );
};

/** The command `doorway`. */
export const doorwayCommand = (yargs: Argv): Argv =>
  yargs
    .command(
      'set <file>',
      'Sets a doorway from a JSON or YAML file',
      (y) => common(y).positional('file', { type: 'string', demandOption: true }),
      async (argv) => {
        const doorway = await attempt(
          'doorway.read',
          argv.file,
          async () => parse(await readFile(argv.file, 'utf8')) as { name?: string },
        );
        if (doorway.isLeft()) {
          end(doorway);
          process.exitCode = 2;
          return;
        }
        const value = doorway.unsafeCoerce();
        const expects = await expected(argv, String(value?.name));
        if (expects.isLeft()) return end(expects);
        end(
          await operate(target(argv), 'doorway.set', {
            change: argv.change ?? randomUUID(),
            doorway: value as Schemas['Doorway'],
            expects: expects.unsafeCoerce(),
            wait: argv.wait,
          }),
        );
      },
    )
    .command(
      'apply <file>',
      'Sets and removes many doorways in one change, all of it or nothing',
      (y) =>
        common(y)
          .positional('file', {
            type: 'string',
            demandOption: true,
            describe: 'JSON or YAML: doorways: [...], remove: [names]',
          })
          .option('dry-run', {
            type: 'boolean',
            default: false,
            describe: 'Only shows what would change',
          }),
      async (argv) => {
        const read = await readWanted(argv.file);
        if (read.isLeft()) {
          end(read);
          process.exitCode = 2;
          return;
        }
        const list = await operate(target(argv), 'doorway.list', {});
        if (list.isLeft()) return end(list);
        const { sets, removes, shown } = compare(read.unsafeCoerce(), list.unsafeCoerce());
        if (argv.dryRun) return show({ revision: list.unsafeCoerce().revision, ...shown });
        if (sets.length + removes.length === 0)
          return show({ outcome: 'accepted', reason: 'nothing to change', ...shown });
        end(
          await operate(target(argv), 'doorway.apply', {
            change: argv.change ?? randomUUID(),
            sets,
            removes,
            wait: argv.wait,
          }),
        );
      },
    )
    .command(
      'remove <name>',
      'Removes a doorway',
      (y) => common(y).positional('name', { type: 'string', demandOption: true }),
      async (argv) => {
        const expects = await expected(argv, argv.name);
        if (expects.isLeft()) return end(expects);
        end(
          await operate(target(argv), 'doorway.remove', {
            change: argv.change ?? randomUUID(),
            name: argv.name,
            expects: expects.unsafeCoerce(),
            wait: argv.wait,
          }),
        );
      },
    )
    .command(
      ['claim <name>', 'renew <name>'],
      'Claims a doorway name, or renews the claim',
      (y) =>
        common(y).positional('name', { type: 'string', demandOption: true }).option('duration', {
          type: 'number',
          default: 600_000,
          describe: 'Milliseconds until the claim lapses',
        }),
      async (argv) => {
        const list = await operate(target(argv), 'doorway.list', {});
        if (list.isLeft()) return end(list);
        const renewal =
          argv.expects ??
          list.unsafeCoerce().claims.find(({ name }) => name === argv.name)?.renewal ??
          0;
        end(
          await operate(target(argv), 'doorway.claim', {
            change: argv.change ?? randomUUID(),
            name: argv.name,
            expects: renewal,
            duration: argv.duration,
            wait: argv.wait,
          }),
        );
      },
    )
    .command(
      'get <name>',
      'Shows one doorway',
      (y) => common(y).positional('name', { type: 'string', demandOption: true }),
      async (argv) => end(await operate(target(argv), 'doorway.get', { name: argv.name })),
    )
    .command('list', 'Shows all doorways, removed names and claims', common, async (argv) =>
      end(await operate(target(argv), 'doorway.list', {})),
    )
    .command(
      'outcome <id>',
      'Says what became of a change',
      (y) => common(y).positional('id', { type: 'string', demandOption: true }),
      async (argv) =>
        end(await operate(target(argv), 'change.outcome', { change: argv.id, wait: argv.wait })),
    )
    .demandCommand(1, 'name what to do with the doorway');

interface Wanted {
  readonly doorways: readonly Schemas['Doorway'][];
  readonly remove: readonly string[];
}

const readWanted = (file: string): Promise<Outcome<Wanted>> =>
  attempt('doorway.read', file, async () => {
    const {
      doorways = [],
      remove = [],
      ...rest
    } = (parse(await readFile(file, 'utf8')) ?? {}) as Partial<Wanted>;
    if (!Array.isArray(doorways) || !Array.isArray(remove) || Object.keys(rest).length)
      throw new Error('expected doorways: [...] and remove: [names], and nothing else');
    doorways.forEach((doorway, at) => {
      const checked = checkDoorway(doorway);
      if (checked.isLeft()) throw new Error(`doorways[${at}]: ${checked.extract().reason}`);
    });
    remove.forEach((name: unknown, at) => {
      if (typeof name !== 'string') throw new Error(`remove[${at}] is not a name`);
    });
    return { doorways, remove };
  });

/** What a file wants against what is there: each item with the revision it is at now. */
const compare = (
  { doorways, remove }: Wanted,
  list: Schemas['DoorwayListReply'],
): {
  sets: Schemas['DoorwayApplyAsk']['sets'];
  removes: Schemas['DoorwayApplyAsk']['removes'];
  shown: object;
} => {
  const there = new Map(
    list.doorways.map(({ doorway, revision }) => [doorway.name, { doorway, revision }]),
  );
  const gone = new Map(list.removed.map(({ name, revision }) => [name, revision]));
  const at = (name: string): number => there.get(name)?.revision ?? gone.get(name) ?? 0;
  const differs = (doorway: Schemas['Doorway']): string[] => {
    const before = new Map(Object.entries(there.get(doorway.name)?.doorway ?? {}));
    return Object.entries(doorway)
      .filter(([key, value]) => !isDeepStrictEqual(before.get(key), value))
      .map(([key]) => key);
  };
  const changed = doorways.filter((doorway) => differs(doorway).length > 0);
  return {
    sets: changed.map((doorway) => ({ doorway, expects: at(doorway.name) })),
    removes: remove.map((name) => ({ name, expects: at(name) })),
    shown: {
      added: changed.filter(({ name }) => !there.has(name)).map(({ name }) => name),
      changed: changed
        .filter(({ name }) => there.has(name))
        .map((doorway) => ({
          name: doorway.name,
          revision: at(doorway.name),
          fields: differs(doorway),
        })),
      removed: remove,
      unchanged: doorways.filter((doorway) => !changed.includes(doorway)).map(({ name }) => name),
    },
  };
};

/** The command `config`. */
export const configCommand = (yargs: Argv): Argv =>
  yargs
    .command('show', 'Shows the newest revision', common, async (argv) =>
      end((await operate(target(argv), 'config.at', { revision: 0 })).map(readable)),
    )
    .command(
      'at <revision>',
      'Shows one revision',
      (y) => common(y).positional('revision', { type: 'number', demandOption: true }),
      async (argv) =>
        end((await operate(target(argv), 'config.at', { revision: argv.revision })).map(readable)),
    )
    .command(
      'history',
      'Lists revisions with who changed what',
      (y) =>
        common(y)
          .option('from', { type: 'number', default: 1 })
          .option('count', { type: 'number', default: 100 }),
      async (argv) =>
        end(await operate(target(argv), 'config.history', { from: argv.from, count: argv.count })),
    )
    .command(
      'export <file>',
      'Writes the whole history to a file, with a digest over it',
      (y) => common(y).positional('file', { type: 'string', demandOption: true }),
      async (argv) => end(await exportAll(target(argv), argv.file)),
    )
    .demandCommand(1, 'name what to do with the configuration');

const readable = ({ revision, digest, document }: Schemas['ConfigReply']): unknown => ({
  revision,
  digest,
  document: JSON.parse(document) as unknown,
});

const exportAll = async (to: Target, file: string): Promise<Outcome<unknown>> => {
  const newest = await operate(to, 'config.at', { revision: 0 });
  if (newest.isLeft()) return newest;
  const lines: string[] = [];
  let previous = '';
  for (let revision = 1; revision <= newest.unsafeCoerce().revision; revision++) {
    const one = await operate(to, 'config.at', { revision });
    if (one.isLeft()) return one;
    const { digest, document } = one.unsafeCoerce();
    const read = decodeDocument(Buffer.from(document), to.node);
    const isLinked = read
      .map((held) => documentDigest(held) === digest && held.previous === previous)
      .orDefault(false);
    if (!isLinked)
      return attempt('config.export', to.node, () =>
        Promise.reject(new Error(`revision ${revision} does not follow the one before it`)),
      );
    previous = digest;
    lines.push(document);
  }
  const text = lines.map((line) => `${line}\n`).join('');
  return attempt('config.export', file, async () => {
    await writeFile(file, text);
    return { file, revisions: lines.length, digest: digestOf(text) };
  });
};

/** The command `node`. */
export const nodeCommand = (yargs: Argv): Argv =>
  yargs
    .command('list', 'Nodes heard of, and nodes with a lease', common, async (argv) =>
      end(await operate(target(argv), 'node.list', {})),
    )
    .command('engines', 'Engines as one node has them', common, async (argv) =>
      end(await operate(target(argv), 'engine.list', {})),
    )
    .command(
      ['deregister <name>', 'deregister <name>'],
      'Takes a router that is gone for good out of the registration',
      (y) => common(y).positional('name', { type: 'string', demandOption: true }),
      async (argv) =>
        end(
          await operate(target(argv), 'node.deregister', {
            change: argv.change ?? randomUUID(),
            name: argv.name,
            wait: argv.wait,
          }),
        ),
    )
    .demandCommand(1, 'name what to ask');

/** The options of the command `trace`. */
export const traceCommand = (yargs: Argv): Argv =>
  common(yargs)
    .positional('what', {
      type: 'string',
      demandOption: true,
      describe: 'A change id, or a revision as a number',
    })
    .option('json', { type: 'boolean', default: false });

/** The command `trace`: a change's steps through all nodes. */
export const runTrace = async (argv: Common & { what: string; json: boolean }): Promise<void> => {
  const traced = await operate(
    target(argv),
    'change.trace',
    /^[0-9]+$/.test(argv.what) ? { revision: Number(argv.what) } : { change: argv.what },
  );
  if (argv.json || traced.isLeft()) return void end(traced);
  const { revision, changes, nodes, silent } = traced.unsafeCoerce();
  process.stdout.write(`revision ${revision} changes ${changes.join(' ') || '-'}\n`);
  for (const { name, role, steps } of nodes)
    process.stdout.write(
      `${name} ${role} ${steps.map(({ step, after, ballot }) => `${step}+${after}ms${ballot ? `(${ballot})` : ''}`).join(' ') || 'nothing noted'}\n`,
    );
  for (const name of silent) process.stdout.write(`${name} silent\n`);
};

/** The command `core-set`. */
export const coreSetCommand = (yargs: Argv): Argv =>
  yargs
    .command('show', 'The core members and their state', common, async (argv) =>
      end(await operate(target(argv), 'core.show', {})),
    )
    .command(
      'form <members..>',
      'Forms the core group, once, from newcomers at these peer addresses',
      (y) => common(y).positional('members', { type: 'string', array: true, demandOption: true }),
      async (argv) => end(await operate(target(argv), 'core.form', { members: argv.members })),
    )
    .command(
      'add <address>',
      'Gives the newcomer at a peer address a vote',
      (y) => common(y).positional('address', { type: 'string', demandOption: true }),
      async (argv) => end(await addVoter(argv, argv.address)),
    )
    .command(
      'remove <member>',
      'Takes a vote away, by id or peer address',
      (y) => common(y).positional('member', { type: 'string', demandOption: true }),
      async (argv) => end(await removeVoter(argv, argv.member)),
    )
    .command(
      'replace <old> <new>',
      'Replaces a member (id or peer address) by the newcomer at a peer address; the same address after a lost disk',
      (y) =>
        common(y)
          .positional('old', { type: 'string', demandOption: true })
          .positional('new', { type: 'string', demandOption: true }),
      async (argv) => {
        const core = await operate(target(argv), 'core.show', {});
        if (core.isLeft()) return end(core);
        const old = core
          .unsafeCoerce()
          .members.find(({ id, address }) => id === argv.old || address === argv.old);
        const steps =
          old?.state === 'voting' && old.address !== argv.new
            ? [() => addVoter(argv, argv.new), () => removeVoter(argv, argv.old)]
            : [() => removeVoter(argv, argv.old), () => addVoter(argv, argv.new)];
        for (const step of steps) {
          const done = await step();
          end(done);
          if (!done.map(({ outcome }) => outcome === 'accepted').orDefault(false)) return;
        }
      },
    )
    .demandCommand(1, 'name what to do with the core set');

type Changed = Schemas['ChangedReply'];

const addVoter = async (argv: Common, address: string): Promise<Outcome<Changed>> => {
  const core = await operate(target(argv), 'core.show', {});
  if (core.isLeft()) return core;
  return operate(target(argv), 'core.addVoter', {
    change: argv.change ?? randomUUID(),
    address,
    expects: argv.expects ?? core.unsafeCoerce().number,
    wait: argv.wait,
  });
};

const removeVoter = async (argv: Common, member: string): Promise<Outcome<Changed>> => {
  const core = await operate(target(argv), 'core.show', {});
  if (core.isLeft()) return core;
  const { number, members } = core.unsafeCoerce();
  const id = members.find((each) => each.id === member || each.address === member)?.id ?? member;
  return operate(target(argv), 'core.removeVoter', {
    change: argv.change ?? randomUUID(),
    id,
    expects: argv.expects ?? number,
    wait: argv.wait,
  });
};
