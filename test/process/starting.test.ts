/** A process that is told to read its params again while it still starts goes on, and takes in what was changed. */
import { execFile, spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync } from 'node:fs';
import { open, rename, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { promisify } from 'node:util';
import { afterEach, expect, test } from 'vitest';
import { operate } from '../../src/client/operate.js';
import { freePorts, operatorKey } from '../../src/fleet/fleet.js';
import { digestOf } from '../../src/register/hash.js';

const children: ChildProcess[] = [];
afterEach(() => {
  for (const child of children.splice(0)) child.kill('SIGKILL');
});

test('SIGHUP while a core member starts', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'rr-'));
  const file = join(folder, 'core.json');
  const [operators, peers] = (await freePorts(2)).map((port) => `127.0.0.1:${port}`);
  const params = (firm: string): string =>
    JSON.stringify({
      name: 'core-1',
      listen: { operators, peers },
      seeds: [peers],
      folder: join(folder, 'data'),
      form: true,
      firms: [{ name: firm, callerKeys: [], operatorKeys: [digestOf(operatorKey(firm))] }],
    });
  // The process waits at its params until they are written, so that the signal surely comes before its start is over.
  await promisify(execFile)('mkfifo', [file]);
  const child = spawn(process.execPath, [resolve('bin/rudderridge.js'), 'core', '--params', file]);
  children.push(child);
  const pipe = await open(file, 'w');
  child.kill('SIGHUP');
  await writeFile(join(folder, 'changed.json'), params('changed'));
  await rename(join(folder, 'changed.json'), file);
  await pipe.writeFile(params('first')).catch(() => undefined);
  await pipe.close();
  const target = { node: operators!, key: operatorKey('changed') };
  const isTaken = async (): Promise<boolean> =>
    (await operate(target, 'routes.show', { wait: 1000 })).isRight();
  const isOver = async (): Promise<boolean> => child.signalCode !== null || (await isTaken());
  await expect.poll(isOver, { timeout: 120_000, interval: 50 }).toBe(true);
  expect(child.signalCode).toBeNull();
});
