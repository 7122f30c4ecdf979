/** How often a request may be sent: at most once what may run only once, and no more than the route and the budget allow. */
import { expect, test } from 'vitest';
import { RepeatBudget } from '../../src/forward/budget.js';
import { Host } from '../../src/sim/host.js';
import { World } from '../../src/sim/world.js';
import type { TroubleKind } from '../../src/stand/opaque/trouble.js';
import { expectClean, openStage, prompt, until } from './stage.js';

/** After run, nothing tells whether it ran. */
const unclear: readonly TroubleKind[] = [
  'reset',
  'closed',
  'garbled',
  'unmarked-full',
  'foreign',
  'unsealed',
  'encoded',
  'unframed',
];

for (const kind of unclear) {
  test(`what may run once is sent once, and not called refused: ${kind}`, async () => {
    const stage = await openStage({ engines: 3, route: { kind: 'non_idempotent', attempts: 3 } });
    stage.engines[0]!.troubles.tell(kind);
    const told = await stage.ask();
    expect(told).toMatchObject({ status: 502, complete: true });
    expect(stage.ran()).toEqual(['engine-1']);
    expect(stage.ends).toEqual([['engine-1', 'failed']]);
    await expectClean(stage);
  });

  test(`what may be repeated goes to a second engine: ${kind}`, async () => {
    const stage = await openStage({ route: { kind: 'idempotent' } });
    stage.engines[0]!.troubles.tell(kind);
    const told = await stage.ask();
    expect(told).toMatchObject({ status: 200, complete: true });
    expect(stage.ran()).toEqual(['engine-1', 'engine-2']);
    await expectClean(stage);
  });
}

test('a stream that may not be taken up again counts as what may run once', async () => {
  const stage = await openStage();
  stage.engines[0]!.troubles.tell('reset');
  expect(await stage.ask()).toMatchObject({ status: 502 });
  expect(stage.ran()).toEqual(['engine-1']);
  await expectClean(stage);
});

test('silence to the end of its time is an unknown end, and the work is given up', async () => {
  const stage = await openStage({ route: { kind: 'non_idempotent', timeout: 300 } });
  stage.engines[0]!.troubles.tell('silent');
  expect(await stage.ask()).toMatchObject({ status: 504 });
  expect(stage.ran()).toEqual(['engine-1']);
  await until('the engine sees the link closed', () => stage.engines[0]!.lines.open === 0);
  await expectClean(stage);
});

test('a silent engine does not use up the time of what may be repeated', async () => {
  const stage = await openStage({ route: { kind: 'idempotent', target: 300 } });
  stage.engines[0]!.troubles.tell('silent');
  expect(await stage.ask()).toMatchObject({ status: 200, complete: true });
  expect(stage.ran()).toEqual(['engine-1', 'engine-2']);
  await expectClean(stage);
});

for (const [word, kind] of [
  ['full', 'non_idempotent'],
  ['busy', 'streaming'],
  ['full', 'idempotent'],
] as const) {
  test(`on the engine's word that it did not run (${word}), a second one is asked, also for ${kind}`, async () => {
    const stage = await openStage({ route: { kind } });
    stage.engines[0]!.troubles.tell(word);
    expect(await stage.ask()).toMatchObject({ status: 200, complete: true });
    expect(stage.ran()).toEqual(['engine-2']);
    expect(stage.ends).toEqual([
      ['engine-1', 'turned-away'],
      ['engine-2', 'whole'],
    ]);
    await expectClean(stage);
  });
}

test('an engine under another name turns it away, and the one of that name is not taken for it', async () => {
  const stage = await openStage({ route: { kind: 'non_idempotent' } });
  const [first, second] = [stage.listed.get('engine-1')!, stage.listed.get('engine-2')!];
  stage.listed.clear();
  stage.listed.set('gone', { ...first, identifier: 'gone' });
  stage.listed.set('engine-2', second);
  expect(await stage.ask()).toMatchObject({ status: 200 });
  expect(stage.engines[0]!.requests[0]).toMatchObject({ status: 421, ran: 0 });
  expect(stage.ran()).toEqual(['engine-2']);
  await expectClean(stage);
});

