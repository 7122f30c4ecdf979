/**
 * Traffic as the two firms send it: a slow trickle of long, prefix-heavy requests and more than ten times as many short
 * questions, spread over the routers by seeded chance. A caller that can't reach its router is recorded as silent.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { SeededRandom, pick } from '../kernel/random/random.js';
import { callOnce, type CallerRecord } from '../stand/caller/caller.js';
import { callerKey } from './fleet.js';

/** How much traffic there is, and of which kinds. */
export interface TrafficPlan {
  readonly seed: number;
  readonly seconds: number;
  readonly shortPerSecond: number;
  readonly longPerSecond: number;
  readonly firms: readonly string[];
  readonly hot?: boolean;
  /** How many different shared prefixes each firm has. */
  readonly groups?: number;
  /** Where a caller sends; asked for each request. */
  readonly routers: () => readonly string[];
}

/** What a caller was answered, with the kind of its request. */
export interface Called extends CallerRecord {
  readonly kind: 'short' | 'long';
  readonly firm: string;
}

const timetable = (firm: string, number: number): string =>
  Array.from(
    { length: 120 },
    (_, at) =>
      `${firm} train ${number * 1000 + at} leaves yard ${at % 7} at ${at % 24}:${(at * 7) % 60}`,
  ).join('\n');

/** Sends the traffic of a plan and records the answers. */
export const drive = async (plan: TrafficPlan): Promise<Called[]> => {
  const random = new SeededRandom(plan.seed);
  const calls: Array<Promise<Called>> = [];
  const perSecond = plan.shortPerSecond + plan.longPerSecond;
  const count = Math.round(plan.seconds * perSecond);
  const started = performance.now();
  for (let at = 0; at < count; at++) {
    const due = started + (at / perSecond) * 1000;
    if (due > performance.now()) await pause(due - performance.now());
    const kind = random.fraction() < plan.longPerSecond / perSecond ? 'long' : 'short';
    const firm = pick(random, plan.firms)!;
    const group = plan.hot ? 0 : Math.floor(random.fraction() * (plan.groups ?? 4));
    const system =
      kind === 'long' || plan.hot
        ? timetable(firm, group)
        : `You answer short questions for ${firm}, desk ${group}. `.repeat(6);
    const router = pick(random, plan.routers())!;
    const ask = {
      router,
      key: callerKey(firm),
      id: `q${plan.seed}-${at}`,
      model: 'family',
      messages: [
        { role: 'system', content: system },
        { role: 'user', content: `request ${at}: when, and how much?` },
      ],
      maxTokens: kind === 'long' ? 24 : 16,
      repeatable: kind === 'long',
      tag: kind,
    };
    calls.push(callOnce(ask).then((record) => ({ ...record, kind, firm })));
  }
  return Promise.all(calls);
};

/** A quantile of some values, the median by default. */
export const median = (values: readonly number[], share = 0.5): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
};

/** The outcomes and times of calls as figures. */
export const summary = (calls: readonly Called[]): object => {
  const of = (kind: string): readonly Called[] => calls.filter((call) => call.kind === kind);
  const spread = (some: readonly Called[]): object => {
    const times = some
      .filter(({ outcome }) => outcome === 'result')
      .map(({ firstPiece, began }) => firstPiece - began);
    return {
      p10: Math.round(median(times, 0.1)),
      p50: Math.round(median(times)),
      p90: Math.round(median(times, 0.9)),
      p99: Math.round(median(times, 0.99)),
    };
  };
  const outcomes = new Map<string, number>();
  for (const { outcome } of calls) outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
  const reasons = new Map<string, number>();
  for (const { outcome, reason } of calls)
    if (outcome !== 'result')
      reasons.set(
        `${outcome}: ${reason.replace(/\d+/g, 'N')}`,
        (reasons.get(`${outcome}: ${reason.replace(/\d+/g, 'N')}`) ?? 0) + 1,
      );
  return {
    calls: calls.length,
    outcomes: Object.fromEntries(outcomes),
    firstPieceMs: { short: spread(of('short')), long: spread(of('long')) },
    reasons: Object.fromEntries(reasons),
  };
};
