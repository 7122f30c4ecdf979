/**
 * Carries opaque requests: finds the route, reads the body, has an engine chosen, sends, and passes the answer on as it
 * comes, straight down in one task for each request. What may run only once is never sent again after a first byte, save
 * on the engine's own word that it did not run; what may be repeated is, within the route's attempts and the budget.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { InForce } from '../doorway/match.js';
import { within, type Clock, type Moment } from '../kernel/clock/clock.js';
import type { Fault } from '../kernel/fault/fault.js';
import type { Journal } from '../kernel/journal/journal.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import type { Placer, Ticket } from '../place/placer.js';
import { mayRepeat, sharesOf, type Route, type Service } from '../route/shape.js';
import type { RepeatBudget } from './budget.js';
import { Caller } from './caller.js';
import { ForwardChart, type ForwardEvent } from './chart.js';
import type { Dialect } from './dialect.js';
import type { RequestHandler } from './face.js';
import {
  attemptsOf,
  DEFAULT_WAIT,
  UNSENT_BOUND,
  type Attempt,
  type ForwardParams,
  type Job,
  type Pool,
} from './job.js';
import type { Links } from './link.js';
import { Pourer } from './pour.js';
import { Sender } from './sender.js';
import { Turns } from './turns.js';

export class Forwarder implements RequestHandler {
  private readonly running = new Set<Caller>();
  private held = 0;
  private closing = false;
  private emptied: () => void = () => undefined;
  private readonly sender: Sender;
  private readonly pourer: Pourer;
  private readonly turns = new Turns();
  readonly counts = new Map<string, number>();

  constructor(
    private readonly inForce: InForce,
    private readonly mayServe: () => boolean,
    pool: Pool,
    links: Links,
    placer: Placer,
    private readonly budget: RepeatBudget,
    private readonly dialect: Dialect,
    routers: () => number,
    private readonly params: ForwardParams,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly journal: Journal<ForwardEvent>,
    private readonly log: Log,
  ) {
    this.sender = new Sender(mayServe, pool, links, placer, dialect, routers, params, clock, log);
    this.pourer = new Pourer(this.sender, budget, params, clock, log, (what) => this.count(what));
  }

  get open(): number {
    return this.running.size;
  }

  handle(request: IncomingMessage, response: ServerResponse): void {
    const caller = new Caller(request, response, () => this.closing);
    this.running.add(caller);
    void this.turns
      .take(request.socket, caller, () => this.carry(caller))
      .catch((thrown: unknown) => {
        this.log('fault', [
          ['step', 'forward'],
          ['reason', String(thrown)],
        ]);
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
    if (table.version === 0 || !this.mayServe())
      return refuse(503, 'no configuration is in force here', DEFAULT_WAIT);
    if (!caller.framed) {
      caller.forgo();
      return refuse(400, 'a transfer coding that is not chunked alone');
    }
    if (table.limits.headerBytes !== undefined && caller.headerBytes > table.limits.headerBytes)
      return refuse(431, `a header of over ${table.limits.headerBytes} bytes`);
    const route = table.match(caller.field('host') ?? '', caller.target);
    if (!route) return refuse(404, 'no route has this host and path');
    if (!id)
      return refuse(400, `the field ${this.dialect.requestId} is missing or stands more than once`);
    const service = this.pickService(route);
    if (!service) return refuse(503, 'the route names no service', DEFAULT_WAIT);
    chart.step('routed');
    const bound = table.limits.bodyBytes ?? this.params.bodyBytes;
    if (this.held > this.params.heldBytes)
      return refuse(503, 'too many bytes are held here', DEFAULT_WAIT);
    const told = Number(caller.field(this.dialect.deadline));
    const patience = Math.min(
      route.timeout,
      Number.isFinite(told) && told > 0 ? told : this.params.timeout,
    );
    const body = await within(this.clock, patience, caller.body(bound));
    if (!body) return refuse(408, 'its time was over before it was read whole');
    if (body.isLeft()) {
      if (caller.gone.aborted) return void chart.step('left');
      return refuse(413, (body.extract() as Fault).reason);
    }
    chart.step('read');
    const job: Job = {
      caller,
      route,
      service,
      id,
      chart,
      begun,
      body: body.extract() as Buffer | undefined,
      limit: (begun + patience) as Moment,
      prompt: this.dialect.prompt((name) => caller.field(name)),
      tried: new Set(),
      sends: 0,
      unsent: 0,
    };
    const size = job.body?.length ?? 0;
    this.held += size;
    this.budget.note(service.name);
    await this.attempt(job, refuse).finally(() => (this.held -= size));
  }

  /** Sends until an answer begins, or says why there is none. */
  private async attempt(
    job: Job,
    refuse: (status: number, reason: string, retryAfter?: number) => void,
  ): Promise<void> {
    const { caller, route, chart } = job;
    const attempts = attemptsOf(route);
    let mayHaveRun = false;
    const unknown = (reason: string): void => {
      chart.step('unknown');
      const status = this.clock.now() >= job.limit ? 504 : 502;
      this.count(`unknown_${status}`);
      caller.refuse(status, reason);
    };
    /** Refused only while it certainly did not run. */
    const giveUp = (reason: string, wait: number): void =>
      mayHaveRun ? unknown(reason) : refuse(503, reason, wait);
    for (;;) {
      const placed = this.sender.place(job);
      if ('wait' in placed) return giveUp(placed.reason, placed.wait);
      chart.step('placed', placed.engine.identifier);
      chart.step('sent', placed.engine.identifier);
      const attempt = await this.race(job, placed);
      switch (attempt.kind) {
        case 'head':
          chart.step('answered', attempt.ticket.engine.identifier);
          return this.pourer.pass(job, attempt);
        case 'left':
          return void chart.step('left');
        case 'unsent':
          job.unsent += 1;
          if (job.unsent >= UNSENT_BOUND) return giveUp('no engine could be reached', DEFAULT_WAIT);
          chart.step('read');
          continue;
        case 'not-run':
          if (job.sends >= attempts || !this.budget.take(job.service.name))
            return giveUp('the engine has no room', attempt.retryAfter ?? DEFAULT_WAIT);
          break;
        case 'unknown':
          mayHaveRun = true;
          if (
            this.clock.now() >= job.limit ||
            !mayRepeat(route) ||
            job.sends >= attempts ||
            !this.budget.take(job.service.name)
          )
            return unknown(attempt.fault.reason);
          break;
      }
      this.count('repeats');
      chart.step('read');
    }
  }

  /** Sends once; beside a send that is late, where that is allowed, a second one, and takes the first answer that begins. */
  private async race(job: Job, ticket: Ticket): Promise<Attempt> {
    const late = this.sender.lateAfter(job, ticket);
    const giveUps = [new AbortController(), new AbortController()] as const;
    const first = this.sender.send(job, ticket, undefined, giveUps[0]);
    if (late === undefined) return first;
    const early = await within(this.clock, Math.min(late, job.limit - this.clock.now()), first);
    if (early || this.clock.now() >= job.limit) return early ?? first;
    const beside = this.sender.place(job);
    if ('wait' in beside) return first;
    if (!this.budget.take(job.service.name)) {
      beside.end('left');
      return first;
    }
    this.count('hedges');
    const second = this.sender.send(job, beside, undefined, giveUps[1]);
    const [at, attempt] = await firstToBegin([first, second]);
    giveUps[1 - at]!.abort();
    return attempt;
  }

  private pickService(route: Route): Service | undefined {
    const shares = sharesOf(route);
    let at = this.random.fraction() * shares.reduce((sum, { weight }) => sum + weight, 0);
    const chosen = shares.find(({ weight }) => (at -= weight) < 0) ?? shares[shares.length - 1];
    return chosen && (this.inForce.routes.services.get(chosen.service) ?? { name: chosen.service });
  }
}

/** The first attempt that has an answer, with its place; when none has, the one that says the least of being unrun. */
const firstToBegin = (attempts: readonly Promise<Attempt>[]): Promise<readonly [number, Attempt]> =>
  new Promise((resolve) => {
    const ended: Array<readonly [number, Attempt]> = [];
    attempts.forEach(
      (attempt, at) =>
        void attempt.then((told) => {
          ended.push([at, told]);
          if (told.kind === 'head' || told.kind === 'left') resolve([at, told]);
          else if (ended.length === attempts.length)
            resolve(
              ended.find(([, { kind }]) => kind === 'unknown') ??
                ended.find(([, { kind }]) => kind === 'not-run') ??
                ended[0]!,
            );
        }),
    );
  });
