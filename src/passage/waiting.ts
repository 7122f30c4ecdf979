/**
 * Waiting for an engine: a request stands in its doorway's line until an engine is chosen for it, the limit comes, or it
 * is certain that none can take it in time.
 */
import type { InForce } from '../doorway/match.js';
import type { Placed } from '../doorway/shape.js';
import type { Block } from '../index/hash.js';
import type { Prefixes } from '../index/prefixes.js';
import type { Clock } from '../kernel/clock/clock.js';
import type { RouterLease } from '../lease/router-lease.js';
import type { Chooser, Need, Slot } from '../place/choose.js';
import { allows, type Engine } from '../pool/engine.js';
import type { Newsroom } from '../pool/news.js';
import type { Soundness } from '../pool/soundness.js';
import type { Liner, Lines } from './line.js';
import {
  blocksIn,
  decline,
  namespaceOf,
  type Decline,
  type PassageParams,
  type Trip,
} from './trip.js';

/** How often the lines are looked at while requests wait, in ms. */
const LOOK_EVERY = 20;

/** The requests that wait for an engine, and the count of those at one. */
export class Waiting {
  private taken = 0;
  private ticking = false;

  constructor(
    private readonly node: string,
    private readonly lease: RouterLease,
    private readonly inForce: InForce,
    private readonly news: Newsroom,
    private readonly soundness: Soundness,
    private readonly prefixes: Prefixes,
    private readonly chooser: Chooser,
    private readonly lines: Lines,
    private readonly params: PassageParams,
    private readonly clock: Clock,
  ) {}

  /** How many requests are at engines now. */
  get inFlight(): number {
    return this.taken;
  }

  /** Gives a slot back, with the blocks that were made at its engine. */
  free(slot: Slot, made: readonly string[]): void {
    this.taken -= 1;
    this.chooser.free(slot, made, this.params.blockTokens);
    this.lines.serve();
  }

  /** Waits in the doorway's line for a slot at an engine, or for the word that there is none in time. */
  enter(trip: Trip, signal: AbortSignal): Promise<Slot | Decline> {
    trip.chart.step('lined');
    return new Promise((resolve) => {
      const timer = new AbortController();
      const settle = (result: Slot | Decline): void => {
        this.lines.leave(liner);
        timer.abort();
        signal.removeEventListener('abort', cancel);
        resolve(result);
      };
      const cancel = (): void =>
        settle(
          decline(
            'line',
            'caller',
            'the caller left, or this node had to stop, before it was sent',
            503,
            1,
          ),
        );
      const { doorway } = trip.placed;
      const liner: Liner = {
        doorway: doorway.name,
        share: doorway.share,
        bound: doorway.line,
        cost: trip.tokens + trip.reply,
        attempt: () => {
          const tried = this.tryPlace(trip);
          if (tried) settle(tried);
          return tried !== undefined;
        },
      };
      if (signal.aborted) return cancel();
      signal.addEventListener('abort', cancel, { once: true });
      if (!this.lines.enter(liner))
        return settle(
          decline('line', this.node, `the line of doorway ${doorway.name} is full`, 429, 1),
        );
      void this.clock.sleep(trip.firstToken - this.clock.now(), timer.signal).then(() => {
        if (!timer.signal.aborted)
          settle(decline('line', this.node, 'no engine opened within the limit', 503, 1));
      });
      this.lines.serve();
      void this.tick();
    });
  }

  private async tick(): Promise<void> {
    if (this.ticking) return;
    this.ticking = true;
    while (this.lines.waiting > 0) {
      await this.clock.sleep(LOOK_EVERY);
      this.lines.serve();
    }
    this.ticking = false;
  }

  /** A slot at an engine, a final answer at once when there is none to be had in time, or nothing yet. */
  private tryPlace(trip: Trip): Slot | Decline | undefined {
    if (this.taken >= this.params.inFlight) return undefined;
    const { request } = trip;
    if (!this.lease.serves())
      return decline('place', this.node, 'this node lost its lease', 503, 1);
    const placed = this.inForce.current.match(request);
    if (placed?.doorway.name !== trip.placed.doorway.name)
      return decline('place', this.node, 'the doorway changed while the request waited', 503, 1);
    const allowed = this.allowed(trip, placed);
    if (allowed.length === 0)
      return decline('place', this.node, 'no engine with a confirmed place may serve this', 503, 2);
    const engines = this.usable(trip, allowed);
    const need = this.needOf(trip);
    const choice = this.chooser.choose(engines, this.overlaps(trip, engines), need);
    const left = trip.firstToken - this.clock.now();
    if (!choice) return decline('place', this.node, 'no engine is usable now', 503, 1);
    const wait = 'wait' in choice ? choice.wait : choice.estimate;
    if (wait > left)
      return decline(
        'place',
        this.node,
        `the first token would take about ${Math.ceil(wait)} ms, the limit leaves ${Math.ceil(left)}`,
        503,
        Math.max(1, Math.ceil((wait - left) / 1000)),
      );
    if ('wait' in choice) return undefined;
    this.taken += 1;
    this.soundness.begin(choice.engine.identifier);
    return this.chooser.take(choice, need);
  }

  /** The engines that the doorway allows, and that may go on with a stream that broke. */
  private allowed({ request, resumed, handed }: Trip, { doorway }: Placed): Engine[] {
    const fits = (engine: Engine): boolean =>
      !resumed || engine.weightGeneration === handed.weightGeneration;
    return [...this.news.placed().values()].filter(
      (engine) => !engine.leaving && fits(engine) && allows(doorway.engines, request.model, engine),
    );
  }

  /** Those that were not tried yet, where there are any, without those set aside for their failures. */
  private usable(trip: Trip, allowed: readonly Engine[]): Engine[] {
    const fresh = allowed.filter(({ identifier }) => !trip.avoid.has(identifier));
    const open = fresh.length ? fresh : allowed;
    const usable = this.soundness.usable(open.map(({ identifier }) => identifier));
    return open.filter(({ identifier }) => usable.has(identifier));
  }

  private blocks(trip: Trip, weightGeneration: string): readonly Block[] {
    return blocksIn(trip, namespaceOf(trip, weightGeneration), this.params.blockBytes);
  }

  /** How many blocks of the prompt each engine holds. */
  private overlaps(trip: Trip, engines: readonly Engine[]): Map<string, number> {
    const overlaps = new Map<string, number>();
    for (const weightGeneration of new Set(engines.map((engine) => engine.weightGeneration))) {
      const namespace = namespaceOf(trip, weightGeneration);
      const found = this.prefixes.find(namespace, this.blocks(trip, weightGeneration));
      for (const [identifier, count] of found) overlaps.set(identifier, count);
    }
    return overlaps;
  }

  private needOf(trip: Trip): Need {
    const { blockTokens } = this.params;
    return {
      prompt: trip.tokens,
      blocks: ({ weightGeneration }) =>
        this.blocks(trip, weightGeneration).map(({ external }) => external),
      blockTokens,
      extra: trip.reply + blockTokens,
    };
  }
}
