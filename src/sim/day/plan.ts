/** The two sites of a simulated day, the faults that may be injected there, and what a day gives back. */
import type { Finding } from '../../stand/judge/judge.js';

export interface DayPlan {
  readonly name: string;
  readonly zones: readonly string[];
  readonly routers: number;
  readonly cores: number;
  readonly engines: number;
  readonly shortPerSecond: number;
  readonly longPerSecond: number;
  readonly seconds: number;
  readonly faults: readonly FaultName[];
  /** Failures that may close a day; none for a day that ends quietly. */
  readonly closings: readonly FaultName[];
  /** How many faults are drawn, at least and at most. */
  readonly faultCount: readonly [number, number];
}

export const faultNames = [
  'core-killed',
  'core-power',
  'core-power-two',
  'core-frozen',
  'core-suspended',
  'core-slow',
  'core-resets',
  'core-all-killed',
  'core-split',
  'core-cut-off',
  'core-one-way',
  'core-disk-lost',
  'core-acked-then-lost',
  'core-replaced',
  'core-replaced-twice',
  'core-moved',
  'seed-foreign',
  'disk-stalled',
  'disk-full',
  'disk-slow',
  'clocks-jump',
  'router-killed',
  'router-herd',
  'router-all-killed',
  'router-frozen',
  'router-suspended',
  'router-slow',
  'router-resets',
  'router-isolated',
  'router-one-way',
  'router-drains',
  'routers-rolled',
  'engine-killed',
  'engine-replaced',
  'engine-dark',
  'engine-leaves',
  'engine-misbehaves',
  'engines-fail',
  'engines-grey',
  'engines-slow',
  'engines-spot',
  'engines-added',
  'engines-removed',
  'streams-break',
  'engines-released',
  'address-reused',
  'platform-dark',
  'platform-slow',
  'lossy-net',
  'nodes-reload',
  'all-killed',
  'crowd',
  'hot-prefix',
  'callers-repeat',
  'doorway-storm',
  'doorway-race',
  'doorways-at-once',
  'doorway-storm-long',
  'answers-lost',
] as const;
export type FaultName = (typeof faultNames)[number];

const shared: readonly FaultName[] = [
  'core-killed',
  'core-power',
  'core-power-two',
  'core-frozen',
  'core-suspended',
  'core-slow',
  'core-resets',
  'core-all-killed',
  'core-split',
  'core-cut-off',
  'core-one-way',
  'core-acked-then-lost',
  'core-replaced',
  'core-replaced-twice',
  'clocks-jump',
  'router-killed',
  'router-herd',
  'router-all-killed',
  'router-frozen',
  'router-suspended',
  'router-slow',
  'router-resets',
  'router-isolated',
  'router-one-way',
  'router-drains',
  'routers-rolled',
  'engine-killed',
  'engine-replaced',
  'engine-dark',
  'engine-leaves',
  'engine-misbehaves',
  'engines-fail',
  'engines-grey',
  'engines-slow',
  'engines-spot',
  'engines-added',
  'engines-removed',
  'streams-break',
  'engines-released',
  'address-reused',
  'platform-dark',
  'platform-slow',
  'lossy-net',
  'nodes-reload',
  'all-killed',
  'crowd',
  'hot-prefix',
  'callers-repeat',
  'doorway-storm',
  'doorway-race',
  'doorways-at-once',
  'doorway-storm-long',
  'answers-lost',
];
const closings: readonly FaultName[] = [
  'all-killed',
  'router-all-killed',
  'core-all-killed',
  'core-power-two',
  'router-herd',
  'core-cut-off',
  'engine-dark',
  'engines-released',
  'lossy-net',
];

export const sites: ReadonlyMap<string, DayPlan> = new Map([
  [
    'sahel',
    {
      name: 'sahel',
      zones: ['amman-1', 'amman-2', 'amman-3'],
      routers: 8,
      cores: 3,
      engines: 8,
      shortPerSecond: 12,
      longPerSecond: 1,
      seconds: 40,
      faultCount: [2, 5],
      closings,
      faults: [
        ...shared,
        'disk-stalled',
        'disk-slow',
        'seed-foreign',
        'seed-foreign',
        'clocks-jump',
      ],
    },
  ],
  [
    'aconcagua',
    {
      name: 'aconcagua',
      zones: ['valparaiso-1', 'valparaiso-2', 'santiago-1', 'santiago-2'],
      routers: 6,
      cores: 3,
      engines: 6,
      shortPerSecond: 12,
      longPerSecond: 1,
      seconds: 40,
      faultCount: [2, 5],
      closings,
      faults: [...shared, 'disk-full', 'core-disk-lost', 'core-moved', 'core-moved'],
    },
  ],
]);

/** A day with just one failure, at its site or at the other when it does not belong to the first. */
export const dayOf = (fault: FaultName, seconds: number): DayPlan => {
  const site =
    [...sites.values()].find(({ faults }) => faults.includes(fault)) ?? sites.get('sahel')!;
  return { ...site, seconds, faults: [fault], closings: [], faultCount: [1, 1] };
};

/** Traffic goes on for this long after the last failure, so that a day that closes with one shows whether service returns. */
export const AFTER = 12_500;

/** How often what a day is meant to prove really came up; a silent 0 proves nothing. */
export const situations = [
  'rivals',
  'idsSentAgain',
  'idsSentAgainAfterRun',
  'brokenStreams',
  'strangersDialled',
  'sentNearLeaving',
  'acceptedInForce',
  'declinedChanges',
  'lostAfterAccepted',
  'historyRead',
  'takenAtStop',
  'retries',
  'outages',
  'claimsCompared',
  'resumed',
  'lapsedLeases',
  'answersLost',
  'greyFailures',
  'connectionsReset',
  'reloads',
  'sentAtOnce',
] as const;
export type Situation = (typeof situations)[number];

export interface DayFinding {
  readonly breach: string;
  readonly request: string;
  readonly detail: string;
}

export interface DayResult {
  readonly seed: number;
  readonly findings: ReadonlyArray<Finding | DayFinding>;
  readonly faults: readonly string[];
  readonly outcomes: ReadonlyMap<string, number>;
  readonly changes: ReadonlyMap<string, number>;
  readonly situations: ReadonlyMap<Situation, number>;
  /** First result after a hard outage, for each; and for requests that may not be repeated. */
  readonly backAfter: readonly number[];
  readonly onceBackAfter: readonly number[];
  /** How long changes took to be told accepted while no failure was under way. */
  readonly calmAccepted: readonly number[];
  /** The highest share of requests sent to a second engine within any 10 s. */
  readonly retryShareMost: number;
}
