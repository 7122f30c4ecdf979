/** What an exchange with an engine gives: the head of an answer, then its pieces, pulled one by one. */
import type { Outcome } from '../kernel/fault/fault.js';
import type { Fields } from './fields.js';

/** A request as it is sent to an engine. */
export interface Outgoing {
  readonly method: string;
  readonly target: string;
  readonly fields: Fields;
  readonly body: Buffer | undefined;
}

/**
 * How long silence is borne, in ms: `soft` while the engine says nothing to this node on any link, since then it may be
 * dead; `hard` in any case.
 */
export interface Patience {
  readonly soft: number;
  readonly hard: number;
}

/** An engine's answer, from its head on. */
export interface Answer {
  readonly status: number;
  readonly fields: Fields;
  /** Whether its end can be told from a broken connection. */
  readonly framed: boolean;
  /** Whether it came whole, to its end. */
  readonly whole: boolean;
  /**
   * The next piece; undefined at the whole answer's end; "unknown" when it broke off, or, as a fault of the kind "silent",
   * when it stayed silent beyond patience, after which it may still go on.
   */
  next(patience: Patience): Promise<Outcome<Uint8Array | undefined>>;
  /** Nothing more of it is wanted, though it is as it should be: the link is kept when the answer came whole. */
  settle(): void;
  /** Gives the answer up and closes the link, also when it came whole. */
  drop(): void;
}
