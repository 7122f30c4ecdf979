/** Small parts of forwarding: the budget over every sliding window, events cut whole, routes by longest prefix. */
import { describe, expect, it } from 'vitest';
import { RepeatBudget } from '../../src/forward/budget.js';
import { EventCutter } from '../../src/forward/events.js';
import { endToEnd, only } from '../../src/forward/fields.js';
import type { Clock, Moment } from '../../src/kernel/clock/clock.js';
import { SeededRandom } from '../../src/kernel/random/random.js';
import type { Route } from '../../src/route/shape.js';
import { RouteTable } from '../../src/route/table.js';

const clockAt = (): Clock & { at: number } => ({
  at: 0,
  now() {
    return this.at as Moment;
  },
  strict() {
    return this.at as Moment;
  },
  wall() {
    return this.at;
  },
  sleep: () => Promise.resolve(),
  schedule: () => () => undefined,
});

describe('the budget of repeats', () => {
  it('stays within the ratio over every window, whatever the traffic', () => {
    for (let seed = 1; seed <= 20; seed++) {
      const random = new SeededRandom(seed);
      const clock = clockAt();
      const budget = new RepeatBudget(0.2, 10_000, clock);
      const fresh: number[] = [];
      const again: number[] = [];
      for (let step = 0; step < 3000; step++) {
        clock.at += random.fraction() * (step % 700 < 100 ? 400 : 20);
        if (random.fraction() < 0.6) {
          budget.note('s');
          fresh.push(clock.at);
        }
        if (random.fraction() < 0.7 && budget.take('s')) again.push(clock.at);
      }
      expect(again.length).toBeGreaterThan(0);
      for (const end of again) {
        const repeats = again.filter((at) => at > end - 9500 && at <= end).length;
        const first = fresh.filter((at) => at > end - 10_500 && at <= end).length;
        expect(repeats).toBeLessThanOrEqual(0.2 * first);
      }
    }
  });

  it('keeps services apart, and has nothing saved up at the start', () => {
    const budget = new RepeatBudget(0.5, 1000, clockAt());
    expect(budget.take('a')).toBe(false);
    budget.note('a');
    budget.note('a');
    expect(budget.take('b')).toBe(false);
    expect(budget.take('a')).toBe(true);
    expect(budget.take('a')).toBe(false);
  });
});

describe('the event cutter', () => {
  it('gives the same events however the bytes are cut', () => {
    const text =
      'id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: none\n\nid: 3\ndata: c\n\nid: 4\nda';
    for (let seed = 1; seed <= 50; seed++) {
      const random = new SeededRandom(seed);
      const cutter = new EventCutter();
      const ids: Array<string | undefined> = [];
      let joined = '';
      for (let at = 0; at < text.length;) {
        const to = at + 1 + Math.floor(random.fraction() * 9);
        for (const { raw, id } of cutter.push(Buffer.from(text.slice(at, to)))!) {
          ids.push(id);
          joined += Buffer.from(raw).toString();
        }
        at = to;
      }
      expect(ids).toEqual(['1', '2', undefined, '3']);
      expect(joined + Buffer.from(cutter.rest).toString()).toBe(text);
    }
  });

  it('gives up on an event that never ends', () => {
    const cutter = new EventCutter();
    expect(cutter.push(Buffer.alloc(2 * 1024 * 1024, 97))).toBeUndefined();
  });
});

describe('header fields', () => {
  it('leaves out what concerns one connection only, and what Connection lists', () => {
    const fields = [
      ['Host', 'h'],
      ['Connection', 'close, X-Gone'],
      ['x-gone', '1'],
      ['Transfer-Encoding', 'chunked'],
      ['X-Kept', '2'],
      ['x-kept', '3'],
      ['Keep-Alive', 'timeout=3'],
    ] as const;
    expect(endToEnd(fields, new Set(['host']))).toEqual([
      ['X-Kept', '2'],
      ['x-kept', '3'],
    ]);
    expect(only(fields, 'x-kept')).toBeUndefined();
    expect(only(fields, 'host')).toBe('h');
  });
});

describe('routes', () => {
  const route = (name: string, host: string, prefix: string): Route => ({
    name,
    host,
    prefix,
    kind: 'idempotent',
    timeout: 1,
    service: 's',
  });
  const table = new RouteTable({
    version: 1,
    services: [],
    routes: [
      route('root', 'a.example', '/'),
      route('one', 'a.example', '/x/'),
      route('two', 'a.example', '/x/y/'),
      route('other', 'b.example', '/x/'),
    ],
  });

  it('takes the longest prefix of the path, by host without its port', () => {
    expect(table.match('A.example:80', '/x/y/z?q=/x/')?.name).toBe('two');
    expect(table.match('a.example', '/x/yz')?.name).toBe('one');
    expect(table.match('a.example', '/xy')?.name).toBe('root');
    expect(table.match('b.example', '/xy')).toBeUndefined();
    expect(table.match('b.example', '/x')).toBeUndefined();
    expect(table.match('c.example', '/x/')).toBeUndefined();
  });
});
