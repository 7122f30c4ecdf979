/**
 * Hands an engine's answer on to its caller as it comes. A stream that may be taken up again goes on behind the last
 * whole event, in the same answer, when the next engine's events follow on; all else that breaks off is cut visibly.
 */
import { within, type Clock } from '../kernel/clock/clock.js';
import type { Fault } from '../kernel/fault/fault.js';
import type { Log } from '../kernel/log/log.js';
import type { Ticket, TicketEnd } from '../place/placer.js';
import type { Patience } from './answer.js';
import type { RepeatBudget } from './budget.js';
import { EventCutter, type WholeEvent } from './events.js';
import { endToEnd } from './fields.js';
import {
  attemptsOf,
  UNSENT_BOUND,
  type ForwardParams,
  type Head,
  type Job,
  type Trail,
} from './job.js';
import type { CutCause } from './request-end.js';
import type { Sender } from './sender.js';

/**
 * How handing one engine's answer on ended: "silent" when the engine said nothing for too long, "late" when the request's
 * time was over, "unread" when it was over before its caller had read what was written.
 */
type Ended = 'whole' | 'failed' | 'silent' | 'left' | 'late' | 'unread';

/** What the engine's ticket is told of it. */
const ticketEnds = new Map<Ended, TicketEnd>([
  ['whole', 'whole'],
  ['failed', 'failed'],
  ['silent', 'failed'],
  ['left', 'left'],
  ['late', 'left'],
  ['unread', 'left'],
]);

/** What an answer that did not go on elsewhere was cut off for. */
const cutCauses = new Map<Ended, CutCause>([
  ['failed', 'engine-broke-off'],
  ['silent', 'engine-silent'],
  ['late', 'deadline'],
  ['unread', 'client-not-reading'],
]);

/** ms for which pieces that are on their way already are passed on after the request's time. */
const OVERTIME = 100;

export class AnswerRelay {
  constructor(
    private readonly sender: Sender,
    private readonly budget: RepeatBudget,
    private readonly params: ForwardParams,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly count: (what: string) => void,
  ) {}

  /** Hands the answer on, and goes on elsewhere where a stream broke and may. */
  async relay(job: Job, head: Head): Promise<void> {
    const { caller, chart } = job;
    const { status, fields } = head.answer;
    const trail = trailOf(job, status);
    caller.head(status, endToEnd(fields, trail ? new Set(['content-length']) : new Set<string>()));
    chart.step('streaming', head.ticket.engine.identifier);
    let current = passingOf(head, trail);
    for (;;) {
      const ended = await this.relayPieces(job, current, trail);
      if (ended === 'left' || ended === 'whole') return this.conclude(job, current.head, ended);
      const isInterrupted = ended === 'failed' || ended === 'silent';
      const next = isInterrupted && trail ? await this.resume(job, trail) : undefined;
      if (!next && ended === 'silent' && this.clock.now() < job.limit) {
        // It can go on nowhere else, and an engine's silence is no reason to end an answer.
        current.bearsSilence = true;
      } else {
        endHead(current.head, ended);
        if (!next) return this.cut(job, ended);
        current = passingOf(next, trail);
      }
      chart.step('streaming', current.head.ticket.engine.identifier);
    }
  }

  private conclude({ caller, chart }: Job, head: Head, ended: 'left' | 'whole'): void {
    endHead(head, ended);
    if (ended === 'left') return void chart.step('left');
    chart.step('complete');
    this.count('complete');
    caller.finish(head.answer.whole);
  }

  private cut({ caller, chart, limit }: Job, ended: Ended): void {
    chart.step('broken');
    this.count('broken');
    const isOver = ended === 'silent' && this.clock.now() >= limit;
    caller.cut(isOver ? 'deadline' : cutCauses.get(ended)!);
  }

  /** Hands one engine's answer on until its end, or from where that was interrupted. */
  private async relayPieces(job: Job, passing: Passing, trail: Trail | undefined): Promise<Ended> {
    const { head, cutter } = passing;
    const { answer, ticket } = head;
    let piece = passing.isBegun ? undefined : head.first;
    let ended = !passing.isBegun && head.whole;
    passing.isBegun = true;
    for (;;) {
      if (piece) {
        const stopped =
          trail && cutter
            ? await this.writeEvents(job, ticket, cutter.push(piece) ?? [overlong], trail)
            : await this.write(job, piece);
        if (stopped) return stopped;
      }
      if (ended) return (cutter?.rest.length && (await this.write(job, cutter.rest))) || 'whole';
      if (this.clock.now() >= job.limit + OVERTIME) return 'late';
      const next = await answer.next(this.patience(job, passing.bearsSilence ? undefined : trail));
      if (job.caller.gone.aborted) return 'left';
      if (next.isLeft()) {
        const fault = next.extract() as Fault;
        this.broke(job, ticket, fault.reason);
        return fault.kind === 'silent' ? 'silent' : 'failed';
      }
      piece = next.extract() as Uint8Array | undefined;
      ended = piece === undefined;
      if (piece) ticket.piece();
    }
  }

