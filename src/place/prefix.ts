/**
 * Placement by estimated time to first token for requests whose prompts are told as parts. Each router keeps its own
 * index of what it sent where and its own estimates, and shares neither; all prefer the same engines for a prefix by
 * hashing alone. docs/placement.md says what is estimated and why.
 */
import type { Prompt } from '../forward/dialect.js';
import type { SizedBlock } from '../index/hash.js';
import { blocksOfParts } from '../index/hash.js';
import { PartIndex } from '../index/parts.js';
import type { Clock } from '../kernel/clock/clock.js';
import type { Random } from '../kernel/random/random.js';
import type { Engine } from '../pool/engine.js';
import { Soundness } from '../pool/soundness.js';
import type { Service } from '../route/shape.js';
import type { PlaceAsk, Placement, Placer, Ticket, TicketEnd } from './placer.js';
import { Belief } from './prefix/belief.js';
import { EngineLoad, type Reading } from './prefix/load.js';
import { hashOf, leaders, RANKS } from './prefix/order.js';
import { Pace } from './prefix/pace.js';

export interface PrefixPlacerParams {
  readonly zone: string;
  /** Milliseconds that an engine of another zone counts as worse. */
  readonly zoneCost: number;
  /** How many routers are thought to send to the engines, this one counted. */
  readonly routers: () => number;
  /** Requests one engine works on at once, where neither its listing nor its service says so. */
  readonly slots: number;
  /** Tokens an engine keeps, where its service does not say so. */
  readonly cacheTokens: number;
}

export const prefixPlacerDefaults: PrefixPlacerParams = { zone: '', zoneCost: 0, routers: () => 1, slots: 64, cacheTokens: 262_144 };

/** Shared parts below this many tokens don't bind a request to the engines that are preferred for them. */
const BINDING = 1024;
/** How many engines a request without such parts looks at. */
const CHOICES = 3;
/** Reading takes from all that run at an engine, so a token read counts for more than its own time. */
const READ_WEIGHT = 1.5;
const SERVICES_BOUND = 4096;

/** What is known of a request's prompt at an engine. */
interface Outlook {
  /** Tokens thought to be read. */
  readonly read: number;
  /** Tokens surely known to this node as kept there. */
  readonly kept: number;
}

interface Option extends Outlook {
  readonly engine: Engine;
  readonly load: EngineLoad;
  readonly rank: number;
  /** Milliseconds to the first token. */
  readonly estimate: number;
  readonly cost: number;
}

/** A prompt as the index sees it, for engines of one set of weights. */
interface Chain {
  readonly root: string;
  readonly blocks: readonly SizedBlock[];
  readonly held: ReadonlyMap<string, number>;
}

const sumOf = (blocks: readonly SizedBlock[], to: number): number => {
  let sum = 0;
  for (let at = 0; at < to; at++) sum += blocks[at]!.tokens;
  return sum;
};

export class PrefixPlacer implements Placer {
  private readonly index: PartIndex;
  private readonly soundness: Soundness;
  private readonly loads = new Map<string, EngineLoad>();
  private readonly paces = new Map<string, Pace>();
  private readonly belief = new Belief();

  constructor(private readonly params: PrefixPlacerParams, private readonly clock: Clock, private readonly random: Random) {
    this.index = new PartIndex(params.routers);
    this.soundness = new Soundness(clock);
  }

  place(ask: PlaceAsk, engines: readonly Engine[]): Placement {
    const now = this.clock.now();
    if (engines.length === 0) return this.full(ask, ask.target / 4, 'no-engine');
    const sound = this.sound(engines);
    const open = sound.filter((engine) => this.load(engine).flying < this.slots(engine, ask.service) && this.load(engine).fullFor(now) <= 0);
    if (open.length === 0) {
      const closed = sound.filter((engine) => this.load(engine).flying < this.slots(engine, ask.service));
      const soonest = closed.reduce((least, engine) => Math.min(least, this.load(engine).fullFor(now)), Infinity);
      const doubtful = closed.filter((engine) => this.load(engine).refusals < 2);
      if (doubtful.length === 0) return this.full(ask, Number.isFinite(soonest) ? soonest : this.pace(ask.service).base, 'no-room');
      return this.send(ask, doubtful, now);
    }
    return this.send(ask, open, now);
  }

