/**
 * Drawn schedules: callers that keep connections, send ahead, and leave at any byte; engines that answer in every form,
 * break off at any byte, owe bytes, refuse, or say nothing. What must never happen is judged at the end of each. A
 * failing schedule is shrunk and printed with its seed and path; FORWARD_SEED and FORWARD_PATH play it again, and
 * FORWARD_RUNS plays more.
 */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import type { Route } from '../../src/route/shape.js';
import { HandClock, turns } from './clock.js';
import { expectNoViolation } from './stage.js';
import {
  callerLine,
  chunked,
  notRun,
  openScripted,
  sized,
  type CallerLine,
  type Exchange,
  type ScriptedStage,
} from './scripted.js';

const RUNS = Number(process.env['FORWARD_RUNS'] ?? 150);
const EVENTS = 4;
/** Of all bytes. */
const WHOLE = 1000;

/** What an engine does with one request. */
interface Act {
  readonly kind:
    'sized' | 'chunked' | 'failed' | 'not-run' | 'unmarked' | 'foreign' | 'astray' | 'silent';
  /** How much of the answer is written, in thousandths, and what comes then. */
  readonly written: number;
  readonly then: 'kept' | 'ended' | 'reset';
  /** How much of a copy follows at once, and whether the rest comes in the place of the next answer. */
  readonly surplus: number;
  readonly late: boolean;
  readonly pause: number;
}

interface RequestPlan {
  readonly body: string;
  /** For the first and the further engines that it reaches. */
  readonly acts: readonly Act[];
}

interface CallerPlan {
  readonly requests: readonly RequestPlan[];
  readonly ahead: boolean;
  /** How much of what it sends it sends, and how it leaves then. */
  readonly sent: number;
  readonly leaves: 'ended' | 'reset' | 'stays';
}

interface Schedule {
  readonly route: Partial<Route>;
  readonly engines: number;
  readonly callers: readonly CallerPlan[];
}

const mostlyWhole = fc.oneof({ weight: 2, arbitrary: fc.constant(WHOLE) }, fc.nat(WHOLE - 1));

const anAct: fc.Arbitrary<Act> = fc.record({
  kind: fc.constantFrom<Act['kind']>(
    'sized',
    'chunked',
    'failed',
    'not-run',
    'unmarked',
    'foreign',
    'astray',
    'silent',
  ),
  written: mostlyWhole,
  then: fc.constantFrom<Act['then']>('kept', 'ended', 'reset'),
  surplus: fc.oneof(fc.constant(0), fc.nat(WHOLE)),
  late: fc.boolean(),
  pause: fc.nat(3),
});

const aCaller: fc.Arbitrary<CallerPlan> = fc.record({
  requests: fc.array(
    fc.record({ body: fc.string({ maxLength: 30 }), acts: fc.array(anAct, { maxLength: 4 }) }),
    { minLength: 1, maxLength: 4 },
  ),
  ahead: fc.boolean(),
  sent: mostlyWhole,
  leaves: fc.constantFrom<CallerPlan['leaves']>('stays', 'stays', 'ended', 'reset'),
});

const aSchedule: fc.Arbitrary<Schedule> = fc.record({
  route: fc.constantFrom<Partial<Route>>(
    { kind: 'non_idempotent', attempts: 3 },
    { kind: 'idempotent', attempts: 2, target: 400 },
    { kind: 'streaming', resume: false, attempts: 2 },
    { kind: 'streaming', resume: true, attempts: 3 },
  ),
  engines: fc.integer({ min: 1, max: 4 }),
  callers: fc.array(aCaller, { minLength: 1, maxLength: 3 }),
});

const usual: Act = {
  kind: 'sized',
  written: WHOLE,
  then: 'kept',
  surplus: 0,
  late: false,
  pause: 0,
};

const eventOf = (id: string, number: number): string => `id: ${number}\ndata: ${id}\n\n`;

/** The answer's pieces from behind an event: events where the request is a stream. */
const piecesOf = ({ id, head }: Exchange, stream: boolean): string[] => {
  if (!stream) return [`body of ${id}`];
  const after = Number(/^last-event-id: (\d+)/im.exec(head)?.[1] ?? 0);
  return Array.from({ length: EVENTS - after }, (_, at) => eventOf(id, after + at + 1));
};

