/** One chat request on its way: what is known of it, where its answer goes, and how it may end. */
import type { Placed } from '../doorway/shape.js';
import { blocksOf, rootHash, type Block, type Namespace } from '../index/hash.js';
import type { Moment } from '../kernel/clock/clock.js';
import { fault, type Fault } from '../kernel/fault/fault.js';
import type { Chart } from './chart.js';
import type { CallerRequest } from './request.js';
import type { SseEvent } from './sse.js';

/** Where an answer goes: the caller's connection. */
export interface Sink {
  readonly gone: AbortSignal;
  write(event: SseEvent, engine: string): Promise<boolean>;
  complete(): void;
  broken(reason: Fault): void;
}

/** A request that did not run, or may have, with the status that its caller gets. */
export interface Decline {
  readonly outcome: 'declined' | 'unknown';
  readonly status: number;
  readonly fault: Fault;
  readonly retryAfter: number | undefined;
}

/** How a request ended. */
export type Ending =
  { readonly outcome: 'result' } | { readonly outcome: 'broken'; readonly fault: Fault } | Decline;

/** The bounds that requests are carried within. */
export interface PassageParams {
  readonly inFlight: number;
  readonly silence: number;
  readonly blockBytes: number;
  readonly blockTokens: number;
}

/** What a caller has of a stream so far. */
export interface Handed {
  text: string;
  pieces: number;
  id: string;
  weightGeneration: string;
  /** Whether all of it is plain text, and the stream was not yet at its finish. */
  plain: boolean;
}

/** A request that was admitted. */
export interface Trip {
  readonly request: CallerRequest;
  readonly chart: Chart;
  readonly sink: Sink;
  readonly placed: Placed;
  readonly repeatable: boolean;
  readonly firstToken: Moment;
  readonly total: Moment;
  readonly prompt: Uint8Array;
  readonly tokens: number;
  readonly reply: number;
  readonly blocks: Map<string, readonly Block[]>;
  readonly avoid: Set<string>;
  readonly handed: Handed;
  /** Whether this goes on with a stream that broke at another engine. */
  readonly resumed: boolean;
  /** Names this request among all that may come under its id. */
  readonly owner: string;
  claimed: boolean;
}

/** What came of one attempt at one engine. */
export type Leg =
  | { readonly kind: 'over'; readonly ending: Ending }
  | { readonly kind: 'broken'; readonly fault: Fault }
  | { readonly kind: 'again'; readonly fault: Fault; readonly sent: boolean };

/** An attempt that ended the request. */
export const over = (ending: Ending): Leg => ({ kind: 'over', ending });

/** The word that a request certainly did not run, with the status that its caller gets. */
export const decline = (
  step: string,
  peer: string,
  reason: string,
  status: number,
  retryAfter?: number,
): Decline => ({ outcome: 'declined', status, fault: fault(step, peer, reason), retryAfter });

/** The namespace of a request's prompt at engines of one weight generation. */
export const namespaceOf = ({ request }: Trip, weightGeneration: string): Namespace => ({
  model: request.model,
  weightGeneration,
  firm: request.firm,
});

/** The blocks of a request's prompt in a namespace, made once. */
export const blocksIn = (
  trip: Trip,
  namespace: Namespace,
  blockBytes: number,
): readonly Block[] => {
  const known = trip.blocks.get(namespace.weightGeneration);
  if (known) return known;
  const made = blocksOf(trip.prompt, blockBytes, rootHash(namespace));
  trip.blocks.set(namespace.weightGeneration, made);
  return made;
};
