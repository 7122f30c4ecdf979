/**
 * The server that takes opaque requests. It is a plain server of node:http and not a Nest application: a request is
 * handed on byte for byte, so nothing may parse its body, route it, or add to its answer, and Nest's pipeline costs
 * processor time on each request. What the server itself keeps to are the limits in force on headers and idle time,
 * and the order of a planned stop: say so on every answer, then take nothing new, then close.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer, type AddressInfo, type Socket } from 'node:net';
import { Right } from 'purify-ts';
import type { Face } from '../../node/extension.js';
import { closeConnection } from '../../forward/connection-close.js';
import type { RequestHandler } from '../../forward/face.js';
import type { Clock, Duration } from '../../kernel/clock/clock.js';
import { failed, reasonOf, type Outcome } from '../../kernel/fault/fault.js';
import { arrivedIsRead } from '../../kernel/net/arrived.js';
import { boundHeaders, createHttpServer } from '../../kernel/net/http-server.js';
import { parseAddress } from '../../kernel/net/net.js';
import type { Limits } from '../../route/shape.js';
import { Connections } from './connections.js';

/**
 * Header bytes are bounded by the limits in force, later on. The parser's own bound, in bytes, only has to lie above them: it
 * counts blanks too, which the limits don't.
 */
const HEADER_BOUND = 128 * 1024;
const HEADER_BOUND_FACTOR = 2;
const HEADER_TIMEOUT = 10_000;
const IDLE_TIMEOUT = 15_000;
const CHECK_EVERY = 1000;
/** The server's error for a header that did not come to its end in time. */
const HEADER_LATE = 'ERR_HTTP_REQUEST_TIMEOUT';
const BACKLOG = 2048;

export class RequestsFace implements Face {
  private readonly server: Server;
  private readonly connections: Connections;
  private readonly closed = new AbortController();
  private heeded: Limits | undefined;
  /** How many connections were accepted. */
  private accepted = 0;
  /** Where it listens. */
  address = '';

  /** `limits` gives those in force; the same object as long as they are the same. */
  constructor(
    private readonly handler: RequestHandler,
    private readonly limits: () => Limits,
    private readonly clock: Clock,
  ) {
    this.connections = new Connections(
      clock,
      () => this.idleLimit(),
      () => this.headerLimit(),
    );
    this.server = createHttpServer({
      maxHeaderSize: HEADER_BOUND,
      insecureHTTPParser: false,
      noDelay: true,
      requestTimeout: 0,
      headersTimeout: HEADER_TIMEOUT,
      connectionsCheckingInterval: CHECK_EVERY,
      keepAliveTimeout: IDLE_TIMEOUT,
    });
    // The server sets its parser up as it hears of a connection, by the limits in force by then.
    this.server.prependListener('connection', () => this.heed());
    this.server.on('connection', (socket: Socket) => {
      this.accepted += 1;
      this.connections.add(socket);
    });
    this.server.on('request', (request, response) => this.take(request, response));
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) =>
      error.code === HEADER_LATE
        ? void this.connections.rejectLate(socket, HEADER_LATE)
        : this.connections.reject(socket, error.code),
    );
    this.server.on('connect', (_, socket: Socket) => this.refuseTunnel(socket));
    // A connection that could not be accepted, as for want of file descriptors, ends nothing else.
    this.server.on('error', () => undefined);
    // With a listener the server closes no idle connection by itself: that is decided by the limits in force then.
    this.server.on('timeout', () => undefined);
    this.heed();
  }

  listen(address: string): Promise<Outcome<Face>> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve) => {
      this.server.once('error', (thrown) =>
        resolve(failed('requests.listen', address, reasonOf(thrown))),
      );
      this.server.listen({ host, port, backlog: BACKLOG }, () => {
        this.address = `${host}:${(this.server.address() as AddressInfo).port}`;
        void this.closeExpired();
        resolve(Right(this));
      });
    });
  }

  retire(): void {
    this.connections.retire();
  }

  /** The event loop accepts one connection in each turn, so none waits once a turn has brought none. */
  async acceptWaiting(limit: Duration): Promise<void> {
    const began = this.clock.now();
    // The turn that is under way may be past its accepting.
    await arrivedIsRead();
    let before: number;
    do {
      before = this.accepted;
      await arrivedIsRead();
    } while (this.accepted > before && this.clock.now() - began < limit);
  }

  /** Also closes the connections on which nothing is under way. */
  halt(): void {
    // The HTTP server's own close would also end connections whose last answer is not flushed yet.
    NetServer.prototype.close.call(this.server);
    this.connections.closeIdle();
  }

  settle(limit: Duration): Promise<void> {
    return this.connections.settle(limit);
  }

  close(): Promise<void> {
    this.closed.abort();
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.connections.noteCloseOfAll('stop-deadline');
      this.server.closeAllConnections();
    });
  }

  private take(request: IncomingMessage, response: ServerResponse): void {
    const hasChanged = this.heed();
    if (!this.connections.begin(request, response, this.server.keepAliveTimeout))
      return this.handler.reject?.();
    // The server settled before the change what this answer would tell of the idle limit.
    if (hasChanged && response.shouldKeepAlive)
      response.setHeader('Keep-Alive', `timeout=${this.server.keepAliveTimeout / 1000}`);
    this.handler.handle(request, response);
  }

  /**
   * Refuses CONNECT, behind the answers that are still owed on its connection. The server has let go of the socket, whose
   * errors and end are looked after here.
   */
  private refuseTunnel(socket: Socket): void {
    socket.on('error', () => socket.destroy());
    socket.once('end', () => closeConnection(socket, 'client-left'));
    socket.resume();
    this.connections.reject(socket, undefined);
  }

  private async closeExpired(): Promise<void> {
    const { signal } = this.closed;
    while (!signal.aborted) {
      await this.clock.sleep(CHECK_EVERY, signal);
      // After a long standstill, what has arrived meanwhile is read first.
      await arrivedIsRead();
      if (!signal.aborted) this.connections.closeExpired();
    }
  }

  private headerLimit(): Duration {
    return this.limits().headerTimeout ?? HEADER_TIMEOUT;
  }

  /** ms that a connection may rest: what callers are told, in whole seconds, and the limit itself. */
  private idleLimit(): number {
    const limit = this.limits().idleTimeout ?? IDLE_TIMEOUT;
    return Math.max(limit, this.toldIdleLimit());
  }

  /** The idle limit in force as callers are told it: in whole seconds, one at least. */
  private toldIdleLimit(): number {
    const limit = this.limits().idleTimeout ?? IDLE_TIMEOUT;
    return Math.max(1, Math.floor(limit / 1000)) * 1000;
  }

  /** Takes the limits in force over; whether they have changed. */
  private heed(): boolean {
    const limits = this.limits();
    if (limits === this.heeded) return false;
    this.heeded = limits;
    this.server.headersTimeout = this.headerLimit();
    this.server.keepAliveTimeout = this.toldIdleLimit();
    boundHeaders(
      this.server,
      Math.max(HEADER_BOUND, HEADER_BOUND_FACTOR * (limits.headerBytes ?? 0)),
    );
    return true;
  }
}
