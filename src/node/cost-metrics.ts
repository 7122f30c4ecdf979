/** Metrics that tell what changes and peers cost a node, and whether its event loop stood still. */
import { Counter, Gauge, type Registry } from 'prom-client';
import type { Clock } from '../kernel/clock/clock.js';
import type { NodeWork } from '../monitor/node-work.js';
import type { Stalls } from '../monitor/stalls.js';
import type { WorkCost } from '../monitor/work-meter.js';
import { documentWork } from '../register/document-work.js';
import type { Traffic } from '../wire/traffic.js';
import { gauge } from './metrics.js';

/** What the cost metrics are read from. */
export interface CostSources {
  readonly work: NodeWork;
  readonly stalls: Stalls;
  readonly traffic: Traffic;
  readonly clock: Clock;
}

/** Registers the metrics. */
export const costMetrics = (
  registry: Registry,
  { work, stalls, traffic, clock }: CostSources,
): void => {
  workMetrics(registry, () => [...documentWork.costs, ...work.costs]);
  stallMetrics(registry, stalls, clock);
  trafficMetrics(registry, traffic);
};

const workMetrics = (
  registry: Registry,
  read: () => ReadonlyArray<readonly [string, Readonly<WorkCost>]>,
): void => {
  const totals = [
    ['work_runs_total', 'How often each kind of work was done', 'runs'],
    ['work_ms_total', 'How long each kind of work took in all', 'milliseconds'],
    ['work_bytes_total', 'How many bytes each kind of work went through', 'bytes'],
  ] as const;
  for (const [name, help, field] of totals) {
    const made: Counter = new Counter({
      name: `rudderridge_${name}`,
      help,
      labelNames: ['kind'],
      registers: [registry],
      collect: () => {
        made.reset();
        for (const [kind, cost] of read()) made.inc({ kind }, cost[field]);
      },
    });
  }
  const longest: Gauge = new Gauge({
    name: 'rudderridge_work_longest_ms',
    help: 'The longest that each kind of work took at once',
    labelNames: ['kind'],
    registers: [registry],
    collect: () => {
      for (const [kind, cost] of read()) longest.set({ kind }, cost.longest);
    },
  });
};

const stallMetrics = (registry: Registry, stalls: Stalls, clock: Clock): void => {
  gauge(
    registry,
    'event_loop_stall_ms',
    'The longest that timers came late in the last 10 to 20 s',
    () => stalls.longest(clock.now()),
  );
  gauge(registry, 'event_loop_stalls', 'Stalls of over 50 ms since the start', () => stalls.count);
  gauge(
    registry,
    'event_loop_stalled_ms',
    'How long these stalls took in all',
    () => stalls.milliseconds,
  );
};

const trafficMetrics = (registry: Registry, traffic: Traffic): void => {
  const totals = [
    ['peer_messages_total', 'Frames to and from other nodes, by call', 'messages'],
    ['peer_bytes_total', 'Bytes of these frames', 'bytes'],
  ] as const;
  for (const [name, help, field] of totals) {
    const made: Counter = new Counter({
      name: `rudderridge_${name}`,
      help,
      labelNames: ['call', 'way'],
      registers: [registry],
      collect: () => {
        made.reset();
        for (const { call, way, ...count } of traffic.counts) made.inc({ call, way }, count[field]);
      },
    });
  }
};
