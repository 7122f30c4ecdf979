/** The settings file of a platform: what is read of it, what is skipped, and the params that follow. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { answerLimitOf, paramsOf, settingsReader } from '../../platform/settings.js';
import { settingsText } from './samples.js';

let folder = '';
beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'settings-'));
});
afterAll(() => rm(folder, { recursive: true }));

const read = async (text: string): ReturnType<ReturnType<typeof settingsReader>> => {
  const file = join(folder, 'settings.toml');
  await writeFile(file, text);
  return settingsReader(file)();
};
const reason = (outcome: { extract(): unknown }): string =>
  (outcome.extract() as { reason: string }).reason;

test('a router listens for requests and readiness, and meets its seeds at the first internal port', async () => {
  const params = (await read(settingsText('front'))).chain(paramsOf).unsafeCoerce();
  expect(params).toMatchObject({
    name: 'edge-1',
    zone: 'north',
    form: false,
    firstStart: 'unknown',
    listen: {
      callers: '',
      requests: '10.0.0.5:8000',
      peers: '10.0.0.5:6100',
      operators: '10.0.0.5:6101',
    },
    seeds: ['10.0.1.1:6100', '10.0.2.1:6100'],
    platform: { every: 1000, place: 0 },
  });
});

test('a core machine forms at the first start only, in its own folder, and has no entry to wait for', async () => {
  const first = (await read(settingsText('core'))).chain(paramsOf).unsafeCoerce();
  expect(first).toMatchObject({
    form: true,
    firstStart: 'yes',
    folder: '/disk/core',
    listen: { requests: '', notice: 0 },
  });
  const later = (
    await read(settingsText('core').replace('first_start = true', 'first_start = false'))
  )
    .chain(paramsOf)
    .unsafeCoerce();
  expect(later).toMatchObject({ form: false, firstStart: 'no' });
});

test('times follow from the bounds: a planned stop fits into the grace, polls into the drain', async () => {
  for (const grace of [4, 8, 30]) {
    const text = settingsText('front')
      .replace('grace_period_s = 10', `grace_period_s = ${grace}`)
      .replace('drain_ms = 5000', 'drain_ms = 2000');
    const { drain, listen, platform } = (await read(text)).chain(paramsOf).unsafeCoerce();
    expect(listen.notice).toBeLessThan(drain);
    expect(drain + 1000).toBeLessThan(grace * 1000);
    expect(drain).toBeGreaterThanOrEqual(grace * 500);
    expect(platform.every).toBe(500);
  }
});

test('a planned stop cuts nothing off before the last sixth of the grace, and ends within it', async () => {
  // Below 6.3 s the last sixth has no room for the second that handing over takes.
  for (const grace of [7, 8, 12, 30]) {
    const text = settingsText('front').replace('grace_period_s = 10', `grace_period_s = ${grace}`);
    const { drain, lease } = (await read(text)).chain(paramsOf).unsafeCoerce();
    expect([grace, drain > (grace * 1000 * 5) / 6]).toEqual([grace, true]);
    // Behind it, the lease is given back, for which the core is asked once.
    expect([grace, drain + lease.renew < grace * 1000]).toEqual([grace, true]);
  }
});

test('a call on the configuration is answered before its caller goes to another node', async () => {
  for (const [acknowledge, limit] of [
    [4000, 700],
    [500, 500],
  ]) {
    const text = settingsText('core').replace(
      /acknowledge_ms = \d+/,
      `acknowledge_ms = ${acknowledge}`,
    );
    expect((await read(text)).map(answerLimitOf).unsafeCoerce()).toBe(limit);
  }
});

test('fields that are not known are skipped; a missing or wrong one is named', async () => {
  expect(
    (await read(`surprise = [1, 2]\n${settingsText('front')}[more]\nof = "it"\n`)).isRight(),
  ).toBe(true);
  expect(reason(await read(settingsText('front').replace('node_name', 'other_name')))).toMatch(
    /^node_name is nothing/,
  );
  expect(
    reason(await read(settingsText('front').replace('drain_ms = 5000', 'drain_ms = "soon"'))),
  ).toMatch(/^bounds\.drain_ms is "soon"/);
  expect(reason(await read('not = = toml'))).not.toBe('');
  expect(reason(await settingsReader(undefined)())).toMatch(/names no file/);
});

test('a bound that the rules of a deployment leave out has another in its place', async () => {
  const bare = settingsText('front').replace(
    /\[bounds\][^[]*/,
    '[bounds]\nacknowledge_ms = 8000\n',
  );
  const params = (await read(bare)).chain(paramsOf).unsafeCoerce();
  expect(params.lease.duration).toBe(3000);
  expect(params.drain).toBeGreaterThan(0);
  expect(
    (await read(settingsText('core').replace(/\[bounds\][^[]*/, ''))).chain(paramsOf).isRight(),
  ).toBe(true);
});

test('a text that has not changed is not parsed again, and one that has is', async () => {
  const file = join(folder, 'read-again.toml');
  const readAgain = settingsReader(file);
  await writeFile(file, settingsText('front'));
  const first = (await readAgain()).unsafeCoerce();
  await writeFile(file, settingsText('front'));
  expect((await readAgain()).unsafeCoerce()).toBe(first);
  await writeFile(file, settingsText('front').replace('zone = "north"', 'zone = "south"'));
  expect((await readAgain()).unsafeCoerce()).toMatchObject({ zone: 'south' });
  await writeFile(file, 'no settings');
  expect((await readAgain()).isLeft()).toBe(true);
  await rm(file);
  expect(reason(await readAgain())).toMatch(/ENOENT/);
  await writeFile(file, settingsText('front'));
  expect((await readAgain()).unsafeCoerce()).toEqual(first);
});

test('voters follow from the machines, zones and regions that may be lost, as far as there are zones for it', async () => {
  const paramsWith = async (losses: string): Promise<unknown> =>
    (await read(settingsText('core').replace('machines = 1', losses))).chain(paramsOf).extract();
  expect(await paramsWith('machines = 1')).toMatchObject({
    region: 'up',
    layout: { north: 'up', south: 'up', east: 'side', west: 'side', middle: 'side' },
    core: { wanted: 3, tolerates: { machines: 1, zones: 0, regions: 0 } },
  });
  expect(await paramsWith('machines = 1\nzones = 2\nregions = 1\nracks = 3')).toMatchObject({
    core: { wanted: 5, tolerates: { machines: 1, zones: 2, regions: 1 } },
  });
});
