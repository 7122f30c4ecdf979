/** A defect of its own that nothing caught does not end a router with all the requests that it carries. */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { Fleet } from '../../src/fleet/fleet.js';

const ROUTER = 'router-1';

/** Loaded ahead of the program: throws at SIGUSR2. */
const troubles = `process.on('SIGUSR2', () => { throw new Error('a defect'); });`;

const fleet = new Fleet({
  folder: mkdtempSync(join(tmpdir(), 'rr-')),
  cores: 1,
  routers: 1,
  engines: 0,
  zones: ['a'],
  firms: ['sahel'],
  opaque: true,
  params: {
    claims: { enabled: false },
    drain: 4000,
    lease: { duration: 1500, renew: 400, lapse: 'serve', patience: 200 },
  },
});

beforeAll(async () => {
  const encoded = Buffer.from(troubles).toString('base64');
  process.env.NODE_OPTIONS = `--import data:text/javascript;base64,${encoded}`;
  await fleet.start();
});
afterAll(() => fleet.stop());

const answers = async (): Promise<boolean> =>
  (await fleet.metric(ROUTER, 'resident_bytes').catch(() => 0)) > 0;

test('an exception that nothing caught does not end a router', async () => {
  await fleet.until('the router to answer', answers);
  let hasExited = false;
  void fleet.exited(ROUTER).then(() => (hasExited = true));
  for (let count = 0; count < 3; count++) {
    fleet.signal(ROUTER, 'SIGUSR2');
    await fleet.until(
      'the router to answer or be gone',
      async () => hasExited || (await answers()),
    );
  }
  expect(hasExited).toBe(false);
});
