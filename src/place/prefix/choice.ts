/**
 * The choice among engines that may take a request now. One with a long shared part looks at all of them and weighs
 * what would be read and waited for; others look at a few at random, so that many routers don't all run to one engine.
 */
import type { Random } from '../../kernel/random/random.js';
import type { Engine } from '../../pool/engine.js';
import type { PlaceAsk } from '../placer.js';
import type { Ahead, EngineLoad } from './load.js';
import { foremost, leaders, RANKS } from './order.js';
import type { PromptPrefixes } from './prefixes.js';
import type { ServiceRecord } from './service.js';
import type { Weights } from './weights.js';

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

/** Bands of three for each priority; within one, what is read sooner comes first. */
export const urgencyOf = (priority: number, read: number): number => (priority >= 3 ? 9 : priority * 3 + (read <= 2048 ? 0 : read <= 8192 ? 1 : 2));

const drawn = (random: Random, from: readonly number[], count: number): readonly number[] => {
  if (from.length <= count) return from;
  const picked = new Set<number>();
  while (picked.size < count) picked.add(from[Math.floor(random.fraction() * from.length)]!);
  return [...picked];
};

export class Choice {
  private readonly binding: boolean;
  private readonly forLong: ReadonlySet<number> | undefined;
  private readonly ranks = new Map<number, number>();

  constructor(
    private readonly ask: PlaceAsk, private readonly engines: readonly Engine[], private readonly loads: readonly EngineLoad[], private readonly prefixes: PromptPrefixes | undefined,
    private readonly record: ServiceRecord, private readonly weights: Weights, private readonly zone: string, private readonly zoneCost: number, private readonly now: number,
  ) {
    this.binding = prefixes !== undefined && prefixes.shared >= weights.binding;
    const hashes = loads.map(({ hash }) => hash);
    const count = weights.favour > 0 && record.blocking.share >= weights.splitFrom ? record.split.share(engines.length, weights.favour) : engines.length;
    this.forLong = count === engines.length ? undefined : foremost(record.key, hashes, count);
    if (!this.binding) return;
    const homes = engines.map((_, at) => at).filter((at) => this.home(at));
    leaders(prefixes!.key, homes.map((at) => hashes[at]!)).forEach((at, rank) => this.ranks.set(homes[at]!, rank));
  }

  best(random: Random): Option {
    const all = this.engines.map((_, at) => at);
    const probe = this.binding ? undefined : this.probe(all);
    if (probe) return probe;
    const looked = this.binding ? all : [...drawn(random, all.filter((at) => this.home(at)), this.weights.choices), ...drawn(random, all.filter((at) => !this.home(at)), 1)];
    const first = Math.floor(random.fraction() * looked.length);
    let best: Option | undefined;
    for (let step = 0; step < looked.length; step++) {
      const option = this.option(looked[(first + step) % looked.length]!);
      if (!best || option.cost < best.cost) best = option;
    }
    this.record.split.note(this.binding, best!.read, this.now);
    return best!;
  }

  /** An engine where a long prompt of this node's is being read, to learn how far it blocks, when that can't do harm. */
  private probe(all: readonly number[]): Option | undefined {
    if (!this.record.blocking.wanted(this.now)) return undefined;
    for (const at of all) {
      const option = this.option(at);
      const { before, beside } = option.ahead;
      if (before > 0 || beside < this.record.pace.base || (!this.record.blocking.atAnyPrice && option.estimate + beside > 0.75 * this.ask.target)) continue;
      this.record.blocking.ask(this.now);
      return option;
    }
    return undefined;
  }

  private home(at: number): boolean {
    return this.forLong === undefined || this.forLong.has(at) === this.binding;
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
    const foreign = this.home(at) ? 0 : ask.target * (binding ? weights.foreignLong : weights.foreignShort);
    const waits = binding ? weights.wait * wait + weights.late * late : wait + late;
    const cost = waits + weights.read * read * perToken + beyond + foreign + (engine.zone === this.zone ? 0 : this.zoneCost);
    return { engine, load, rank, read, kept, urgency, ahead, late, estimate, cost };
  }
}
