/**
 * Takes a stream up at another engine, behind the last event that was handed on. One engine is asked at first; while it
 * says nothing for too long another one is asked beside it, as far as the route's attempts and the budget allow, and the
 * first answer that begins is taken. No attempt is given up for its silence alone.
 */
import { within, type Clock, type Duration } from '../kernel/clock/clock.js';
import type { RepeatBudget } from './budget.js';
import { attemptsOf, UNSENT_BOUND, type Attempt, type Head, type Job, type Trail } from './job.js';
import type { Sender } from './sender.js';

/** Whether a status says that the request was served. */
export const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** An attempt under way. */
interface Running {
  readonly giveUp: AbortController;
  /** How it ended, with itself. */
  readonly ended: Promise<Ended>;
}

interface Ended {
  readonly running: Running;
  readonly attempt: Attempt;
}

interface Started {
  readonly running: Running;
  /** ms without a byte after which another engine may be asked beside this one. */
  readonly patience: Duration;
}

/** Asks further engines to go on with a stream. */
export class StreamResumption {
  constructor(
    private readonly sender: Sender,
    private readonly budget: RepeatBudget,
    private readonly clock: Clock,
    private readonly count: (what: string) => void,
  ) {}

  /** The answer of the engine that goes on first; undefined when none does, or once the signal ended the search. */
  async resume(job: Job, trail: Trail, stop: AbortSignal): Promise<Head | undefined> {
    const running = new Set<Running>();
    const giveUpAll = (): void => {
      for (const { giveUp } of running) giveUp.abort();
    };
    stop.addEventListener('abort', giveUpAll, { once: true });
    try {
      return await this.search(job, trail, running, stop);
    } finally {
      stop.removeEventListener('abort', giveUpAll);
      giveUpAll();
    }
  }

  private async search(
    job: Job,
    trail: Trail,
    running: Set<Running>,
    stop: AbortSignal,
  ): Promise<Head | undefined> {
    for (;;) {
      const started = this.start(job, trail, stop);
      if (started) running.add(started.running);
      const first = await this.firstToEnd(job, running, started?.patience);
      if (!first) {
        if (running.size === 0) return undefined;
        continue;
      }
      running.delete(first.running);
      const { attempt } = first;
      if (attempt.kind === 'left') return undefined;
      if (attempt.kind === 'unsent') job.unsent += 1;
      if (attempt.kind !== 'head') continue;
      if (isSuccess(attempt.answer.status)) return attempt;
      attempt.answer.drop();
      attempt.ticket.end('failed');
    }
  }

  /** Asks one more engine, where one may be asked and there is one. */
  private start(job: Job, trail: Trail, stop: AbortSignal): Started | undefined {
    if (stop.aborted || !this.mayAsk(job)) return undefined;
    const ticket = this.sender.place(job);
    if ('wait' in ticket) return undefined;
    if (!this.budget.take(job.service.name)) {
      ticket.end('left');
      return undefined;
    }
    this.count('resumes');
    const giveUp = new AbortController();
    const sent = this.sender.send(job, ticket, trail, giveUp);
    const running: Running = {
      giveUp,
      ended: sent.then((attempt) => ({ running, attempt })),
    };
    return { running, patience: this.sender.resumePatience(job, ticket) };
  }

  /** Waits for the first attempt to end, and where another engine may be asked beside them no longer than patience lasts. */
  private async firstToEnd(
    job: Job,
    running: ReadonlySet<Running>,
    patience: Duration | undefined,
  ): Promise<Ended | undefined> {
    if (running.size === 0) return undefined;
    const first = Promise.race([...running].map(({ ended }) => ended));
    return patience !== undefined && this.mayAsk(job) ? within(this.clock, patience, first) : first;
  }

  /** Whether the route and the request's time allow one more engine. */
  private mayAsk(job: Job): boolean {
    return (
      job.sends < attemptsOf(job.route) && job.unsent < UNSENT_BOUND && this.clock.now() < job.limit
    );
  }
}
