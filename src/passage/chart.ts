/**
 * The way of one request through the process: named states and the steps allowed between them. Each step is appended
 * to the journal; an illegal one is appended as a fault and leaves the state as it was.
 */
import type { Journal } from '../kernel/journal/journal.js';

/** Where a request stands. */
export type State =
  | 'received'
  | 'matched'
  | 'lined'
  | 'placed'
  | 'sent'
  | 'streaming'
  | 'resuming'
  | 'complete'
  | 'declined'
  | 'unknown'
  | 'broken';

const ways = new Map<State, ReadonlySet<State>>([
  ['received', new Set<State>(['matched', 'declined'])],
  ['matched', new Set<State>(['lined', 'declined', 'unknown'])],
  ['lined', new Set<State>(['placed', 'declined', 'unknown', 'broken'])],
  ['placed', new Set<State>(['sent', 'lined', 'declined', 'unknown', 'broken'])],
  ['sent', new Set<State>(['streaming', 'lined', 'declined', 'unknown', 'broken'])],
  ['streaming', new Set<State>(['complete', 'broken', 'resuming'])],
  ['resuming', new Set<State>(['lined', 'broken'])],
  ['complete', new Set()],
  ['declined', new Set()],
  ['unknown', new Set()],
  ['broken', new Set()],
]);

/** What a request's chart writes to the journal. */
export type PassageEvent =
  | {
      readonly kind: 'step';
      readonly request: string;
      readonly from: State;
      readonly to: State;
      readonly peer: string;
    }
  | { readonly kind: 'fault'; readonly request: string; readonly from: State; readonly to: State }
  | { readonly kind: 'retry'; readonly request: string; readonly peer: string };

/** The state of one request, which moves only by allowed steps. */
export class Chart {
  private held: State = 'received';

  constructor(
    readonly request: string,
    private readonly journal: Journal<PassageEvent>,
  ) {}

  get state(): State {
    return this.held;
  }

  get ended(): boolean {
    return ways.get(this.held)?.size === 0;
  }

  step(to: State, peer = ''): boolean {
    const from = this.held;
    if (!ways.get(from)?.has(to)) {
      this.journal.append({ kind: 'fault', request: this.request, from, to });
      return false;
    }
    this.held = to;
    this.journal.append({ kind: 'step', request: this.request, from, to, peer });
    return true;
  }
}
