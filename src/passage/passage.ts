/**
 * The passage of a request from caller to engine and back, straight down and step by step. It gives one of three
 * outcomes: a result, "declined" (certainly not run) or "unknown". Immediately before the request is written to an
 * engine, the node's lease, the doorway in force, the engine's place and the limit are checked again. Once a byte
 * was written, a request that may not be repeated is never written again. A stream is handed on by whole events, from
 * one engine only, and is complete only with its end marker from the engine and request it belongs to. One that broke
 * may go on elsewhere only where its doorway allows it; the other engine must first repeat all that was handed on, word
 * for word, before anything of it is handed on.
 */
import type { Claims } from '../claim/claims.js';
import type { InForce } from '../doorway/match.js';
import { promptBytes } from '../index/hash.js';
import type { Prefixes } from '../index/prefixes.js';
import type { Clock, Moment } from '../kernel/clock/clock.js';
import { fault, type Fault } from '../kernel/fault/fault.js';
import type { Journal } from '../kernel/journal/journal.js';
import type { Log } from '../kernel/log/log.js';
import type { RouterLease } from '../lease/router-lease.js';
import type { Chooser, Slot } from '../place/choose.js';
import type { LawParams } from '../place/law.js';
import type { EngineChannels } from '../pool/channel.js';
import { allows, type Engine } from '../pool/engine.js';
import type { Newsroom } from '../pool/news.js';
import type { Soundness } from '../pool/soundness.js';
import { Chart, type PassageEvent } from './chart.js';
import { EngineExchange } from './exchange.js';
import type { TakenIds } from './ids.js';
import type { Lines } from './line.js';
import type { CallerRequest } from './request.js';
import type { RetryBudget } from './retry.js';
import {
  decline,
  over,
  type Ending,
  type Leg,
  type PassageParams,
  type Sink,
  type Trip,
} from './trip.js';
import { Waiting } from './waiting.js';

const REPLACEMENTS = 2;

/** Carries chat requests from callers to engines. */
export class Passage {
  private draining = false;
  private readonly trips = new Map<Trip, AbortController>();
  private readonly waiting: Waiting;
  private readonly exchange: EngineExchange;
  private owners = 0;

  constructor(
    private readonly node: string,
    private readonly lease: RouterLease,
    private readonly inForce: InForce,
    private readonly news: Newsroom,
    private readonly channels: EngineChannels,
    private readonly soundness: Soundness,
    prefixes: Prefixes,
    chooser: Chooser,
    readonly lines: Lines,
    readonly budget: RetryBudget,
    private readonly ids: TakenIds,
    private readonly claims: Claims,
    private readonly params: PassageParams,
    private readonly law: LawParams,
    private readonly clock: Clock,
    private readonly journal: Journal<PassageEvent>,
    private readonly log: Log,
  ) {
    this.waiting = new Waiting(
      node,
      lease,
      inForce,
      news,
      soundness,
      prefixes,
      chooser,
      lines,
      params,
      clock,
    );
    this.exchange = new EngineExchange(node, prefixes, chooser, soundness, params, clock, () =>
      this.stir(),
    );
  }

  get inFlight(): number {
    return this.waiting.inFlight;
  }

  get open(): number {
    return this.trips.size;
  }

  async carry(request: CallerRequest, sink: Sink): Promise<Ending> {
    const chart = new Chart(request.id, this.journal);
    const ending = await this.through(request, sink, chart);
    const settled = ending.outcome === 'result' ? 'complete' : ending.outcome;
    if (!chart.ended) chart.step(settled);
    if (ending.outcome !== 'result')
      this.log('request-ended', [
        ['outcome', ending.outcome],
        ['request', request.id],
        ['step', ending.fault.step],
        ['peer', ending.fault.peer],
        ['reason', ending.fault.reason],
      ]);
    return ending;
  }

  /** Stops taking new requests, and breaks off visibly what is left at the limit. */
  async drain(limit: number): Promise<number> {
    this.draining = true;
    const end = this.clock.now() + limit;
    while (this.trips.size > 0 && this.clock.now() < end) await this.clock.sleep(20);
    const left = this.trips.size;
    for (const abort of this.trips.values()) abort.abort();
    return left;
  }

  /** Something changed that may let a waiting request go on. */
  stir(): void {
    this.lines.serve();
  }

  private tokensOf(prompt: Uint8Array): number {
    return Math.ceil((prompt.length * this.params.blockTokens) / this.params.blockBytes);
  }

