/**
 * The search against a plain one that tries every order, on small histories of any kind; and against histories of
 * hundreds of calls drawn from a register that is right, and from ones that are wrong in one place.
 */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  applyRequest,
  fingerprint,
  type Call,
  type ChangeAnswer,
  type ChangeRequest,
  type Content,
} from '../../src/history/call.js';
import { judgeHistory } from '../../src/history/judge.js';
import { checkLinearizability } from '../../src/history/linearizability.js';
import { HistoryRecorder } from '../../src/history/recorder.js';
import { SeededRandom, pick, type Random } from '../../src/kernel/random/random.js';
import { contentOf, HistoryWriter, patchRequest, replaceRequest } from './samples.js';

const SEED = 17;

interface Plain {
  readonly version: number;
  readonly content: Content;
  readonly applied: ReadonlySet<string>;
}

/** The states that may follow a call on a plain register; none if its answer does not fit. */
const follow = (state: Plain, call: Call): Plain[] => {
  if (call.kind === 'read') {
    if (call.answer.kind === 'unclear') return [state];
    if (call.answer.kind === 'absent') return state.version === 0 ? [state] : [];
    const same = fingerprint(call.answer.content) === fingerprint(state.content);
    return call.answer.version === state.version && same ? [state] : [];
  }
  const { request, answer } = call;
  const repeated = state.applied.has(request.id);
  const fits =
    request.valid && request.version > request.expects && request.expects === state.version;
  const next = {
    version: request.version,
    content: applyRequest(state.content, request),
    applied: new Set([...state.applied, request.id]),
  };
  if (answer === 'acknowledged') return repeated ? [state] : fits ? [next] : [];
  if (answer === 'unclear') return fits ? [next, state] : [state];
  return !repeated && (!request.valid || request.expects !== state.version) ? [state] : [];
};

/** Tries every order; a refused request must not be applied by any of its calls. */
const plainSearch = (history: readonly Call[]): boolean => {
  const refused = new Set(
    history.flatMap((call) =>
      call.kind === 'change' && ['conflict', 'invalid'].includes(call.answer)
        ? [call.request.id]
        : [],
    ),
  );
  const explore = (state: Plain, left: readonly Call[]): boolean => {
    if ([...state.applied].some((id) => refused.has(id))) return false;
    if (left.length === 0) return true;
    return left.some((call) => {
      const rest = left.filter((other) => other !== call);
      if (rest.some((other) => other.end < call.start)) return false;
      return follow(state, call).some((next) => explore(next, rest));
    });
  };
  const open = history.map((call) =>
    call.answer === 'unclear' || (call.kind === 'read' && call.answer.kind === 'unclear')
      ? { ...call, end: Infinity }
      : call,
  );
  return explore({ version: 0, content: new Map(), applied: new Set() }, open);
};

const requests: readonly ChangeRequest[] = [
  replaceRequest(2, 0),
  replaceRequest(2, 0, 'rival'),
  replaceRequest(3, 0),
  replaceRequest(4, 2),
  patchRequest(4, 2, 'more'),
  patchRequest(6, 4, 'most'),
  replaceRequest(6, 3),
  replaceRequest(4, 2, 'broken', false),
];
const contents = [
  ['item-2'],
  ['rival'],
  ['item-4'],
  ['item-2', 'more'],
  ['rival', 'more'],
  ['item-3'],
];

const spans = fc
  .tuple(fc.integer({ min: 0, max: 12 }), fc.integer({ min: 0, max: 6 }))
  .map(([start, length]) => [start, start + length] as const);
const answers = fc.constantFrom<ChangeAnswer>(
  'acknowledged',
  'acknowledged',
  'conflict',
  'unclear',
);
const drawnCalls = fc.oneof(
  fc.record({ span: spans, request: fc.constantFrom(...requests), answer: answers }),
  fc.record({
    span: spans,
    version: fc.constantFrom(0, 2, 3, 4),
    items: fc.constantFrom(...contents),
  }),
);

