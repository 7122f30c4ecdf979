/**
 * Counts what must never be: invariants that the program checks on itself while it runs. Each breach is counted under the
 * invariant's name and logged, so that a test or an alert needs only look at the counts.
 */
import type { Fields, Log } from '../kernel/log/log.js';

/** The violations of one part of the program since its start. */
export class Violations<Invariant extends string> {
  private readonly table: Map<Invariant, number>;
  private sum = 0;

  /** `event` names the log lines. */
  constructor(
    private readonly event: string,
    invariants: readonly Invariant[],
    private readonly log: Log,
  ) {
    this.table = new Map(invariants.map((invariant) => [invariant, 0]));
  }

  /** Counts a violation and logs it. */
  note(invariant: Invariant, fields: Fields = []): void {
    this.sum += 1;
    this.table.set(invariant, (this.table.get(invariant) ?? 0) + 1);
    this.log(this.event, [['invariant', invariant], ...fields]);
  }

  /** How often each invariant was violated; those that held are there with 0. */
  get counts(): ReadonlyMap<Invariant, number> {
    return this.table;
  }

  /** All violations together. */
  get total(): number {
    return this.sum;
  }
}
