/** The operator command `config`: shows the revisions of the configuration and exports them. */
import { writeFile } from 'node:fs/promises';
import { Right } from 'purify-ts';
import type { Argv } from 'yargs';
import type { Schemas } from '../api/schema.js';
import { operate, type Target } from '../client/operate.js';
import { attempt, failed, type Outcome } from '../kernel/fault/fault.js';
import { decodeDocument } from '../register/document.js';
import { digestOf } from '../register/hash.js';
import { documentDigest } from '../register/document-digest.js';
import { targetOf, withCommonOptions, withFile, type CommonOptions } from './options.js';
import { finish } from './outcome.js';

/** The revision 0 asks for the newest one. */
const NEWEST = 0;
const DEFAULT_HISTORY_COUNT = 100;
const EXPORT_STEP = 'config.export';

interface ExportedFile {
  readonly file: string;
  readonly revisions: number;
  readonly digest: string;
}

const showRevision = async (argv: CommonOptions, revision: number): Promise<void> =>
  finish((await operate(targetOf(argv), 'config.at', { revision })).map(withParsedDocument));

const withParsedDocument = ({ revision, digest, document }: Schemas['ConfigReply']): unknown => ({
  revision,
  digest,
  document: JSON.parse(document) as unknown,
});

const exportHistory = async (target: Target, file: string): Promise<Outcome<ExportedFile>> => {
  const newest = await operate(target, 'config.at', { revision: NEWEST });
  if (newest.isLeft()) return newest;
  const documents = await readChain(target, newest.unsafeCoerce().revision);
  if (documents.isLeft()) return documents;
  const lines = documents.unsafeCoerce();
  const text = lines.map((line) => `${line}\n`).join('');
  return attempt(EXPORT_STEP, file, async () => {
    await writeFile(file, text);
    return { file, revisions: lines.length, digest: digestOf(text) };
  });
};

/** The documents of all revisions up to one; each must name the digest of the one before it. */
const readChain = async (target: Target, last: number): Promise<Outcome<string[]>> => {
  const documents: string[] = [];
  let previousDigest = '';
  for (let revision = 1; revision <= last; revision++) {
    const reply = await operate(target, 'config.at', { revision });
    if (reply.isLeft()) return reply;
    const { digest, document } = reply.unsafeCoerce();
    const isLinked = decodeDocument(Buffer.from(document), target.node)
      .map((held) => documentDigest(held) === digest && held.previous === previousDigest)
      .orDefault(false);
    if (!isLinked)
      return failed(
        EXPORT_STEP,
        target.node,
        `revision ${revision} does not follow the one before it`,
      );
    previousDigest = digest;
    documents.push(document);
  }
  return Right(documents);
};

/** The command `config`. */
export const configCommand = (yargs: Argv): Argv =>
  yargs
    .command('show', 'Shows the newest revision', withCommonOptions, (argv) =>
      showRevision(argv, NEWEST),
    )
    .command(
      'at <revision>',
      'Shows one revision',
      (y) => withCommonOptions(y).positional('revision', { type: 'number', demandOption: true }),
      (argv) => showRevision(argv, argv.revision),
    )
    .command(
      'history',
      'Lists revisions with who changed what',
      (y) =>
        withCommonOptions(y)
          .option('from', { type: 'number', default: 1 })
          .option('count', { type: 'number', default: DEFAULT_HISTORY_COUNT }),
      async ({ from, count, ...argv }) =>
        finish(await operate(targetOf(argv), 'config.history', { from, count })),
    )
    .command(
      'export <file>',
      'Writes the whole history to a file, with a digest over it',
      (y) => withFile(y),
      async (argv) => finish(await exportHistory(targetOf(argv), argv.file)),
    )
    .demandCommand(1, 'name what to do with the configuration');
