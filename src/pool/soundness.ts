/**
 * Soundness of engines as this node sees it, from outcomes alone: each failure puts an engine aside for a while
 * that doubles, then one request probes it. Suspicion never empties the pool: at most half of the engines that could
 * serve a request are set aside, the longest-suspected coming back first.
 */
import type { Clock, Moment } from '../kernel/clock/clock.js';

const ASIDE_FIRST = 1000;
const ASIDE_MOST = 30_000;
const PROBE = 2000;

interface Record {
  aside: number;
  until: Moment;
}

/** Which engines failed of late and are set aside. */
export class Soundness {
  private readonly records = new Map<string, Record>();

  constructor(private readonly clock: Clock) {}

  good(identifier: string): void {
    this.records.delete(identifier);
  }

  bad(identifier: string): void {
    const record = this.records.get(identifier) ?? {
      aside: ASIDE_FIRST / 2,
      until: -Infinity as Moment,
    };
    record.aside = Math.min(ASIDE_MOST, record.aside * 2);
    record.until = (this.clock.now() + record.aside) as Moment;
    this.records.set(identifier, record);
  }

  /** A request is on its way: when the engine's time aside has passed, this one is the probe, and others wait for it. */
  begin(identifier: string): void {
    const record = this.records.get(identifier);
    if (record && record.until <= this.clock.now())
      record.until = (this.clock.now() + PROBE) as Moment;
  }

  forget(listed: ReadonlyMap<string, unknown>): void {
    for (const identifier of this.records.keys())
      if (!listed.has(identifier)) this.records.delete(identifier);
  }

  /** Whether there is nothing against any engine. */
  get clean(): boolean {
    return this.records.size === 0;
  }

  /** The identifiers to use out of the ones that could serve. */
  usable(identifiers: readonly string[]): Set<string> {
    const now = this.clock.now();
    const until = (identifier: string): Moment => this.records.get(identifier)?.until ?? now;
    const aside = identifiers.filter((identifier) => until(identifier) > now);
    aside.sort((a, b) => until(a) - until(b));
    const most = Math.floor(identifiers.length / 2);
    const out = new Set(aside.slice(Math.max(0, aside.length - most)));
    return new Set(identifiers.filter((identifier) => !out.has(identifier)));
  }
}
