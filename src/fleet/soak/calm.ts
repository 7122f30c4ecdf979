/** How long changes had to wait in calm times: a figure of a run, no verdict, since a busy machine lengthens it. */
import type { SentOrder } from './operators.js';
import type { Incident, IncidentKind } from './record.js';

/** ms without trouble after which a time counts as calm. */
const SETTLED_AFTER = 3000;

/** What keeps changes from being acknowledged, or their answers from being told. */
const DISTURBING: ReadonlySet<IncidentKind> = new Set([
  'down',
  'paused',
  'stopping',
  'peers',
  'answers-lost',
  'harness',
]);

interface Span {
  readonly from: number;
  readonly till: number;
}

/** The spans in which nothing disturbed changes, from the first acknowledgement to the last. */
const calmSpans = (incidents: readonly Incident[], whole: Span): Span[] => {
  const disturbing = incidents
    .filter(({ kind }) => DISTURBING.has(kind))
    .sort((one, other) => one.began - other.began);
  const spans: Span[] = [];
  let from = whole.from;
  for (const { began, ended } of disturbing) {
    if (began > from) spans.push({ from, till: Math.min(began, whole.till) });
    from = Math.max(from, ended + SETTLED_AFTER);
  }
  if (from < whole.till) spans.push({ from, till: whole.till });
  return spans;
};

/** The longest time in ms within one calm span in which no order was acknowledged. */
export const longestWaitInCalm = (
  orders: readonly SentOrder[],
  incidents: readonly Incident[],
): number => {
  const moments = orders
    .flatMap(({ acknowledgedAt }) => acknowledgedAt ?? [])
    .sort((one, other) => one - other);
  const whole = { from: moments[0] ?? 0, till: moments.at(-1) ?? 0 };
  const waits = calmSpans(incidents, whole).flatMap(({ from, till }) => {
    const marks = [from, ...moments.filter((at) => at > from && at < till), till];
    return marks.slice(1).map((at, before) => at - marks[before]!);
  });
  return Math.max(0, ...waits);
};
