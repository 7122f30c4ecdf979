/** A second send beside a late one: the first answer that begins is taken, the other send is given up. */
import { expect, test } from 'vitest';
import { expectClean, openStage, until } from './stage.js';

test('a repeatable request whose engine is silent is answered by a second one, and the first is given up', async () => {
  const stage = await openStage({ engines: 2, route: { resume: true, attempts: 2, target: 60 } });
  stage.engines[0]!.troubles.tell('silent');
  stage.engines[1]!.troubles.tell('silent', 0);
  for (let turn = 0; turn < 4; turn++)
    expect(await stage.ask()).toMatchObject({ status: 200, complete: true });
  expect(stage.forwarder.counts.get('hedges')).toBeGreaterThan(0);
  await until('no request under way', () => stage.forwarder.open === 0);
  await expectClean(stage);
});

test('what may run once is never sent beside, however late it is', async () => {
  const stage = await openStage({
    engines: 2,
    route: { kind: 'non_idempotent', attempts: 2, target: 30, timeout: 400 },
  });
  for (const engine of stage.engines) engine.troubles.tell('silent');
  await stage.ask();
  expect(stage.engines.reduce((sum, { requests }) => sum + requests.length, 0)).toBe(1);
  expect(stage.forwarder.counts.get('hedges')).toBeUndefined();
  await expectClean(stage);
});

test("no second send without budget, nor beyond the route's attempts", async () => {
  for (const [attempts, ratio] of [
    [1, 10],
    [2, 0],
  ] as const) {
    const stage = await openStage({
      engines: 2,
      ratio,
      route: { resume: true, attempts, target: 30, timeout: 300 },
    });
    for (const engine of stage.engines) engine.troubles.tell('silent');
    await stage.ask();
    expect(stage.engines.reduce((sum, { requests }) => sum + requests.length, 0)).toBe(1);
  }
});
