/**
 * Carries opaque requests: finds the route, reads the body, has an engine chosen, sends, and passes the answer on as it
 * comes, straight down in one task for each request. Every send names the engine it is meant for, so that the proof of
 * identity travels with the request. What may run only once is never sent again after a first byte, save on the engine's
 * own word that it did not run; what may be repeated is, within the route's attempts and the fleet's budget. An answer
 * counts as the engine's only with the request's id, a success only with the engine's seal too. A stream that may be
 * taken up again goes on behind the last whole event, in the same answer, when the next engine's events follow on.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { InForce } from '../doorway/match.js';
import type { Clock, Moment } from '../kernel/clock/clock.js';
import type { Fault } from '../kernel/fault/fault.js';
import type { Journal } from '../kernel/journal/journal.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import type { Placer, Ticket, TicketEnd } from '../place/placer.js';
import type { Engine } from '../pool/engine.js';
import { mayRepeat, sharesOf, type Route, type Service } from '../route/shape.js';
import type { RepeatBudget } from './budget.js';
import { Caller } from './caller.js';
import { ForwardChart, type ForwardEvent } from './chart.js';
import type { Dialect, Prompt } from './dialect.js';
import { EventCutter } from './events.js';
import type { RequestHandler } from './face.js';
import { endToEnd, only, type Fields } from './fields.js';
import type { Answer, Links, Outgoing } from './link.js';

export interface ForwardParams {
  /** Bytes of a body where the configuration names no bound, and of all bodies held at once. */
  readonly bodyBytes: number;
  readonly heldBytes: number;
  /** ms that a request may be held where neither its caller nor its route says so. */
  readonly timeout: number;
  /** Of the target, after which a repeatable request that got no byte is sent to another engine. */
  readonly impatience: number;
  /** Of the longest gap (at least `gapLeast` ms), after which a stream that may go on elsewhere is taken for broken. */
  readonly gapShare: number;
  readonly gapLeast: number;
}

/** The engines that stand in the list right now. */
export interface Pool {
  placed(): ReadonlyMap<string, Engine>;
}

/** How one send ended before anything of its answer was handed on. */
interface Head {
  readonly kind: 'head';
  readonly answer: Answer;
  readonly ticket: Ticket;
  readonly first: Uint8Array | undefined;
  readonly whole: boolean;
}

/** How far a stream that may be taken up again was handed on. */
interface Trail {
  last: string | undefined;
  handed: boolean;
}

type Attempt =
  | Head
  | { readonly kind: 'unsent' }
  | { readonly kind: 'not-run'; readonly retryAfter: number | undefined }
  | { readonly kind: 'unknown'; readonly fault: Fault }
  | { readonly kind: 'left' };

interface Job {
  readonly caller: Caller;
  readonly route: Route;
  readonly service: Service;
  readonly id: string;
  readonly body: Buffer | undefined;
  readonly prompt: Prompt | undefined;
  readonly chart: ForwardChart;
  readonly begun: Moment;
  readonly limit: Moment;
  readonly tried: Set<string>;
  sends: number;
  unsent: number;
}

const UNSENT_BOUND = 4;
const DEFAULT_WAIT = 250;

export class Forwarder implements RequestHandler {
  private readonly running = new Set<Job | Caller>();
  private held = 0;
  private closing = false;
  private emptied: () => void = () => undefined;
  private byService: { of: ReadonlyMap<string, Engine>; engines: Map<string, Engine[]> } = { of: new Map(), engines: new Map() };
  readonly counts = new Map<string, number>();

  constructor(
    private readonly inForce: InForce,
    private readonly mayServe: () => boolean,
    private readonly pool: Pool,
    private readonly links: Links,
    private readonly placer: Placer,
    private readonly budget: RepeatBudget,
    private readonly dialect: Dialect,
    private readonly routers: () => number,
    private readonly params: ForwardParams,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly journal: Journal<ForwardEvent>,
    private readonly log: Log,
  ) {}

  get open(): number {
    return this.running.size;
  }

  handle(request: IncomingMessage, response: ServerResponse): void {
    const caller = new Caller(request, response, () => this.closing);
    this.running.add(caller);
    void this.carry(caller)
      .catch((thrown: unknown) => {
        this.log('fault', [['step', 'forward'], ['reason', String(thrown)]]);
        caller.cut();
      })
      .finally(() => {
        this.running.delete(caller);
        if (this.running.size === 0) this.emptied();
      });
  }

  async drain(limit: number): Promise<number> {
    this.closing = true;
    const stop = new AbortController();
    if (this.running.size > 0) await Promise.race([new Promise<void>((resolve) => (this.emptied = resolve)), this.clock.sleep(limit, stop.signal)]);
    stop.abort();
    return this.running.size;
  }

  /** From now on each answer asks its caller to close the connection. */
  close(): void {
    this.closing = true;
  }

