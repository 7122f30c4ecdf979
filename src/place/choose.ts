/**
 * The choice of an engine: the lowest estimated time to first token, from the tokens ahead at the engine (this node's
 * own that have not begun, and the engine's late reports), the part of the prompt it does not hold, and the cost of
 * another zone; ties at random. An engine that the touching law or its room closes for now is left out.
 */
import type { Clock, Moment } from '../kernel/clock/clock.js';
import type { Random } from '../kernel/random/random.js';
import type { Engine } from '../pool/engine.js';
import { Allowance, lawFor, type LawParams, type Payment } from './law.js';

/** The bounds and costs that the choice goes by. */
export interface PlaceParams {
  readonly perEngine: number;
  readonly zoneCost: number;
}

/** What a request needs of an engine. */
export interface Need {
  readonly prompt: number;
  readonly blocks: (engine: Engine) => readonly string[];
  readonly blockTokens: number;
  readonly extra: number;
}

/** An engine for a request, with what it holds of the prompt and the estimate. */
export interface Choice {
  readonly engine: Engine;
  readonly overlap: number;
  readonly estimate: number;
}

/** A place at an engine, held from the choice to the end of the request. */
export interface Slot {
  readonly engine: Engine;
  readonly payment: Payment;
  readonly fresh: number;
  begun: boolean;
}

interface Busyness {
  ahead: number;
  flying: number;
  reported: number;
  reportedAt: Moment;
}

const REPORT_LIFE = 2000;

/** How engines are chosen. */
export type Policy = 'index' | 'least-busy' | 'round-robin';

/** Chooses an engine for each chat request. */
export class Chooser {
  private readonly busyness = new Map<string, Busyness>();
  private readonly allowances = new Map<string, Allowance>();
  private readonly born: Moment;
  private turn = 0;

  constructor(
    private readonly params: PlaceParams,
    private readonly law: LawParams,
    private readonly zone: string,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly policy: Policy,
  ) {
    this.born = clock.now();
  }

  /** The best engine now, or how long until one may open; undefined when there is none to wait for. */
  choose(
    engines: readonly Engine[],
    overlaps: ReadonlyMap<string, number>,
    need: Need,
  ): Choice | { readonly wait: number } | undefined {
    if (engines.length === 0) return undefined;
    let soonest = Infinity;
    let best: Choice[] = [];
    for (const engine of engines) {
      const wait = this.opens(engine, need);
      if (wait > 0) {
        soonest = Math.min(soonest, wait);
        continue;
      }
      const overlap = Math.min(
        (overlaps.get(engine.identifier) ?? 0) * need.blockTokens,
        need.prompt,
      );
      const choice = {
        engine,
        overlap,
        estimate: this.estimate(engine, need.prompt - (this.policy === 'index' ? overlap : 0)),
      };
      const lead = best[0] ? choice.estimate - best[0].estimate : -1;
      if (this.policy === 'round-robin' || Math.abs(lead) < 0.5) best.push(choice);
      else if (lead < 0) best = [choice];
    }
    if (best.length === 0) return { wait: soonest };
    const at =
      this.policy === 'round-robin'
        ? this.turn++ % best.length
        : Math.floor(this.random.fraction() * best.length);
    return best[at];
  }

  estimate(engine: Engine, fresh: number): number {
    const busy = this.busy(engine);
    const reported = this.clock.now() - busy.reportedAt < REPORT_LIFE ? busy.reported : 0;
    const foreign = engine.zone === this.zone ? 0 : this.params.zoneCost;
    return ((Math.max(busy.ahead, reported) + fresh) / engine.prefillRate) * 1000 + foreign;
  }

  take({ engine, overlap }: Choice, need: Need): Slot {
    const busy = this.busy(engine);
    const fresh = need.prompt - overlap;
    busy.ahead += fresh;
    busy.flying += 1;
    return {
      engine,
      payment: this.allowance(engine).pay(need.blocks(engine), need.blockTokens, need.extra),
      fresh,
      begun: false,
    };
  }

  /** The first piece came: the engine's prefill for this request is done. */
  begin(slot: Slot): void {
    if (slot.begun) return;
    slot.begun = true;
    this.busy(slot.engine).ahead -= slot.fresh;
  }

  free(slot: Slot, made: readonly string[], blockTokens: number): void {
    this.begin(slot);
    this.busy(slot.engine).flying -= 1;
    this.allowance(slot.engine).over(slot.payment, made, blockTokens);
  }

  report(engine: Engine, tokens: number): void {
    const busy = this.busy(engine);
    busy.reported = tokens;
    busy.reportedAt = this.clock.now();
  }

  listed(engines: ReadonlyMap<string, Engine>): void {
    for (const [identifier, busy] of this.busyness)
      if (!engines.has(identifier) && busy.flying === 0) {
        this.busyness.delete(identifier);
        this.allowances.delete(identifier);
      }
  }

  private opens(engine: Engine, need: Need): number {
    if (this.busy(engine).flying >= this.params.perEngine) return 20;
    const allowance = this.allowance(engine);
    return allowance.wait(allowance.cost(need.blocks(engine), need.blockTokens, need.extra));
  }

  private busy(engine: Engine): Busyness {
    const known = this.busyness.get(engine.identifier);
    if (known) return known;
    const made = { ahead: 0, flying: 0, reported: 0, reportedAt: -Infinity as Moment };
    this.busyness.set(engine.identifier, made);
    return made;
  }

  private allowance(engine: Engine): Allowance {
    const known = this.allowances.get(engine.identifier);
    if (known) return known;
    const made = new Allowance(lawFor(engine, this.law), this.clock, this.born);
    this.allowances.set(engine.identifier, made);
    return made;
  }
}
