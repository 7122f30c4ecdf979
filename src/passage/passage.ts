/**
 * The passage of a request from caller to engine and back, straight down and step by step. It gives one of three
 * outcomes: a result, "declined" (certainly not run) or "unknown". Immediately before the request is written to an
 * engine, the node's standing, the doorway in force, the engine's place and the limit are checked again. Once a byte
 * was written, a request that may not be repeated is never written again. A stream is handed on by whole events, from
 * one engine only, and is complete only with its end marker from the engine and request it belongs to. One that broke
 * may go on elsewhere only where its doorway allows it; the other engine must first repeat all that was handed on, word
 * for word, before anything of it is handed on.
 */
import type { Placed } from '../doorway/shape.js';
import type { InForce } from '../doorway/match.js';
import { blocksOf, promptBytes, rootHash, type Block, type Namespace } from '../index/hash.js';
import type { Prefixes } from '../index/prefixes.js';
import type { Clock, Moment } from '../kernel/clock/clock.js';
import { within } from '../kernel/clock/clock.js';
import { fault, type Fault, type Outcome } from '../kernel/fault/fault.js';
import type { Journal } from '../kernel/journal/journal.js';
import type { Log } from '../kernel/log/log.js';
import type { Standing } from '../lease/standing.js';
import type { Chooser, Need, Slot } from '../place/choose.js';
import type { LawParams } from '../place/law.js';
import type { EngineChannel, EngineChannels, EngineReply } from '../pool/channel.js';
import { allows, type Engine } from '../pool/engine.js';
import type { Newsroom } from '../pool/news.js';
import type { Soundness } from '../pool/soundness.js';
import { Chart, type PassageEvent } from './chart.js';
import type { Claims } from '../claim/claims.js';
import type { TakenIds } from './ids.js';
import type { Liner, Lines } from './line.js';
import type { CallerRequest } from './request.js';
import type { RetryBudget } from './retry.js';
import { Decoding, readChunk, renamed, type Notes } from './pieces.js';
import { SseReader, type SseEvent } from './sse.js';

/** Where an answer goes: the caller's connection. */
export interface Sink {
  readonly gone: AbortSignal;
  write(event: SseEvent, engine: string): Promise<boolean>;
  complete(): void;
  broken(reason: Fault): void;
}

/** A request that did not run, or may have, with the status that its caller gets. */
export interface Decline {
  readonly outcome: 'declined' | 'unknown';
  readonly status: number;
  readonly fault: Fault;
  readonly retryAfter: number | undefined;
}

/** How a request ended. */
export type Ending =
  { readonly outcome: 'result' } | { readonly outcome: 'broken'; readonly fault: Fault } | Decline;

/** The bounds that requests are carried within. */
export interface PassageParams {
  readonly inFlight: number;
  readonly silence: number;
  readonly blockBytes: number;
  readonly blockTokens: number;
}

const REPLACEMENTS = 2;

/** What a caller has of a stream so far. */
interface Handed {
  text: string;
  pieces: number;
  id: string;
  weightGeneration: string;
  /** Whether all of it is plain text, and the stream was not yet at its finish. */
  plain: boolean;
}

interface Trip {
  readonly request: CallerRequest;
  readonly chart: Chart;
  readonly sink: Sink;
  readonly placed: Placed;
  readonly repeatable: boolean;
  readonly firstToken: Moment;
  readonly total: Moment;
  readonly prompt: Uint8Array;
  readonly tokens: number;
  readonly reply: number;
  readonly blocks: Map<string, readonly Block[]>;
  readonly avoid: Set<string>;
  readonly handed: Handed;
  /** Whether this goes on with a stream that broke at another engine. */
  readonly resumed: boolean;
  /** Names this request among all that may come under its id. */
  readonly owner: string;
  claimed: boolean;
}

type Leg =
  | { readonly kind: 'over'; readonly ending: Ending }
  | { readonly kind: 'broken'; readonly fault: Fault }
  | { readonly kind: 'again'; readonly fault: Fault; readonly sent: boolean };

