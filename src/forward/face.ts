/** What a face that takes requests needs of forwarding, found by name (`names.forwarder`). */
import type { IncomingMessage, ServerResponse } from 'node:http';

export interface RequestHandler {
  /** Takes one request and ends its answer, or breaks the connection visibly; never throws. */
  handle(request: IncomingMessage, response: ServerResponse): void;
  /** Notes a request that came behind what its connection is to be closed for, and was not taken. */
  reject?(): void;
  /** Requests taken and not ended. */
  readonly open: number;
  /** Stops taking requests on kept connections and waits, at most `limit` ms, until those taken have ended; says how many are left. */
  drain(limit: number): Promise<number>;
}
