/**
 * Adds up what kinds of work cost this process: how often, how long in all and at the longest, and how many bytes were
 * worked through. Only work without a pause is measured, so the time is the processor's, with what else the machine did
 * meanwhile. A kind that is done within another counts in both.
 */

/** What one kind of work cost since the start. */
export interface WorkCost {
  runs: number;
  milliseconds: number;
  longest: number;
  bytes: number;
}

/** The costs by kind. */
export class WorkMeter<Kind extends string> {
  private readonly table: ReadonlyMap<Kind, WorkCost>;

  constructor(kinds: readonly Kind[]) {
    this.table = new Map(
      kinds.map((kind) => [kind, { runs: 0, milliseconds: 0, longest: 0, bytes: 0 }]),
    );
  }

  /** Does a piece of work and adds up what it cost; `bytesOf` tells from its result how many bytes it worked through. */
  measure<T>(kind: Kind, work: () => T, bytesOf: (result: T) => number = () => 0): T {
    const begun = performance.now();
    const result = work();
    this.add(kind, performance.now() - begun, bytesOf(result));
    return result;
  }

  /** Adds a piece of work that was measured elsewhere. */
  add(kind: Kind, milliseconds: number, bytes = 0): void {
    const cost = this.table.get(kind);
    if (!cost) return;
    cost.runs += 1;
    cost.milliseconds += milliseconds;
    cost.longest = Math.max(cost.longest, milliseconds);
    cost.bytes += bytes;
  }

  /** All kinds, those never done with zeros. */
  get costs(): ReadonlyMap<Kind, Readonly<WorkCost>> {
    return this.table;
  }
}
