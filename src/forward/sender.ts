/**
 * Sends a request to one engine and judges the head of what comes back, before anything of it is handed on. Every send
 * names the engine it is meant for, so that the proof of identity travels with the request. An answer counts as the
 * engine's only with the request's id and an end that can be told, a success only with the engine's seal too.
 */
import type { Clock, Duration } from '../kernel/clock/clock.js';
import { fault, type Fault } from '../kernel/fault/fault.js';
import type { Log } from '../kernel/log/log.js';
import type { Placer, Ticket } from '../place/placer.js';
import type { Engine } from '../pool/engine.js';
import { mayRepeat, type Service } from '../route/shape.js';
import type { Dialect, Prompt } from './dialect.js';
import { endToEnd, only, type Fields } from './fields.js';
import {
  attemptsOf,
  DEFAULT_WAIT,
  type Attempt,
  type ForwardParams,
  type Job,
  type Pool,
  type Trail,
} from './job.js';
import type { Answer } from './answer.js';
import type { Links } from './link.js';

export class Sender {
  private byService: { of: ReadonlyMap<string, Engine>; engines: Map<string, Engine[]> } = {
    of: new Map(),
    engines: new Map(),
  };

  /** `mayServe` is asked immediately before each send; `routers` says how many routers share the engines' links. */
  constructor(
    private readonly mayServe: () => boolean,
    private readonly pool: Pool,
    private readonly links: Links,
    private readonly placer: Placer,
    private readonly dialect: Dialect,
    private readonly routers: () => number,
    private readonly params: ForwardParams,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** An engine for the request now, or when to come back. */
  place(job: Job): Ticket | { readonly wait: number; readonly reason: string } {
    const { route, service } = job;
    const now = this.clock.now();
    if (!this.mayServe()) return { wait: DEFAULT_WAIT, reason: 'this node may not serve now' };
    const engines = this.engines(service, job.prompt).filter(
      (engine) =>
        !job.tried.has(engine.identifier) && this.links.open(engine, this.linkBound(service)),
    );
    if (engines.length === 0) return { wait: DEFAULT_WAIT, reason: 'no engine can be asked' };
    const left = job.limit - now;
    if (left <= 0) return { wait: DEFAULT_WAIT, reason: 'its time is over' };
    const target = Math.max(1, Math.min(left, (route.target ?? left) - (now - job.begun)));
    const placement = this.placer.place(
      {
        service,
        prompt: job.prompt,
        priority: route.priority ?? 0,
        target,
        deadline: left,
        affinity: route.affinity ?? false,
      },
      engines,
    );
    return placement.kind === 'placed'
      ? placement.ticket
      : { wait: placement.retryAfter, reason: placement.reason };
  }

  /** Sends to the ticket's engine, behind what was handed on where there is any; the controller gives it up. */
  async send(
    job: Job,
    ticket: Ticket,
    trail?: Trail,
    giveUp = new AbortController(),
  ): Promise<Attempt> {
    const { caller } = job;
    job.tried.add(ticket.engine.identifier);
    const fields = this.outgoing(job, ticket, job.limit - this.clock.now(), trail?.last);
    if (caller.gone.aborted) return abandoned(job, ticket);
    const leave = (): void => giveUp.abort();
    caller.gone.addEventListener('abort', leave, { once: true });
    const attempt = await this.exchange(job, ticket, fields, giveUp.signal);
    if (attempt.kind !== 'head') caller.gone.removeEventListener('abort', leave);
    return attempt;
  }

  private async exchange(
    job: Job,
    ticket: Ticket,
    fields: Fields,
    signal: AbortSignal,
  ): Promise<Attempt> {
    const { caller } = job;
    const { engine } = ticket;
    const outgoing = { method: caller.method, target: caller.target, body: job.body, fields };
    job.sends += 1;
    const left = (): Duration => Math.max(1, job.limit - this.clock.now());
    const head = await this.links.send(engine, outgoing, left(), signal);
    if (signal.aborted) {
      head.ifRight((answer) => answer.drop());
      return abandoned(job, ticket);
    }
    if (head.isLeft()) {
      const fault = head.extract() as Fault;
      ticket.end('failed');
      if (fault.certainty === 'declined') {
        job.sends -= 1;
        return { kind: 'unsent' };
      }
      this.log('send-failed', [
        ['step', fault.step],
        ['peer', fault.peer],
        ['reason', fault.reason],
        ['request', job.id],
      ]);
      return { kind: 'unknown', fault };
    }
    const answer = head.extract() as Answer;
    ticket.head();
    const judged = this.judge(job, answer);
    if (judged) {
      if (judged.kind === 'not-run') answer.settle();
      else answer.drop();
      ticket.end(judged.kind === 'not-run' ? 'turned-away' : 'failed');
      if (judged.kind === 'unknown')
        this.log('answer-declined', [
          ['peer', engine.address],
          ['reason', judged.fault.reason],
          ['request', job.id],
        ]);
      return judged;
    }
    const first = await answer.next(left());
    if (signal.aborted) {
      answer.drop();
      return abandoned(job, ticket);
    }
    if (first.isLeft()) {
      answer.drop();
      ticket.end('failed');
      return { kind: 'unknown', fault: first.extract() as Fault };
    }
    const piece = first.extract() as Uint8Array | undefined;
    ticket.piece();
    return { kind: 'head', answer, ticket, first: piece, whole: piece === undefined };
  }

  /** After how many ms without a byte a second send may go out beside this one; undefined where none may. */
  lateAfter({ route, prompt, sends }: Job, { expected = 0 }: Ticket): number | undefined {
    if (!mayRepeat(route) || route.target === undefined || sends + 1 >= attemptsOf(route))
      return undefined;
    if (prompt && prompt.tokens > this.params.hedgeTokens) return undefined;
    return Math.max(route.target * this.params.impatience, expected * this.params.surprise);
  }

  /** After how many ms without a byte of a stream that is taken up, another engine may be asked beside this one. */
  resumePatience({ route }: Job, { expected = 0 }: Ticket): Duration {
    return Math.max(route.target ?? 0, expected * this.params.surprise, this.params.gapLeast);
  }

  /** What is wrong with the head of an answer; undefined when it may be handed on. */
  private judge(
    job: Job,
    { status, fields, framed }: Answer,
  ): Extract<Attempt, { kind: 'not-run' | 'unknown' }> | undefined {
    const field = (name: string): string | undefined => only(fields, name);
    const own = field(this.dialect.requestId) === job.id;
    const marked = field(this.dialect.notRun) !== undefined;
    if (own && (status === 421 || (marked && status > 400))) {
      const wait = Number(field('retry-after'));
      return {
        kind: 'not-run',
        retryAfter: Number.isFinite(wait) && wait > 0 ? wait * 1000 : undefined,
      };
    }
    const success = status >= 200 && status < 300;
    const reason = [
      !own && 'an answer with another id',
      !framed && 'an answer whose end can not be told',
      marked && status < 400 && 'an answer that is no refusal, with the word that it did not run',
      success && field(this.dialect.seal) === undefined && 'a success without the seal',
      success && field('content-encoding') !== undefined && 'an encoded body nobody asked for',
      (status === 408 || status === 429 || status === 503) &&
        `status ${status} without the word that it did not run`,
      status >= 500 && mayRepeat(job.route) && `status ${status}`,
    ].find(Boolean);
    return reason
      ? {
          kind: 'unknown',
          fault: fault('forward.answer', '', reason, 'unknown'),
        }
      : undefined;
  }

  private outgoing(job: Job, ticket: Ticket, left: number, after: string | undefined): Fields {
    const { dialect } = this;
    const own = new Set([
      'content-length',
      dialect.deadline,
      dialect.expectInstance,
      dialect.urgency,
      ...(after === undefined ? [] : ['last-event-id']),
    ]);
    const fields = endToEnd(job.caller.fields, own);
    fields.push(
      [dialect.deadline, String(Math.max(1, Math.floor(left)))],
      [dialect.expectInstance, ticket.engine.identifier],
      [dialect.urgency, String(ticket.urgency)],
    );
    if (after !== undefined) fields.push(['last-event-id', after]);
    return fields;
  }

  /** This router's part of the links that an engine takes from all callers. */
  private linkBound(service: Service): number {
    return service.connections === undefined
      ? Infinity
      : Math.max(1, Math.floor((service.connections * 0.9) / Math.max(1, this.routers())));
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
    const fit = all.filter(
      (engine) => engine.model === prompt.model || engine.adapters.has(prompt.model),
    );
    return fit.length ? fit : all;
  }
}

/** An attempt that was given up, because the caller left or another engine was first. */
const abandoned = (job: Job, ticket: Ticket): Attempt => {
  ticket.end('left');
  // Where another one was first, it did nothing wrong, and may be asked again should that one break off.
  if (!job.caller.gone.aborted) job.tried.delete(ticket.engine.identifier);
  return { kind: 'left' };
};