/**
 * What an engine gives that goes on one event too far. Where at most the last event is due it gives one that no other can
 * lead up to, since a whole answer without events can't be told there from one of an engine that has nothing to add.
 */
const strayed = (exchange: Exchange): string[] => {
  const pieces = piecesOf(exchange, true);
  return pieces.length > 1 ? pieces.slice(1) : [eventOf(exchange.id, EVENTS + 2)];
};

const textOf = (act: Act, exchange: Exchange, stream: boolean): string => {
  const pieces = piecesOf(exchange, stream);
  switch (act.kind) {
    case 'sized':
      return sized(exchange, pieces.join(''));
    case 'chunked':
      return chunked(exchange, ...pieces);
    case 'failed':
      return sized(exchange, `failed ${exchange.id}`, '500 Internal Server Error');
    case 'not-run':
      return notRun(exchange);
    case 'unmarked':
      return sized(exchange, 'busy', '503 Service Unavailable');
    case 'foreign':
      return sized({ ...exchange, id: 'foreign' }, 'foreign');
    case 'astray':
      return chunked(exchange, ...(stream && pieces.length < EVENTS ? strayed(exchange) : pieces));
    case 'silent':
      return '';
  }
};

const part = (text: string, thousandths: number): string =>
  text.slice(0, Math.floor((text.length * thousandths) / WHOLE));

/** Plays the acts of each request, and notes which of them ran there. */
class Playbook {
  readonly ran: Exchange[] = [];
  private readonly plans = new Map<string, RequestPlan>();
  private readonly reached = new Map<string, number>();
  private readonly owed = new Map<Exchange['socket'], string>();

  constructor(private readonly stream: boolean) {}

  plan(id: string, plan: RequestPlan): void {
    this.plans.set(id, plan);
  }

  async play(exchange: Exchange): Promise<void> {
    const { id, socket } = exchange;
    const count = this.reached.get(id) ?? 0;
    this.reached.set(id, count + 1);
    const act = this.plans.get(id)?.acts[count] ?? usual;
    if (act.kind !== 'not-run') this.ran.push(exchange);
    const text = textOf(act, exchange, this.stream);
    const copy = part(text, act.surplus);
    await turns(act.pause);
    socket.write((this.owed.get(socket) ?? '') + part(text, act.written));
    this.owed.delete(socket);
    if (act.written === WHOLE && copy) {
      socket.write(copy);
      if (act.late) this.owed.set(socket, text.slice(copy.length));
    }
    if (act.then === 'kept' && act.written === WHOLE) return;
    await turns(act.pause);
    if (act.then === 'reset') socket.resetAndDestroy();
    else if (act.then === 'ended') socket.end();
  }
}

const textOfRequest = (id: string, { body }: RequestPlan, stream: boolean): string =>
  [
    'POST /a/ HTTP/1.1',
    'Host: h.example',
    `X-Request-Id: ${id}`,
    ...(stream ? ['X-Model: m'] : []),
    `Content-Length: ${Buffer.byteLength(body)}`,
    '',
    body,
  ].join('\r\n');

/** One caller: its requests in order, each behind the answer before or all at once, up to where it leaves. */
const call = async (
  stage: ScriptedStage,
  plan: CallerPlan,
  ids: readonly string[],
  stream: boolean,
): Promise<CallerLine> => {
  const line = callerLine(stage.address);
  const texts = ids.map((id, at) => Buffer.from(textOfRequest(id, plan.requests[at]!, stream)));
  if (plan.ahead) {
    const all = Buffer.concat(texts);
    const sent = plan.leaves === 'stays' ? WHOLE : plan.sent;
    line.send(all.subarray(0, Math.floor((all.length * sent) / WHOLE)));
    if (plan.leaves !== 'stays') {
      await turns(5);
      if (plan.leaves === 'reset') line.socket.resetAndDestroy();
      else line.socket.end();
    }
    await line.answered(ids.length);
  } else
    for (const [at, text] of texts.entries()) {
      line.send(text);
      await line.answered(at + 1);
      if (line.closed()) break;
    }
  line.socket.destroy();
  await line.over();
  return line;
};

