/**
 * Sends one request to engines until an answer begins. What may run only once is never sent again after a first byte,
 * save on the engine's own word that it did not run; what may be repeated is, within the route's attempts and the
 * budget. A request counts as refused only while it certainly did not run.
 */
import { within, type Clock } from '../kernel/clock/clock.js';
import type { Ticket } from '../place/placer.js';
import { mayRepeat } from '../route/shape.js';
import type { RepeatBudget } from './budget.js';
import { mayBeSentAgain, placeExtraSend } from './extra-send.js';
import { DEFAULT_WAIT, UNSENT_BOUND, type Attempt, type Head, type Job } from './job.js';
import type { Sender } from './sender.js';

/** How all sends of a request ended together. */
export type Result =
  | { readonly kind: 'answered'; readonly head: Head }
  /** It certainly did not run and will not. */
  | { readonly kind: 'not-run'; readonly reason: string; readonly retryAfter: number }
  /** It may have run. */
  | { readonly kind: 'unknown'; readonly reason: string }
  | { readonly kind: 'left' };

export class Attempts {
  constructor(
    private readonly sender: Sender,
    private readonly budget: RepeatBudget,
    private readonly clock: Clock,
    private readonly count: (what: string) => void,
  ) {}

  async run(job: Job): Promise<Result> {
    let mayHaveRun = false;
    const giveUp = (reason: string, retryAfter: number): Result =>
      mayHaveRun ? { kind: 'unknown', reason } : { kind: 'not-run', reason, retryAfter };
    for (;;) {
      const placed = this.sender.place(job);
      if ('wait' in placed) return giveUp(placed.reason, placed.wait);
      job.chart.step('placed', placed.engine.identifier);
      job.chart.step('sent', placed.engine.identifier);
      const attempt = await this.race(job, placed);
      switch (attempt.kind) {
        case 'head':
          return { kind: 'answered', head: attempt };
        case 'left':
          return attempt;
        case 'unsent':
          job.unsent += 1;
          if (job.unsent >= UNSENT_BOUND) return giveUp('no engine could be reached', DEFAULT_WAIT);
          break;
        case 'not-run':
          if (!this.mayGoOn(job))
            return giveUp('the engine has no room', attempt.retryAfter ?? DEFAULT_WAIT);
          break;
        case 'unknown':
          mayHaveRun = true;
          if (!mayRepeat(job.route) || !this.mayGoOn(job))
            return { kind: 'unknown', reason: attempt.fault.reason };
          break;
      }
      if (attempt.kind !== 'unsent') this.count('repeats');
      job.chart.step('read');
    }
  }

  /** Takes one more send from the budget, where time and the route's attempts allow it. */
  private mayGoOn(job: Job): boolean {
    return mayBeSentAgain(job, this.clock.now()) && this.budget.take(job.service.name);
  }

  /** Sends once; beside a send that is late, where that is allowed, a second one, and takes the first answer that begins. */
  private async race(job: Job, ticket: Ticket): Promise<Attempt> {
    const late = this.sender.lateAfter(job, ticket);
    const giveUps = [new AbortController(), new AbortController()] as const;
    const first = this.sender.send(job, ticket, undefined, giveUps[0]);
    if (late === undefined) return first;
    const early = await within(this.clock, Math.min(late, job.limit - this.clock.now()), first);
    if (early || this.clock.now() >= job.limit) return early ?? first;
    const beside = placeExtraSend(job, this.sender, this.budget);
    if (!beside) return first;
    this.count('hedges');
    const second = this.sender.send(job, beside, undefined, giveUps[1]);
    const [at, attempt] = await firstToBegin([first, second]);
    giveUps[1 - at]!.abort();
    return attempt;
  }
}

/** The first attempt that has an answer, with its place; when none has, the one that says the least of being unrun. */
const firstToBegin = (attempts: readonly Promise<Attempt>[]): Promise<readonly [number, Attempt]> =>
  new Promise((resolve) => {
    const ended: Array<readonly [number, Attempt]> = [];
    attempts.forEach(
      (attempt, at) =>
        void attempt.then((result) => {
          ended.push([at, result]);
          if (result.kind === 'head' || result.kind === 'left') resolve([at, result]);
          else if (ended.length === attempts.length) resolve(leastUnrun(ended));
        }),
    );
  });

const leastUnrun = (ended: ReadonlyArray<readonly [number, Attempt]>): readonly [number, Attempt] =>
  ended.find(([, { kind }]) => kind === 'unknown') ??
  ended.find(([, { kind }]) => kind === 'not-run') ??
  ended[0]!;
