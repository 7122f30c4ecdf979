/** What a run of the batch simulation is judged by. */
import type { Kind } from './traffic.js';

const at = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;

class KindTally {
  owed = 0;
  inTime = 0;
  served = 0;
  refused = 0;
  lost = 0;
  readonly firsts: number[] = [];
}

export interface KindFigures {
  readonly owed: number;
  /** Shares of what was owed. */
  readonly inTime: number;
  readonly served: number;
  readonly refusals: number;
  readonly lost: number;
  /** Milliseconds from the first try to the first event. */
  readonly p50: number;
  readonly p99: number;
}

export interface Figures {
  readonly long: KindFigures;
  readonly short: KindFigures;
  /** Worth earned of worth owed, a short one 3 in time and 0.9 late, a long one 2 and 0.6. */
  readonly worth: number;
  /** The same over the worst two seconds. */
  readonly worst: number;
  /** Prompt tokens read of those asked for. */
  readonly read: number;
  /** Tokens of shared parts found kept, of those asked for. */
  readonly hits: number;
  /** The mean over time of the largest backlog of unread tokens at an engine less the mean one, in tokens. */
  readonly herd: number;
  readonly putBack: number;
  /** Of the requests sent, those sent to an engine of the router's own zone. */
  readonly local: number;
  /**
   * Variance by mean of what is sent to an engine in a tenth of a second, over all engines: 1 where each request goes
   * its way by chance alone, more where many run to one engine at once.
   */
  readonly dispersion: number;
}

const SLICE = 100;

const WINDOW = 2000;
const WORTH = new Map<Kind, readonly [number, number]>([
  ['long', [2, 0.6]],
  ['short', [3, 0.9]],
]);

export class Tally {
  private readonly kinds = new Map<Kind, KindTally>([
    ['long', new KindTally()],
    ['short', new KindTally()],
  ]);
  private readonly windows = new Map<number, { owed: number; earned: number }>();
  private shared = 0;
  private kept = 0;
  private lead = 0;
  private looks = 0;
  private readonly slices = new Map<string, Map<number, number>>();
  private sends = 0;
  private locals = 0;
  read = 0;
  prompted = 0;
  putBack = 0;

  owed(kind: Kind, now: number): void {
    this.kinds.get(kind)!.owed += 1;
    this.window(now).owed += WORTH.get(kind)![0];
  }

  first(kind: Kind, took: number): void {
    this.kinds.get(kind)!.firsts.push(took);
  }

  served(kind: Kind, began: number, inTime: boolean): void {
    const tally = this.kinds.get(kind)!;
    tally.served += 1;
    if (inTime) tally.inTime += 1;
    this.window(began).earned += WORTH.get(kind)![inTime ? 0 : 1];
  }

  refused(kind: Kind): void {
    this.kinds.get(kind)!.refused += 1;
  }

  lost(kind: Kind): void {
    this.kinds.get(kind)!.lost += 1;
  }

  sent(engine: string, now: number, local: boolean): void {
    const slices = this.slices.get(engine) ?? new Map<number, number>();
    this.slices.set(engine, slices);
    const at = Math.floor(now / SLICE);
    slices.set(at, (slices.get(at) ?? 0) + 1);
    this.sends += 1;
    if (local) this.locals += 1;
  }

  seen(shared: number, kept: number): void {
    this.shared += shared;
    this.kept += kept;
  }

  look(unread: readonly number[]): void {
    this.looks += 1;
    this.lead += Math.max(...unread) - unread.reduce((sum, each) => sum + each, 0) / unread.length;
  }

  get figures(): Figures {
    const of = (kind: Kind): KindFigures => {
      const { owed, inTime, served, refused, lost, firsts } = this.kinds.get(kind)!;
      const sorted = [...firsts].sort((a, b) => a - b);
      return {
        owed,
        inTime: inTime / owed,
        served: served / owed,
        refusals: refused / owed,
        lost: lost / owed,
        p50: at(sorted, 0.5),
        p99: at(sorted, 0.99),
      };
    };
    const windows = [...this.windows.values()];
    const sum = (pick: (window: { owed: number; earned: number }) => number): number =>
      windows.reduce((total, window) => total + pick(window), 0);
    return {
      long: of('long'),
      short: of('short'),
      worth: sum(({ earned }) => earned) / sum(({ owed }) => owed),
      worst: Math.min(...windows.map(({ earned, owed }) => earned / owed)),
      read: this.read / this.prompted,
      hits: this.kept / this.shared,
      herd: this.lead / this.looks,
      putBack: this.putBack,
      local: this.locals / this.sends,
      dispersion: this.dispersion,
    };
  }

  private get dispersion(): number {
    let sum = 0;
    for (const slices of this.slices.values()) {
      const first = Math.min(...slices.keys());
      const count = Math.max(...slices.keys()) - first + 1;
      const mean = [...slices.values()].reduce((total, each) => total + each, 0) / count;
      const squares = [...slices.values()].reduce((total, each) => total + each * each, 0) / count;
      sum += (squares - mean * mean) / mean;
    }
    return sum / this.slices.size;
  }

  private window(now: number): { owed: number; earned: number } {
    const key = Math.floor(now / WINDOW);
    const known = this.windows.get(key);
    if (known) return known;
    const made = { owed: 0, earned: 0 };
    this.windows.set(key, made);
    return made;
  }
}
