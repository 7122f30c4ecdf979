/** What a soak reports of itself: figures in one line of JSON, and the records of a run that found something as files. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { describeCall } from '../../history/call.js';
import { longestWaitInCalm } from './calm.js';
import type { Loss } from './final-loss.js';
import type { SoakEvidence } from './judge/judge.js';
import type { SentOrder } from './operators.js';
import type { SoakPlan } from './plan.js';
import type { Incident, SoakFinding } from './record.js';
import type { PlayedTrouble } from './troubles/runner.js';

/** A run with everything that is on record of it. */
export interface SoakRun {
  readonly plan: SoakPlan;
  readonly evidence: SoakEvidence;
  readonly incidents: readonly Incident[];
  readonly played: readonly PlayedTrouble[];
  /** Undefined where there was none. */
  readonly finalLoss: Loss | undefined;
  readonly standstills: number;
  readonly findings: readonly SoakFinding[];
}

/** How often something came, by name. */
type Counts = Readonly<Record<string, number>>;

/** What is reported of a run. */
export interface SoakReport {
  readonly seed: number;
  readonly seconds: number;
  readonly cores: number;
  readonly voters: number;
  readonly routers: number;
  readonly lapse: 'serve' | 'stop';
  readonly orders: Counts;
  readonly calls: Counts;
  readonly requests: Counts;
  readonly tries: number;
  readonly arrivals: number;
  readonly troubles: Counts;
  /** The version acknowledged right before the loss at the end, and the voters whose disks were lost. */
  readonly finalLoss: Loss | undefined;
  /** ms of the longest calm time without an acknowledgement. */
  readonly longestWait: number;
  readonly standstills: number;
  readonly findings: readonly SoakFinding[];
  readonly folder: string;
}

const countBy = <T>(items: readonly T[], key: (item: T) => string): Counts => {
  const counts = new Map<string, number>();
  for (const item of items) counts.set(key(item), (counts.get(key(item)) ?? 0) + 1);
  return Object.fromEntries([...counts].sort(([one], [other]) => (one < other ? -1 : 1)));
};

const fateOf = ({ acknowledgedAt, refusedAt, isValid }: SentOrder): string => {
  if (acknowledgedAt !== undefined) return 'acknowledged';
  if (refusedAt === undefined) return 'unclear';
  return isValid ? 'lost' : 'invalid';
};

/** The figures of a run. */
export const reportOf = ({
  plan,
  evidence,
  incidents,
  played,
  finalLoss,
  standstills,
  findings,
}: SoakRun): SoakReport => ({
  seed: plan.seed,
  seconds: plan.seconds,
  cores: plan.cores,
  voters: plan.voters,
  routers: plan.routers,
  lapse: plan.lapse,
  orders: countBy(evidence.orders, fateOf),
  calls: countBy(evidence.calls, (call) =>
    call.kind === 'change' ? call.answer : `read-${call.answer.kind}`,
  ),
  requests: countBy(evidence.asked, ({ outcome }) => outcome),
  tries: evidence.asked.reduce((sum, { tries }) => sum + tries.length, 0),
  arrivals: evidence.arrivals.length,
  troubles: countBy(
    played.filter(({ struck }) => struck.length > 0),
    ({ trouble }) => trouble.kind,
  ),
  finalLoss,
  longestWait: longestWaitInCalm(evidence.orders, incidents),
  standstills,
  findings,
  folder: findings.length > 0 ? plan.folder : '',
});

const lines = (items: readonly unknown[]): string =>
  items.map((item) => `${JSON.stringify(item)}\n`).join('');

/** Writes the records of a run beside the logs of its processes. */
export const writeRecords = async ({
  plan,
  evidence,
  incidents,
  played,
  findings,
}: SoakRun): Promise<void> => {
  const write = (name: string, text: string): Promise<void> =>
    writeFile(join(plan.folder, name), text);
  const tries = evidence.asked.flatMap((asked) =>
    asked.tries.map((told) => ({
      ...told,
      name: asked.name,
      target: asked.target,
      router: evidence.routerAt(told.router),
      body: told.body.length,
      events: told.events.length,
      ...evidence.notes.get(told.id),
    })),
  );
  const arrivals = evidence.arrivals.map((arrival) => ({
    ...arrival,
    fields: undefined,
    made: arrival.made.length,
  }));
  await Promise.all([
    write('plan.json', JSON.stringify(plan, null, 2)),
    write('findings.jsonl', lines(findings)),
    write('troubles.jsonl', lines(played)),
    write('incidents.jsonl', lines(incidents)),
    write('orders.jsonl', lines(evidence.orders)),
    write('calls.txt', evidence.calls.map((call) => `${describeCall(call)}\n`).join('')),
    write('tries.jsonl', lines(tries)),
    write('arrivals.jsonl', lines(arrivals)),
  ]);
};
