/** Placement of opaque requests by prompt parts: what the index is told, what is preferred, and when the word is full. */
import { expect, test } from 'vitest';
import type { Prompt } from '../../src/forward/dialect.js';
import { blocksOfParts, rootHash } from '../../src/index/hash.js';
import { PartIndex } from '../../src/index/parts.js';
import type { Cancel, Clock, Moment } from '../../src/kernel/clock/clock.js';
import { SeededRandom } from '../../src/kernel/random/random.js';
import { PrefixPlacer, prefixPlacerDefaults } from '../../src/place/prefix.js';
import type { PlaceAsk, Ticket } from '../../src/place/placer.js';
import type { Engine } from '../../src/pool/engine.js';

class HandClock implements Clock {
  at = 0;
  now = (): Moment => this.at as Moment;
  strict = (): Moment => this.at as Moment;
  wall = (): number => this.at;
  sleep = (): Promise<void> => Promise.resolve();
  schedule = (): Cancel => () => undefined;
}

const engine = (identifier: string, more: Partial<Engine> = {}): Engine => ({
  identifier,
  address: '10.0.0.1:80',
  model: 'm',
  adapters: new Set(),
  weightGeneration: 'w1',
  zone: 'a',
  labels: new Map(),
  cacheCapacity: 100_000,
  prefillRate: 1,
  leaving: false,
  ...more,
});
const engines = Array.from({ length: 8 }, (_, at) => engine(`e${at}`));
const listed = (of: readonly Engine[]): Map<string, Engine> =>
  new Map(of.map((each) => [each.identifier, each]));
const prompt = (shared: string, own: string, tokens = 13_000): Prompt => ({
  model: 'm',
  tokens: tokens + 3000,
  output: 100,
  parts: [
    { id: shared, tokens },
    { id: own, tokens: 3000 },
  ],
});
const question = (own: string): Prompt => ({
  model: 'm',
  tokens: 380,
  output: 40,
  parts: [
    { id: 's', tokens: 60 },
    { id: own, tokens: 320 },
  ],
});
const ask = (of: Prompt | undefined, more: Partial<PlaceAsk> = {}): PlaceAsk => ({
  service: { name: 'svc', engine: { slots: 4, cacheTokens: 100_000 } },
  prompt: of,
  priority: 0,
  target: 400,
  deadline: 5000,
  affinity: true,
  ...more,
});

const placer = (
  seed: number,
  clock = new HandClock(),
  routers = 1,
): { readonly placer: PrefixPlacer; readonly clock: HandClock } => ({
  placer: new PrefixPlacer(
    { ...prefixPlacerDefaults, routers: () => routers },
    clock,
    new SeededRandom(seed),
  ),
  clock,
});
const placed = (made: ReturnType<PrefixPlacer['place']>): Ticket => {
  if (made.kind !== 'placed') throw new Error(made.reason);
  return made.ticket;
};

test('parts become blocks of their own sizes, and claims end with weights, identifier and capacity', () => {
  const index = new PartIndex(() => 1);
  const root = rootHash({ model: 'm', weightGeneration: 'w1', firm: 'svc' });
  const blocks = (own: string): ReturnType<typeof blocksOfParts> =>
    blocksOfParts(
      [
        { id: 'a', tokens: 800 },
        { id: 'b', tokens: 400 },
        { id: own, tokens: 300 },
      ],
      root,
    );
  index.store('e1', 'w1', root, blocks('x'), 1, 100_000);
  expect(index.find(root, blocks('y')).get('e1')).toBe(2);
  expect(index.find(root, blocks('x')).get('e1')).toBe(3);
  for (let at = 0; at < 4; at++)
    index.store(
      'e1',
      'w1',
      root,
      blocksOfParts([{ id: `other${at}`, tokens: 300 }], root),
      1,
      1500,
    );
  expect(index.find(root, blocks('x')).get('e1') ?? 0).toBeLessThan(2);
  index.store('e2', 'w1', root, blocks('x'), 1, 100_000);
  index.listed(new Map([['e2', { weightGeneration: 'w2' }]]));
  expect(index.find(root, blocks('x')).size).toBe(0);
  expect(index.counts.get('claims')).toBe(0);
});

