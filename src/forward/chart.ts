/**
 * The way of one opaque request through the process: named states and the steps allowed between them. Each step is
 * appended to the journal; an illegal one is appended as a fault and leaves the state as it was.
 */
import type { Journal } from '../kernel/journal/journal.js';

export type ForwardState =
  | 'received'
  | 'routed'
  | 'read'
  | 'placed'
  | 'sent'
  | 'answered'
  | 'streaming'
  | 'resuming'
  | 'complete'
  | 'refused'
  | 'unknown'
  | 'broken'
  | 'left';

const steps = new Map<ForwardState, ReadonlySet<ForwardState>>([
  ['received', new Set<ForwardState>(['routed', 'refused', 'left'])],
  ['routed', new Set<ForwardState>(['read', 'refused', 'left'])],
  ['read', new Set<ForwardState>(['placed', 'refused', 'unknown', 'left'])],
  ['placed', new Set<ForwardState>(['sent', 'read', 'left'])],
  ['sent', new Set<ForwardState>(['answered', 'read', 'refused', 'unknown', 'left'])],
  ['answered', new Set<ForwardState>(['streaming', 'complete', 'read', 'unknown', 'left'])],
  ['streaming', new Set<ForwardState>(['complete', 'broken', 'resuming', 'left'])],
  ['resuming', new Set<ForwardState>(['streaming', 'complete', 'broken', 'left'])],
  ['complete', new Set()],
  ['refused', new Set()],
  ['unknown', new Set()],
  ['broken', new Set()],
  ['left', new Set()],
]);

export type ForwardEvent =
  | {
      readonly kind: 'step';
      readonly request: string;
      readonly from: ForwardState;
      readonly to: ForwardState;
      readonly peer: string;
    }
  | {
      readonly kind: 'fault';
      readonly request: string;
      readonly from: ForwardState;
      readonly to: ForwardState;
    };

export class ForwardChart {
  private held: ForwardState = 'received';

  constructor(
    readonly request: string,
    private readonly journal: Journal<ForwardEvent>,
  ) {}

  get state(): ForwardState {
    return this.held;
  }

  get ended(): boolean {
    return steps.get(this.held)!.size === 0;
  }

  step(to: ForwardState, peer = ''): boolean {
    const from = this.held;
    if (!steps.get(from)!.has(to)) {
      this.journal.append({ kind: 'fault', request: this.request, from, to });
      return false;
    }
    this.held = to;
    this.journal.append({ kind: 'step', request: this.request, from, to, peer });
    return true;
  }
}
