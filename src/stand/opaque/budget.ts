/** Judges the share of further arrivals at each service, over every sliding window. */
import type { Arrival, Asked } from './record.js';

/** The share of further arrivals that is allowed. */
export interface BudgetBounds {
  readonly ratio: number;
  /** ms. */
  readonly window: number;
  /** Arrivals beyond the ratio that are let pass. */
  readonly slack: number;
}

/** The windows in which too many arrivals were repeats. */
export const budgetBreaches = (
  asked: readonly Asked[],
  arrivals: readonly Arrival[],
  servicesOf: (asked: Asked) => ReadonlySet<string>,
  { ratio, window, slack }: BudgetBounds,
): string[] => {
  const requests = new Map<string, number[]>();
  for (const each of asked)
    for (const service of servicesOf(each))
      requests.set(service, [...(requests.get(service) ?? []), ...each.tries.map(({ at }) => at)]);
  const seen = new Set<string>();
  const further = new Map<string, number[]>();
  for (const { id, service, at } of [...arrivals].sort((a, b) => a.at - b.at)) {
    if (seen.has(`${service} ${id}`)) further.set(service, [...(further.get(service) ?? []), at]);
    seen.add(`${service} ${id}`);
  }
  return [...further].flatMap(([service, moments]) => {
    const sent = requests.get(service) ?? [];
    const within = (from: number): number =>
      sent.filter((at) => at > from && at <= from + window).length;
    const worst = moments
      .map((end, at) => ({
        count: moments.slice(0, at + 1).filter((moment) => moment > end - window).length,
        allowed:
          ratio *
            Math.max(within(end - window), within(end - 1.5 * window), within(end - 2 * window)) +
          slack,
      }))
      .find(({ count, allowed }) => count > allowed);
    return worst
      ? [
          `${worst.count} further arrivals at ${service} in one window, ${worst.allowed.toFixed(1)} allowed`,
        ]
      : [];
  });
};
