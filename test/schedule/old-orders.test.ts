/**
 * Orders are sent again, at any node, after more changes than versions are remembered, while members are killed: one
 * that was taken is never refused, however old it is.
 */
import { expect, test } from 'vitest';
import type { ChangeAnswer } from '../../src/history/call.js';
import { judgeHistory } from '../../src/history/judge.js';
import { pick, SeededRandom } from '../../src/kernel/random/random.js';
import { VERSIONS } from '../../src/register/change.js';
import { Cluster } from './cluster.js';
import { Operators } from './operators.js';
import { orderFor, type Order } from './requests.js';

const SEEDS = 3;
const CHANGES = VERSIONS + 24;
const REPEATS = 60;
const KILL_EVERY = 20;
const DOWNTIME = 400;
const TRIES = 12;

const orderOn = (expects: number): Order =>
  orderFor(
    {
      kind: 'change',
      form: expects % 2 === 0 ? 'replace' : 'patch',
      defect: 'none',
      base: 'newest',
      rise: 1,
      variant: expects % 4,
    },
    expects,
  );

class LongHistory {
  readonly cluster: Cluster;
  readonly operators: Operators;
  readonly orders: readonly Order[] = Array.from({ length: CHANGES }, (_, at) => orderOn(at));
  readonly random: SeededRandom;

  constructor(seed: number) {
    this.cluster = new Cluster(3, seed);
    this.operators = new Operators(this.cluster);
    this.random = new SeededRandom(seed);
  }

  async makeChanges(): Promise<void> {
    expect(await this.cluster.formed()).toBe(true);
    for (const [at, order] of this.orders.entries()) {
      if (at % KILL_EVERY === KILL_EVERY - 1) this.cluster.kill(this.anyNode, DOWNTIME);
      expect(await this.pursue(order)).toBe('acknowledged');
    }
  }

  async repeat(order: Order): Promise<ChangeAnswer | undefined> {
    const { cluster, operators } = this;
    return cluster.world.until(operators.send(order, { node: this.anyNode, answerLost: false }));
  }

  private get anyNode(): number {
    return Math.floor(this.random.fraction() * this.cluster.size);
  }

  private async pursue(order: Order): Promise<ChangeAnswer | undefined> {
    for (let tries = 0; tries < TRIES; tries++) {
      const answer = await this.repeat(order);
      if (answer !== undefined && answer !== 'unclear') return answer;
    }
    return undefined;
  }
}

test('an order that was taken is never refused, also when its version is no longer remembered', async () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const long = new LongHistory(seed);
    await long.makeChanges();
    for (let each = 0; each < REPEATS; each++) {
      const order = pick(long.random, long.orders)!;
      const answer = await long.repeat(order);
      const isRemembered = order.request.version > CHANGES - VERSIONS;
      expect([order.request.version, answer]).toEqual([
        order.request.version,
        isRemembered ? 'acknowledged' : 'unclear',
      ]);
    }
    for (const order of long.orders.slice(0, CHANGES - VERSIONS))
      expect([order.request.version, await long.repeat(order)]).toEqual([
        order.request.version,
        'unclear',
      ]);
    expect(judgeHistory(long.operators.history.calls)).toEqual([]);
  }
});
