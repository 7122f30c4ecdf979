/**
 * What happens to a request before any engine is chosen: its route and service are found, the limits in force are kept
 * to, and its body is read whole. What is refused here has run nowhere and never will.
 */
import type { InForce } from '../doorway/match.js';
import { later, within, type Clock, type Duration, type Moment } from '../kernel/clock/clock.js';
import type { Fault } from '../kernel/fault/fault.js';
import type { Random } from '../kernel/random/random.js';
import { sharesOf, type Route, type Service } from '../route/shape.js';
import type { RouteTable } from '../route/table.js';
import type { Caller } from './caller.js';
import type { ForwardChart } from './chart.js';
import type { Dialect } from './dialect.js';
import { DEFAULT_WAIT, type ForwardParams, type Job } from './job.js';

/** An answer of our own, with `retryAfter` in ms where the caller may come back. */
export interface Refusal {
  readonly kind: 'refused';
  readonly status: number;
  readonly reason: string;
  readonly retryAfter?: number;
}

export type Admitted = { readonly kind: 'job'; readonly job: Job } | { kind: 'left' } | Refusal;

/** A request whose route, service and time are known. */
interface Routed {
  readonly kind: 'routed';
  readonly id: string;
  readonly route: Route;
  readonly service: Service;
  readonly bodyBound: number;
  readonly patience: Duration;
}

const refused = (status: number, reason: string, retryAfter?: number): Refusal => ({
  kind: 'refused',
  status,
  reason,
  ...(retryAfter === undefined ? {} : { retryAfter }),
});

export class Admission {
  private heldBytes = 0;

  constructor(
    private readonly inForce: InForce,
    private readonly mayServe: () => boolean,
    private readonly dialect: Dialect,
    private readonly params: ForwardParams,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Routes the request and reads its body; its time counts from `begun`. */
  async admit(caller: Caller, chart: ForwardChart, begun: Moment): Promise<Admitted> {
    const routed = this.route(caller);
    if (routed.kind === 'refused') return routed;
    chart.step('routed');
    if (this.heldBytes > this.params.heldBytes)
      return refused(503, 'too many bytes are held here', DEFAULT_WAIT);
    const limit = later(begun, routed.patience);
    const left = Math.max(0, limit - this.clock.now());
    const body = await within(this.clock, left, caller.body(routed.bodyBound));
    if (caller.gone.aborted) return { kind: 'left' };
    if (!body) return refused(408, 'its time was over before it was read whole', DEFAULT_WAIT);
    if (body.isLeft()) return refused(413, (body.extract() as Fault).reason);
    chart.step('read');
    const { id, route, service } = routed;
    const job: Job = {
      caller,
      route,
      service,
      id,
      chart,
      begun,
      body: body.extract() as Buffer | undefined,
      limit,
      prompt: this.dialect.prompt((name) => caller.field(name)),
      tried: new Set(),
      sends: 0,
      unsent: 0,
    };
    this.heldBytes += job.body?.length ?? 0;
    return { kind: 'job', job };
  }

  /** The job's body is held no longer. */
  release(job: Job): void {
    this.heldBytes -= job.body?.length ?? 0;
  }

  private route(caller: Caller): Routed | Refusal {
    const table = this.inForce.routes;
    if (table.version === 0 || !this.mayServe())
      return refused(503, 'no configuration is in force here', DEFAULT_WAIT);
    const malformed = this.malformed(caller, table);
    if (malformed) return malformed;
    const route = table.match(caller.field('host') ?? '', caller.target);
    if (!route) return refused(404, 'no route has this host and path');
    const id = caller.field(this.dialect.requestId);
    if (!id)
      return refused(
        400,
        `the field ${this.dialect.requestId} is missing or stands more than once`,
      );
    const service = this.pickService(route);
    if (!service) return refused(503, 'the route names no service', DEFAULT_WAIT);
    const bodyBound = table.limits.bodyBytes ?? this.params.bodyBytes;
    return {
      kind: 'routed',
      id,
      route,
      service,
      bodyBound,
      patience: this.patience(caller, route),
    };
  }

  private malformed(caller: Caller, { limits }: RouteTable): Refusal | undefined {
    if (!caller.framed) {
      caller.endConnection();
      return refused(400, 'a transfer coding that is not chunked alone');
    }
    if (limits.headerBytes !== undefined && caller.headerBytes > limits.headerBytes)
      return refused(431, `a header of over ${limits.headerBytes} bytes`);
    return undefined;
  }

  /** How long the request may be held: by its route, and by what its caller says. */
  private patience(caller: Caller, route: Route): Duration {
    const told = Number(caller.field(this.dialect.deadline));
    const callers = Number.isFinite(told) && told > 0 ? told : this.params.timeout;
    return Math.min(route.timeout, callers);
  }

  private pickService(route: Route): Service | undefined {
    const shares = sharesOf(route);
    let at = this.random.fraction() * shares.reduce((sum, { weight }) => sum + weight, 0);
    const chosen = shares.find(({ weight }) => (at -= weight) < 0) ?? shares[shares.length - 1];
    return chosen && (this.inForce.routes.services.get(chosen.service) ?? { name: chosen.service });
  }
}
