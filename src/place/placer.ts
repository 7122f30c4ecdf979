/**
 * What forwarding asks of placement: an engine for a request now, or the word that none can take it in time and when to
 * come back. A ticket stands for one request at one engine from the moment it is sent, and is told what is seen of it.
 */
import type { Prompt } from '../forward/dialect.js';
import type { Engine } from '../pool/engine.js';
import type { Service } from '../route/shape.js';

/** A request that is to be placed. */
export interface PlaceAsk {
  readonly service: Service;
  /** Undefined for a request that tells nothing of a prompt. */
  readonly prompt: Prompt | undefined;
  /** The route's rank; 0 is the highest. */
  readonly priority: number;
  /** Milliseconds from now in which the first event should come, and the longest the request may be held. */
  readonly target: number;
  readonly deadline: number;
  readonly affinity: boolean;
}

/** How a request ended at its engine: whole; turned away unrun; failed in any other way; or given up by its caller. */
export type TicketEnd = 'whole' | 'turned-away' | 'failed' | 'left';

/** A request at an engine. */
export interface Ticket {
  readonly engine: Engine;
  /** 0 to 9, 0 first; what the engine is told. */
  readonly urgency: number;
  /** Milliseconds in which the first token was expected, where that is estimated. */
  readonly expected?: number;
  /** The head of the answer came. */
  head(): void;
  /** Bytes of the body came; the first call marks the end of the prefill. */
  piece(): void;
  end(how: TicketEnd): void;
}

/** A ticket, or when to come back. */
export type Placement =
  | { readonly kind: 'placed'; readonly ticket: Ticket }
  | { readonly kind: 'full'; readonly retryAfter: number; readonly reason: string };

/** Chooses engines for opaque requests. */
export interface Placer {
  /** `engines` are those that may serve the request (of the service, not leaving, not yet tried). */
  place(ask: PlaceAsk, engines: readonly Engine[]): Placement;
  /** The list changed: what is no longer on it is forgotten. */
  listed(engines: ReadonlyMap<string, Engine>): void;
}
