/**
 * The choice among engines that may take a request now. One with a long shared part looks at all of them and weighs
 * what would be read and waited for; others look at a few at random, so that many routers don't all run to one engine.
 */
import { shuffled, type Random } from '../../kernel/random/random.js';
import type { Engine } from '../../pool/engine.js';
import type { PlaceAsk } from '../placer.js';
import type { Ahead, EngineLoad } from './load.js';
import { leaders, RANKS } from './order.js';
import type { PromptPrefixes } from './prefixes.js';
import type { ServiceRecord } from './service.js';
import type { Weights } from './weights.js';

/** An engine that may be chosen, with its estimate. */
export interface Option {
  readonly engine: Engine;
  readonly load: EngineLoad;
  /** Place in the order of preference for the prompt's prefix. */
  readonly rank: number;
  /** Tokens thought to be read, and those known to be kept. */
  readonly read: number;
  readonly kept: number;
  readonly urgency: number;
  readonly ahead: Ahead;
  readonly late: number;
  /** Milliseconds to the first token. */
  readonly estimate: number;
  /** What the choice weighs, in milliseconds. */
  readonly cost: number;
}

/** Engines that may take a request now, and what is known of each, in the same places. */
export interface Candidates {
  readonly engines: Engine[];
  readonly loads: EngineLoad[];
}

/** Bands of three for each priority; within one, what is read sooner comes first. */
export const urgencyOf = (priority: number, read: number): number =>
  priority >= 3 ? 9 : priority * 3 + (read <= 2048 ? 0 : read <= 8192 ? 1 : 2);

/** Up to so many engines all are looked at one by one. */
const FEW = 16;

/** Chooses among the engines that may take a request. */
export class Choice {
  private readonly binding: boolean;
  /** The pull from which on an engine is left to long prompts; none while engines are not split. */
  private readonly border: number | undefined;
  private readonly ranks = new Map<number, number>();

  private readonly engines: readonly Engine[];
  private readonly loads: readonly EngineLoad[];

  constructor(
    private readonly ask: PlaceAsk,
    { engines, loads }: Candidates,
    private readonly prefixes: PromptPrefixes | undefined,
    private readonly record: ServiceRecord,
    private readonly weights: Weights,
    private readonly zone: string,
    private readonly zoneCost: number,
    private readonly now: number,
  ) {
    this.engines = engines;
    this.loads = loads;
    this.binding = prefixes !== undefined && prefixes.shared >= weights.binding;
    const hashes = loads.map(({ hash }) => hash);
    const count =
      weights.favour > 0 && record.blocking.share >= weights.splitFrom
        ? record.split.share(engines.length, weights.favour)
        : engines.length;
    this.border = count === engines.length ? undefined : record.split.pull(hashes, count, now);
    if (!this.binding) return;
    const homes: number[] = [];
    for (let at = 0; at < engines.length; at++) if (this.home(at)) homes.push(at);
    leaders(
      prefixes!.key,
      homes.map((at) => hashes[at]!),
    ).forEach((at, rank) => this.ranks.set(homes[at]!, rank));
  }

  best(random: Random): Option {
    const probe = this.binding ? undefined : this.probe();
    if (probe) return probe;
    const looked = this.binding ? this.worthwhile(random) : this.some(random);
    const first = Math.floor(random.fraction() * looked.length);
    let best: Option | undefined;
    for (let step = 0; step < looked.length; step++) {
      const option = this.option(looked[(first + step) % looked.length]!);
      if (!best || option.cost < best.cost) best = option;
    }
    this.record.split.note(this.binding, best!.read, this.now);
    return best!;
  }

  /** Few at home and one that isn't, at random. */
  private some(random: Random): readonly number[] {
    const {
      engines: { length },
      weights: { choices },
    } = this;
    const picked = new Set<number>();
    const order =
      length <= FEW
        ? shuffled(
            random,
            this.engines.map((_, at) => at),
          )
        : undefined;
    const wanted = { homes: choices, foreign: this.border === undefined ? 0 : 1 };
    for (let step = 0; step < length && (wanted.homes > 0 || wanted.foreign > 0); step++) {
      const at = order ? order[step]! : Math.floor(random.fraction() * length);
      const side = this.home(at) ? 'homes' : 'foreign';
      if (wanted[side] === 0 || picked.has(at)) continue;
      picked.add(at);
      wanted[side] -= 1;
    }
    return [...picked];
  }

  /** All, if few; else those preferred, those that keep some of the prefix, and few others at random. */
  private worthwhile(random: Random): readonly number[] {
    const { engines, prefixes } = this;
    if (engines.length <= FEW) {
      for (const weights of new Set(engines.map(({ weightGeneration }) => weightGeneration)))
        prefixes!.holders(weights);
      return engines.map((_, at) => at);
    }
    const picked = new Set(this.ranks.keys());
    const held = new Map<string, ReadonlyMap<string, number>>();
    for (let at = 0; at < engines.length; at++) {
      const { identifier, weightGeneration } = engines[at]!;
      let holders = held.get(weightGeneration);
      if (!holders) held.set(weightGeneration, (holders = prefixes!.holders(weightGeneration)));
      if (holders.has(identifier)) picked.add(at);
    }
    for (const at of this.some(random)) picked.add(at);
    return [...picked];
  }

  /** An engine where a long prompt of this node's is being read, to learn how far it blocks, when that can't do harm. */
  private probe(): Option | undefined {
    const {
      blocking,
      reading,
      pace: { base, perToken },
    } = this.record;
    if (reading === 0 || !blocking.wanted(this.now)) return undefined;
    for (let at = 0; at < this.engines.length; at++) {
      if (!this.loads[at]!.beside(urgencyOf(this.ask.priority, 0), base / perToken)) continue;
      const option = this.option(at);
      const { before, beside } = option.ahead;
      if (
        before > 0 ||
        beside < base ||
        (!blocking.atAnyPrice && option.estimate + beside > 0.75 * this.ask.target)
      )
        continue;
      blocking.ask(this.now);
      return option;
    }
    return undefined;
  }

  private home(at: number): boolean {
    return (
      this.border === undefined ||
      this.record.split.isLong(this.loads[at]!.hash, this.border) === this.binding
    );
  }

  private option(at: number): Option {
    const { ask, weights, record, prefixes, binding } = this;
    const engine = this.engines[at]!;
    const load = this.loads[at]!;
    const rank = this.ranks.get(at) ?? RANKS;
    const tokens = prefixes?.prompt.tokens ?? 0;
    const kept = prefixes?.keptAt(engine) ?? 0;
    const unknown = binding ? Math.max(0, prefixes!.shared - kept) : 0;
    const read = tokens - kept - unknown * record.belief.warmth(rank);
    const urgency = urgencyOf(ask.priority, read);
    const { perToken, base } = record.pace;
    const ahead = load.ahead(urgency, perToken, this.now);
    const wait = ahead.before + record.blocking.share * ahead.beside;
    const late = load.lateness(this.now);
    const estimate = base + wait + late + read * perToken;
    const beyond = weights.beyond * Math.max(0, estimate - weights.comfort * ask.target);
    const foreign = this.home(at)
      ? 0
      : ask.target * (binding ? weights.foreignLong : weights.foreignShort);
    const waits = binding ? weights.wait * wait + weights.late * late : wait + late;
    const cost =
      waits +
      weights.read * read * perToken +
      beyond +
      foreign +
      (engine.zone === this.zone ? 0 : this.zoneCost + weights.foreignZone * ask.target);
    return { engine, load, rank, read, kept, urgency, ahead, late, estimate, cost };
  }
}
