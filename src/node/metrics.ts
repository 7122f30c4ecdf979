/** The metrics of a node, folded from its journal and read from its services when they are asked for. */
import { Counter, Gauge, type Registry } from 'prom-client';
import type { Journal } from '../kernel/journal/journal.js';
import type { PassageEvent } from '../passage/chart.js';
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

/** What a core machine sees of the voters; nothing before it has started. */
export const voterMetrics = (
  registry: Registry,
  seen: () => Pick<VoterReplacement, 'voters' | 'redundancy' | 'readyLearners'> | undefined,
): void => {
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
