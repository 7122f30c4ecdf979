/** The metrics of a node, folded from its journal and read from its services when they are asked for. */
import { Counter, Gauge, type Registry } from 'prom-client';
import type { RequestEnds } from '../forward/request-ends.js';
import { endCauses } from '../forward/request-end.js';
import type { Journal } from '../kernel/journal/journal.js';
import type { Violations } from '../monitor/violations.js';
import type { PassageEvent } from '../passage/chart.js';
import type { Losses } from '../register/failure-domains.js';
import type { FeedStatus } from '../register/feed-status.js';
import type { VoterReplacement } from '../register/replacement.js';

/** Registers a metric whose value is read when it is asked for. */
export const gauge = (registry: Registry, name: string, help: string, read: () => number): void => {
  const made: Gauge = new Gauge({
    name: `rudderridge_${name}`,
    help,
    registers: [registry],
    collect: () => made.set(read()),
  });
};

/** Registers a counter that is read from a table when it is asked for, one series for each of the table's keys. */
const tableCounter = (
  registry: Registry,
  name: string,
  help: string,
  label: string,
  read: () => Iterable<readonly [string, number]>,
): void => {
  const made: Counter = new Counter({
    name: `rudderridge_${name}`,
    help,
    labelNames: [label],
    registers: [registry],
    collect: () => {
      made.reset();
      for (const [key, count] of read()) made.inc({ [label]: key }, count);
    },
  });
};

/** Counts violations by invariant; those that hold are there with 0. */
export const countViolations = (
  registry: Registry,
  name: string,
  help: string,
  violations: Violations<string>,
): void => {
  tableCounter(registry, name, help, 'invariant', () => violations.counts);
};

/** Counts how requests ended, and what must never be about it. */
export const countRequestEnds = (registry: Registry, ends: RequestEnds): void => {
  tableCounter(registry, 'request_ends_total', 'Requests that ended, by cause', 'cause', () =>
    endCauses.map((cause) => [cause, ends.counts.get(cause) ?? 0] as const),
  );
  gauge(registry, 'requests_unended', 'Requests taken whose end is not recorded', () => {
    ends.sweep();
    return ends.openCount;
  });
  countViolations(
    registry,
    'request_invariant_violations',
    'Ends of requests that must never be, by invariant',
    ends.violations,
  );
};

/** The longest age of a confirmation that is shown, in ms; more, or none yet, is shown as this. */
const UNCONFIRMED_MOST = 1e9;

/** How current the configuration of a node is; nothing before it has started. */
export const feedMetrics = (registry: Registry, read: () => FeedStatus | undefined): void => {
  gauge(
    registry,
    'feed_unconfirmed_ms',
    'How long ago a core member last confirmed that the revision held here is the newest',
    () => Math.min(read()?.unconfirmed ?? UNCONFIRMED_MOST, UNCONFIRMED_MOST),
  );
  gauge(
    registry,
    'feed_behind',
    'How many revisions this node knows itself to be behind',
    () => read()?.behind ?? 0,
  );
};

type VotersSeen = Pick<
  VoterReplacement,
  'voters' | 'redundancy' | 'readyLearners' | 'toleratedLosses' | 'bearableLosses'
>;

const LOSS_KINDS = ['machines', 'zones', 'regions'] as const;

/** Registers a gauge with a value for each kind of loss. */
const lossesGauge = (
  registry: Registry,
  name: string,
  help: string,
  read: () => Losses | undefined,
): void => {
  const made: Gauge = new Gauge({
    name: `rudderridge_${name}`,
    help,
    labelNames: ['kind'],
    registers: [registry],
    collect: () => {
      for (const kind of LOSS_KINDS) made.set({ kind }, read()?.[kind] ?? 0);
    },
  });
};

/** What a core machine sees of the voters; nothing before it has started. */
export const voterMetrics = (registry: Registry, seen: () => VotersSeen | undefined): void => {
  gauge(registry, 'voters', 'Voters of the core', () => seen()?.voters ?? 0);
  gauge(
    registry,
    'redundancy',
    'Voters that hold the newest committed revision on disk, as this member last saw',
    () => seen()?.redundancy ?? 0,
  );
  gauge(
    registry,
    'learners_ready',
    'Core machines without a vote that hold the newest committed revision',
    () => seen()?.readyLearners ?? 0,
  );
  lossesGauge(
    registry,
    'losses_tolerated',
    'Losses at the same time that the voters are to bear, by kind',
    () => seen()?.toleratedLosses,
  );
  lossesGauge(
    registry,
    'losses_bearable',
    'Losses at the same time that the voters bear where they stand, by kind, as this member last saw',
    () => seen()?.bearableLosses,
  );
};

/** Counts the outcomes and retries of requests from their journal. */
export const countPassages = (registry: Registry, journal: Journal<PassageEvent>): void => {
  const steps = new Counter({
    name: 'rudderridge_request_steps_total',
    help: 'Requests that came to each state',
    labelNames: ['state'],
    registers: [registry],
  });
  const faults = new Counter({
    name: 'rudderridge_request_faults_total',
    help: 'Illegal steps that were tried',
    registers: [registry],
  });
  const retries = new Counter({
    name: 'rudderridge_request_retries_total',
    help: 'Requests sent to a second engine',
    registers: [registry],
  });
  journal.view(undefined, (_, { event }) => {
    if (event.kind === 'step') steps.inc({ state: event.to });
    else if (event.kind === 'retry') retries.inc();
    else faults.inc();
    return undefined;
  });
};
