/** Watches a soak while it runs: counters of broken invariants, and spans in which this very process stood still. */
import { setTimeout as pause } from 'node:timers/promises';
import type { Fleet } from '../fleet.js';
import { readMetrics, violationsIn } from './metrics.js';
import { EVERYONE, type Incidents, type SoakFinding } from './record.js';

const COUNT_EVERY = 1000;
const TICK = 50;
const STANDSTILL = 600;

/** Watches the processes and itself. */
export class Vigil {
  private readonly violations = new Map<string, number>();
  private readonly stop = new AbortController();
  private readonly running: Array<Promise<void>> = [];
  standstills = 0;

  constructor(
    private readonly fleet: Fleet,
    private readonly incidents: Incidents,
  ) {}

  start(): void {
    this.running.push(this.watchCounters(), this.watchItself());
  }

  async finish(): Promise<void> {
    this.stop.abort();
    await Promise.all(this.running);
    await this.count();
  }

  findings(): SoakFinding[] {
    return [...this.violations].map(([counter, value]) => ({
      rule: 'invariant-violated',
      subject: counter,
      detail: `counted ${value}`,
    }));
  }

  private async watchCounters(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await this.count();
      await this.wait(COUNT_EVERY);
    }
  }

  private async count(): Promise<void> {
    await Promise.all(
      [...this.fleet.operators].map(async ([name, address]) => {
        for (const [metric, value] of violationsIn((await readMetrics(address)) ?? new Map())) {
          const counter = `${name} ${metric}`;
          this.violations.set(counter, Math.max(value, this.violations.get(counter) ?? 0));
        }
      }),
    );
  }

  private async watchItself(): Promise<void> {
    for (let last = Date.now(); !this.stop.signal.aborted; last = Date.now()) {
      await this.wait(TICK);
      if (Date.now() - last < STANDSTILL) continue;
      this.standstills += 1;
      this.incidents.note('harness', EVERYONE, last);
    }
  }

  private async wait(duration: number): Promise<void> {
    await pause(duration, undefined, { signal: this.stop.signal }).catch(() => undefined);
  }
}
