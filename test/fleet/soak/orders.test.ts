/** What the loss at the end relies on: it strikes at an acknowledgement that is new, and loses no more than a minority. */
import { expect, test } from 'vitest';
import { planFor, toleratedLosses } from '../../../src/fleet/soak/plan.js';
import { SentOrders } from '../../../src/fleet/soak/operators.js';
import { orderOf } from './evidence.js';

const openOrder = (version: number): ReturnType<typeof orderOf> =>
  orderOf(version, { acknowledgedAt: undefined });

test('who waits for an acknowledgement is told of the next one, and of no refusal and no repeat', async () => {
  const orders = new SentOrders();
  const [known, refused, next] = [openOrder(2), openOrder(3), openOrder(4)];
  orders.note(known, 'acknowledged');
  const told = orders.nextAcknowledged();
  orders.note(known, 'acknowledged');
  orders.note(refused, 'conflict');
  orders.note(next, 'acknowledged');
  expect(await told).toBe(next);
  expect(refused.acknowledgedAt).toBeUndefined();
});

test('a majority of the voters keeps its disks, and some disk is lost', () => {
  for (let seed = 1; seed <= 30; seed++) {
    const plan = planFor({ seed, seconds: 1, folder: '' });
    expect(plan.lossAtEnd).toBe(true);
    const lost = toleratedLosses(plan);
    expect(lost).toBeGreaterThan(0);
    expect(plan.voters - lost).toBeGreaterThan(plan.voters / 2);
  }
});
