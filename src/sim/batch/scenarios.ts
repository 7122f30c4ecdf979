/** Scenarios to compare ways of placing by; the sizes are of the kind that large models on current machines have. */
import type { BatchParams } from './engine.js';
import type { Scenario } from './run.js';

export const batch: BatchParams = {
  slots: 64,
  queue: 192,
  step: 5,
  stepPerRunning: 0.03,
  contextPerK: 0.0035,
  rate: 50,
  pairsPerM: 0.3,
  chunk: 1024,
  first: 45,
  stride: 4,
  memory: 440_000,
  chunks: 'arrival',
};

/** For each engine 22 short and 1.5 long requests a second at a load of 1; keys in proportion to the engines. */
export const scenario = (
  engines: number,
  routers: number,
  load: number,
  span = 24_000,
): Scenario => ({
  engines,
  routers,
  batch,
  zones: 3,
  uneven: 0,
  traffic: {
    span,
    longPerSecond: 1.5 * load * engines,
    shortPerSecond: 22 * load * engines,
    keys: Math.round(7 * engines),
    skew: 0.3,
  },
});

export const troubles: ReadonlyMap<string, (base: Scenario) => Scenario> = new Map([
  ['calm', (base: Scenario) => base],
  [
    'burst',
    (base: Scenario) => ({
      ...base,
      traffic: {
        ...base.traffic,
        burst: { kind: 'short' as const, x: 1.5, from: 8000, to: 12_000 },
      },
    }),
  ],
  [
    'burst-long',
    (base: Scenario) => ({
      ...base,
      traffic: {
        ...base.traffic,
        burst: { kind: 'long' as const, x: 1.5, from: 8000, to: 12_000 },
      },
    }),
  ],
  [
    'hot',
    (base: Scenario) => ({
      ...base,
      traffic: { ...base.traffic, hot: { share: 0.3, from: 8000, to: 14_000 } },
    }),
  ],
  ['crash', (base: Scenario) => ({ ...base, crash: { at: 10_000, listed: 3000 } })],
  ['release', (base: Scenario) => ({ ...base, release: { at: 7000, gap: 1500 } })],
  ['slow', (base: Scenario) => ({ ...base, slow: { x: 2.5 } })],
  ['uneven', (base: Scenario) => ({ ...base, uneven: 0.25 })],
  [
    'urgent-chunks',
    (base: Scenario) => ({ ...base, batch: { ...base.batch, chunks: 'urgent' as const } }),
  ],
  [
    'even-chunks',
    (base: Scenario) => ({ ...base, batch: { ...base.batch, chunks: 'even' as const } }),
  ],
]);
