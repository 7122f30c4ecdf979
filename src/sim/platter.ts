/**
 * What is on a simulated disk, as running processes see it and as it is after a loss of power. The bytes written to a file
 * are sure to stay once the file is synced; until then each may be present, absent or torn. A name that was made,
 * changed or removed is sure to stay so once its folder is synced; until then each such change is kept or lost by itself.
 */
import { dirname } from 'node:path';
import type { Random } from '../kernel/random/random.js';

/** A file without its name. */
export interface FileNode {
  bytes: Uint8Array;
  /** What of it is sure to stay. */
  synced: Uint8Array;
}

interface Names {
  readonly files: Map<string, FileNode>;
  readonly folders: Set<string>;
}

interface NameChange {
  readonly folder: string;
  readonly apply: (names: Names) => void;
}

const EMPTY = new Uint8Array(0);
const noNames = (): Names => ({ files: new Map(), folders: new Set(['/']) });

/** Files and folders by absolute path, seen and durable. */
export class Platter {
  private seen: Names = noNames();
  private durable: Names = noNames();
  private changes: NameChange[] = [];

  file(path: string): FileNode | undefined {
    return this.seen.files.get(path);
  }

  get paths(): string[] {
    return [...this.seen.files.keys()];
  }

  hasFolder(path: string): boolean {
    return this.seen.folders.has(path);
  }

  /** The names right below a folder. */
  list(folder: string): Array<{ name: string; isFolder: boolean }> {
    const below = (path: string): boolean => path !== folder && dirname(path) === folder;
    const nameOf = (path: string): string => path.slice(folder === '/' ? 1 : folder.length + 1);
    return [
      ...[...this.seen.folders]
        .filter(below)
        .map((path) => ({ name: nameOf(path), isFolder: true })),
      ...this.paths.filter(below).map((path) => ({ name: nameOf(path), isFolder: false })),
    ];
  }

  makeFolder(path: string): void {
    this.change(dirname(path), ({ folders }) => folders.add(path));
  }

  create(path: string): FileNode {
    const node: FileNode = { bytes: EMPTY, synced: EMPTY };
    this.change(dirname(path), ({ files }) => files.set(path, node));
    return node;
  }

  rename(from: string, to: string): void {
    const node = this.file(from);
    if (!node) throw Object.assign(new Error(`ENOENT ${from}`), { code: 'ENOENT' });
    this.change(dirname(to), ({ files }) => {
      if (files.get(from) === node) files.delete(from);
      files.set(to, node);
    });
  }

  remove(path: string): void {
    this.change(dirname(path), ({ files }) => files.delete(path));
  }

  syncFolder(folder: string): void {
    for (const { apply } of this.changes.filter((change) => change.folder === folder))
      apply(this.durable);
    this.changes = this.changes.filter((change) => change.folder !== folder);
  }

  /** Each change of a name since the sync of its folder is kept or lost; unsynced bytes are present, absent or torn. */
  losePower(random: Random): void {
    for (const { apply } of this.changes) if (random.fraction() < 0.5) apply(this.durable);
    this.changes = [];
    const { files, folders } = this.durable;
    for (const [path, node] of files) {
      if (!folders.has(dirname(path))) files.delete(path);
      else if (node.bytes !== node.synced) files.set(path, committed(node, random));
    }
    this.seen = { files: new Map(files), folders: new Set(folders) };
  }

  /** Puts bytes under a name, durably, as from outside. */
  put(path: string, bytes: Uint8Array): void {
    const node = { bytes, synced: bytes };
    for (const { files, folders } of [this.seen, this.durable]) {
      files.set(path, node);
      for (let folder = dirname(path); folder !== '/'; folder = dirname(folder))
        folders.add(folder);
    }
  }

  /** Takes a name away, durably, as from outside. */
  takeAway(path: string): boolean {
    this.durable.files.delete(path);
    return this.seen.files.delete(path);
  }

  /** All is gone. */
  clear(): void {
    this.seen = noNames();
    this.durable = noNames();
    this.changes = [];
  }

  private change(folder: string, apply: (names: Names) => void): void {
    apply(this.seen);
    this.changes.push({ folder, apply });
  }
}

/** What is left of a file that was not synced. */
const committed = ({ bytes, synced }: FileNode, random: Random): FileNode => {
  const draw = random.fraction();
  const torn = bytes.subarray(0, Math.floor(bytes.length * random.fraction()));
  const left = draw < 1 / 3 ? bytes : draw < 2 / 3 ? synced : torn;
  return { bytes: left, synced: left };
};
