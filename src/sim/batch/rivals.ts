/** Simple ways of placing, to compare with: in turn, the least of one's own at the engine, and by hash alone. */
import type { Clock } from '../../kernel/clock/clock.js';
import type { Random } from '../../kernel/random/random.js';
import type { PlaceAsk, Placement, Placer } from '../../place/placer.js';
import { hashOf, leaders } from '../../place/prefix/order.js';
import {
  defaultWeights,
  PrefixPlacer,
  prefixPlacerDefaults,
  type PrefixPlacerParams,
  type Weights,
} from '../../place/prefix.js';
import type { Engine } from '../../pool/engine.js';

export const ways = ['round-robin', 'least-own', 'hash-only', 'prefix', 'oracle'] as const;
export type Way = (typeof ways)[number];

/** What no router can know: the true cost, in tokens to be read before the first one, of a prompt at an engine. */
export type Insight = (engine: Engine, ask: PlaceAsk) => number;

class Simple implements Placer {
  private readonly flying = new Map<string, number>();
  private turn: number;

  constructor(
    private readonly way: Way,
    private readonly random: Random,
    private readonly insight: Insight,
  ) {
    this.turn = Math.floor(random.fraction() * 1000);
  }

  place(ask: PlaceAsk, engines: readonly Engine[]): Placement {
    const engine = this.pick(ask, engines);
    if (!engine) return { kind: 'full', retryAfter: 100, reason: 'no-engine' };
    const { identifier } = engine;
    this.flying.set(identifier, (this.flying.get(identifier) ?? 0) + 1);
    const end = (): void => void this.flying.set(identifier, this.flying.get(identifier)! - 1);
    return {
      kind: 'placed',
      ticket: {
        engine,
        urgency: Math.min(9, ask.priority * 3),
        head: () => undefined,
        piece: () => undefined,
        end,
      },
    };
  }

  listed(): void {}

  private pick(ask: PlaceAsk, engines: readonly Engine[]): Engine | undefined {
    const parts = ask.prompt?.parts ?? [];
    if (this.way === 'hash-only' && parts.length > 1 && parts[0]!.tokens >= 1024)
      return engines[
        leaders(
          hashOf(parts[0]!.id),
          engines.map(({ identifier }) => hashOf(identifier)),
        )[0]!
      ];
    if (this.way === 'oracle') {
      const costs = engines.map((engine) => this.insight(engine, ask));
      return engines[costs.indexOf(Math.min(...costs))];
    }
    if (this.way === 'round-robin') return engines[this.turn++ % engines.length];
    const least = Math.min(...engines.map(({ identifier }) => this.flying.get(identifier) ?? 0));
    const idle = engines.filter(({ identifier }) => (this.flying.get(identifier) ?? 0) === least);
    return idle[Math.floor(this.random.fraction() * idle.length)];
  }
}

export const placerOf = (
  way: Way,
  clock: Clock,
  random: Random,
  params: Partial<PrefixPlacerParams>,
  insight: Insight,
  weights: Partial<Weights> = {},
): Placer =>
  way === 'prefix'
    ? new PrefixPlacer({ ...prefixPlacerDefaults, ...params }, clock, random, {
        ...defaultWeights,
        ...weights,
      })
    : new Simple(way, random, insight);
