/**
 * The disk of a simulated host, which outlives the process that uses it. The program's own disk runs on it, step by step:
 * power can go before each step, and a process that is killed may leave the step that it was in done or not.
 */
import { dirname } from 'node:path';
import { FolderDisk, type Disk } from '../kernel/disk/disk.js';
import type { FileSystem, FolderEntry, WritableFile } from '../kernel/disk/file-system.js';
import type { Host } from './host.js';
import { Platter, type FileNode } from './platter.js';
import type { World } from './world.js';

const ROOT = '/data';
/** How the time of a write is shared between its slow steps; the others take next to none. */
const SYNC_SHARE = 0.6;
const FOLDER_SYNC_SHARE = 0.4;
const QUICK = 0.05;
const STALL_LOOK = 100;
const READ_TIME = 0.1;

/** What a step does. */
export type StepKind =
  'makeFolder' | 'create' | 'write' | 'sync' | 'rename' | 'remove' | 'syncFolder';

/** A step, with the bytes that it writes. */
export interface Step {
  readonly kind: StepKind;
  readonly bytes: number;
}

const errorOf = (code: string): Error => Object.assign(new Error(code), { code });

/** The files of a disk by path below the data folder, for those who look at it or change it from outside. */
export class OutsideView {
  constructor(private readonly platter: Platter) {}

  get(path: string): Uint8Array | undefined {
    return this.platter.file(`${ROOT}/${path}`)?.bytes;
  }

  has(path: string): boolean {
    return this.get(path) !== undefined;
  }

  set(path: string, bytes: Uint8Array): void {
    this.platter.put(`${ROOT}/${path}`, bytes);
  }

  delete(path: string): boolean {
    return this.platter.takeAway(`${ROOT}/${path}`);
  }

  keys(): string[] {
    return this.platter.paths.map((path) => path.slice(ROOT.length + 1));
  }

  values(): Uint8Array[] {
    return this.platter.paths.map((path) => this.platter.file(path)!.bytes);
  }
}

/** A disk that can be slow, stalled, full, lost or corrupt, and whose power can go at any step. */
export class SimDisk {
  private readonly platter = new Platter();
  readonly files = new OutsideView(this.platter);
  latency = 2;
  full = false;
  stalled = false;
  /** Files that were opened for writing, and steps that changed anything, so far. */
  writes = 0;
  steps = 0;
  /** Asked at each write, in order; yes means that power goes before it, or right after it is durable. */
  powerCut: (write: number) => 'no' | 'before' | 'after' = () => 'no';
  /** Asked before each step; yes means that power goes at that very moment. */
  powerCutAtStep: (step: number, kind: StepKind) => boolean = () => false;
  /** Asked at each step; the error code with which it fails, or nothing. */
  failure: (step: Step) => string = () => '';
  /** What ends with the power; the host that uses the disk at least. */
  onPowerCut: () => void = () => undefined;
  private cutsAfterWrite = false;
  private powerLosses = 0;

  constructor(protected readonly world: World) {}

  lose(): void {
    this.platter.clear();
  }

  spoil(path: string): void {
    const bytes = this.files.get(path);
    if (!bytes) return;
    const flipped = bytes.map((byte, at) => (at === bytes.length - 2 ? byte ^ 0x55 : byte));
    this.files.set(path, flipped);
  }

  /** What is not synced is kept, lost or torn, each by itself. */
  losePower(): void {
    this.powerLosses += 1;
    this.platter.losePower(this.world.random);
  }

  open(host: Host): Disk {
    return new FolderDisk(ROOT, this.fileSystem(host));
  }

  /** Why a step is refused now, or nothing. */
  protected refusal(step: Step): string {
    const needsRoom = ['create', 'write', 'makeFolder'].includes(step.kind);
    return this.full && needsRoom ? 'ENOSPC' : this.failure(step);
  }

  /** How long a step takes. */
  protected duration(kind: StepKind): number {
    const spread = 0.5 + this.world.random.fraction();
    if (kind === 'sync') return this.latency * SYNC_SHARE * spread;
    if (kind === 'syncFolder') return this.latency * FOLDER_SYNC_SHARE * spread;
    return QUICK;
  }

  private fileSystem(host: Host): FileSystem {
    const { platter } = this;
    return {
      makeFolder: (path) => this.makeFolder(host, path),
      create: (path) =>
        this.step(host, 'create', 0, () => {
          if (!platter.hasFolder(dirname(path))) throw errorOf('ENOENT');
          return this.writable(host, platter.create(path));
        }),
      rename: (from, to) => this.step(host, 'rename', 0, () => platter.rename(from, to)),
      remove: (path) => this.step(host, 'remove', 0, () => platter.remove(path)),
      syncFolder: (path) => this.step(host, 'syncFolder', 0, () => platter.syncFolder(path)),
      read: (path) => this.look(host, () => platter.file(path)?.bytes),
      list: (path): Promise<readonly FolderEntry[]> => this.look(host, () => platter.list(path)),
    };
  }

  private async makeFolder(host: Host, path: string): Promise<string | undefined> {
    const { platter } = this;
    if (platter.hasFolder(path)) return undefined;
    const above = await this.makeFolder(host, dirname(path));
    await this.step(host, 'makeFolder', 0, () => platter.makeFolder(path));
    return above ?? path;
  }

  private writable(host: Host, node: FileNode): WritableFile {
    return {
      write: (bytes) =>
        this.step(host, 'write', bytes.length, () => {
          node.bytes = Uint8Array.from(bytes);
        }),
      sync: () =>
        this.step(host, 'sync', 0, () => {
          node.synced = node.bytes;
        }),
      close: () => Promise.resolve(),
    };
  }

  private look<T>(host: Host, read: () => T): Promise<T> {
    return new Promise((resolve) => host.later(READ_TIME, () => resolve(read())));
  }

  private step<T>(host: Host, kind: StepKind, bytes: number, act: () => T): Promise<T> {
    const losses = this.powerLosses;
    return new Promise((resolve, reject) => {
      const due = (): void => {
        if (losses !== this.powerLosses) return;
        if (this.stalled) return this.world.at(STALL_LOOK, due);
        if (host.dead) return this.finishDead(act);
        if (this.cutBefore(kind)) return this.cut();
        if (losses !== this.powerLosses) return;
        const refusal = this.refusal({ kind, bytes });
        if (refusal) return host.reach(() => reject(errorOf(refusal)));
        try {
          const done = act();
          if (kind === 'syncFolder' && this.cutsAfterWrite) return this.cut();
          host.reach(() => resolve(done));
        } catch (thrown) {
          host.reach(() => reject(thrown as Error));
        }
      };
      this.world.at(this.duration(kind), due);
    });
  }

  /** The step that a killed process was in was done or not. */
  private finishDead(act: () => unknown): void {
    if (this.world.random.fraction() < 0.5) return;
    try {
      act();
    } catch {
      // Nobody is left to be told.
    }
  }

  private cutBefore(kind: StepKind): boolean {
    const isCut = this.powerCutAtStep(++this.steps, kind);
    if (kind !== 'create') return isCut;
    const moment = this.powerCut(++this.writes);
    this.cutsAfterWrite ||= moment === 'after';
    return isCut || moment === 'before';
  }

  private cut(): void {
    this.cutsAfterWrite = false;
    this.losePower();
    this.onPowerCut();
  }
}
