/** A process that stood still judges no limit before it has read what arrived meanwhile: with real sockets. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { expect, test } from 'vitest';
import { SystemClock, within } from '../../src/kernel/clock/clock.js';

const LIMIT = 20;

/** Keeps the event loop from turning. */
const standStill = (duration: number): void => {
  const end = performance.now() + duration;
  while (performance.now() < end);
};

const openPair = async (): Promise<{ near: Socket; far: Socket; close: () => void }> => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const accepted = new Promise<Socket>((resolve) => server.once('connection', resolve));
  const near = connect((server.address() as AddressInfo).port, '127.0.0.1');
  await new Promise((resolve) => near.once('connect', resolve));
  const far = await accepted;
  const close = (): void => {
    near.destroy();
    far.destroy();
    server.close();
  };
  return { near, far, close };
};

test('what arrived during a standstill comes before a limit that passed in it', async () => {
  const clock = new SystemClock();
  const { near, far, close } = await openPair();
  for (let round = 0; round < 20; round++) {
    const arrival = new Promise((resolve) => near.once('data', () => resolve('arrived')));
    const outcome = within(clock, LIMIT, arrival);
    far.write('x');
    standStill(LIMIT * 2);
    expect(await outcome).toBe('arrived');
  }
  close();
});

test('a limit passes where nothing arrived', async () => {
  const clock = new SystemClock();
  const begun = clock.now();
  expect(await within(clock, LIMIT, new Promise(() => undefined))).toBeUndefined();
  expect(clock.now() - begun).toBeGreaterThanOrEqual(LIMIT - 1);
});
