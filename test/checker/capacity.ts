/**
 * A simulated disk of a given capacity. Removals can fail or be slow. The disk notes the most that it ever held, and
 * whether it ever had no room.
 */
import { SimDisk, type Step, type StepKind } from '../../src/sim/disk.js';
import type { World } from '../../src/sim/world.js';

/** The ms that a slow removal takes. */
const REMOVAL_TIME = 2000;

export class CapacityDisk extends SimDisk {
  most = 0;
  ranOut = false;
  removals: 'work' | 'fail' | 'slow' = 'work';

  constructor(
    world: World,
    private readonly capacity: number,
  ) {
    super(world);
  }

  get used(): number {
    return this.files.values().reduce((sum, { length }) => sum + length, 0);
  }

  protected override refusal(step: Step): string {
    if (step.kind === 'remove' && this.removals === 'fail') return 'EIO';
    if (step.kind !== 'write') return super.refusal(step);
    const used = this.used + step.bytes;
    if (used > this.capacity) {
      this.ranOut = true;
      return 'ENOSPC';
    }
    this.most = Math.max(this.most, used);
    return super.refusal(step);
  }

  protected override duration(kind: StepKind): number {
    return kind === 'remove' && this.removals === 'slow' ? REMOVAL_TIME : super.duration(kind);
  }
}
