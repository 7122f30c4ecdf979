/**
 * The plainest placement: the engine with the fewest requests of this router's own, ties by chance. A baseline for
 * comparing, and what serves where nothing is known of prompts.
 */
import type { Random } from '../kernel/random/random.js';
import type { Engine } from '../pool/engine.js';
import type { PlaceAsk, Placement, Placer } from './placer.js';

/** Places each request at the engine with the fewest requests of this router. */
export class LeastLoadPlacer implements Placer {
  private readonly flying = new Map<string, number>();

  constructor(private readonly random: Random) {}

  place(ask: PlaceAsk, engines: readonly Engine[]): Placement {
    const load = (engine: Engine): number => this.flying.get(engine.identifier) ?? 0;
    const least = Math.min(...engines.map(load));
    const idle = engines.filter((engine) => load(engine) === least);
    const engine = idle[Math.floor(this.random.fraction() * idle.length)];
    if (!engine) return { kind: 'full', retryAfter: 250, reason: 'there is no engine' };
    this.flying.set(engine.identifier, load(engine) + 1);
    let open = true;
    return {
      kind: 'placed',
      ticket: {
        engine,
        urgency: Math.min(9, ask.priority),
        head: () => undefined,
        piece: () => undefined,
        end: () => {
          if (open) this.flying.set(engine.identifier, load(engine) - 1);
          open = false;
        },
      },
    };
  }

  listed(engines: ReadonlyMap<string, Engine>): void {
    for (const identifier of this.flying.keys())
      if (!engines.has(identifier)) this.flying.delete(identifier);
  }
}
