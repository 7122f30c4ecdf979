/** What a member's store reads from its folder. */
import { mkdtemp, mkdir, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from 'vitest';
import { FolderDisk } from '../../src/kernel/disk/disk.js';
import { Store } from '../../src/register/store.js';

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