  private async through(request: CallerRequest, sink: Sink, chart: Chart): Promise<Ending> {
    if (this.draining) return decline('receive', this.node, 'this node is stopping', 503, 1);
    if (!this.lease.serves())
      return decline('receive', this.node, 'this node has no lease', 503, 1);
    const placed = this.inForce.current.match(request);
    if (!placed)
      return decline(
        'match',
        this.node,
        `no doorway of ${request.firm} matches model ${request.model}`,
        404,
      );
    chart.step('matched');
    const prompt = promptBytes(request.messages);
    const tokens = this.tokensOf(prompt);
    const reply = request.maxTokens ?? this.law.largestReply;
    if (tokens > this.law.largestPrompt)
      return decline(
        'match',
        this.node,
        `the prompt has about ${tokens} tokens, the most is ${this.law.largestPrompt}`,
        413,
      );
    if (reply > this.law.largestReply)
      return decline(
        'match',
        this.node,
        `max_tokens is ${reply}, the most is ${this.law.largestReply}`,
        400,
      );
    const repeatable =
      request.repeatable === undefined
        ? placed.doorway.repeatable
        : request.repeatable && placed.doorway.repeatable;
    if (!repeatable) {
      const taken = this.ids.take(request.firm, request.id);
      if (taken === 'full')
        return decline('claim', this.node, 'too many request ids are remembered', 503, 5);
      if (taken === 'known')
        return {
          outcome: 'unknown',
          status: 409,
          fault: fault(
            'claim',
            this.node,
            'this request id was used before; its outcome is not told again',
            'unknown',
          ),
          retryAfter: undefined,
        };
    }
    const now = this.clock.now();
    const { limits } = placed.doorway;
    const total = (now + Math.min(limits.total, request.limit ?? Infinity)) as Moment;
    const firstToken = Math.min(now + limits.firstToken, total) as Moment;
    const trip: Trip = {
      request,
      chart,
      sink,
      placed,
      repeatable,
      firstToken,
      total,
      prompt,
      tokens,
      reply,
      blocks: new Map(),
      avoid: new Set(),
      handed: { text: '', pieces: 0, id: '', weightGeneration: '', plain: true },
      resumed: false,
      owner: `${this.node}/${++this.owners}`,
      claimed: false,
    };
    const abort = new AbortController();
    const leave = (): void => abort.abort();
    sink.gone.addEventListener('abort', leave, { once: true });
    this.trips.set(trip, abort);
    this.budget.noteFresh();
    const ending = await this.legs(trip, abort.signal);
    this.trips.delete(trip);
    sink.gone.removeEventListener('abort', leave);
    if (!repeatable && ending.outcome === 'declined') {
      this.ids.giveBack(request.firm, request.id);
      if (trip.claimed) await this.claims.release(request.firm, request.id, trip.owner);
    }
    return ending;
  }

  private async legs(whole: Trip, signal: AbortSignal): Promise<Ending> {
    let trip = whole;
    let retried = false;
    let unsure: Fault | undefined;
    const broken = (reason: Fault): Ending => {
      trip.sink.broken(reason);
      return { outcome: 'broken', fault: reason };
    };
    const told = (ending: Ending): Ending => {
      if (ending.outcome === 'result') return ending;
      if (trip.resumed) return broken(ending.fault);
      return unsure && ending.outcome === 'declined'
        ? { outcome: 'unknown', status: 502, fault: unsure, retryAfter: undefined }
        : ending;
    };
    for (let replacements = 0; ;) {
      const slot = await this.waiting.enter(trip, signal);
      if ('outcome' in slot) return told(slot);
      const leg = await this.leg(trip, slot, signal);
      if (leg.kind === 'over') return told(leg.ending);
      trip.avoid.add(slot.engine.identifier);
      const { fault: reason } = leg;
      if (leg.kind === 'broken') {
        const rest = !retried && !signal.aborted ? this.rest(trip) : undefined;
        if (!rest || !this.budget.spend()) return broken(reason);
        retried = true;
        trip.chart.step('resuming', reason.peer);
        this.journal.append({ kind: 'retry', request: trip.request.id, peer: reason.peer });
        trip = rest;
        continue;
      }
      const { sent } = leg;
      if (sent && reason.certainty === 'unknown') unsure ??= reason;
      const certain = reason.certainty === 'declined';
      const enough = sent ? retried || !this.budget.spend() : ++replacements > REPLACEMENTS;
      retried ||= sent;
      if (enough)
        return told(
          certain
            ? { outcome: 'declined', status: 503, fault: reason, retryAfter: 1 }
            : { outcome: 'unknown', status: 502, fault: reason, retryAfter: undefined },
        );
      if (sent) this.journal.append({ kind: 'retry', request: trip.request.id, peer: reason.peer });
    }
  }