test('routers that know nothing of each other prefer the same engine for a prefix, and return to where it was read', () => {
  for (const key of ['p1', 'p2', 'p3', 'p4']) {
    const firsts = [1, 2, 3, 4].map(
      (seed) =>
        placed(placer(seed).placer.place(ask(prompt(key, `own${seed}`)), engines)).engine
          .identifier,
    );
    expect(new Set(firsts).size).toBe(1);
  }
  const { placer: one, clock } = placer(9);
  const first = placed(one.place(ask(prompt('p', 'x')), engines));
  clock.at += 300;
  first.piece();
  first.end('whole');
  clock.at += 1000;
  expect(placed(one.place(ask(prompt('p', 'y')), engines)).engine.identifier).toBe(
    first.engine.identifier,
  );
});

test('a prefix spills to another engine once the queue at its own costs more than reading it anew', () => {
  const { placer: one } = placer(3);
  const used = new Set(
    Array.from(
      { length: 16 },
      (_, at) => placed(one.place(ask(prompt('hot', `x${at}`)), engines)).engine.identifier,
    ),
  );
  expect(used.size).toBeGreaterThan(2);
});

test('never more than the slots from this node, and only then the word is full, within a third of the deadline', () => {
  const { placer: one } = placer(4);
  const tickets = Array.from({ length: 32 }, (_, at) =>
    placed(one.place(ask(question(`q${at}`), { target: 1e6 }), engines)),
  );
  const counts = new Map<string, number>();
  for (const {
    engine: { identifier },
  } of tickets)
    counts.set(identifier, (counts.get(identifier) ?? 0) + 1);
  expect([...counts.values()]).toEqual(Array(8).fill(4));
  const full = one.place(ask(question('more'), { deadline: 300 }), engines);
  expect(full.kind).toBe('full');
  if (full.kind === 'full') expect(full.retryAfter).toBeLessThanOrEqual(100);
  tickets[0]!.end('whole');
  expect(one.place(ask(question('then'), { target: 1e6 }), engines).kind).toBe('placed');
});

test('a higher priority is more urgent whatever its size, and urgency stays from 0 to 9', () => {
  const { placer: one } = placer(5);
  const urgencies = [0, 1, 2, 3, 7].map((priority) =>
    [question(`u${priority}`), prompt(`v${priority}`, 'x')].map(
      (each) => placed(one.place(ask(each, { priority, target: 1e6 }), engines)).urgency,
    ),
  );
  for (let at = 1; at < urgencies.length; at++)
    expect(Math.min(...urgencies[at]!)).toBeGreaterThanOrEqual(Math.max(...urgencies[at - 1]!));
  expect(Math.min(...urgencies.flat())).toBe(0);
  expect(Math.max(...urgencies.flat())).toBeLessThanOrEqual(9);
});

test('failed engines are set aside, but never more than half; an identifier that is gone holds nothing', () => {
  const { placer: one } = placer(6);
  const failed = new Set<string>();
  for (let at = 0; at < 3; at++) {
    const ticket = placed(one.place(ask(question(`f${at}`)), engines));
    failed.add(ticket.engine.identifier);
    ticket.end('failed');
  }
  const next = Array.from({ length: 10 }, (_, at) =>
    placed(one.place(ask(question(`g${at}`), { target: 1e6 }), engines)),
  );
  expect(next.some(({ engine: { identifier } }) => failed.has(identifier))).toBe(false);
  const two = engines.slice(0, 2);
  const { placer: other } = placer(7);
  for (let at = 0; at < 4; at++) placed(other.place(ask(question(`h${at}`)), two)).end('failed');
  expect(other.place(ask(question('i')), two).kind).toBe('placed');
  one.listed(listed(engines.slice(0, 1)));
  expect(one.counts.get('claims')).toBe(0);
});
