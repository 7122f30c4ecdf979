/** Faults of the disks of core machines. */
import type { FaultTable, FaultTarget } from './fault.js';

const USUAL_LATENCY = 2;
const SLOW_LATENCY = 120;
const RESTART_AFTER_FULL = 200;

export class DiskFaults {
  readonly table: FaultTable = [
    ['disk-stalled', (lasts) => this.stall(lasts)],
    ['disk-full', (lasts) => this.fill(lasts)],
    ['disk-slow', (lasts) => this.slowDown(lasts)],
  ];

  constructor(private readonly target: FaultTarget) {}

  private stall(lasts: number): void {
    const { stage } = this.target;
    const disk = stage.disks.get(stage.some(stage.cores)[0])!;
    disk.stalled = true;
    this.target.during(lasts, () => (disk.stalled = false));
  }

  private fill(lasts: number): void {
    const { stage } = this.target;
    const [name] = stage.some(stage.cores);
    const disk = stage.disks.get(name)!;
    disk.full = true;
    this.target.during(lasts, () => {
      disk.full = false;
      if (stage.cores.has(name)) stage.killCore(name, RESTART_AFTER_FULL);
    });
  }

  private slowDown(lasts: number): void {
    const { stage } = this.target;
    const setLatency = (latency: number): void => {
      for (const disk of stage.disks.values()) disk.latency = latency;
    };
    setLatency(SLOW_LATENCY);
    this.target.during(lasts, () => setLatency(USUAL_LATENCY));
  }
}
