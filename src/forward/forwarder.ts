/**
 * Carries opaque requests: admits one, has it sent, and passes the answer on as it comes, straight down in one task for
 * each request. Requests that are open are counted until the last byte of their answers has been written.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { InForce } from '../doorway/match.js';
import { within, type Clock, type Moment } from '../kernel/clock/clock.js';
import type { Journal } from '../kernel/journal/journal.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import { PlannedWork } from '../monitor/planned-work.js';
import type { Placer } from '../place/placer.js';
import { Admission, type Refusal } from './admission.js';
import { Attempts, type Result } from './attempts.js';
import type { RepeatBudget } from './budget.js';
import { Caller } from './caller.js';
import { ForwardChart, type ForwardEvent } from './chart.js';
import type { Dialect } from './dialect.js';
import type { RequestHandler } from './face.js';
import type { ForwardParams, Job, Pool } from './job.js';
import type { Links } from './link.js';
import { AnswerRelay } from './relay.js';
import { RequestEnds, type OpenRequest } from './request-ends.js';
import { Sender } from './sender.js';
import { Turns } from './turns.js';

/** A request that was taken, and what is known of it by its end. */
interface Taken {
  readonly caller: Caller;
  readonly open: OpenRequest;
  /** Set once the request was admitted. */
  job: Job | undefined;
}

export class Forwarder implements RequestHandler {
  private readonly running = new Set<Caller>();
  private closing = false;
  /** Callers that had sent another request behind this one when the planned stop began: that one is answered too. */
  private followed: ReadonlySet<Caller> = new Set();
  private emptied: () => void = () => undefined;
  private readonly admission: Admission;
  private readonly attempts: Attempts;
  private readonly relay: AnswerRelay;
  private readonly turns = new Turns();
  readonly counts = new Map<string, number>();

  constructor(
    inForce: InForce,
    mayServe: () => boolean,
    pool: Pool,
    links: Links,
    placer: Placer,
    private readonly budget: RepeatBudget,
    private readonly dialect: Dialect,
    routers: () => number,
    private readonly params: ForwardParams,
    private readonly clock: Clock,
    random: Random,
    private readonly journal: Journal<ForwardEvent>,
    private readonly log: Log,
    readonly ends: RequestEnds = new RequestEnds(clock, log, new PlannedWork(clock)),
  ) {
    const count = (what: string): void => this.count(what);
    const sender = new Sender(mayServe, pool, links, placer, dialect, routers, params, clock, log);
    this.admission = new Admission(inForce, mayServe, dialect, params, clock, random);
    this.attempts = new Attempts(sender, budget, clock, count);
    this.relay = new AnswerRelay(sender, budget, params, clock, log, count);
  }

  get open(): number {
    return this.running.size;
  }

  handle(request: IncomingMessage, response: ServerResponse): void {
    const caller: Caller = new Caller(
      request,
      response,
      () => this.closing && !this.followed.has(caller),
    );
    const taken: Taken = { caller, open: this.ends.begin(request.socket), job: undefined };
    const arrived = taken.open.begun;
    this.running.add(caller);
    const ended = this.turns.take(request.socket, caller, () => this.carry(taken, arrived));
    void ended
      .catch((thrown: unknown) => {
        this.log('fault', [
          ['step', 'forward'],
          ['reason', String(thrown)],
        ]);
        caller.fail();
      })
      .then(() => this.flush(caller, arrived))
      .finally(() => {
        this.running.delete(caller);
        this.recordEnd(taken);
        if (this.running.size === 0) this.emptied();
      });
  }

  reject(): void {
    this.ends.reject();
  }

  async drain(limit: number): Promise<number> {
    this.beginClosing();
    const stop = new AbortController();
    if (this.running.size > 0)
      await Promise.race([
        new Promise<void>((resolve) => (this.emptied = resolve)),
        this.clock.sleep(limit, stop.signal),
      ]);
    stop.abort();
    return this.running.size;
  }

  /** From now on each answer asks its caller to close the connection. */
  close(): void {
    this.beginClosing();
  }

  private beginClosing(): void {
    if (this.closing) return;
    this.closing = true;
    this.followed = new Set(
      [...this.running].filter((caller) => this.turns.isFollowed(caller.socket, caller)),
    );
  }

  private count(what: string): void {
    this.counts.set(what, (this.counts.get(what) ?? 0) + 1);
  }

  /** Waits until the caller has taken the whole answer, as long as the request may be held. */
  private async flush(caller: Caller, arrived: Moment): Promise<void> {
    if (caller.settled) return;
    const limit = caller.limit ?? arrived + this.params.timeout;
    const left = Math.max(0, limit - this.clock.now());
    const flushed = caller.flushed().then(() => true);
    if (!(await within(this.clock, left, flushed))) caller.cut(caller.unflushedCause);
  }

  private recordEnd({ caller, open, job }: Taken): void {
    this.ends.end(open, {
      id: job?.id ?? caller.field(this.dialect.requestId) ?? '',
      cause: caller.endCause,
      status: caller.status,
      isReadWhole: caller.isReadWhole,
      isSent: (job?.sends ?? 0) > 0,
      isAnswerShort: caller.isAnswerShort,
      engine: [...(job?.tried ?? [])].at(-1) ?? '',
      age: this.clock.now() - open.begun,
      limit: (caller.limit ?? open.begun + this.params.timeout) - open.begun,
    });
  }

  private async carry(taken: Taken, arrived: Moment): Promise<void> {
    const { caller } = taken;
    const chart = new ForwardChart(caller.field(this.dialect.requestId) ?? '', this.journal);
    const admitted = await this.admission.admit(caller, chart, arrived);
    if (admitted.kind === 'refused') return this.refuse(caller, chart, admitted);
    if (admitted.kind === 'left') return void chart.step('left');
    const { job } = admitted;
    taken.job = job;
    caller.limit = job.limit;
    this.budget.note(job.service.name);
    try {
      await this.conclude(job, await this.attempts.run(job));
    } finally {
      this.admission.release(job);
    }
  }

  /** Passes the answer on, or says why there is none. */
  private async conclude(job: Job, result: Result): Promise<void> {
    const { caller, chart } = job;
    switch (result.kind) {
      case 'answered':
        chart.step('answered', result.head.ticket.engine.identifier);
        return this.relay.relay(job, result.head);
      case 'left':
        return void chart.step('left');
      case 'not-run':
        return this.refuse(caller, chart, { ...result, kind: 'refused', status: 503 });
      case 'unknown': {
        chart.step('unknown');
        const status = this.clock.now() >= job.limit ? 504 : 502;
        this.count(`unknown_${status}`);
        return caller.refuse(status, result.reason);
      }
    }
  }

  private refuse(caller: Caller, chart: ForwardChart, refusal: Refusal): void {
    const { status, reason, retryAfter } = refusal;
    chart.step('refused');
    this.count(`refused_${status}`);
    caller.refuse(status, reason, retryAfter);
  }
}
