/** Whether a disk may be lost: all voters hold the newest configuration, as a majority of the core machines sees it. */
import type { Fleet } from '../fleet.js';
import { readMetrics, type Metrics } from './metrics.js';

/** After a loss, counts that are older than the loss must have been taken anew, in ms. */
const FRESH_AFTER = 5000;

/** Allows one loss of a disk at a time. */
export class Redundancy {
  private isTaken = false;
  private since = -Infinity;

  constructor(
    private readonly fleet: Fleet,
    private readonly cores: () => readonly string[],
    private readonly voters: number,
  ) {}

  /** Whether a disk may be lost now; the next one only after `give`, and once all voters hold everything again. */
  async take(): Promise<boolean> {
    if (this.isTaken || performance.now() - this.since < FRESH_AFTER) return false;
    this.isTaken = true;
    if (await this.isFull()) return true;
    this.isTaken = false;
    return false;
  }

  give(): void {
    this.isTaken = false;
    this.since = performance.now();
  }

  async isFull(): Promise<boolean> {
    const names = this.cores();
    const told = await Promise.all(
      names.map((name) => readMetrics(this.fleet.operators.get(name)!)),
    );
    return told.filter((metrics) => this.saysFull(metrics)).length > names.length / 2;
  }

  private saysFull(metrics: Metrics | undefined): boolean {
    const voters = metrics?.get('rudderridge_voters');
    const redundancy = metrics?.get('rudderridge_redundancy');
    return voters === this.voters && redundancy === this.voters;
  }
}
