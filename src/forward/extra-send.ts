/** What holds for every send of a request beyond its first: the route's attempts, its time, and its service's budget. */
import type { Moment } from '../kernel/clock/clock.js';
import type { Ticket } from '../place/placer.js';
import type { RepeatBudget } from './budget.js';
import { attemptsOf, type Job } from './job.js';
import type { Sender } from './sender.js';

/** Whether the route's attempts and the request's time allow one more send. */
export const mayBeSentAgain = (job: Job, now: Moment): boolean =>
  job.sends < attemptsOf(job.route) && now < job.limit;

/** Places one more send and takes it from the budget; undefined where no engine has room or the budget is used up. */
export const placeExtraSend = (
  job: Job,
  sender: Sender,
  budget: RepeatBudget,
): Ticket | undefined => {
  const placed = sender.place(job);
  if ('wait' in placed) return undefined;
  if (budget.take(job.service.name)) return placed;
  placed.end('left');
  return undefined;
};