test('the search agrees with one that tries every order', () => {
  let linearizable = 0;
  let others = 0;
  const property = fc.property(fc.array(drawnCalls, { maxLength: 6 }), (drawn) => {
    const history = new HistoryWriter();
    for (const each of drawn)
      if ('request' in each) history.change(each.span, each.request, each.answer);
      else history.read(each.span, each.version, ...each.items);
    const expected = plainSearch(history.calls);
    if (expected) linearizable += 1;
    else others += 1;
    expect(checkLinearizability(history.calls).linearizable).toBe(expected);
  });
  fc.assert(property, { seed: SEED, numRuns: 4000 });
  expect(linearizable).toBeGreaterThan(400);
  expect(others).toBeGreaterThan(400);
});

type Fault = 'none' | 'lost-update' | 'stale-read' | 'refused-repeat' | 'two-winners';

/** A register under up to eight calls at once; each takes effect at some moment between its start and its end. */
class DrawnRegister {
  private now = 0;
  private state = { version: 0, content: contentOf() as Content };
  private before = this.state;
  private readonly taken = new Map<string, ChangeRequest>();
  private readonly recorder = new HistoryRecorder(() => this.now);
  private readonly pending: Array<() => void> = [];
  private count = 0;

  constructor(
    private readonly random: Random,
    private readonly fault: Fault,
    private readonly faultAt: number,
  ) {}

  run(calls: number): readonly Call[] {
    while (this.count < calls || this.pending.length > 0) {
      this.now += 1;
      const begins = this.count < calls && this.pending.length < 8 && this.random.fraction() < 0.6;
      if (begins) this.begin();
      else this.pending.splice(Math.floor(this.random.fraction() * this.pending.length), 1)[0]?.();
    }
    return this.recorder.calls;
  }

  private begin(): void {
    this.count += 1;
    if (this.random.fraction() < 0.4) this.beginRead();
    else this.beginChange();
  }

  private beginRead(): void {
    const opened = this.recorder.openRead('n');
    const faulty = this.fault === 'stale-read' && this.count >= this.faultAt;
    this.pending.push(() => {
      const { version, content } = faulty ? this.before : this.state;
      opened.close(version === 0 ? { kind: 'absent' } : { kind: 'found', version, content });
    });
  }

  private beginChange(): void {
    const request = this.drawRequest();
    const opened = this.recorder.openChange('n', request);
    this.pending.push(() => {
      const answer = this.apply(request);
      const lost = this.random.fraction() < 0.3;
      if (!lost) this.pending.push(() => opened.close(answer));
    });
  }

  private drawRequest(): ChangeRequest {
    const known = [...this.taken.values()];
    const repeated = this.random.fraction() < 0.3 ? pick(this.random, known) : undefined;
    const { version } = this.state;
    const next = version + 1 + Math.floor(this.random.fraction() * 2);
    const item = `item-${Math.floor(this.random.fraction() * 5)}`;
    return (
      repeated ??
      (this.random.fraction() < 0.5
        ? replaceRequest(next, version, item)
        : patchRequest(next, version, item))
    );
  }

  private apply(request: ChangeRequest): ChangeAnswer {
    const faulty = this.count >= this.faultAt;
    const refuses = faulty && this.fault === 'refused-repeat';
    if (this.taken.has(request.id)) return refuses ? 'conflict' : 'acknowledged';
    if (request.expects !== this.state.version)
      return faulty && this.fault === 'two-winners' ? 'acknowledged' : 'conflict';
    this.taken.set(request.id, request);
    this.before = this.state;
    const base = faulty && this.fault === 'lost-update' ? contentOf() : this.state.content;
    this.state = { version: request.version, content: applyRequest(base, request) };
    return 'acknowledged';
  }
}

const CALLS = 600;
const SEEDS = 20;

const drawHistory = (seed: number, fault: Fault): readonly Call[] =>
  new DrawnRegister(new SeededRandom(seed), fault, CALLS / 2).run(CALLS);

test('hundreds of calls on a right register, up to eight at once, are accepted', () => {
  for (let seed = 1; seed <= SEEDS; seed++)
    expect({ seed, found: judgeHistory(drawHistory(seed, 'none')) }).toEqual({ seed, found: [] });
});

test.each<Fault>(['lost-update', 'stale-read', 'refused-repeat', 'two-winners'])(
  'a register with the fault %s is found out among hundreds of calls',
  (fault) => {
    for (let seed = 1; seed <= SEEDS; seed++)
      expect({ seed, found: judgeHistory(drawHistory(seed, fault)).length > 0 }).toEqual({
        seed,
        found: true,
      });
  },
);
