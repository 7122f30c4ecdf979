/** Simulated days by command: seeds of a site, or of both; each failing seed is printed whole and replays exactly. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { playDay } from './day/day.js';
import { dayOf, faultNames, sites, type DayResult, type FaultName } from './day/plan.js';

const at = (values: number[], share: number): number | undefined =>
  values.sort((a, b) => a - b)[Math.floor((values.length - 1) * share)];
const spread = (values: number[]): object => ({
  count: values.length,
  p50: at(values, 0.5),
  p90: at(values, 0.9),
  most: at(values, 1),
});

const sum = (days: readonly DayResult[]): object => {
  const counts = new Map<string, number>();
  const add = (key: string, by: number): void => void counts.set(key, (counts.get(key) ?? 0) + by);
  for (const { faults, situations, outcomes, changes } of days) {
    for (const fault of faults) add(`struck ${fault.split('@')[0]}`, 1);
    for (const [situation, count] of situations) add(situation, count);
    for (const [outcome, count] of outcomes) add(`requests ${outcome}`, count);
    for (const [outcome, count] of changes) add(`changes ${outcome}`, count);
  }
  return {
    days: days.length,
    daysWithFindings: days.filter(({ findings }) => findings.length).length,
    ...Object.fromEntries([...counts].sort()),
    backMs: spread(days.flatMap(({ backAfter }) => backAfter)),
    onceBackMs: spread(days.flatMap(({ onceBackAfter }) => onceBackAfter)),
    calmAcceptedMs: spread(days.flatMap(({ calmAccepted }) => calmAccepted)),
    retryShareMost: spread(days.map(({ retryShareMost }) => retryShareMost)),
  };
};

await yargs(hideBin(process.argv))
  .scriptName('simulate')
  .command(
    '$0',
    'Plays simulated days and judges them; exit code 1 when anything was found',
    (y) =>
      y
        .option('site', { type: 'string', choices: [...sites.keys(), 'both'], default: 'both' })
        .option('from', { type: 'number', default: 1, describe: 'First seed' })
        .option('count', { type: 'number', default: 10 })
        .option('faults', {
          type: 'string',
          array: true,
          choices: faultNames,
          describe: 'Only these failures',
        })
        .option('each', {
          type: 'boolean',
          default: false,
          describe: 'Instead, for each seed a day with each single failure',
        })
        .option('quiet', {
          type: 'boolean',
          default: false,
          describe: 'Print only days with findings, and the sum',
        }),
    async (argv) => {
      const days: DayResult[] = [];
      const play = async (
        name: string,
        plan: Parameters<typeof playDay>[0],
        seed: number,
      ): Promise<void> => {
        const day = await playDay(plan, seed).catch((thrown: unknown) => {
          process.stdout.write(`${JSON.stringify({ site: name, seed, thrown: String(thrown) })}\n`);
          process.exitCode = 1;
        });
        if (!day) return;
        days.push(day);
        if (day.findings.length) process.exitCode = 1;
        if (day.findings.length || !argv.quiet)
          process.stdout.write(
            `${JSON.stringify({ site: name, ...day, outcomes: Object.fromEntries(day.outcomes), changes: Object.fromEntries(day.changes), situations: Object.fromEntries(day.situations) })}\n`,
          );
      };
      for (let seed = argv.from; seed < argv.from + argv.count; seed++) {
        if (argv.each)
          for (const fault of argv.faults ?? faultNames)
            await play(fault, dayOf(fault as FaultName, 20), seed);
        else
          for (const [name, plan] of sites)
            if (argv.site === 'both' || argv.site === name)
              await play(
                name,
                argv.faults ? { ...plan, faults: argv.faults as FaultName[] } : plan,
                seed,
              );
      }
      process.stdout.write(`${JSON.stringify(sum(days))}\n`);
    },
  )
  .strict()
  .parseAsync();