  listed(engines: ReadonlyMap<string, Engine>): void {
    this.index.listed(engines);
    this.soundness.forget(engines);
    for (const identifier of this.loads.keys()) if (!engines.has(identifier)) this.loads.delete(identifier);
  }

  get counts(): ReadonlyMap<string, number> {
    return this.index.counts;
  }

  private send(ask: PlaceAsk, open: readonly Engine[], now: number): Placement {
    const best = this.best(ask, open, now);
    const occupied = this.occupied(ask.service, open);
    const limit = ask.priority === 0 ? 0.9 : 0.7;
    if (best.estimate > ask.target && occupied >= limit) return this.full(ask, best.estimate - ask.target, 'late');
    return { kind: 'placed', ticket: this.ticket(ask, best, now) };
  }

  /** The share of the engines' places thought to be taken: the other routers are taken to have as many there as this one. */
  private occupied(service: Service, engines: readonly Engine[]): number {
    let flying = 0;
    let slots = 0;
    for (const engine of engines) {
      flying += this.load(engine).flying;
      slots += this.slots(engine, service);
    }
    return slots === 0 ? 1 : (flying * Math.max(1, this.params.routers())) / slots;
  }

  private best(ask: PlaceAsk, open: readonly Engine[], now: number): Option {
    const { prompt } = ask;
    const parts = prompt?.parts ?? [];
    const shared = parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
    const binding = prompt !== undefined && shared >= BINDING;
    const looked = binding ? open : this.some(open, CHOICES);
    const chains = new Map<string, Chain>();
    const ranks = new Map<Engine, number>();
    if (binding) leaders(this.keyOf(ask.service, prompt, shared), looked.map((engine) => this.load(engine).hash)).forEach((at, rank) => ranks.set(looked[at]!, rank));
    let best: Option | undefined;
    const first = Math.floor(this.random.fraction() * looked.length);
    for (let step = 0; step < looked.length; step++) {
      const engine = looked[(first + step) % looked.length]!;
      const option = this.option(ask, engine, ranks.get(engine) ?? RANKS, binding ? shared : 0, chains, now);
      if (!best || option.cost < best.cost) best = option;
    }
    return best!;
  }

  private option(ask: PlaceAsk, engine: Engine, rank: number, shared: number, chains: Map<string, Chain>, now: number): Option {
    const load = this.load(engine);
    const pace = this.pace(ask.service);
    const { read, kept } = this.outlook(ask, engine, rank, shared, chains);
    const waits = load.ahead(this.urgency(ask, read)) * pace.perToken + load.lateness(now);
    const estimate = pace.base + waits + read * pace.perToken;
    const cost = waits + READ_WEIGHT * read * pace.perToken + (engine.zone === this.params.zone ? 0 : this.params.zoneCost);
    return { engine, load, rank, read, kept, estimate, cost };
  }

  private outlook({ service, prompt }: PlaceAsk, engine: Engine, rank: number, shared: number, chains: Map<string, Chain>): Outlook {
    if (!prompt) return { read: 0, kept: 0 };
    const { blocks, held } = this.chain(service, prompt, engine.weightGeneration, chains);
    const kept = Math.min(prompt.tokens, sumOf(blocks, held.get(engine.identifier) ?? 0));
    const unknown = Math.max(0, shared - kept);
    return { kept, read: prompt.tokens - kept - unknown * this.belief.warmth(rank) };
  }

  private chain(service: Service, prompt: Prompt, weights: string, chains: Map<string, Chain>): Chain {
    const known = chains.get(weights);
    if (known) return known;
    const root = this.index.root({ model: prompt.model, weightGeneration: weights, firm: service.name });
    const blocks = blocksOfParts(prompt.parts, root);
    const made = { root, blocks, held: this.index.find(root, blocks) };
    chains.set(weights, made);
    return made;
  }

