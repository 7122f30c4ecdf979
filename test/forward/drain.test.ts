/** Leaving in order: what was taken is ended, nothing new is begun behind a closed connection, a leaving engine gets nothing. */
import { expect, test } from 'vitest';
import { expectClean, openStage, prompt, raw, until } from './stage.js';

test('a planned stop waits for what was taken and says how much is left', async () => {
  const stage = await openStage({ engines: 1, engine: { stepBase: 10 } });
  const running = [stage.ask(), stage.ask()];
  await until('both run', () => stage.ran().length === 2);
  const drained = stage.forwarder.drain(5000);
  expect(await Promise.all(running)).toMatchObject([
    { status: 200, complete: true },
    { status: 200, complete: true },
  ]);
  expect(await drained).toBe(0);
  await expectClean(stage);
});

test('a planned stop ends at its limit, and tells what is left', async () => {
  const stage = await openStage({ engines: 1, route: { timeout: 1000 } });
  stage.engines[0]!.troubles.tell('silent');
  const running = stage.ask();
  await until('it runs', () => stage.ran().length === 1);
  expect(await stage.forwarder.drain(20)).toBe(1);
  expect((await running).status).toBe(504);
  await expectClean(stage);
});

test('answers given while it stops ask their callers to close, and are whole', async () => {
  const stage = await openStage({ engines: 1, engine: { stepBase: 10 } });
  const request = (id: string): string =>
    `POST /a/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ${id}\r\n${prompt.map(([name, value]) => `${name}: ${value}\r\n`).join('')}Content-Length: 0\r\n\r\n`;
  const kept = raw(stage.front, [request('one')], 2);
  await until('it runs', () => stage.ran().length === 1);
  stage.forwarder.close();
  const late = raw(stage.front, [request('two')], 2);
  await until('the next one was taken too', () => stage.forwarder.open === 2);
  expect(await stage.forwarder.drain(5000)).toBe(0);
  for (const { answers } of [await kept, await late])
    expect(answers.map(({ complete, fields }) => [complete, fields.get('connection')])).toEqual([
      [true, 'close'],
    ]);
});

test('an engine that leaves gets nothing new and ends what it has', async () => {
  const stage = await openStage({ engine: { stepBase: 10 } });
  const running = stage.ask();
  await until('it runs', () => stage.ran().length === 1);
  stage.engines[0]!.draining = true;
  stage.listed.set('engine-1', { ...stage.listed.get('engine-1')!, leaving: true });
  for (let at = 0; at < 5; at++) expect(await stage.ask()).toMatchObject({ status: 200 });
  expect(await running).toMatchObject({ status: 200, complete: true });
  expect(stage.ran()).toEqual(['engine-1', ...Array.from({ length: 5 }, () => 'engine-2')]);
  await expectClean(stage);
});

test('a stream that broke does not go on at an engine that leaves', async () => {
  const stage = await openStage({ engines: 3, route: { resume: true, attempts: 3 } });
  stage.listed.set('engine-2', { ...stage.listed.get('engine-2')!, leaving: true });
  stage.engines[0]!.troubles.tell('cut', 1);
  expect(await stage.ask()).toMatchObject({ complete: true });
  expect(stage.ran()).toEqual(['engine-1', 'engine-3']);
  await expectClean(stage);
});

test('with no engine left the answer is a refusal with a time to come back, at once', async () => {
  const stage = await openStage({ route: { kind: 'non_idempotent' } });
  stage.listed.clear();
  const told = await stage.ask();
  expect(told).toMatchObject({ status: 503, complete: true });
  expect(told.retryAfter).toBeGreaterThan(0);
  await expectClean(stage);
});

test('an engine that was started anew under another name is no longer asked by the old one', async () => {
  const stage = await openStage({ engines: 1 });
  expect(await stage.ask()).toMatchObject({ status: 200 });
  const engine = stage.listed.get('engine-1')!;
  stage.listed.set('engine-1', { ...engine, address: '127.0.0.1:1' });
  expect(await stage.ask()).toMatchObject({ status: 503 });
  expect(stage.ran()).toEqual(['engine-1']);
  await expectClean(stage);
});

test("another service at an engine's old address runs nothing of ours", async () => {
  const stage = await openStage({ engines: 2, route: { kind: 'non_idempotent', attempts: 1 } });
  stage.listed.set('engine-1', {
    ...stage.listed.get('engine-1')!,
    address: stage.listed.get('engine-2')!.address,
  });
  expect(await stage.ask()).toMatchObject({ status: 503 });
  expect(stage.ran()).toEqual([]);
  await expectClean(stage);
});
