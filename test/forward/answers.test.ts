/** What comes back from engines in the wrong way never reaches a caller as an answer, and spoils no later one. */
import { expect, test } from 'vitest';
import type { TroubleKind } from '../../src/stand/opaque/trouble.js';
import { expectClean, openStage, until } from './stage.js';

test('a whole answer is handed back as it came, and its link used again', async () => {
  const stage = await openStage({ engines: 1 });
  for (let at = 0; at < 5; at++)
    expect(await stage.ask({ fields: at % 2 ? [] : undefined })).toMatchObject({
      status: 200,
      complete: true,
    });
  expect(stage.engines[0]!.lines).toEqual({ open: 1, ever: 1 });
  await expectClean(stage);
});

test("an engine's own failure is handed back with its body and seal", async () => {
  const stage = await openStage({ route: { kind: 'non_idempotent' } });
  stage.engines[0]!.troubles.tell('failure');
  expect(await stage.ask()).toMatchObject({
    status: 500,
    body: 'failed',
    complete: true,
    seal: stage.engines[0]!.requests[0]!.seal,
  });
  expect(stage.ran()).toEqual(['engine-1']);
  await expectClean(stage);
});

test('a repeatable request gets its answer elsewhere when an engine fails', async () => {
  const stage = await openStage({ route: { kind: 'idempotent' } });
  stage.engines[0]!.troubles.tell('failure');
  expect(await stage.ask()).toMatchObject({ status: 200 });
  expect(stage.ran()).toEqual(['engine-1', 'engine-2']);
  await expectClean(stage);
});

const halves: readonly TroubleKind[] = ['cut', 'cut-reset', 'garbled-midway'];
for (const kind of halves) {
  for (const bytes of [300, 100_000]) {
    test(`an answer that ends early never looks complete: ${kind}, ${bytes} bytes`, async () => {
      const stage = await openStage({
        engines: 1,
        route: { kind: 'non_idempotent', timeout: 500 },
      });
      stage.engines[0]!.troubles.tell(kind, 1);
      const told = await stage.ask({ target: `/a/?bytes=${bytes}` });
      expect(told.complete && told.status < 300).toBe(false);
      expect(await stage.ask()).toMatchObject({ status: 200, complete: true });
      await expectClean(stage);
    });
  }
  test(`a stream that ends early never looks complete: ${kind}`, async () => {
    const stage = await openStage({ engines: 1 });
    stage.engines[0]!.troubles.tell(kind, 1);
    const told = await stage.ask();
    expect([told.status, told.complete, told.events.length]).toEqual([200, false, 2]);
    await expectClean(stage);
  });
}

test('an answer that goes silent ends broken at the end of its time', async () => {
  const stage = await openStage({ engines: 1, route: { timeout: 400 } });
  stage.engines[0]!.troubles.tell('stalled');
  expect(await stage.ask()).toMatchObject({ status: 200, complete: false });
  await until('the engine sees the link closed', () => stage.engines[0]!.lines.open === 0);
  await expectClean(stage);
});

/** Each strikes once; the requests after it go to the same engine. */
for (const kind of ['surplus', 'late', 'late-refusal', 'foreign'] as const) {
  for (const repeatable of [true, false]) {
    test(`no answer is ever taken for another's: ${kind}, ${repeatable ? 'repeatable' : 'once'}`, async () => {
      const stage = await openStage({
        engines: 1,
        route: { kind: repeatable ? 'idempotent' : 'non_idempotent' },
      });
      const [engine] = stage.engines;
      engine!.troubles.tell(kind, 1);
      const statuses = [];
      for (let at = 0; at < 6; at++)
        statuses.push((await stage.ask({ target: `/a/${at}?bytes=${500 + at}` })).status);
      expect(statuses.filter((status) => status !== 200).length).toBeLessThanOrEqual(1);
      expect(statuses.at(-1)).toBe(200);
      await expectClean(stage);
      expect(engine!.lines.ever).toBeGreaterThan(1);
      await until('what was spoilt is closed', () => engine!.lines.open <= 1);
    });
  }
}

test('a refusal that belongs to an earlier request is no leave to send again', async () => {
  const stage = await openStage({ engines: 2, route: { kind: 'non_idempotent' } });
  stage.engines[0]!.troubles.tell('late-refusal', 1);
  expect(await stage.ask()).toMatchObject({ status: 200 });
  expect(await stage.ask()).toMatchObject({ status: 502 });
  expect(stage.ran()).toEqual(['engine-1', 'engine-1']);
  await expectClean(stage);
});

test('an engine that asks to close its connection is not sent another request there', async () => {
  const stage = await openStage({ engines: 1 });
  stage.engines[0]!.closing = true;
  for (let at = 0; at < 3; at++)
    expect(await stage.ask()).toMatchObject({ status: 200, complete: true });
  expect(stage.engines[0]!.lines.ever).toBe(3);
  await expectClean(stage);
});

test('a link that the engine closes while idle costs no request', async () => {
  const stage = await openStage({
    engines: 1,
    engine: { idle: 1 },
    route: { kind: 'non_idempotent', attempts: 1 },
  });
  for (let at = 0; at < 3; at++) {
    expect(await stage.ask()).toMatchObject({ status: 200 });
    await until('the engine closed the idle link', () => stage.engines[0]!.lines.open === 0);
  }
  await expectClean(stage);
});