  private count(what: string): void {
    this.counts.set(what, (this.counts.get(what) ?? 0) + 1);
  }

  private async carry(caller: Caller): Promise<void> {
    const begun = this.clock.now();
    const id = caller.field(this.dialect.requestId);
    const chart = new ForwardChart(id ?? '', this.journal);
    const refuse = (status: number, reason: string, retryAfter?: number): void => {
      chart.step('refused');
      this.count(`refused_${status}`);
      caller.refuse(status, reason, retryAfter);
    };
    const table = this.inForce.routes;
    if (table.version === 0 || !this.mayServe()) return refuse(503, 'no configuration is in force here', DEFAULT_WAIT);
    const route = table.match(caller.field('host') ?? '', caller.target);
    if (!route) return refuse(404, 'no route has this host and path');
    if (!id) return refuse(400, `the field ${this.dialect.requestId} is missing or stands more than once`);
    const service = this.pickService(route);
    if (!service) return refuse(503, 'the route names no service', DEFAULT_WAIT);
    chart.step('routed');
    const bound = table.limits.bodyBytes ?? this.params.bodyBytes;
    if (this.held > this.params.heldBytes) return refuse(503, 'too many bytes are held here', DEFAULT_WAIT);
    const body = await caller.body(bound);
    if (body.isLeft()) {
      if (caller.gone.aborted) return void chart.step('left');
      return refuse(413, (body.extract() as Fault).reason);
    }
    chart.step('read');
    const told = Number(caller.field(this.dialect.deadline));
    const patience = Math.min(route.timeout, Number.isFinite(told) && told > 0 ? told : this.params.timeout);
    const job: Job = {
      caller, route, service, id, chart, begun, body: body.extract() as Buffer | undefined, limit: (begun + patience) as Moment,
      prompt: this.dialect.prompt((name) => caller.field(name)), tried: new Set(), sends: 0, unsent: 0,
    };
    const size = job.body?.length ?? 0;
    this.held += size;
    this.budget.note(service.name);
    await this.attempt(job, refuse).finally(() => (this.held -= size));
  }

  /** Sends until an answer begins, or says why there is none. */
  private async attempt(job: Job, refuse: (status: number, reason: string, retryAfter?: number) => void): Promise<void> {
    const { caller, route, chart } = job;
    const attempts = Math.max(1, route.attempts ?? 1);
    for (;;) {
      const placed = this.place(job);
      if ('wait' in placed) return refuse(503, placed.reason, placed.wait);
      const attempt = await this.send(job, placed, undefined);
      switch (attempt.kind) {
        case 'head':
          return this.pass(job, attempt);
        case 'left':
          return void chart.step('left');
        case 'unsent':
          job.unsent += 1;
          if (job.unsent >= UNSENT_BOUND) return refuse(503, 'no engine could be reached', DEFAULT_WAIT);
          chart.step('read');
          continue;
        case 'not-run':
          if (job.sends >= attempts || !this.budget.take(job.service.name)) return refuse(503, 'the engine has no room', attempt.retryAfter ?? DEFAULT_WAIT);
          break;
        case 'unknown': {
          const late = this.clock.now() >= job.limit;
          if (late || !mayRepeat(route) || job.sends >= attempts || !this.budget.take(job.service.name)) {
            chart.step('unknown');
            const status = late ? 504 : 502;
            this.count(`unknown_${status}`);
            return caller.refuse(status, attempt.fault.reason);
          }
          break;
        }
      }
      this.count('repeats');
      chart.step('read');
    }
  }

  private place(job: Job): Ticket | { readonly wait: number; readonly reason: string } {
    const { route, service } = job;
    const now = this.clock.now();
    if (!this.mayServe()) return { wait: DEFAULT_WAIT, reason: 'this node may not serve now' };
    const engines = this.engines(service, job.prompt).filter((engine) => !job.tried.has(engine.identifier) && this.links.open(engine, this.linkBound(service)));
    if (engines.length === 0) return { wait: DEFAULT_WAIT, reason: 'no engine can be asked' };
    const left = job.limit - now;
    if (left <= 0) return { wait: DEFAULT_WAIT, reason: 'its time is over' };
    const target = Math.max(1, Math.min(left, (route.target ?? left) - (now - job.begun)));
    const placement = this.placer.place({ service, prompt: job.prompt, priority: route.priority ?? 0, target, deadline: left, affinity: route.affinity ?? false }, engines);
    return placement.kind === 'placed' ? placement.ticket : { wait: placement.retryAfter, reason: placement.reason };
  }

