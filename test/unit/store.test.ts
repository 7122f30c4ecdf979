/** What a member's store reads from its folder. */
import { mkdtemp, mkdir, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from 'vitest';
import { FolderDisk } from '../../src/kernel/disk/disk.js';
import type { Outcome } from '../../src/kernel/fault/fault.js';
import { seal, Store, type Found } from '../../src/register/store.js';

test('a folder of a version that named its files otherwise is refused, not taken for an empty one', async () => {
  const root = await mkdtemp(join(tmpdir(), 'store-'));
  const open = async (): Promise<boolean> =>
    (await new Store(new FolderDisk(root), 'f').open()).isRight();
  expect(await open()).toBe(true);
  await mkdir(join(root, 'generations'));
  await writeFile(join(root, 'generations', '000000000001'), 'held');
  expect(await open()).toBe(false);
  await rm(root, { recursive: true });
});

test('a revision file without the digest of its document is of an older version: refused, not taken for a lost vote', async () => {
  const root = await mkdtemp(join(tmpdir(), 'store-'));
  const open = (): Promise<Outcome<Found>> => new Store(new FolderDisk(root), 'f').open();
  expect((await open()).isRight()).toBe(true);
  const head = new Map<string, unknown>([
    ['fleet', 'f'],
    ['ballot', { counter: 1, node: 'n', incarnation: 'i' }],
  ]);
  await mkdir(join(root, 'revisions'), { recursive: true });
  await writeFile(join(root, 'revisions', '000000000001'), seal(head, Buffer.from('{}')));
  const refused = await open();
  expect(refused.isLeft()).toBe(true);
  expect(JSON.stringify(refused.extract())).toContain('older version');
  await rm(root, { recursive: true });
});
