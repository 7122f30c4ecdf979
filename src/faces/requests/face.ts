/**
 * The face that takes opaque requests. It is a plain server of node:http and not a Nest application: a request is
 * handed on byte for byte, so nothing may parse its body, route it, or add to its answer, and Nest's pipeline costs
 * processor time on each request. What the face itself keeps to are the limits in force on headers and idle time,
 * and the order of a planned stop: say so on every answer, then take nothing new, then close.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Right } from 'purify-ts';
import type { Face } from '../../node/extension.js';
import type { RequestHandler } from '../../forward/face.js';
import { failed, reasonOf, type Outcome } from '../../kernel/fault/fault.js';
import { parseAddress } from '../../kernel/net/net.js';
import type { Limits } from '../../route/shape.js';

/** Header bytes are bounded by the limits in force, later on; the parser's own bound only has to lie above them. */
const HEADER_BOUND = 128 * 1024;
const HEADER_TIMEOUT = 10_000;
const IDLE_TIMEOUT = 15_000;
const CHECK_EVERY = 1000;
const BACKLOG = 2048;

export class RequestsFace implements Face {
  private readonly server: Server;
  private readonly unanswered = new Set<ServerResponse>();
  private heeded: Limits | undefined;
  private retiring = false;
  private halted = false;

  /** `limits` gives those in force; the same object as long as they are the same. */
  constructor(
    private readonly handler: RequestHandler,
    private readonly limits: () => Limits,
  ) {
    this.server = createServer({
      maxHeaderSize: HEADER_BOUND,
      insecureHTTPParser: false,
      noDelay: true,
      requestTimeout: 0,
      headersTimeout: HEADER_TIMEOUT,
      connectionsCheckingInterval: CHECK_EVERY,
      keepAliveTimeout: IDLE_TIMEOUT,
    });
    this.server.on('connection', () => this.heed());
    this.server.on('request', (request, response) => this.take(request, response));
    this.heed();
  }

  listen(address: string): Promise<Outcome<Face>> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve) => {
      this.server.once('error', (thrown) =>
        resolve(failed('requests.listen', address, reasonOf(thrown))),
      );
      this.server.listen({ host, port, backlog: BACKLOG }, () => resolve(Right(this)));
    });
  }

  retire(): void {
    this.retiring = true;
    for (const response of this.unanswered) response.shouldKeepAlive = false;
  }

  /** Also closes the connections on which nothing is under way. */
  halt(): void {
    this.halted = true;
    this.server.close();
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private take(request: IncomingMessage, response: ServerResponse): void {
    this.heed();
    if (this.retiring) response.shouldKeepAlive = false;
    this.unanswered.add(response);
    response.once('close', () => {
      this.unanswered.delete(response);
      if (this.halted) setImmediate(() => this.server.closeIdleConnections());
    });
    this.handler.handle(request, response);
  }

  /** The idle time that callers are told is rounded down to a second; connections are kept a little longer than told. */
  private heed(): void {
    const limits = this.limits();
    if (limits === this.heeded) return;
    this.heeded = limits;
    this.server.headersTimeout = limits.headerTimeout ?? HEADER_TIMEOUT;
    this.server.keepAliveTimeout =
      Math.floor((limits.idleTimeout ?? IDLE_TIMEOUT) / 1000) * 1000 + 999;
  }
}