  private async send(job: Job, ticket: Ticket, trail: Trail | undefined): Promise<Attempt> {
    const { caller, route, chart } = job;
    const { engine } = ticket;
    job.tried.add(engine.identifier);
    if (!trail) chart.step('placed', engine.identifier);
    const left = job.limit - this.clock.now();
    const outgoing: Outgoing = { method: caller.method, target: caller.target, body: job.body, fields: this.outgoing(job, ticket, left, trail?.last) };
    if (caller.gone.aborted) {
      ticket.end('left');
      return { kind: 'left' };
    }
    if (!trail) chart.step('sent', engine.identifier);
    const patience = mayRepeat(route) && job.sends + 1 < Math.max(1, route.attempts ?? 1) && route.target !== undefined && !trail ? Math.min(left, route.target * this.params.impatience) : left;
    const head = await this.links.send(engine, outgoing, patience, caller.gone);
    if (caller.gone.aborted) {
      head.ifRight((answer) => answer.drop());
      ticket.end('left');
      return { kind: 'left' };
    }
    if (head.isLeft()) {
      const fault = head.extract() as Fault;
      ticket.end('failed');
      if (fault.certainty === 'declined') return { kind: 'unsent' };
      job.sends += 1;
      this.log('send-failed', [['step', fault.step], ['peer', fault.peer], ['reason', fault.reason], ['request', job.id]]);
      return { kind: 'unknown', fault };
    }
    job.sends += 1;
    const answer = head.extract() as Answer;
    ticket.head();
    const judged = this.judge(job, answer);
    if (judged) {
      answer.drop();
      ticket.end(judged.kind === 'not-run' ? 'turned-away' : 'failed');
      if (judged.kind === 'unknown') this.log('answer-declined', [['peer', engine.address], ['reason', judged.fault.reason], ['request', job.id]]);
      return judged;
    }
    if (!trail) chart.step('answered', engine.identifier);
    const first = await answer.next(Math.max(1, Math.min(patience, job.limit - this.clock.now())));
    if (caller.gone.aborted) {
      answer.drop();
      ticket.end('left');
      return { kind: 'left' };
    }
    if (first.isLeft()) {
      ticket.end('failed');
      return { kind: 'unknown', fault: first.extract() as Fault };
    }
    const piece = first.extract() as Uint8Array | undefined;
    ticket.piece();
    return { kind: 'head', answer, ticket, first: piece, whole: piece === undefined };
  }

  /** What is wrong with the head of an answer; undefined when it may be handed on. */
  private judge(job: Job, { status, fields, framed }: Answer): Extract<Attempt, { kind: 'not-run' | 'unknown' }> | undefined {
    const field = (name: string): string | undefined => only(fields, name);
    if (status === 421 || (field(this.dialect.notRun) !== undefined && status !== 400)) {
      const wait = Number(field('retry-after'));
      return { kind: 'not-run', retryAfter: Number.isFinite(wait) && wait > 0 ? wait * 1000 : undefined };
    }
    const success = status >= 200 && status < 300;
    const reason = [
      field(this.dialect.requestId) !== job.id && 'an answer with another id',
      !framed && 'an answer whose end can not be told',
      success && field(this.dialect.seal) === undefined && 'a success without the seal',
      success && field('content-encoding') !== undefined && 'an encoded body nobody asked for',
      (status === 408 || status === 429 || status === 503) && `status ${status} without the word that it did not run`,
      status >= 500 && mayRepeat(job.route) && `status ${status}`,
    ].find(Boolean);
    return reason ? { kind: 'unknown', fault: { step: 'forward.answer', peer: '', reason, certainty: 'unknown' } } : undefined;
  }

  /** Hands the answer on, and goes on elsewhere where a stream broke and may. */
  private async pass(job: Job, begun: Head): Promise<void> {
    const { caller, route, chart } = job;
    const { status, fields } = begun.answer;
    const resumable = status >= 200 && status < 300 && route.kind === 'streaming' && route.resume === true;
    const trail: Trail | undefined = resumable ? { last: caller.field('last-event-id'), handed: false } : undefined;
    caller.head(status, endToEnd(fields, trail ? new Set(['content-length']) : new Set<string>()));
    chart.step('streaming', begun.ticket.engine.identifier);
    for (let current = begun; ; ) {
      const ended = await this.pour(job, current, trail);
      if (ended === 'left') return void chart.step('left');
      if (ended === 'whole') {
        chart.step('complete');
        this.count('complete');
        return caller.finish();
      }
      const next = trail && (await this.resume(job, trail));
      if (!next) {
        chart.step('broken');
        this.count('broken');
        return caller.cut();
      }
      chart.step('streaming', next.ticket.engine.identifier);
      current = next;
    }
  }

