/**
 * A simulated disk of a given capacity. A file is written aside before it takes the place of the one before, and what a
 * process that died left aside stays until the next process writes. Removals can fail or be slow. The disk notes the most
 * that it ever held, and whether it ever had no room.
 */
import { Right } from 'purify-ts';
import type { Disk } from '../../src/kernel/disk/disk.js';
import { failed } from '../../src/kernel/fault/fault.js';
import { SimDisk } from '../../src/sim/disk.js';
import { type Host } from '../../src/sim/host.js';
import { type World } from '../../src/sim/world.js';

const ASIDE = '.aside-';

export class CapacityDisk extends SimDisk {
  most = 0;
  ranOut = false;
  removals: 'work' | 'fail' | 'slow' = 'work';
  /** The ms that a slow removal takes. */
  removalTime = 2000;
  private asides = 0;

  constructor(
    private readonly machine: World,
    private readonly capacity: number,
  ) {
    super(machine);
  }

  get used(): number {
    return [...this.files.values()].reduce((sum, { length }) => sum + length, 0);
  }

  override open(host: Host): Disk {
    const inner = super.open(host);
    let tidied = false;
    return {
      read: (path) => inner.read(path),
      list: async (folder) =>
        (await inner.list(folder)).map((names) => names.filter((name) => !name.includes(ASIDE))),
      write: async (path, bytes) => {
        if (!tidied) this.removeAsides();
        tidied = true;
        if (this.used + bytes.length > this.capacity) {
          this.ranOut = true;
          return failed('disk.write', path, 'ENOSPC', 'unknown');
        }
        const aside = `${path}${ASIDE}${++this.asides}`;
        this.files.set(aside, bytes);
        this.most = Math.max(this.most, this.used);
        const written = await inner.write(path, bytes);
        this.files.delete(aside);
        return written;
      },
      remove: async (path) => {
        if (this.removals === 'fail') return failed('disk.remove', path, 'EIO');
        if (this.removals === 'slow')
          await new Promise<void>((resolve) => this.machine.at(this.removalTime, resolve));
        return host.dead ? Right(undefined) : inner.remove(path);
      },
    };
  }

  private removeAsides(): void {
    for (const path of [...this.files.keys()]) if (path.includes(ASIDE)) this.files.delete(path);
  }
}
