/**
 * Hands an engine's answer on to its caller as it comes. A stream that may be taken up again goes on behind the last
 * whole event, in the same answer, when the next engine's events follow on; all else that breaks off is cut visibly.
 * Silence of an engine ends nothing: another one may be asked to go on, and until it does the silent one is waited for.
 */
import { within, type Clock, type Duration } from '../kernel/clock/clock.js';
import type { Fault, Outcome } from '../kernel/fault/fault.js';
import type { Log } from '../kernel/log/log.js';
import type { Ticket, TicketEnd } from '../place/placer.js';
import type { Answer } from './answer.js';
import type { RepeatBudget } from './budget.js';
import { EventCutter, type WholeEvent } from './events.js';
import { endToEnd } from './fields.js';
import type { ForwardParams, Head, Job, Trail } from './job.js';
import type { CutCause } from './request-end.js';
import { isSuccess, StreamResumption } from './resumption.js';
import type { Sender } from './sender.js';

/**
 * How handing one engine's answer on ended: "silent" when the engine said nothing until the request's time was over, "late"
 * when that was over while it spoke, "unread" when it was over before its caller had read what was written.
 */
type Ended = 'whole' | 'failed' | 'silent' | 'left' | 'late' | 'unread';

/** How handing one engine's answer on ended, and the answer that goes on instead of one that fell silent. */
interface Relayed {
  readonly ended: Ended;
  readonly successor?: Head;
}

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
  ['silent', 'deadline'],
  ['late', 'deadline'],
  ['unread', 'client-not-reading'],
]);

/** ms for which pieces that are on their way already are passed on after the request's time. */
const OVERTIME = 100;

/** Where an answer goes on: at the engine that gives it, or at another one. */
type Continuation = Outcome<Uint8Array | undefined> | Head;

const isHead = (continuation: Continuation): continuation is Head =>
  'kind' in continuation && continuation.kind === 'head';

/** Hands answers on. */
export class AnswerRelay {
  private readonly resumption: StreamResumption;

  constructor(
    sender: Sender,
    budget: RepeatBudget,
    private readonly params: ForwardParams,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly count: (what: string) => void,
  ) {
    this.resumption = new StreamResumption(sender, budget, clock, count);
  }

  /** Hands the answer on, and goes on elsewhere where a stream broke and may. */
  async relay(job: Job, head: Head): Promise<void> {
    const { caller, chart } = job;
    const { status, fields } = head.answer;
    const trail = trailOf(job, status);
    caller.head(status, endToEnd(fields, trail ? new Set(['content-length']) : new Set<string>()));
    chart.step('streaming', head.ticket.engine.identifier);
    let ended: Ended = 'failed';
    for (let current: Head | undefined = head; current;) {
      const relayed = await this.relayOne(job, current, trail);
      ended = relayed.ended;
      if (ended === 'left') return void chart.step('left');
      if (ended === 'whole') {
        chart.step('complete');
        this.count('complete');
        return caller.finish(current.answer.whole);
      }
      current =
        relayed.successor ??
        (ended === 'failed' && trail ? await this.resume(job, trail) : undefined);
      if (current) chart.step('streaming', current.ticket.engine.identifier);
    }
    chart.step('broken');
    this.count('broken');
    caller.cut(cutCauses.get(ended)!);
  }

  /** Hands one engine's answer on until its end. */
  private async relayOne(job: Job, head: Head, trail: Trail | undefined): Promise<Relayed> {
    const relayed = await this.relayPieces(job, head, trail);
    if (relayed.ended !== 'whole') head.answer.drop();
    head.ticket.end(ticketEnds.get(relayed.ended)!);
    return relayed;
  }

  private async relayPieces(job: Job, head: Head, trail: Trail | undefined): Promise<Relayed> {
    const { answer, ticket } = head;
    const cutter = trail && new EventCutter();
    let piece = head.first;
    for (let ended = head.whole; ;) {
      if (piece) {
        const stopped =
          trail && cutter
            ? await this.writeEvents(job, ticket, cutter.push(piece) ?? [overlong], trail)
            : await this.write(job, piece);
        if (stopped) return { ended: stopped };
      }
      if (ended)
        return {
          ended: (cutter?.rest.length && (await this.write(job, cutter.rest))) || 'whole',
        };
      if (this.clock.now() >= job.limit + OVERTIME) return { ended: 'late' };
      const next = await this.continuation(job, answer, trail);
      if (isHead(next))
        return { ended: this.broke(job, ticket, 'silent, taken up elsewhere'), successor: next };
      if (job.caller.gone.aborted) return { ended: 'left' };
      if (next.isLeft()) return { ended: this.endedBy(job, ticket, next.extract() as Fault) };
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

  /**
   * The next piece. While the engine of a stream that may be taken up again is silent, another one is asked to go on, and
   * whichever speaks first is heard.
   */
  private async continuation(
    job: Job,
    answer: Answer,
    trail: Trail | undefined,
  ): Promise<Continuation> {
    const { gap } = job.route;
    const isSilent =
      trail && gap !== undefined && (await this.fallsSilent(answer, this.silenceBound(gap)));
    const next = answer.next(Math.max(1, job.limit - this.clock.now()));
    return isSilent ? this.nextOrSuccessor(job, trail, next) : next;
  }

  private silenceBound(gap: Duration): Duration {
    return Math.max(this.params.gapLeast, gap * this.params.gapShare);
  }

  /** Whether the engine says nothing to anyone here for so long, and gives no piece meanwhile. */
  private async fallsSilent(answer: Answer, bound: Duration): Promise<boolean> {
    const begun = this.clock.now();
    for (;;) {
      const left = Math.max(begun, answer.heardAt) + bound - this.clock.now();
      if (left <= 0) return true;
      if (await answer.ready(left)) return false;
    }
  }

  /** The silent engine's next piece, or the answer of another one that goes on before it. */
  private async nextOrSuccessor(
    job: Job,
    trail: Trail,
    next: Promise<Outcome<Uint8Array | undefined>>,
  ): Promise<Continuation> {
    const { chart } = job;
    const stop = new AbortController();
    chart.step('resuming');
    const resumed = this.resumption.resume(job, trail, stop.signal);
    const spoke = next.then((outcome) => outcome.isRight());
    const first = await Promise.race([resumed, spoke]);
    if (typeof first === 'object') return first;
    if (first === true) {
      stop.abort();
      void resumed.then((late) => discard(late));
    }
    const successor = first === false ? await resumed : undefined;
    if (successor) return successor;
    const outcome = await next;
    chart.step('streaming');
    return outcome;
  }

  /** How an answer ended that broke off, or whose engine fell silent for the rest of the request's time. */
  private endedBy(job: Job, ticket: Ticket, { kind, reason }: Fault): Ended {
    const broke = this.broke(job, ticket, reason);
    return kind === 'silent' ? 'silent' : broke;
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
  private resume(job: Job, trail: Trail): Promise<Head | undefined> {
    job.chart.step('resuming');
    return this.resumption.resume(job, trail, job.caller.gone);
  }
}

/** An answer that came too late to be taken. */
const discard = (head: Head | undefined): void => {
  head?.answer.drop();
  head?.ticket.end('left');
};

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