test('refused with a time to come back when all that may be asked did not run it', async () => {
  const stage = await openStage({ engines: 3, route: { kind: 'non_idempotent' } });
  for (const engine of stage.engines) engine.troubles.tell('full');
  expect(await stage.ask()).toMatchObject({ status: 503, retryAfter: 500, complete: true });
  expect(stage.engines.map(({ requests }) => requests.length)).toEqual([1, 1, 0]);
  await expectClean(stage);
});

test('never refused as not run after one engine may have run it', async () => {
  const stage = await openStage({ engines: 2, route: { kind: 'idempotent', attempts: 3 } });
  stage.engines[0]!.troubles.tell('reset');
  stage.engines[1]!.troubles.tell('full');
  const told = await stage.ask();
  expect(stage.ran()).toEqual(['engine-1']);
  expect(told).toMatchObject({ status: 502, complete: true });
  await expectClean(stage);
});

test('no more engines are asked than the route allows', async () => {
  for (const attempts of [undefined, 1, 2, 3]) {
    const stage = await openStage({ engines: 4, route: { kind: 'idempotent', attempts } });
    for (const engine of stage.engines) engine.troubles.tell('reset');
    expect(await stage.ask()).toMatchObject({ status: 502 });
    expect(stage.ran()).toHaveLength(attempts ?? 1);
    await expectClean(stage);
  }
});

test('engines that cannot be reached cost no attempt', async () => {
  const stage = await openStage({ route: { kind: 'non_idempotent', attempts: 1 } });
  await stage.engines[0]!.close();
  expect(await stage.ask()).toMatchObject({ status: 200 });
  expect(stage.ran()).toEqual(['engine-2']);
  await expectClean(stage);
});

test('further sends are paid from the share of fresh requests', async () => {
  const stage = await openStage({ engines: 2, route: { kind: 'idempotent' }, ratio: 0.2 });
  stage.engines[0]!.troubles.tell('reset');
  const told = [];
  for (let at = 0; at < 20; at++) told.push((await stage.ask()).status);
  expect(told.filter((status) => status === 200)).toHaveLength(4);
  expect(told.filter((status) => status === 502)).toHaveLength(16);
  await expectClean(stage);
});

test('the share of repeats holds in every window that ends with one', async () => {
  const world = new World(11);
  const { clock, random } = new Host(world, 'h', '127.0.0.1:1');
  const window = 10_000;
  const budget = new RepeatBudget(0.2, window, clock);
  const fresh: number[] = [];
  const again: number[] = [];
  for (let turn = 0; turn < 4000; turn++) {
    await world.run(world.now + random.fraction() * (turn % 400 < 100 ? 10 : 200));
    const rush = random.fraction() < 0.3;
    for (let at = rush ? 20 : 1; at > 0; at--) {
      budget.note('s');
      fresh.push(world.now);
    }
    for (let at = rush ? 10 : 1; at > 0; at--) if (budget.take('s')) again.push(world.now);
  }
  expect(again.length).toBeGreaterThan(fresh.length * 0.1);
  const within = (moments: readonly number[], end: number): number =>
    moments.filter((at) => at > end - window && at <= end).length;
  const over = again.filter(
    (end) =>
      within(
        again.filter((at) => at <= end),
        end,
      ) >
      0.2 * within(fresh, end),
  );
  expect(over).toEqual([]);
});

test('a caller that comes back with another id is another request', async () => {
  const stage = await openStage({ route: { kind: 'non_idempotent', attempts: 1 } });
  stage.engines[0]!.troubles.tell('full', 1);
  const asked = await stage.asked({ furtherTries: 1, fields: prompt });
  expect([asked.outcome, asked.tries.map(({ status }) => status)]).toEqual(['served', [503, 200]]);
  await expectClean(stage);
});
