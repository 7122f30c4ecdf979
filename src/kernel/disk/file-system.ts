/**
 * The steps of a file system that durability is made of. What was written is sure to be there after a loss of power only
 * once its file is synced, and a name that was made, changed or removed only once its folder is synced.
 */
import { mkdir, open, readFile, readdir, rename, unlink, type FileHandle } from 'node:fs/promises';

/** A file that is open for writing. */
export interface WritableFile {
  write(bytes: Uint8Array): Promise<void>;
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** What lies in a folder. */
export interface FolderEntry {
  readonly name: string;
  readonly isFolder: boolean;
}

/** One step at a time; a step that fails throws the system's error. */
export interface FileSystem {
  /** Makes a folder and those above it; the uppermost one that it made, if any. */
  makeFolder(path: string): Promise<string | undefined>;
  /** Opens a new or emptied file. */
  create(path: string): Promise<WritableFile>;
  rename(from: string, to: string): Promise<void>;
  /** Removes a file; one that is not there is no failure. */
  remove(path: string): Promise<void>;
  syncFolder(path: string): Promise<void>;
  /** Nothing for a file that is not there. */
  read(path: string): Promise<Uint8Array | undefined>;
  /** Nothing for a folder that is not there. */
  list(path: string): Promise<readonly FolderEntry[]>;
}

const OWNER_ONLY = 0o600;

const isAbsent = (thrown: unknown): boolean => (thrown as NodeJS.ErrnoException).code === 'ENOENT';

const writableFile = (handle: FileHandle): WritableFile => ({
  write: (bytes) => handle.writeFile(bytes),
  sync: () => handle.sync(),
  close: () => handle.close(),
});

/** The file system of the machine. */
export class NodeFileSystem implements FileSystem {
  makeFolder(path: string): Promise<string | undefined> {
    return mkdir(path, { recursive: true });
  }

  async create(path: string): Promise<WritableFile> {
    return writableFile(await open(path, 'w', OWNER_ONLY));
  }

  rename(from: string, to: string): Promise<void> {
    return rename(from, to);
  }

  async remove(path: string): Promise<void> {
    try {
      await unlink(path);
    } catch (thrown) {
      if (!isAbsent(thrown)) throw thrown;
    }
  }

  async syncFolder(path: string): Promise<void> {
    const handle = await open(path, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }

  async read(path: string): Promise<Uint8Array | undefined> {
    try {
      return await readFile(path);
    } catch (thrown) {
      if (isAbsent(thrown)) return undefined;
      throw thrown;
    }
  }

  async list(path: string): Promise<readonly FolderEntry[]> {
    try {
      const entries = await readdir(path, { withFileTypes: true });
      return entries.map((entry) => ({ name: entry.name, isFolder: entry.isDirectory() }));
    } catch (thrown) {
      if (isAbsent(thrown)) return [];
      throw thrown;
    }
  }
}
