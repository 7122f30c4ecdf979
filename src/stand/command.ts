/** The stand-ins as commands, for trying the program by hand and for the local fleet. */
import type { Argv } from 'yargs';
import { callOnce } from './caller/caller.js';
import { EngineStand } from './engine/engine.js';
import { PlatformStand } from './platform/platform.js';

const untilStopped = (close: () => void): Promise<void> =>
  new Promise((resolve) => {
    const end = (): void => {
      close();
      resolve();
    };
    process.once('SIGTERM', end);
    process.once('SIGINT', end);
  });

/** The commands that start stand-ins. */
export const standCommand = (yargs: Argv): Argv =>
  yargs
    .command(
      'engine',
      'A stand-in engine with a true block cache',
      (y) =>
        y
          .option('identifier', { type: 'string', demandOption: true })
          .option('address', { type: 'string', demandOption: true })
          .option('model', { type: 'string', default: 'family' })
          .option('weight-generation', { type: 'string', default: 'w1' })
          .option('capacity', {
            type: 'number',
            default: 524_288,
            describe: 'Cache capacity in tokens',
          })
          .option('prefill-rate', { type: 'number', default: 8000, describe: 'Tokens a second' })
          .option('decode-rate', {
            type: 'number',
            default: 200,
            describe: 'Tokens a second for each request',
          })
          .option('waiting-bound', {
            type: 'number',
            default: 200_000,
            describe: 'Tokens that may wait before it says it is busy',
          }),
      async (argv) => {
        const engine = new EngineStand({
          identifier: argv.identifier,
          address: argv.address,
          model: argv.model,
          weightGeneration: argv['weight-generation'],
          capacityTokens: argv.capacity,
          prefillRate: argv['prefill-rate'],
          decodeRate: argv['decode-rate'],
          blockBytes: 64,
          blockTokens: 16,
          waitingBound: argv['waiting-bound'],
        });
        process.stderr.write(
          `event=listening address=${await engine.listen()} identifier=${argv.identifier}\n`,
        );
        await untilStopped(() => engine.close());
      },
    )
    .command(
      'platform',
      'A stand-in platform with a lagging, rate-limited list',
      (y) =>
        y
          .option('address', { type: 'string', demandOption: true })
          .option('lag', { type: 'number', default: 300, describe: 'Milliseconds the list lags' })
          .option('per-second', { type: 'number', default: 10 }),
      async (argv) => {
        const platform = new PlatformStand({
          address: argv.address,
          lag: argv.lag,
          perSecond: argv['per-second'],
        });
        process.stderr.write(`event=listening address=${await platform.listen()}\n`);
        await untilStopped(() => platform.close());
      },
    )
    .command(
      'caller',
      'A stand-in caller: one request, its result as it was told',
      (y) =>
        y
          .option('router', { type: 'string', demandOption: true })
          .option('key', { type: 'string', demandOption: true })
          .option('model', { type: 'string', default: 'family' })
          .option('prompt', { type: 'string', demandOption: true })
          .option('id', { type: 'string', default: `stand-${process.pid}-${Date.now()}` })
          .option('tag', { type: 'string', describe: 'Sent as x-tag' })
          .option('repeatable', { type: 'boolean', default: false })
          .option('max-tokens', { type: 'number', default: 64 }),
      async (argv) => {
        const record = await callOnce({
          router: argv.router,
          key: argv.key,
          id: argv.id,
          model: argv.model,
          messages: [{ role: 'user', content: argv.prompt }],
          maxTokens: argv['max-tokens'],
          repeatable: argv.repeatable,
          tag: argv.tag,
        });
        process.stdout.write(`${JSON.stringify(record, null, 2)}\n`);
        process.exitCode = record.outcome === 'result' ? 0 : record.outcome === 'declined' ? 3 : 4;
      },
    )
    .demandCommand(1, 'name a stand-in');
