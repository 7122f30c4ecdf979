/**
 * When this process last met planned work: a changed configuration that came into force, a signal to read its settings
 * again, a signal to stop. What goes wrong is logged with these ages, so that a cause can be told from a coincidence.
 */
import type { Clock, Duration, Moment } from '../kernel/clock/clock.js';

/** The kinds of planned work. */
export type PlannedKind = 'configuration' | 'reload' | 'stop';

/** Remembers the last time of each kind. */
export class PlannedWork {
  private readonly latest = new Map<PlannedKind, Moment>();

  constructor(private readonly clock: Clock) {}

  note(kind: PlannedKind): void {
    this.latest.set(kind, this.clock.now());
  }

  /** ms since the last one; undefined when there was none. */
  age(kind: PlannedKind): Duration | undefined {
    const at = this.latest.get(kind);
    return at === undefined ? undefined : this.clock.now() - at;
  }
}
