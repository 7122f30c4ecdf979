/**
 * Placement by estimated time to first token for requests whose prompts are told as parts. Each router keeps its own
 * index of what it sent where and its own estimates, and shares neither; all prefer the same engines for a prefix by
 * hashing alone. docs/placement.md says what is estimated and why.
 */
import { PartIndex } from '../index/parts.js';
import type { Clock } from '../kernel/clock/clock.js';
import type { Random } from '../kernel/random/random.js';
import type { Engine } from '../pool/engine.js';
import { Soundness } from '../pool/soundness.js';
import type { Service } from '../route/shape.js';
import type { PlaceAsk, Placement, Placer } from './placer.js';
import { Choice, type Candidates } from './prefix/choice.js';
import { EngineLoad } from './prefix/load.js';
import { PromptPrefixes } from './prefix/prefixes.js';
import { ServiceRecords } from './prefix/service.js';
import { PlacedTicket } from './prefix/ticket.js';
import { defaultWeights, type PrefixPlacerParams, type Weights } from './prefix/weights.js';

export {
  defaultWeights,
  prefixPlacerDefaults,
  type PrefixPlacerParams,
  type Weights,
} from './prefix/weights.js';

/** The shortest wait a refusal names, in milliseconds. */
const LEAST_WAIT = 10;

/** Places requests where the shared part of their prompt was read before. */
export class PrefixPlacer implements Placer {
  private readonly index: PartIndex;
  private readonly soundness: Soundness;
  private readonly loads = new Map<string, EngineLoad>();
  private readonly records = new ServiceRecords();

  constructor(
    private readonly params: PrefixPlacerParams,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly weights: Weights = defaultWeights,
  ) {
    this.index = new PartIndex(params.routers);
    this.soundness = new Soundness(clock);
  }

  place(ask: PlaceAsk, engines: readonly Engine[]): Placement {
    const now = this.clock.now();
    if (engines.length === 0) return this.full(ask, ask.target / 4, 'no-engine');
    const open: Candidates = { engines: [], loads: [] };
    const doubtful: Candidates = { engines: [], loads: [] };
    let soonest = Infinity;
    for (const engine of this.sound(engines)) {
      const load = this.load(engine);
      if (load.flying >= this.slots(engine, ask.service)) continue;
      const shut = load.fullFor(now);
      // One word of an engine that it is full may have passed by now; two in a row are believed.
      const list = shut <= 0 ? open : load.refusals < 2 ? doubtful : undefined;
      list?.engines.push(engine);
      list?.loads.push(load);
      soonest = Math.min(soonest, shut);
    }
    if (open.engines.length > 0) return this.send(ask, open, now);
    if (doubtful.engines.length > 0) return this.send(ask, doubtful, now);
    return this.full(
      ask,
      Number.isFinite(soonest) ? soonest : this.records.of(ask.service).pace.base,
      'no-room',
    );
  }

  listed(engines: ReadonlyMap<string, Engine>): void {
    this.index.listed(engines);
    this.soundness.forget(engines);
    for (const identifier of this.loads.keys())
      if (!engines.has(identifier)) this.loads.delete(identifier);
  }

  get counts(): ReadonlyMap<string, number> {
    return this.index.counts;
  }

  private send(ask: PlaceAsk, candidates: Candidates, now: number): Placement {
    const { service, prompt } = ask;
    const record = this.records.of(service);
    const prefixes = prompt && new PromptPrefixes(this.index, service.name, prompt);
    const { zone, zoneCost } = this.params;
    const best = new Choice(
      ask,
      candidates,
      prefixes,
      record,
      this.weights,
      zone,
      zoneCost,
      now,
    ).best(this.random);
    const limit = ask.priority === 0 ? this.weights.fullHigh : this.weights.fullLow;
    if (best.estimate > ask.target && this.occupied(service, candidates) >= limit)
      return this.full(ask, best.estimate - ask.target, 'late');
    return {
      kind: 'placed',
      ticket: new PlacedTicket(
        best,
        record,
        prefixes,
        service.engine?.cacheTokens ?? this.params.cacheTokens,
        this.soundness,
        this.clock,
      ),
    };
  }

  /** The share of the engines' places thought to be taken: the other routers are taken to have as many there as this one. */
  private occupied(service: Service, { engines, loads }: Candidates): number {
    let flying = 0;
    let slots = 0;
    for (let at = 0; at < engines.length; at++) {
      flying += loads[at]!.flying;
      slots += this.slots(engines[at]!, service);
    }
    return slots === 0 ? 1 : (flying * Math.max(1, this.params.routers())) / slots;
  }

  private full(ask: PlaceAsk, wait: number, reason: string): Placement {
    return {
      kind: 'full',
      retryAfter: Math.min(
        ask.deadline / 3,
        Math.max(LEAST_WAIT, wait) * (0.75 + this.random.fraction() / 2),
      ),
      reason,
    };
  }

  private sound(engines: readonly Engine[]): readonly Engine[] {
    if (this.soundness.clean) return engines;
    const usable = this.soundness.usable(engines.map(({ identifier }) => identifier));
    return engines.filter(({ identifier }) => usable.has(identifier));
  }

  private slots(engine: Engine, service: Service): number {
    return engine.slots ?? service.engine?.slots ?? this.params.slots;
  }

  private load(engine: Engine): EngineLoad {
    const known = this.loads.get(engine.identifier);
    if (known) return known;
    const made = new EngineLoad(engine.identifier);
    this.loads.set(engine.identifier, made);
    return made;
  }
}