  /** The rest of a stream that broke, as a request of its own; nothing where it may not or can't go on elsewhere. */
  private rest(trip: Trip): Trip | undefined {
    const { handed, request } = trip;
    const placed = this.inForce.current.match(request);
    const may =
      trip.repeatable &&
      placed?.doorway.name === trip.placed.doorway.name &&
      placed.doorway.resume &&
      handed.plain &&
      !trip.sink.gone.aborted;
    const prompt = Buffer.concat([trip.prompt, Buffer.from(handed.text, 'utf8')]);
    const tokens = this.tokensOf(prompt);
    const reply = trip.reply - handed.pieces;
    if (!may || reply < 1 || tokens > this.law.largestPrompt) return undefined;
    const firstToken = Math.min(
      this.clock.now() + placed.doorway.limits.firstToken,
      trip.total,
    ) as Moment;
    return { ...trip, firstToken, prompt, tokens, reply, blocks: new Map(), resumed: true };
  }

  private async leg(trip: Trip, slot: Slot, signal: AbortSignal): Promise<Leg> {
    const { engine } = slot;
    trip.chart.step('placed', engine.identifier);
    const made: string[] = [];
    const leg = (await this.claim(trip)) ?? (await this.attempt(trip, slot, signal, made));
    this.waiting.free(slot, made);
    return leg;
  }

  /** Opens a channel to the engine and sends, unless something forbids it by then. */
  private async attempt(trip: Trip, slot: Slot, signal: AbortSignal, made: string[]): Promise<Leg> {
    const { engine } = slot;
    const opened = await this.channels.open(engine);
    if (opened.isLeft()) {
      this.soundness.bad(engine.identifier);
      return { kind: 'again', fault: opened.extract(), sent: false };
    }
    const channel = opened.unsafeCoerce();
    const barred = this.barred(trip, engine, signal);
    if (!barred) return this.exchange.send(trip, slot, channel, signal, made);
    channel.close();
    return barred;
  }

  /** Takes the fleet's claim on an id that may not be repeated; what forbids the send, if anything. */
  private async claim(trip: Trip): Promise<Leg | undefined> {
    if (trip.repeatable || trip.claimed) return undefined;
    const taken = await this.claims.take(trip.request.firm, trip.request.id, trip.owner);
    trip.claimed = taken === 'taken';
    if (trip.claimed) return undefined;
    if (taken === 'known')
      return over({
        outcome: 'unknown',
        status: 409,
        fault: fault(
          'claim',
          this.node,
          'this request id was used before; its outcome is not told again',
          'unknown',
        ),
        retryAfter: undefined,
      });
    return over(
      decline(
        'claim',
        this.node,
        'the id could not be claimed at the routers that keep it',
        503,
        1,
      ),
    );
  }

  /** What forbids the send at the very last moment, if anything. */
  private barred(trip: Trip, engine: Engine, signal: AbortSignal): Leg | undefined {
    const forbid = (step: string, reason: string): Leg =>
      over(decline(step, this.node, reason, 503, 1));
    if (signal.aborted)
      return forbid('send', 'the caller left, or this node had to stop, before it was sent');
    if (!this.lease.serves()) return forbid('send', 'this node lost its lease');
    if (this.clock.now() >= trip.firstToken)
      return forbid('send', 'the limit came before it was sent');
    const placed = this.inForce.current.match(trip.request);
    const there = this.news.placed().get(engine.identifier);
    const still =
      placed?.doorway.name === trip.placed.doorway.name &&
      allows(placed.doorway.engines, trip.request.model, engine);
    const here =
      there &&
      !there.leaving &&
      there.address === engine.address &&
      there.weightGeneration === engine.weightGeneration &&
      allows(placed?.doorway.engines ?? [], trip.request.model, there);
    if (still && here) return undefined;
    return {
      kind: 'again',
      fault: fault(
        'send',
        engine.identifier,
        still ? 'the engine lost its place' : 'the doorway no longer allows the engine',
      ),
      sent: false,
    };
  }
}