const over = (ending: Ending): Leg => ({ kind: 'over', ending });

/** Carries chat requests from callers to engines. */
export class Passage {
  private draining = false;
  private readonly trips = new Map<Trip, AbortController>();
  private flying = 0;
  private ticking = false;
  private sends = 0;
  private owners = 0;

  constructor(
    private readonly node: string,
    private readonly standing: Standing,
    private readonly inForce: InForce,
    private readonly news: Newsroom,
    private readonly channels: EngineChannels,
    private readonly soundness: Soundness,
    private readonly prefixes: Prefixes,
    private readonly chooser: Chooser,
    readonly lines: Lines,
    readonly budget: RetryBudget,
    private readonly ids: TakenIds,
    private readonly claims: Claims,
    private readonly params: PassageParams,
    private readonly law: LawParams,
    private readonly clock: Clock,
    private readonly journal: Journal<PassageEvent>,
    private readonly log: Log,
  ) {}

  get inFlight(): number {
    return this.flying;
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

  private decline(
    step: string,
    peer: string,
    reason: string,
    status: number,
    retryAfter?: number,
  ): Decline {
    return { outcome: 'declined', status, fault: fault(step, peer, reason), retryAfter };
  }

  private async through(request: CallerRequest, sink: Sink, chart: Chart): Promise<Ending> {
    if (this.draining) return this.decline('receive', this.node, 'this node is stopping', 503, 1);
    if (!this.standing.serves())
      return this.decline('receive', this.node, 'this node has no standing', 503, 1);
    const placed = this.inForce.current.match(request);
    if (!placed)
      return this.decline(
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
      return this.decline(
        'match',
        this.node,
        `the prompt has about ${tokens} tokens, the most is ${this.law.largestPrompt}`,
        413,
      );
    if (reply > this.law.largestReply)
      return this.decline(
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
        return this.decline('claim', this.node, 'too many request ids are remembered', 503, 5);
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
      const slot = await this.line(trip, signal);
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

  private line(trip: Trip, signal: AbortSignal): Promise<Slot | Decline> {
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
          this.decline(
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
          this.decline('line', this.node, `the line of doorway ${doorway.name} is full`, 429, 1),
        );
      void this.clock.sleep(trip.firstToken - this.clock.now(), timer.signal).then(() => {
        if (!timer.signal.aborted)
          settle(this.decline('line', this.node, 'no engine opened within the limit', 503, 1));
      });
      this.lines.serve();
      void this.tick();
    });
  }

  private async tick(): Promise<void> {
    if (this.ticking) return;
    this.ticking = true;
    while (this.lines.waiting > 0) {
      await this.clock.sleep(20);
      this.lines.serve();
    }
    this.ticking = false;
  }

  /** A slot at an engine, a final answer at once when there is none to be had in time, or nothing yet. */
  private tryPlace(trip: Trip): Slot | Decline | undefined {
    if (this.flying >= this.params.inFlight) return undefined;
    const { request } = trip;
    if (!this.standing.serves())
      return this.decline('place', this.node, 'this node lost its standing', 503, 1);
    const placed = this.inForce.current.match(request);
    if (placed?.doorway.name !== trip.placed.doorway.name)
      return this.decline(
        'place',
        this.node,
        'the doorway changed while the request waited',
        503,
        1,
      );
    const fits = (engine: Engine): boolean =>
      !trip.resumed || engine.weightGeneration === trip.handed.weightGeneration;
    const allowed = [...this.news.placed().values()].filter(
      (engine) =>
        !engine.leaving && fits(engine) && allows(placed.doorway.engines, request.model, engine),
    );
    if (allowed.length === 0)
      return this.decline(
        'place',
        this.node,
        'no engine with a confirmed place may serve this',
        503,
        2,
      );
    const fresh = allowed.filter(({ identifier }) => !trip.avoid.has(identifier));
    const open = fresh.length ? fresh : allowed;
    const usable = this.soundness.usable(open.map(({ identifier }) => identifier));
    const engines = open.filter(({ identifier }) => usable.has(identifier));
    const overlaps = new Map<string, number>();
    for (const weightGeneration of new Set(engines.map((engine) => engine.weightGeneration))) {
      const namespace = this.namespace(trip, weightGeneration);
      for (const [identifier, count] of this.prefixes.find(namespace, this.blocks(trip, namespace)))
        overlaps.set(identifier, count);
    }
    const need: Need = {
      prompt: trip.tokens,
      blocks: (engine) =>
        this.blocks(trip, this.namespace(trip, engine.weightGeneration)).map(
          ({ external }) => external,
        ),
      blockTokens: this.params.blockTokens,
      extra: trip.reply + this.params.blockTokens,
    };
    const choice = this.chooser.choose(engines, overlaps, need);
    const left = trip.firstToken - this.clock.now();
    if (!choice) return this.decline('place', this.node, 'no engine is usable now', 503, 1);
    const wait = 'wait' in choice ? choice.wait : choice.estimate;
    if (wait > left)
      return this.decline(
        'place',
        this.node,
        `the first token would take about ${Math.ceil(wait)} ms, the limit leaves ${Math.ceil(left)}`,
        503,
        Math.max(1, Math.ceil((wait - left) / 1000)),
      );
    if ('wait' in choice) return undefined;
    this.flying += 1;
    this.soundness.begin(choice.engine.identifier);
    return this.chooser.take(choice, need);
  }

  private async leg(trip: Trip, slot: Slot, signal: AbortSignal): Promise<Leg> {
    const { engine } = slot;
    trip.chart.step('placed', engine.identifier);
    const made: string[] = [];
    const leg = (await this.claim(trip)) ?? (await this.attempt(trip, slot, signal, made));
    this.flying -= 1;
    this.chooser.free(slot, made, this.params.blockTokens);
    this.stir();
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
    if (!barred) return this.send(trip, slot, channel, signal, made);
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
      this.decline(
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
    const decline = (step: string, reason: string): Leg =>
      over(this.decline(step, this.node, reason, 503, 1));
    if (signal.aborted)
      return decline('send', 'the caller left, or this node had to stop, before it was sent');
    if (!this.standing.serves()) return decline('send', 'this node lost its standing');
    if (this.clock.now() >= trip.firstToken)
      return decline('send', 'the limit came before it was sent');
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

  private async send(
    trip: Trip,
    slot: Slot,
    channel: EngineChannel,
    signal: AbortSignal,
    made: string[],
  ): Promise<Leg> {
    const { engine } = slot;
    const passageId = `${this.node}-${++this.sends}-${trip.request.id}`.slice(0, 200);
    const namespace = this.namespace(trip, engine.weightGeneration);
    const asked = Object.fromEntries(trip.request.body);
    const goesOn = trip.resumed
      ? {
          messages: [
            ...(asked['messages'] as unknown[]),
            { role: 'assistant', content: trip.handed.text },
          ],
          add_generation_prompt: false,
          continue_final_message: true,
          echo: true,
        }
      : {};
    const body = JSON.stringify({
      ...asked,
      ...goesOn,
      stream: true,
      stream_options: { include_usage: true },
      max_tokens: trip.reply,
    });
    const headers = new Map([
      ['content-type', 'application/json'],
      ['x-request-id', passageId],
      ['x-caller-request-id', trip.request.id],
      ['x-firm', trip.request.firm],
      [
        'x-claimed-blocks',
        String(Math.floor((trip.tokens - slot.fresh) / this.params.blockTokens)),
      ],
    ]);
    const reserve = trip.tokens + trip.reply + this.params.blockTokens;
    const sentAt = this.clock.strict();
    this.prefixes.fly(engine, reserve);
    trip.chart.step('sent', engine.identifier);
    const stop = new AbortController();
    const cancel = (): void => stop.abort();
    signal.addEventListener('abort', cancel, { once: true });
    let stored = 0;
    const leg = await this.converse(trip, slot, channel, stop, passageId, body, headers, {
      prompt: () => {
        const blocks = this.blocks(trip, namespace);
        this.prefixes.store(engine, this.prefixes.nextEvent(engine), {
          namespace,
          parent: undefined,
          depth: 0,
          blocks,
          touched: sentAt,
        });
        stored += blocks.length;
        made.push(...blocks.map(({ external }) => external));
      },
      decoded: (blocks, parent, depth) => {
        this.prefixes.store(engine, this.prefixes.nextEvent(engine), {
          namespace,
          parent,
          depth,
          blocks,
          touched: sentAt,
        });
        stored += blocks.length;
        made.push(...blocks.map(({ external }) => external));
      },
      cached: (tokens) => {
        const count = Math.floor(tokens / this.params.blockTokens);
        const claimed = Math.floor((trip.tokens - slot.fresh) / this.params.blockTokens);
        if (count >= claimed) return;
        const blocks = this.blocks(trip, namespace);
        this.prefixes.shorten(engine, namespace, blocks, count);
        this.prefixes.store(engine, this.prefixes.nextEvent(engine), {
          namespace,
          parent: undefined,
          depth: 0,
          blocks,
          touched: sentAt,
        });
      },
    });
    signal.removeEventListener('abort', cancel);
    this.prefixes.land(
      engine,
      reserve,
      Math.max(this.params.blockTokens, reserve - stored * this.params.blockTokens),
    );
    return leg;
  }

  private async converse(
    trip: Trip,
    slot: Slot,
    channel: EngineChannel,
    stop: AbortController,
    passageId: string,
    body: string,
    headers: ReadonlyMap<string, string>,
    note: Notes,
  ): Promise<Leg> {
    const { engine } = slot;
    const peer = engine.identifier;
    const giveUp = (reason: Fault): Leg => {
      stop.abort();
      channel.close();
      if (reason.certainty === 'declined') return { kind: 'again', fault: reason, sent: true };
      this.soundness.bad(peer);
      if (trip.repeatable && trip.chart.state === 'sent' && !trip.sink.gone.aborted)
        return { kind: 'again', fault: reason, sent: true };
      if (trip.chart.state !== 'streaming')
        return over({ outcome: 'unknown', status: 502, fault: reason, retryAfter: undefined });
      return { kind: 'broken', fault: reason };
    };
    const wait = async <T>(promise: Promise<T>, limit: number): Promise<T | undefined> =>
      within(this.clock, Math.max(1, limit), promise);
    const replied = await wait(
      channel.send('/v1/chat/completions', headers, body, stop.signal),
      trip.firstToken - this.clock.now(),
    );
    if (!replied) return giveUp(fault('engine.head', peer, 'no reply within the limit', 'unknown'));
    if (replied.isLeft()) {
      const reason = replied.extract();
      if (reason.certainty === 'declined') {
        channel.close();
        return { kind: 'again', fault: reason, sent: false };
      }
      return giveUp(reason);
    }
    const reply = replied.unsafeCoerce();
    const foreign =
      reply.headers['x-request-id'] !== passageId ||
      reply.headers['x-engine-id'] !== engine.identifier;
    if (foreign)
      return giveUp(
        fault('engine.head', peer, 'the reply belongs to another request or engine', 'unknown'),
      );
    this.report(engine, reply);
    if (reply.statusCode !== 200) return giveUp(await this.notServed(reply, peer));
    const reader = new SseReader();
    const chunks = reply.body[Symbol.asyncIterator]();
    const decode = new Decoding(
      trip.prompt,
      this.blocks(trip, this.namespace(trip, engine.weightGeneration)),
      this.params.blockBytes,
      rootHash(this.namespace(trip, engine.weightGeneration)),
      note,
    );
    let finished = false;
    let chunkId: string | undefined;
    const { handed } = trip;
    /** What the engine must repeat before anything new. */
    let owed = trip.resumed ? handed.text : '';
    for (;;) {
      const limit = Math.min(
        trip.chart.state === 'sent' ? trip.firstToken - this.clock.now() : this.params.silence,
        trip.total - this.clock.now(),
      );
      const next = await wait(
        chunks.next().catch((thrown: unknown) => ({ thrown })),
        limit,
      );
      if (!next) return giveUp(fault('engine.stream', peer, 'silent past the limit', 'unknown'));
      if ('thrown' in next)
        return giveUp(fault('engine.stream', peer, String(next.thrown), 'unknown'));
      if (next.done)
        return giveUp(fault('engine.stream', peer, 'ended without its end marker', 'unknown'));
      const events: Outcome<SseEvent[]> = reader.push(next.value, peer);
      if (events.isLeft()) return giveUp(events.extract());
      for (const event of events.unsafeCoerce()) {
        if (event.data === '[DONE]') {
          if (!finished || owed || !reader.empty)
            return giveUp(fault('engine.stream', peer, 'an end marker out of place', 'unknown'));
          if (trip.chart.state === 'sent') trip.chart.step('streaming', peer);
          if (!(await trip.sink.write(event, peer)))
            return giveUp(fault('caller.write', 'caller', 'the caller is gone', 'unknown'));
          trip.sink.complete();
          trip.chart.step('complete', peer);
          this.soundness.good(peer);
          return over({ outcome: 'result' });
        }
        const chunk = readChunk(event.data);
        if (!chunk || (chunkId !== undefined && chunk.id !== chunkId))
          return giveUp(
            fault('engine.stream', peer, 'a piece that is not of this result', 'unknown'),
          );
        chunkId = chunk.id;
        const repeated = chunk.content.slice(0, owed.length);
        if (!owed.startsWith(repeated) || (owed.length > repeated.length && chunk.finished))
          return giveUp(
            fault(
              'engine.resume',
              peer,
              'does not go on exactly where the stream broke',
              'unknown',
            ),
          );
        const content = chunk.content.slice(repeated.length);
        const silent = trip.resumed && !content && !chunk.finished && owed !== '';
        owed = owed.slice(repeated.length);
        if (chunk.cached !== undefined) note.cached(chunk.cached);
        if (silent) continue;
        if (trip.chart.state === 'sent') {
          trip.chart.step('streaming', peer);
          this.chooser.begin(slot);
          note.prompt();
          this.stir();
        }
        decode.push(content);
        finished ||= chunk.finished;
        const shown = trip.resumed ? renamed(event, handed.id, content) : event;
        if (!trip.resumed) handed.id = chunk.id;
        handed.weightGeneration = engine.weightGeneration;
        handed.text += content;
        handed.pieces += content ? 1 : 0;
        handed.plain &&= chunk.plain && !finished;
        if (!(await trip.sink.write(shown, peer)))
          return giveUp(fault('caller.write', 'caller', 'the caller is gone', 'unknown'));
      }
    }
  }

  private report(engine: Engine, reply: EngineReply): void {
    const ahead = Number(reply.headers['x-tokens-ahead']);
    if (Number.isFinite(ahead) && ahead >= 0) this.chooser.report(engine, ahead);
  }

  /** Only an explicit word that it was not run makes a sent request declined. */
  private async notServed(reply: EngineReply, peer: string): Promise<Fault> {
    const text = await within(
      this.clock,
      1000,
      reply.body.text().catch(() => ''),
    );
    let code: unknown;
    try {
      code = (JSON.parse(text ?? '') as { error?: { code?: unknown } }).error?.code;
    } catch {
      code = undefined;
    }
    const notRun = (reply.statusCode === 429 || reply.statusCode === 503) && code === 'not_run';
    return fault(
      'engine.head',
      peer,
      `status ${reply.statusCode}`,
      notRun ? 'declined' : 'unknown',
    );
  }

  private namespace({ request }: Trip, weightGeneration: string): Namespace {
    return { model: request.model, weightGeneration, firm: request.firm };
  }

  private blocks(trip: Trip, namespace: Namespace): readonly Block[] {
    const known = trip.blocks.get(namespace.weightGeneration);
    if (known) return known;
    const made = blocksOf(trip.prompt, this.params.blockBytes, rootHash(namespace));
    trip.blocks.set(namespace.weightGeneration, made);
    return made;
  }
}
