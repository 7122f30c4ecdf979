/**
 * The one data folder. A file is written aside, synced, renamed, and its folder synced before the call returns: only
 * then is it durable. Reading gives what is there; callers judge it by digest. What a write that failed, or that the end of
 * a process cut short, left aside is taken away, so that it does not fill the disk.
 *
 * A process that was killed may have left a name that the next process reads although its folder was never synced, and that a
 * loss of power would still take away. `sync` makes all such names durable; nothing that was read before may be relied on
 * until it returned.
 */
import { Injectable } from '@nestjs/common';
import { dirname, join } from 'node:path';
import { attempt, type Outcome } from '../fault/fault.js';
import { NodeFileSystem, type FileSystem } from './file-system.js';

/** Files of a node by their path below its data folder. */
export interface Disk {
  write(path: string, bytes: Uint8Array): Promise<Outcome<void>>;
  read(path: string): Promise<Outcome<Uint8Array | undefined>>;
  list(folder: string): Promise<Outcome<string[]>>;
  /** Takes a file away, sooner or later; it may be there again after a loss of power. */
  remove(path: string): Promise<Outcome<void>>;
  /** Makes the names that earlier processes left durable. */
  sync(): Promise<Outcome<void>>;
}

const ASIDE = '.aside-';
const FORBIDDEN: readonly unknown[] = ['EACCES', 'EPERM'];

const isForbidden = (thrown: unknown): boolean =>
  FORBIDDEN.includes((thrown as NodeJS.ErrnoException).code);

/** The files of a data folder on a file system. */
@Injectable()
export class FolderDisk implements Disk {
  private asides = 0;
  private readonly prepared = new Map<string, Promise<void>>();
  /** Files written aside whose removal failed. */
  private readonly abandoned = new Set<string>();

  constructor(
    private readonly root: string,
    private readonly files: FileSystem = new NodeFileSystem(),
  ) {}

  write(path: string, bytes: Uint8Array): Promise<Outcome<void>> {
    return attempt('disk.write', path, () => this.replace(join(this.root, path), bytes), 'unknown');
  }

  read(path: string): Promise<Outcome<Uint8Array | undefined>> {
    return attempt('disk.read', path, () => this.files.read(join(this.root, path)));
  }

  list(folder: string): Promise<Outcome<string[]>> {
    return attempt('disk.list', folder, async () => {
      const entries = await this.files.list(join(this.root, folder));
      return entries
        .map(({ name }) => name)
        .filter((name) => !name.includes(ASIDE))
        .sort();
    });
  }

  remove(path: string): Promise<Outcome<void>> {
    return attempt('disk.remove', path, () => this.files.remove(join(this.root, path)));
  }

  sync(): Promise<Outcome<void>> {
    return attempt('disk.sync', this.root, async () => {
      await this.files.makeFolder(this.root);
      await this.syncAbove();
      await this.files.syncFolder(this.root);
      for (const { name, isFolder } of await this.files.list(this.root))
        if (isFolder) await this.files.syncFolder(join(this.root, name));
    });
  }

  /** Syncs the name of the data folder itself, unless it lies in a folder of another user, who then made it. */
  private async syncAbove(): Promise<void> {
    try {
      await this.files.syncFolder(dirname(this.root));
    } catch (thrown) {
      if (!isForbidden(thrown)) throw thrown;
    }
  }

  private async replace(target: string, bytes: Uint8Array): Promise<void> {
    const folder = dirname(target);
    const aside = `${target}${ASIDE}${process.pid}-${++this.asides}`;
    await this.prepare(folder);
    await this.removeAbandoned();
    try {
      await this.writeSynced(aside, bytes);
      await this.files.rename(aside, target);
    } catch (thrown) {
      this.abandoned.add(aside);
      await this.removeAbandoned().catch(() => undefined);
      throw thrown;
    }
    await this.files.syncFolder(folder);
  }

  private async writeSynced(path: string, bytes: Uint8Array): Promise<void> {
    const file = await this.files.create(path);
    try {
      await file.write(bytes);
      await file.sync();
    } finally {
      await file.close();
    }
  }

  /** Once for each folder, before the first write into it; all writes wait for it. */
  private async prepare(folder: string): Promise<void> {
    const prepared = this.prepared.get(folder) ?? this.makeAndTidy(folder);
    this.prepared.set(folder, prepared);
    try {
      await prepared;
    } catch (thrown) {
      this.prepared.delete(folder);
      throw thrown;
    }
  }

  /**
   * Makes a folder durable, and removes what earlier processes left aside there; one of them may have had the number of this
   * process.
   */
  private async makeAndTidy(folder: string): Promise<void> {
    const made = await this.files.makeFolder(folder);
    if (made) await this.files.syncFolder(dirname(made));
    const left = (await this.files.list(folder)).filter(({ name }) => name.includes(ASIDE));
    await Promise.all(left.map(({ name }) => this.files.remove(join(folder, name))));
  }

  private async removeAbandoned(): Promise<void> {
    for (const aside of this.abandoned) {
      await this.files.remove(aside);
      this.abandoned.delete(aside);
    }
  }
}