  /** Pours one engine's answer out until its end. */
  private async pour(job: Job, { answer, ticket, first, whole }: Head, trail: Trail | undefined): Promise<'whole' | 'broken' | 'left'> {
    const { caller, route } = job;
    const cutter = trail && new EventCutter();
    const over = (how: TicketEnd): 'whole' | 'broken' | 'left' => {
      if (how !== 'whole') answer.drop();
      ticket.end(how);
      return how === 'whole' || how === 'left' ? how : 'broken';
    };
    let chunk = first;
    for (let ended = whole; ; ) {
      if (chunk && !cutter && !(await caller.write(chunk))) return over('left');
      for (const { raw, id } of chunk && cutter ? (cutter.push(chunk) ?? [overlong]) : []) {
        if (id !== undefined && !follows(trail!, id)) {
          this.log('answer-broke', [['peer', ticket.engine.address], ['reason', `event ${id.slice(0, 40)} does not follow ${trail!.last ?? 'none'}`], ['request', job.id]]);
          return over('failed');
        }
        if (!(await caller.write(raw))) return over('left');
        trail!.handed = true;
        if (id !== undefined) trail!.last = id;
      }
      if (ended) {
        const rest = cutter?.rest;
        if (rest?.length && !(await caller.write(rest))) return over('left');
        return over('whole');
      }
      const left = Math.max(1, job.limit - this.clock.now());
      const next = await answer.next(trail && route.gap !== undefined ? Math.min(left, Math.max(this.params.gapLeast, route.gap * this.params.gapShare)) : left);
      if (caller.gone.aborted) return over('left');
      if (next.isLeft()) {
        this.log('answer-broke', [['peer', ticket.engine.address], ['reason', (next.extract() as Fault).reason], ['request', job.id]]);
        return over('failed');
      }
      chunk = next.extract() as Uint8Array | undefined;
      ended = chunk === undefined;
      if (chunk) ticket.piece();
    }
  }

  /** Has a broken stream go on behind its last event at another engine. */
  private async resume(job: Job, trail: Trail): Promise<Head | undefined> {
    const attempts = Math.max(1, job.route.attempts ?? 1);
    job.chart.step('resuming');
    while (job.sends < attempts && job.unsent < UNSENT_BOUND && this.clock.now() < job.limit && this.budget.take(job.service.name)) {
      this.count('resumes');
      const placed = this.place(job);
      if ('wait' in placed) return undefined;
      const attempt = await this.send(job, placed, trail);
      if (attempt.kind === 'left') return undefined;
      if (attempt.kind === 'unsent') job.unsent += 1;
      if (attempt.kind !== 'head') continue;
      if (attempt.answer.status >= 200 && attempt.answer.status < 300) return attempt;
      attempt.answer.drop();
      attempt.ticket.end('failed');
    }
    return undefined;
  }

  private outgoing(job: Job, ticket: Ticket, left: number, after: string | undefined): Fields {
    const { dialect } = this;
    const own = new Set(['content-length', dialect.deadline, dialect.expectInstance, dialect.urgency, ...(after === undefined ? [] : ['last-event-id'])]);
    const fields = endToEnd(job.caller.fields, own);
    fields.push([dialect.deadline, String(Math.max(1, Math.floor(left)))], [dialect.expectInstance, ticket.engine.identifier], [dialect.urgency, String(ticket.urgency)]);
    if (after !== undefined) fields.push(['last-event-id', after]);
    return fields;
  }

  private pickService(route: Route): Service | undefined {
    const shares = sharesOf(route);
    let at = this.random.fraction() * shares.reduce((sum, { weight }) => sum + weight, 0);
    const chosen = shares.find(({ weight }) => (at -= weight) < 0) ?? shares[shares.length - 1];
    return chosen && (this.inForce.routes.services.get(chosen.service) ?? { name: chosen.service });
  }

  /** This router's part of the links that an engine takes from all callers. */
  private linkBound(service: Service): number {
    return service.connections === undefined ? Infinity : Math.max(1, Math.floor((service.connections * 0.9) / Math.max(1, this.routers())));
  }

  private engines(service: Service, prompt: Prompt | undefined): readonly Engine[] {
    const placed = this.pool.placed();
    if (placed !== this.byService.of) {
      const engines = new Map<string, Engine[]>();
      for (const engine of placed.values()) {
        if (engine.leaving || engine.service === undefined) continue;
        const known = engines.get(engine.service);
        if (known) known.push(engine);
        else engines.set(engine.service, [engine]);
      }
      this.byService = { of: placed, engines };
    }
    const all = this.byService.engines.get(service.name) ?? [];
    if (!prompt) return all;
    const fit = all.filter((engine) => engine.model === prompt.model || engine.adapters.has(prompt.model));
    return fit.length ? fit : all;
  }
}

/** Whether an event may be handed on behind what was: none was yet, or its id is the next one. */
const follows = (trail: Trail, id: string): boolean => (!trail.handed && trail.last === undefined) || Number(id) === Number(trail.last) + 1;

/** Stands for an event over the bound; its id follows nothing. */
const overlong = { raw: new Uint8Array(), id: 'NaN' };
