/**
 * The callers of both firms: a slow trickle of long, prefix-heavy requests and more than ten times as many short
 * questions that may not be repeated, some of which are sent again later in the day under the same id. All that a
 * caller is told is kept for the judge.
 */
import type { Sink } from '../../passage/passage.js';
import { readRequest } from '../../passage/request.js';
import { pick } from '../../kernel/random/random.js';
import type { CallerRecord } from '../../stand/caller/caller.js';
import type { Stage } from './stage.js';

export type Kind = 'short' | 'long';
export interface Call extends CallerRecord {
  readonly firm: string;
  readonly kind: Kind;
  readonly doorway: string;
}

/** Ids are sent again after up to this long. */
const AGAIN = 25_000;
const GRACE = 500;
/** How often a caller that does not wait sends the same request again, and how soon. */
const COPIES = 2;
const COPY_PAUSE = 5;
const LIMITS: ReadonlyMap<Kind, number> = new Map([
  ['short', 3000],
  ['long', 8000],
]);
const TOTAL = 15_000;

export class Traffic {
  readonly calls: Call[] = [];
  /** Ids that were sent again: a first send that was declined may then have run under the second. */
  readonly resent = new Set<string>();
  readonly backAfter: number[] = [];
  readonly onceBackAfter: number[] = [];
  /** Whether callers send each short request again at once, without waiting for its answer. */
  repeatsAtOnce = false;
  private outage: number | undefined;
  private onceOutage: number | undefined;

  constructor(private readonly stage: Stage) {}

  /** Requests over a span, spread over the routers by chance; hot ones all share one prefix. */
  flow(from: number, span: number, short: number, long: number, hot = false): void {
    const { world, random } = this.stage;
    const every = 1000 / (short + long);
    for (let at = 0; at < span; at += every * (0.5 + random.fraction())) {
      const kind = random.fraction() < long / (short + long) ? 'long' : 'short';
      world.at(from - world.now + at, () => this.call(kind, hot));
    }
  }

  /** Every router is started again at this moment, after none was there. */
  outageEnds(): void {
    this.outage = this.onceOutage = this.stage.world.now;
    this.stage.tally.note('outages');
  }

  get stillOut(): boolean {
    return this.outage !== undefined || this.onceOutage !== undefined;
  }

  private call(
    kind: Kind,
    hot: boolean,
    again?: { readonly number: number; readonly firm: string; readonly group: number },
  ): void {
    const { stage } = this;
    const { world, random, tally } = stage;
    const router = pick(random, [...stage.routers.values()])!;
    const firm = again?.firm ?? (hot ? 'sahel' : pick(random, ['sahel', 'aconcagua'])!);
    const number = again?.number ?? this.calls.length;
    const group = again?.group ?? (hot ? 0 : Math.floor(random.fraction() * 3));
    const system =
      kind === 'long'
        ? `timetable ${firm} ${group}: ${'train leaves yard '.repeat(250)}`
        : `desk ${firm} ${group}: answer briefly. `.repeat(8);
    const record: Call = {
      id: `q${number}`,
      repeatable: kind === 'long',
      began: world.now,
      firstPiece: 0,
      ended: 0,
      status: 0,
      outcome: 'silent',
      reason: '',
      retryAfter: '',
      engine: '',
      text: '',
      pieces: 0,
      firm,
      kind,
      doorway: `${firm}-${kind}`,
    };
    if (!again) this.calls.push(record);
    if (!again && kind === 'short' && random.fraction() < 0.25) {
      this.resent.add(record.id);
      world.at(random.fraction() * AGAIN, () => this.call(kind, hot, { number, firm, group }));
    }
    if (!again && kind === 'short' && this.repeatsAtOnce) {
      this.resent.add(record.id);
      for (let copy = 1; copy <= COPIES; copy++)
        world.at(copy * COPY_PAUSE, () => this.call(kind, hot, { number, firm, group }));
      tally.note('sentAtOnce');
    }
    if (router.host.dead) {
      record.reason = 'no connection';
      return;
    }
    if (again) {
      tally.note('idsSentAgain');
      if (stage.facts.runs.some(({ request }) => request === record.id))
        tally.note('idsSentAgainAfterRun');
    }
    if (
      [...stage.left].some(
        ([engine, since]) =>
          world.now - since > 2500 &&
          world.now - since < 20_000 &&
          stage.engines.get(stage.listed.get(engine)?.address ?? '')?.host.dead === false,
      )
    )
      tally.note('sentNearLeaving');
    const request = readRequest({
      firm,
      path: '/v1/chat/completions',
      headers: new Map([
        ['x-request-id', record.id],
        ['x-tag', kind],
        ['x-repeatable', kind === 'long' ? 'yes' : 'no'],
      ]),
      body: {
        model: 'family',
        stream: true,
        messages: [
          { role: 'system', content: system },
          { role: 'user', content: `question ${number}` },
        ],
        max_tokens: 16,
      },
      freshId: 'x',
    }).unsafeCoerce();
    const gone = new AbortController();
    if (random.fraction() < 0.03) world.at(random.fraction() * 300, () => gone.abort());
    const sink: Sink = {
      gone: gone.signal,
      write: (event, engine) => {
        if (router.host.dead) return Promise.resolve(false);
        if (record.outcome === 'broken' || record.outcome === 'result')
          tally.find('spliced', 'a piece after the end', record.id);
        record.firstPiece ||= world.now;
        record.engine = engine;
        if (event.data !== '[DONE]')
          record.text +=
            (JSON.parse(event.data) as { choices: Array<{ delta: { content?: string } }> })
              .choices[0]?.delta.content ?? '';
        else record.outcome = 'result';
        return Promise.resolve(!gone.signal.aborted);
      },
      complete: () => undefined,
      broken: () => {
        record.outcome = 'broken';
        if (record.text) tally.note('brokenStreams');
      },
    };
    router.host.reach(() => {
      const { clock } = router.host;
      const received = clock.now();
      void router.passage.carry(request, sink).then((ending) => {
        if (router.host.dead) return;
        record.ended = world.now;
        if (ending.outcome === 'result') return this.back(kind);
        record.outcome = ending.outcome;
        record.reason = ending.fault.reason;
        if (ending.outcome === 'broken') return;
        if (
          ending.outcome === 'declined' &&
          ending.status >= 429 &&
          ending.retryAfter === undefined
        )
          tally.find('no-retry-after', record.reason, record.id);
        const most = ending.outcome === 'declined' ? LIMITS.get(kind)! : TOTAL;
        if (clock.now() - received > most + GRACE)
          tally.find(
            'late-answer',
            `${ending.outcome} after ${Math.round(clock.now() - received)} ms: ${record.reason}`,
            record.id,
          );
      });
    });
  }

  private back(kind: Kind): void {
    if (this.outage !== undefined)
      this.backAfter.push(Math.round(this.stage.world.now - this.outage));
    this.outage = undefined;
    if (kind === 'long') return;
    if (this.onceOutage !== undefined)
      this.onceBackAfter.push(Math.round(this.stage.world.now - this.onceOutage));
    this.onceOutage = undefined;
  }
}
