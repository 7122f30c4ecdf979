/** The disk of a simulated host, which outlives the process that uses it. */
import { Right } from 'purify-ts';
import type { Disk } from '../kernel/disk/disk.js';
import { failed } from '../kernel/fault/fault.js';
import type { Host } from './host.js';
import type { World } from './world.js';

/**
 * A disk that outlives its process. What was synced stays; a write still on its way when power goes is kept or lost by
 * chance. It can be slow, stalled, full, lost or spoilt.
 */
export class SimDisk {
  readonly files = new Map<string, Uint8Array>();
  latency = 2;
  full = false;
  stalled = false;
  writes = 0;
  /** Asked at each write, in order; yes means that power goes at that very moment. */
  powerCut: (write: number) => 'no' | 'before' | 'after' = () => 'no';
  onPowerCut: () => void = () => undefined;

  constructor(private readonly world: World) {}

  lose(): void {
    this.files.clear();
  }

  spoil(path: string): void {
    const bytes = this.files.get(path);
    if (bytes)
      this.files.set(
        path,
        bytes.map((byte, at) => (at === bytes.length - 2 ? byte ^ 0x55 : byte)),
      );
  }

  open(host: Host): Disk {
    return {
      write: (path, bytes) =>
        new Promise((resolve) => {
          const copy = Uint8Array.from(bytes);
          const act = (): void => {
            if (this.stalled) return this.world.at(100, act);
            if (host.dead) {
              if (this.world.random.fraction() < 0.5) this.files.set(path, copy);
              return;
            }
            const cut = this.powerCut(++this.writes);
            if (cut !== 'no') {
              if (cut === 'after') this.files.set(path, copy);
              return this.onPowerCut();
            }
            if (this.full)
              return host.reach(() => resolve(failed('disk.write', path, 'ENOSPC', 'unknown')));
            this.files.set(path, copy);
            host.reach(() => resolve(Right(undefined)));
          };
          this.world.at(this.latency * (0.5 + this.world.random.fraction()), act);
        }),
      read: (path) =>
        new Promise((resolve) => host.later(0.1, () => resolve(Right(this.files.get(path))))),
      remove: (path) =>
        new Promise((resolve) =>
          host.later(0.1, () => {
            this.files.delete(path);
            resolve(Right(undefined));
          }),
        ),
      list: (folder) =>
        new Promise((resolve) =>
          host.later(0.1, () =>
            resolve(
              Right(
                [...this.files.keys()]
                  .filter((path) => path.startsWith(`${folder}/`))
                  .map((path) => path.slice(folder.length + 1))
                  .sort(),
              ),
            ),
          ),
        ),
    };
  }
}
