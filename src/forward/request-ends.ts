/**
 * The ledger of requests: each is opened once and closed once. Ends are counted by cause; those that break an invariant
 * are counted and logged as violations, and other unusual ones are logged within a bound.
 */
import type { Socket } from 'node:net';
import type { Clock, Duration, Moment } from '../kernel/clock/clock.js';
import type { Fields, Log } from '../kernel/log/log.js';
import { rateLimited } from '../kernel/log/rate-limit.js';
import type { PlannedWork } from '../monitor/planned-work.js';
import { Violations } from '../monitor/violations.js';
import {
  isUsual,
  requestInvariants,
  violationOf,
  type EndCause,
  type RequestEnd,
  type RequestInvariant,
} from './request-end.js';

/** ms after its connection closed by which a request's end must have been recorded. */
const RECORDED_WITHIN: Duration = 5000;

/** Unusual ends, such as answers that engines broke off, may come by the hundred in bad times. */
const UNUSUAL_RATE = { lines: 20, window: 1000 };

/** A request that was taken and whose end is not recorded yet. */
export class OpenRequest {
  isEnded = false;
  /** When its connection was first seen closed. */
  closedSince: Moment | undefined;

  constructor(
    readonly socket: Socket,
    readonly begun: Moment,
  ) {}
}

export class RequestEnds {
  readonly violations: Violations<RequestInvariant>;
  private readonly table = new Map<EndCause, number>();
  private readonly open = new Set<OpenRequest>();
  private readonly logUnusual: Log;

  constructor(
    private readonly clock: Clock,
    log: Log,
    private readonly plannedWork: PlannedWork,
  ) {
    this.violations = new Violations('request-violation', requestInvariants, log);
    this.logUnusual = rateLimited(log, clock, UNUSUAL_RATE);
  }

  /** How many requests ended in each way. */
  get counts(): ReadonlyMap<EndCause, number> {
    return this.table;
  }

  /** Requests that were taken and whose end is not recorded. */
  get openCount(): number {
    return this.open.size;
  }

  /** A request was taken. */
  begin(socket: Socket): OpenRequest {
    const request = new OpenRequest(socket, this.clock.now());
    this.open.add(request);
    return request;
  }

  /** A request ended. */
  end(request: OpenRequest, end: RequestEnd): void {
    if (request.isEnded) return this.violations.note('ended-twice', this.fieldsOf(end));
    request.isEnded = true;
    this.open.delete(request);
    this.count(end.cause);
    const violation = violationOf(end);
    if (violation) this.violations.note(violation, this.fieldsOf(end));
    else if (!isUsual(end.cause)) this.logUnusual('request-end', this.fieldsOf(end));
  }

  /** A request came behind what its connection is to be closed for, and was not begun. */
  reject(): void {
    this.count('rejected');
  }

  /** Looks for requests whose connections closed a while ago and whose ends were not recorded. */
  sweep(): void {
    const now = this.clock.now();
    for (const request of this.open) {
      if (!request.socket.destroyed) continue;
      request.closedSince ??= now;
      if (now - request.closedSince < RECORDED_WITHIN) continue;
      this.open.delete(request);
      this.violations.note('never-ended', [['age', Math.round(now - request.begun)]]);
    }
  }

  private count(cause: EndCause): void {
    this.table.set(cause, (this.table.get(cause) ?? 0) + 1);
  }

  private fieldsOf(end: RequestEnd): Fields {
    const age = (kind: 'configuration' | 'reload' | 'stop'): number | undefined => {
      const since = this.plannedWork.age(kind);
      return since === undefined ? undefined : Math.round(since);
    };
    return [
      ['cause', end.cause],
      ['request', end.id],
      ['status', end.status],
      ['whole', end.isReadWhole],
      ['sent', end.isSent],
      ['engine', end.engine || undefined],
      ['age', Math.round(end.age)],
      ['left', Math.round(end.limit - end.age)],
      ['configurationAge', age('configuration')],
      ['reloadAge', age('reload')],
      ['stopAge', age('stop')],
    ];
  }
}
