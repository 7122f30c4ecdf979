/** Judges a whole soak by everything that is on record of it. */
import type { Call } from '../../../history/call.js';
import { judgeHistory } from '../../../history/judge.js';
import {
  judgeOpaque,
  type OpaqueBounds,
  type OpaqueFinding,
  type SentConfiguration,
} from '../../../stand/opaque/judge.js';
import type { Try } from '../../../stand/opaque/record.js';
import type { SentOrder } from '../operators.js';
import type { IncidentKind, SoakFinding } from '../record.js';
import type { Span, Timeline } from './timeline.js';
import { judgeReadBack, judgeRefused, judgeReverts, type ReadBack } from './configuration.js';
import { UnansweredJudge, type RequestEvidence } from './unanswered.js';

/** Everything that a run is judged by. */
export interface SoakEvidence extends RequestEvidence {
  readonly orders: readonly SentOrder[];
  readonly calls: readonly Call[];
  readonly readBacks: readonly ReadBack[];
  readonly cores: readonly string[];
  readonly lapse: 'serve' | 'stop';
  readonly retries: { readonly share: number; readonly window: number };
  /** Connections on which bytes came that nobody had asked for. */
  readonly unaskedBytes: number;
}

/** ms for which a machine, and the core, must have been without trouble to be bound by times. */
const IN_TOUCH = 3000;
/** ms from a version's acknowledgement until it is in force everywhere, where routers serve on without a lease. */
const APPLY = 2000;
const RETRY_SLACK = 3;
const DETAIL_BOUND = 2000;

/** What puts a machine out of touch for as long as it lasts, and `IN_TOUCH` beyond. */
const OUT_OF_TOUCH: ReadonlySet<IncidentKind> = new Set(['down', 'paused', 'peers', 'harness']);
/** A machine that was told to stop is bound again `IN_TOUCH` after the signal, while it still runs. */
const STOPPING: ReadonlySet<IncidentKind> = new Set(['stopping']);
const EVENTS: ReadonlySet<IncidentKind> = new Set([...OUT_OF_TOUCH, ...STOPPING]);

const boundsOf = ({ lapse, retries }: SoakEvidence): OpaqueBounds => ({
  drain: Infinity,
  apply: lapse === 'serve' ? APPLY : 0,
  ratio: retries.share,
  window: retries.window,
  slack: RETRY_SLACK,
});

/** The valid orders as the judge of requests takes them. */
const sentConfigurations = (orders: readonly SentOrder[]): SentConfiguration[] =>
  orders.flatMap(({ whole, sentAt, acknowledgedAt, refusedAt }) =>
    whole
      ? [
          {
            configuration: whole,
            sentAt,
            acceptedAt: acknowledgedAt,
            refused: refusedAt !== undefined,
          },
        ]
      : [],
  );

const judgeRequests = (evidence: SoakEvidence): SoakFinding[] => {
  const { asked, arrivals, orders } = evidence;
  const found = judgeOpaque({
    asked,
    arrivals,
    configurations: sentConfigurations(orders),
    leaving: new Map(),
    bounds: boundsOf(evidence),
  });
  const tries = new Map(asked.flatMap((each) => each.tries.map((told) => [told.id, told])));
  return found
    .filter((finding) => !isOutOfTouch(evidence, finding, tries.get(finding.request)))
    .map(({ breach, request, detail }) => {
      const told = tries.get(request);
      const where = told ? ` at ${evidence.routerAt(told.router)}` : '';
      const when = told ? `${new Date(told.at).toISOString()}: ` : '';
      return { rule: breach, subject: `${request}${where}`, detail: `${when}${detail}` };
    });
};

/** Where routers serve on without a lease, only those in touch with a settled core are bound by the time to apply. */
const isOutOfTouch = (
  { lapse, cores, timeline, routerAt }: SoakEvidence,
  { breach }: OpaqueFinding,
  told: Try | undefined,
): boolean => {
  if (breach !== 'stale-configuration' || lapse !== 'serve' || !told) return false;
  const span = { from: told.at - IN_TOUCH, till: told.ended };
  const router = routerAt(told.router);
  const isRouterStruck =
    timeline.struck(router, OUT_OF_TOUCH, span) || timeline.changed(router, STOPPING, span);
  return isRouterStruck || !isSettled(cores, timeline, span);
};

/** The core is settled while more than half of it runs in touch and nothing befell any of it lately. */
const isSettled = (cores: readonly string[], timeline: Timeline, span: Span): boolean => {
  if (cores.some((name) => timeline.changed(name, EVENTS, span))) return false;
  const inTouch = cores.filter((name) => !timeline.struck(name, OUT_OF_TOUCH, span));
  return inTouch.length > cores.length / 2;
};

/** Calls are described with all that they carried; the files of the run have it whole. */
const shortened = (text: string): string =>
  text.length > DETAIL_BOUND ? `${text.slice(0, DETAIL_BOUND)}...` : text;

/** Everything that a run should not have shown. */
export const judgeSoak = (evidence: SoakEvidence): SoakFinding[] => {
  const { orders, arrivals, asked, calls, readBacks, routerAt, timeline, unaskedBytes } = evidence;
  return [
    ...new UnansweredJudge(evidence).findings(),
    ...judgeRequests(evidence),
    ...judgeReadBack(orders, readBacks),
    ...judgeRefused(orders, arrivals),
    ...judgeReverts(orders, asked, routerAt, timeline),
    ...judgeHistory(calls).map(({ kind, explanation }) => ({
      rule: kind,
      subject: 'operators',
      detail: shortened(explanation),
    })),
    ...(unaskedBytes > 0
      ? [
          {
            rule: 'unasked-bytes',
            subject: 'kept connections',
            detail: `${unaskedBytes} times`,
          },
        ]
      : []),
  ];
};