  /** Passes whole events on while each follows on what was passed on before; how it stopped, if it did. */
  private async writeEvents(
    job: Job,
    ticket: Ticket,
    events: readonly WholeEvent[],
    trail: Trail,
  ): Promise<Ended | undefined> {
    for (const { raw, id } of events) {
      if (id !== undefined && !follows(trail, id))
        return this.broke(
          job,
          ticket,
          `event ${id.slice(0, 40)} does not follow ${trail.last ?? 'none'}`,
        );
      const stopped = await this.write(job, raw);
      if (stopped) return stopped;
      trail.handed = true;
      if (id !== undefined) trail.last = id;
    }
    return undefined;
  }

  /** Passes a piece on and waits for its caller to read, no longer than the request may be held; how that stopped, if it did. */
  private async write({ caller, limit }: Job, piece: Uint8Array): Promise<Ended | undefined> {
    if (caller.write(piece)) return undefined;
    const left = Math.max(0, limit - this.clock.now());
    const drained = await within(this.clock, left, caller.drained());
    if (drained === undefined) return 'unread';
    return drained ? undefined : 'left';
  }

  private patience({ route, limit }: Job, trail: Trail | undefined): Patience {
    const left = Math.max(1, limit - this.clock.now());
    const gap = trail && route.gap;
    return {
      soft: gap === undefined ? left : Math.max(this.params.gapLeast, gap * this.params.gapShare),
      hard: left,
    };
  }

  private broke({ id }: Job, ticket: Ticket, reason: string): 'failed' {
    this.log('answer-broke', [
      ['peer', ticket.engine.address],
      ['reason', reason],
      ['request', id],
    ]);
    return 'failed';
  }

  /** Has a broken stream go on behind its last event at another engine. */
  private async resume(job: Job, trail: Trail): Promise<Head | undefined> {
    job.chart.step('resuming');
    while (this.mayResume(job)) {
      this.count('resumes');
      const placed = this.sender.place(job);
      if ('wait' in placed) return undefined;
      const attempt = await this.sender.send(job, placed, trail);
      if (attempt.kind === 'left') return undefined;
      if (attempt.kind === 'unsent') job.unsent += 1;
      if (attempt.kind !== 'head') continue;
      if (isSuccess(attempt.answer.status)) return attempt;
      attempt.answer.drop();
      attempt.ticket.end('failed');
    }
    return undefined;
  }

  private mayResume(job: Job): boolean {
    return (
      job.sends < attemptsOf(job.route) &&
      job.unsent < UNSENT_BOUND &&
      this.clock.now() < job.limit &&
      this.budget.take(job.service.name)
    );
  }
}

/** One engine's answer on its way to the caller. */
interface Passing {
  readonly head: Head;
  /** Cuts its events, where it may go on elsewhere. */
  readonly cutter: EventCutter | undefined;
  /** Whether its first piece was handed on. */
  isBegun: boolean;
  /** Whether its silence is borne as long as the request may be held. */
  bearsSilence: boolean;
}

const passingOf = (head: Head, trail: Trail | undefined): Passing => ({
  head,
  cutter: trail && new EventCutter(),
  isBegun: false,
  bearsSilence: false,
});

/** Nothing more is handed on of an engine's answer. */
const endHead = ({ answer, ticket }: Head, ended: Ended): void => {
  if (ended !== 'whole') answer.drop();
  ticket.end(ticketEnds.get(ended)!);
};

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** How far a stream was handed on, where it may be taken up again. */
const trailOf = ({ caller, route }: Job, status: number): Trail | undefined =>
  isSuccess(status) && route.kind === 'streaming' && route.resume === true
    ? { last: caller.field('last-event-id'), handed: false }
    : undefined;

/** Whether an event may be handed on behind what was: none was yet, or its id is the next one. */
const follows = (trail: Trail, id: string): boolean =>
  (!trail.handed && trail.last === undefined) || Number(id) === Number(trail.last) + 1;

/** Stands for an event over the bound; its id follows nothing. */
const overlong: WholeEvent = { raw: new Uint8Array(), id: 'NaN' };
