/**
 * Hands an engine's answer on to its caller as it comes. A stream that may be taken up again goes on behind the last
 * whole event, in the same answer, when the next engine's events follow on; all else that breaks off is cut visibly.
 */
import type { Clock } from '../kernel/clock/clock.js';
import type { Fault } from '../kernel/fault/fault.js';
import type { Log } from '../kernel/log/log.js';
import type { TicketEnd } from '../place/placer.js';
import type { RepeatBudget } from './budget.js';
import { EventCutter } from './events.js';
import { endToEnd } from './fields.js';
import {
  attemptsOf,
  UNSENT_BOUND,
  type ForwardParams,
  type Head,
  type Job,
  type Trail,
} from './job.js';
import type { Sender } from './sender.js';

export class Pourer {
  constructor(
    private readonly sender: Sender,
    private readonly budget: RepeatBudget,
    private readonly params: ForwardParams,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly count: (what: string) => void,
  ) {}

  /** Hands the answer on, and goes on elsewhere where a stream broke and may. */
  async pass(job: Job, begun: Head): Promise<void> {
    const { caller, route, chart } = job;
    const { status, fields } = begun.answer;
    const resumable =
      status >= 200 && status < 300 && route.kind === 'streaming' && route.resume === true;
    const trail: Trail | undefined = resumable
      ? { last: caller.field('last-event-id'), handed: false }
      : undefined;
    caller.head(status, endToEnd(fields, trail ? new Set(['content-length']) : new Set<string>()));
    chart.step('streaming', begun.ticket.engine.identifier);
    for (let current = begun; ;) {
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
  private async pour(
    job: Job,
    { answer, ticket, first, whole }: Head,
    trail: Trail | undefined,
  ): Promise<'whole' | 'broken' | 'left'> {
    const { caller, route } = job;
    const cutter = trail && new EventCutter();
    const over = (how: TicketEnd): 'whole' | 'broken' | 'left' => {
      if (how !== 'whole') answer.drop();
      ticket.end(how);
      return how === 'whole' || how === 'left' ? how : 'broken';
    };
    let chunk = first;
    for (let ended = whole; ;) {
      if (chunk && !cutter && !(await caller.write(chunk))) return over('left');
      for (const { raw, id } of chunk && cutter ? (cutter.push(chunk) ?? [overlong]) : []) {
        if (id !== undefined && !follows(trail!, id)) {
          this.log('answer-broke', [
            ['peer', ticket.engine.address],
            ['reason', `event ${id.slice(0, 40)} does not follow ${trail!.last ?? 'none'}`],
            ['request', job.id],
          ]);
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
      const next = await answer.next({
        soft:
          trail && route.gap !== undefined
            ? Math.max(this.params.gapLeast, route.gap * this.params.gapShare)
            : left,
        hard: left,
      });
      if (caller.gone.aborted) return over('left');
      if (next.isLeft()) {
        this.log('answer-broke', [
          ['peer', ticket.engine.address],
          ['reason', (next.extract() as Fault).reason],
          ['request', job.id],
        ]);
        return over('failed');
      }
      chunk = next.extract() as Uint8Array | undefined;
      ended = chunk === undefined;
      if (chunk) ticket.piece();
    }
  }

  /** Has a broken stream go on behind its last event at another engine. */
  private async resume(job: Job, trail: Trail): Promise<Head | undefined> {
    const attempts = attemptsOf(job.route);
    job.chart.step('resuming');
    while (
      job.sends < attempts &&
      job.unsent < UNSENT_BOUND &&
      this.clock.now() < job.limit &&
      this.budget.take(job.service.name)
    ) {
      this.count('resumes');
      const placed = this.sender.place(job);
      if ('wait' in placed) return undefined;
      const attempt = await this.sender.send(job, placed, trail);
      if (attempt.kind === 'left') return undefined;
      if (attempt.kind === 'unsent') job.unsent += 1;
      if (attempt.kind !== 'head') continue;
      if (attempt.answer.status >= 200 && attempt.answer.status < 300) return attempt;
      attempt.answer.drop();
      attempt.ticket.end('failed');
    }
    return undefined;
  }
}

/** Whether an event may be handed on behind what was: none was yet, or its id is the next one. */
const follows = (trail: Trail, id: string): boolean =>
  (!trail.handed && trail.last === undefined) || Number(id) === Number(trail.last) + 1;

/** Stands for an event over the bound; its id follows nothing. */
const overlong = { raw: new Uint8Array(), id: 'NaN' };
