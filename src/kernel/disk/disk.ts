/**
 * The one data folder. A file is written aside, synced, renamed, and its folder synced before the call returns: only
 * then is it durable. Reading gives what is there; callers judge it by digest. What a write that failed, or that the end of
 * a process cut short, left aside is taken away, so that it does not fill the disk.
 */
import { Injectable } from '@nestjs/common';
import { mkdir, open, readFile, readdir, rename, rm } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { attempt, type Outcome } from '../fault/fault.js';

/** A folder of small files; a write is synced before it is reported as done. */
export interface Disk {
  write(path: string, bytes: Uint8Array): Promise<Outcome<void>>;
  read(path: string): Promise<Outcome<Uint8Array | undefined>>;
  list(folder: string): Promise<Outcome<string[]>>;
  /** Takes a file away, sooner or later; it may be there again after a loss of power. */
  remove(path: string): Promise<Outcome<void>>;
}

const syncFolder = async (folder: string): Promise<void> => {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
};

const removeAsides = async (folder: string): Promise<void> => {
  const left = (await readdir(folder)).filter((name) => name.includes('.aside-'));
  await Promise.all(left.map((name) => rm(join(folder, name), { force: true })));
};

const absent = (thrown: unknown): boolean => (thrown as NodeJS.ErrnoException).code === 'ENOENT';

/** A disk that is a folder of the operating system. */
@Injectable()
export class FolderDisk implements Disk {
  private asides = 0;
  private readonly tidied = new Map<string, Promise<void>>();
  /** Files written aside whose removal failed. */
  private readonly abandoned = new Set<string>();

  constructor(private readonly root: string) {}

  write(path: string, bytes: Uint8Array): Promise<Outcome<void>> {
    return attempt(
      'disk.write',
      path,
      async () => {
        const target = join(this.root, path);
        const aside = `${target}.aside-${process.pid}-${++this.asides}`;
        const made = await mkdir(dirname(target), { recursive: true });
        if (made) await syncFolder(dirname(made));
        await this.tidy(dirname(target));
        await this.removeAbandoned();
        try {
          const handle = await open(aside, 'w', 0o600);
          try {
            await handle.writeFile(bytes);
            await handle.sync();
          } finally {
            await handle.close();
          }
          await rename(aside, target);
        } catch (thrown) {
          this.abandoned.add(aside);
          await this.removeAbandoned().catch(() => undefined);
          throw thrown;
        }
        await syncFolder(dirname(target));
      },
      'unknown',
    );
  }

  read(path: string): Promise<Outcome<Uint8Array | undefined>> {
    return attempt('disk.read', path, async () => {
      try {
        return await readFile(join(this.root, path));
      } catch (thrown) {
        if (absent(thrown)) return undefined;
        throw thrown;
      }
    });
  }

  list(folder: string): Promise<Outcome<string[]>> {
    return attempt('disk.list', folder, async () => {
      try {
        return (await readdir(join(this.root, folder)))
          .filter((name) => !name.includes('.aside-'))
          .sort();
      } catch (thrown) {
        if (absent(thrown)) return [];
        throw thrown;
      }
    });
  }

  /**
   * Before the first write into a folder, removes what earlier processes left aside there; one of them may have had the
   * number of this process.
   */
  private async tidy(folder: string): Promise<void> {
    const tidied = this.tidied.get(folder) ?? removeAsides(folder);
    this.tidied.set(folder, tidied);
    try {
      await tidied;
    } catch (thrown) {
      this.tidied.delete(folder);
      throw thrown;
    }
  }

  private async removeAbandoned(): Promise<void> {
    for (const aside of this.abandoned) {
      await rm(aside, { force: true });
      this.abandoned.delete(aside);
    }
  }

  remove(path: string): Promise<Outcome<void>> {
    return attempt('disk.remove', path, () => rm(join(this.root, path), { force: true }));
  }
}