const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Holds what one caller got against what ran. */
const judgeLine = (
  line: CallerLine,
  ids: readonly string[],
  ran: readonly Exchange[],
  stream: boolean,
): void => {
  const { answers, malformed } = line.reader;
  expect(malformed).toBe('');
  expect(answers.filter(({ status }) => status !== 400).length).toBeLessThanOrEqual(ids.length);
  for (const [at, { status, complete, fields, body }] of answers.entries()) {
    const id = ids[at];
    const runs = ran.filter((exchange) => exchange.id === id);
    const seal = fields.get('x-answer-seal');
    if (seal !== undefined) {
      expect(seal.split('/')[1]).toBe(id);
      expect(fields.get('x-request-id')).toBe(id);
      expect([200, 500]).toContain(status);
    }
    if (status === 200) expect(seal).toBeDefined();
    const wanted =
      status === 500
        ? `failed ${id}`
        : stream
          ? Array.from({ length: EVENTS }, (_, event) => eventOf(id!, event + 1)).join('')
          : `body of ${id}`;
    if (seal !== undefined && complete) expect(body.toString()).toBe(wanted);
    if (seal !== undefined) expect(wanted.startsWith(body.toString())).toBe(true);
    if (promises.has(status)) expect([id, status, runs.length]).toEqual([id, status, 0]);
  }
};

/** Each request ended once, and in a way that may be. */
const judgeEnds = ({ requestEnds, taken }: ScriptedStage): void => {
  const ended = [...requestEnds.counts].reduce(
    (sum, [cause, count]) => (cause === 'rejected' ? sum : sum + count),
    0,
  );
  expect(ended).toBe(taken.count);
  expectNoViolation(requestEnds);
};

const playSchedule = async ({ route, engines, callers }: Schedule): Promise<void> => {
  const clock = new HandClock();
  const stream = route.kind === 'streaming';
  const repeatable = route.kind === 'idempotent' || route.resume === true;
  const playbook = new Playbook(stream);
  const stage = await openScripted({
    scripts: Array.from({ length: engines }, () => (exchange: Exchange) => {
      void playbook.play(exchange);
    }),
    route: { timeout: 2000, gap: 200, ...route },
    clock,
  });
  const idsOf = callers.map(({ requests }, caller) =>
    requests.map((plan, at) => {
      const id = `${caller}-${at}`;
      playbook.plan(id, plan);
      return id;
    }),
  );
  let playing = true;
  const lines = Promise.all(callers.map((plan, at) => call(stage, plan, idsOf[at]!, stream)));
  void lines.finally(() => (playing = false));
  while (playing || stage.forwarder.open > 0) {
    await turns(40);
    clock.advance(100);
  }
  const reached = stage.engines.flatMap(({ exchanges }) => exchanges);
  for (const [caller, line] of (await lines).entries())
    judgeLine(line, idsOf[caller]!, playbook.ran, stream);
  for (const [caller, { requests }] of callers.entries())
    for (const [at, { body }] of requests.entries()) {
      const id = idsOf[caller]![at]!;
      const its = reached.filter((exchange) => exchange.id === id);
      const runs = playbook.ran.filter((exchange) => exchange.id === id);
      expect(its.length).toBeLessThanOrEqual(route.attempts!);
      if (!repeatable) expect([id, runs.length <= 1]).toEqual([id, true]);
      for (const exchange of its) {
        expect(exchange.head).toMatch(/^POST \/a\/ HTTP\/1\.1\r\n/);
        expect(exchange.body.toString()).toBe(body);
      }
    }
  const known = new Set(idsOf.flat());
  expect(reached.filter(({ id }) => !known.has(id))).toEqual([]);
  expect(stage.journal.tail().filter(({ event }) => event.kind === 'fault')).toEqual([]);
  judgeEnds(stage);
  stage.links.close();
  await stage.face.close();
  for (const engine of stage.engines) await engine.close();
};

test('whatever engines and callers do, each caller gets its own answers, and nothing runs that should not', async () => {
  const path = process.env['FORWARD_PATH'];
  await fc.assert(fc.asyncProperty(aSchedule, playSchedule), {
    numRuns: RUNS,
    seed: Number(process.env['FORWARD_SEED'] ?? 17),
    ...(path === undefined ? {} : { path }),
  });
});
