/** What the parts of forwarding hand each other: one request on its way, and how a send to an engine ended. */
import type { Moment } from '../kernel/clock/clock.js';
import type { Fault } from '../kernel/fault/fault.js';
import type { Ticket } from '../place/placer.js';
import type { Engine } from '../pool/engine.js';
import type { Route, Service } from '../route/shape.js';
import type { Caller } from './caller.js';
import type { ForwardChart } from './chart.js';
import type { Prompt } from './dialect.js';
import type { Answer } from './answer.js';

export interface ForwardParams {
  /** Bytes of a body where the configuration names no bound, and of all bodies held at once. */
  readonly bodyBytes: number;
  readonly heldBytes: number;
  /** ms that a request may be held where neither its caller nor its route says so. */
  readonly timeout: number;
  /**
   * A repeatable request of at most `hedgeTokens` that got no byte within `impatience` of its target, nor within
   * `surprise` times what its first token was expected to take, is sent to a second engine beside the first.
   */
  readonly impatience: number;
  readonly hedgeTokens: number;
  readonly surprise: number;
  /** Of the longest gap (at least `gapLeast` ms), after which a stream that may go on elsewhere is taken for broken. */
  readonly gapShare: number;
  readonly gapLeast: number;
}

/** The engines that stand in the list right now. */
export interface Pool {
  placed(): ReadonlyMap<string, Engine>;
}

export interface Head {
  readonly kind: 'head';
  readonly answer: Answer;
  readonly ticket: Ticket;
  readonly first: Uint8Array | undefined;
  readonly whole: boolean;
}

/** How far a stream that may be taken up again was handed on. */
export interface Trail {
  last: string | undefined;
  handed: boolean;
}

/** How one send ended before anything of its answer was handed on. */
export type Attempt =
  | Head
  | { readonly kind: 'unsent' }
  | { readonly kind: 'not-run'; readonly retryAfter: number | undefined }
  | { readonly kind: 'unknown'; readonly fault: Fault }
  | { readonly kind: 'left' };

export interface Job {
  readonly caller: Caller;
  readonly route: Route;
  readonly service: Service;
  readonly id: string;
  readonly body: Buffer | undefined;
  readonly prompt: Prompt | undefined;
  readonly chart: ForwardChart;
  readonly begun: Moment;
  readonly limit: Moment;
  readonly tried: Set<string>;
  sends: number;
  unsent: number;
}

/** How often a request may meet engines that can't be reached. */
export const UNSENT_BOUND = 4;

/** When to come back, in ms, where nothing better is known. */
export const DEFAULT_WAIT = 250;

/** The most engines that one try may be sent to. */
export const attemptsOf = (route: Route): number => Math.max(1, route.attempts ?? 1);
