/** What an exchange with an engine gives: the head of an answer, then its pieces, pulled one by one. */
import type { Duration, Moment } from '../kernel/clock/clock.js';
import type { Outcome } from '../kernel/fault/fault.js';
import type { Fields } from './fields.js';

/** A request as it is sent to an engine. */
export interface Outgoing {
  readonly method: string;
  readonly target: string;
  readonly fields: Fields;
  readonly body: Buffer | undefined;
}

/** An engine's answer, from its head on. */
export interface Answer {
  readonly status: number;
  readonly fields: Fields;
  /** Whether its end can be told from a broken connection. */
  readonly framed: boolean;
  /** Whether it came whole, to its end. */
  readonly whole: boolean;
  /** Waits at most `limit` ms until a piece, or the answer's end, is at hand, and says whether it is. */
  ready(limit: Duration): Promise<boolean>;
  /** When the engine last said anything to this node, on any link. */
  readonly heardAt: Moment;
  /** The next piece; undefined at the whole answer's end; "unknown" when it broke off, or none came within `limit` ms. */
  next(limit: Duration): Promise<Outcome<Uint8Array | undefined>>;
  /** Nothing more of it is wanted, though it is as it should be: the link is kept when the answer came whole. */
  settle(): void;
  /** Gives the answer up and closes the link, also when it came whole. */
  drop(): void;
}
