/**
 * Two operators race on a core of real processes: the same numbers with different contents, whole configurations and
 * patches, each order sent again to other nodes until it has a clear answer, while core processes are killed within the
 * calls. The history of all calls must be that of one register.
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { Fleet } from '../../src/fleet/fleet.js';
import { RecordedOperators } from '../../src/fleet/history.js';
import { routeTo } from '../../src/fleet/opaque.js';
import { describeCall, type ChangeAnswer } from '../../src/history/call.js';
import { judgeHistory } from '../../src/history/judge.js';
import type { ConfigurationOrder } from '../../src/history/order.js';

const WAIT = 2000;
const ROUNDS = 24;
/** In every so manieth round a core process is killed while the calls are under way. */
const KILL_EVERY = 4;
const TRIES = 20;
const cores = ['core-1', 'core-2', 'core-3'];

const fleet = new Fleet({
  folder: mkdtempSync(join(tmpdir(), 'rr-')),
  cores: cores.length,
  routers: 0,
  engines: 0,
  zones: ['a'],
  firms: ['sahel'],
  opaque: true,
  params: {
    claims: { enabled: false },
    lease: { lapse: 'serve', duration: 1500, renew: 500, patience: 300 },
    core: { replaceAfter: 30_000 },
  },
});
const operators = new RecordedOperators(fleet, WAIT);
const orders: ConfigurationOrder[] = [];

const nodeFor = (number: number): string => cores[number % cores.length]!;

const services = [{ name: 'alpha' }];
const orderOf = (operator: number, expects: number): ConfigurationOrder => {
  const version = expects + 1;
  const routes = [routeTo(`of-${operator}`, 'alpha', { timeout: 1000 + version })];
  const body =
    operator === 0 || expects === 0
      ? { version, routes, services }
      : { version, set: { routes }, remove: { routes: [`gone-${version}`] } };
  return { expects, body };
};

/** Sends an order to two nodes at once, and to one after the other until an answer is clear. */
const pursue = async (first: number, order: ConfigurationOrder): Promise<ChangeAnswer> => {
  for (let at = first; at < first + TRIES; at++) {
    const told = await Promise.all([
      operators.send(nodeFor(at), order),
      operators.send(nodeFor(at + 1), order),
    ]);
    const clear = told.find((answer) => answer !== 'unclear');
    if (clear) return clear;
  }
  return 'unclear';
};

/** Within what the hook may take: three processes start slowly on a busy machine, which is no verdict. */
const START_LIMIT = 240_000;

const race = async (round: number, expects: number): Promise<readonly ChangeAnswer[]> => {
  const rivals = [orderOf(0, expects), orderOf(1, expects)];
  orders.push(...rivals);
  const told = Promise.all(rivals.map((order, at) => pursue(round + at, order)));
  if (round % KILL_EVERY === KILL_EVERY - 1) {
    const victim = nodeFor(Math.floor(round / KILL_EVERY));
    await fleet.kill(victim);
    fleet.again(victim);
  }
  return told;
};

beforeAll(async () => {
  await fleet.start();
  await fleet.until(
    'the core to answer',
    async () => (await operators.read('core-1')) !== undefined,
    START_LIMIT,
  );
});
afterAll(() => fleet.stop());

test('of two orders on one version one wins, and each keeps its answer, while core processes are killed', async () => {
  for (let round = 0; round < ROUNDS; round++) {
    const told = await race(round, round);
    expect([...told].sort()).toEqual(['acknowledged', 'conflict']);
    expect(await operators.read(nodeFor(round))).toSatisfy(
      (shown: number | undefined) => shown === undefined || shown === round + 1,
    );
  }
  await fleet.ready(cores);
  for (const [at, order] of orders.entries()) await pursue(at, order);
  for (const node of cores) expect(await operators.read(node)).toBe(ROUNDS);
  const { calls } = operators.history;
  expect({ found: judgeHistory(calls), calls: calls.map(describeCall) }).toMatchObject({
    found: [],
  });
  expect(calls.length).toBeGreaterThan(ROUNDS * 8);
});