  /** The first parts that hold at least half of what is shared stand for the prefix. */
  private keyOf(service: Service, prompt: Prompt, shared: number): number {
    let text = `${service.name}\u0000${prompt.model}`;
    let sum = 0;
    for (const { id, tokens } of prompt.parts) {
      if (sum * 2 >= shared) break;
      text += `\u0000${id}`;
      sum += tokens;
    }
    return hashOf(text);
  }

  /** Bands of three for each priority; within one, what is read sooner comes first. */
  private urgency({ priority }: PlaceAsk, read: number): number {
    if (priority >= 3) return 9;
    return priority * 3 + (read <= 2048 ? 0 : read <= 8192 ? 1 : 2);
  }

  private ticket(ask: PlaceAsk, { engine, load, rank, read, kept, estimate }: Option, now: number): Ticket {
    const { service, prompt } = ask;
    const pace = this.pace(service);
    const urgency = this.urgency(ask, read);
    const ahead = load.ahead(urgency);
    const reading: Reading = { sentAt: now, expected: estimate - load.lateness(now), tokens: read, urgency };
    load.begin(reading);
    this.soundness.begin(engine.identifier);
    let begun = false;
    let ended = false;
    const piece = (): void => {
      if (begun || ended) return;
      begun = true;
      load.read(reading);
      load.took();
      const took = this.clock.now() - now;
      if (prompt) this.learn(service, prompt, engine, { rank, read, kept, ahead, took, pace, reading, load });
    };
    const end = (how: TicketEnd): void => {
      if (ended) return;
      ended = true;
      const at = this.clock.now();
      load.read(reading);
      load.flying -= 1;
      if (how === 'whole') this.soundness.good(engine.identifier);
      else if (how === 'failed') this.soundness.bad(engine.identifier);
      else if (how === 'turned-away') load.turnedAway(at);
      else if (!begun && at - now > reading.expected) load.noteLate(at, at - now - reading.expected);
    };
    return { engine, urgency, expected: estimate, head: () => undefined, piece, end };
  }

  private learn(service: Service, prompt: Prompt, engine: Engine, seen: { rank: number; read: number; kept: number; ahead: number; took: number; pace: Pace; reading: Reading; load: EngineLoad }): void {
    const { rank, read, kept, ahead, took, pace, reading, load } = seen;
    const own = prompt.parts[prompt.parts.length - 1]?.tokens ?? 0;
    const unknown = prompt.tokens - own - kept;
    const guessed = unknown >= BINDING;
    pace.observe(took, read, ahead, !guessed);
    const now = this.clock.now();
    if (guessed) {
      const least = pace.base + (ahead + own) * pace.perToken;
      const warm = took < least + (unknown * pace.perToken) / 2;
      if (rank < RANKS) this.belief.observe(rank, warm);
      load.noteLate(now, Math.max(0, took - least - (warm ? 0 : unknown * pace.perToken)));
    } else load.noteLate(now, took - reading.expected);
    const weights = engine.weightGeneration;
    const root = this.index.root({ model: prompt.model, weightGeneration: weights, firm: service.name });
    if (this.loads.get(engine.identifier) === load) this.index.store(engine.identifier, weights, root, blocksOfParts(prompt.parts, root), 1, service.engine?.cacheTokens ?? this.params.cacheTokens);
  }

  private full(ask: PlaceAsk, wait: number, reason: string): Placement {
    const most = ask.deadline / 3;
    return { kind: 'full', retryAfter: Math.min(most, Math.max(10, wait) * (0.75 + this.random.fraction() / 2)), reason };
  }

  private some(engines: readonly Engine[], count: number): readonly Engine[] {
    if (engines.length <= count) return engines;
    const picked = new Set<Engine>();
    while (picked.size < count) picked.add(engines[Math.floor(this.random.fraction() * engines.length)]!);
    return [...picked];
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

  private pace(service: Service): Pace {
    const known = this.paces.get(service.name);
    if (known) return known;
    if (this.paces.size >= SERVICES_BOUND) this.paces.delete(this.paces.keys().next().value as string);
    const made = new Pace();
    this.paces.set(service.name, made);
    return made;
  }
}
