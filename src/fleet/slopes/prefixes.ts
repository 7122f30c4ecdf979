/**
 * The index over shared prefixes at one router, filled with as many as a node would see: heap bytes for each prefix,
 * and microseconds for each look-up. Each prefix has two parts and is kept at one engine, as rendezvous hashing has it.
 */
import { blocksOfParts } from '../../index/hash.js';
import { PartIndex } from '../../index/parts.js';
import type { Role } from './role.js';

/** How many engines and services the index holds prefixes of. */
export interface IndexPlan {
  readonly engines: number;
  readonly services: number;
}

/** What the index took. */
export interface IndexTold {
  readonly claims: number;
  readonly storeMicros: number;
  readonly findMicros: number;
  readonly found: number;
}

const LOOKUPS = 20_000;
const MODELS = 3;

/** The role of a process that fills an index. */
export const index = (({ engines, services }: IndexPlan) => {
  const held = new PartIndex(() => 1);
  let stored = 0;
  const at = (number: number) => {
    const root = held.root({
      model: `model-${number % MODELS}`,
      weightGeneration: 'w1',
      firm: `service-${number % services}`,
    });
    return {
      root,
      blocks: blocksOfParts(
        [
          { id: `system-${number}`, tokens: 900 },
          { id: `tools-${number}`, tokens: 3100 },
        ],
        root,
      ),
      engine: `engine-${(number * 7919) % engines}`,
    };
  };
  const answer = ((to: number): IndexTold => {
    const began = performance.now();
    const from = stored;
    for (; stored < to; stored++) {
      const { root, blocks, engine } = at(stored);
      held.store(engine, 'w1', root, blocks, 0, Infinity);
    }
    const between = performance.now();
    let found = 0;
    for (let turn = 0; turn < LOOKUPS; turn++) {
      const { root, blocks, engine } = at(Math.floor((turn * 0.618034 * stored) % stored));
      if ((held.find(root, blocks).get(engine) ?? 0) === 2) found += 1;
    }
    const ended = performance.now();
    return {
      claims: held.counts.get('claims') ?? 0,
      storeMicros: ((between - began) * 1000) / Math.max(1, to - from),
      findMicros: ((ended - between) * 1000) / LOOKUPS,
      found: found / LOOKUPS,
    };
  }) as (question: unknown) => IndexTold;
  return Promise.resolve({ ready: true, answer });
}) satisfies (plan: IndexPlan) => unknown as Role;
