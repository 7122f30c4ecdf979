/**
 * What the stand-ins for opaque requests note down for the judge: engines every arrival and what they made of it,
 * callers every try and what they were told. Moments are ms of the wall clock, the same for all processes of a machine.
 */
import { createHash } from 'node:crypto';

/** How an arrival ended at its engine; `left` when the connection closed under it. */
export type ArrivalEnd = 'refused' | 'running' | 'whole' | 'failed' | 'cut' | 'left';

/** A request that reached an engine. */
export interface Arrival {
  readonly engine: string;
  readonly service: string;
  readonly id: string;
  readonly digest: string;
  readonly method: string;
  readonly target: string;
  readonly host: string;
  /** Field names and values in turn, as they came. */
  readonly fields: readonly string[];
  readonly bytes: number;
  readonly at: number;
  readonly connection: number;
  readonly probe: boolean;
  /** The id of the last event that the asker holds; 0 without. */
  readonly after: number;
  readonly urgency: number;
  /** When it got a slot; 0 while it never did. */
  ran: number;
  /** Prompt tokens that had to be read, and those found in the cache. */
  read: number;
  hits: number;
  status: number;
  seal: string;
  /** Events of a stream from `after + 1` on, the last of them maybe cut short, or one body. */
  readonly made: string[];
  readonly stream: boolean;
  /** Events of the whole stream, were it taken from its beginning. */
  readonly total: number;
  ended: ArrivalEnd;
}

/** One try of a request and its answer. */
export interface Try {
  readonly id: string;
  readonly router: string;
  readonly at: number;
  /** The id of the last event that the caller held when it asked; 0 without. */
  readonly after: number;
  ended: number;
  connected: boolean;
  status: number;
  answeredId: string;
  seal: string;
  encoding: string;
  /** ms; undefined when none was told. */
  retryAfter: number | undefined;
  body: string;
  /** Whole events of a stream. */
  readonly events: string[];
  stream: boolean;
  complete: boolean;
  /** Bytes that are no answer, and answers that nobody had asked for. */
  malformed: string;
  surplus: number;
  /** Why it ended without a whole answer. */
  reason: string;
  firstAt: number;
}

/** A request with all its tries. */
export interface Asked {
  readonly name: string;
  readonly host: string;
  readonly target: string;
  readonly method: string;
  readonly digest: string;
  readonly repeatable: boolean;
  readonly resume: boolean;
  readonly began: number;
  readonly tries: Try[];
  outcome: 'served' | 'refused' | 'failed';
}

/** The digest that a request is recognised by at the engine. */
export const digestOfRequest = (method: string, target: string, body: Uint8Array): string =>
  createHash('sha256').update(`${method} ${target}\n`).update(body).digest('hex').slice(0, 24);

/** The id of a server-sent event; 0 where it has none. */
export const eventId = (event: string): number => Number(/^id: ?(\d+)$/m.exec(event)?.[1] ?? 0);
