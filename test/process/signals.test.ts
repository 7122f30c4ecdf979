/** Signals to real processes: a SIGHUP during the start and a second SIGTERM during a planned stop end nothing. */
import { mkdtempSync } from 'node:fs';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { Fleet } from '../../src/fleet/fleet.js';
import { parseAddress } from '../../src/kernel/net/net.js';

const NODES = ['core-1', 'router-1'];
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

beforeAll(() => fleet.start());
afterAll(() => fleet.stop());

const listens = (address: string): Promise<boolean> =>
  new Promise((resolve) => {
    const socket = connect(parseAddress(address));
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => resolve(false));
  });

/** Until a node has answered its operators. */
const answers = (name: string): Promise<void> =>
  fleet.until(`${name} to answer`, async () => (await fleet.metric(name, 'resident_bytes')) > 0);

test('SIGHUPs while a node starts do not end it', async () => {
  for (const name of NODES) {
    await answers(name);
    await fleet.kill(name);
    fleet.again(name);
    await fleet.until(`${name} to listen`, () => listens(fleet.peers.get(name)!));
    for (let count = 0; count < 5; count++) {
      fleet.signal(name, 'SIGHUP');
      await listens(fleet.operators.get(name)!);
    }
    await answers(name);
  }
});

test('a second SIGTERM does not cut a planned stop short', async () => {
  for (const name of NODES) {
    const exited = fleet.exited(name);
    fleet.signal(name, 'SIGTERM');
    await fleet.until(`${name} to stop`, async () => {
      fleet.signal(name, 'SIGTERM');
      return !(await listens(fleet.operators.get(name)!));
    });
    expect([name, await exited]).toEqual([name, 0]);
  }
});
