/**
 * The callers' connections of one server: which requests on each are unanswered, and since when it is idle. An error of
 * the parser is answered only behind the answers that are still owed on its connection, since a caller takes whatever
 * comes first for the answer to its oldest request. An idle connection is closed only once it has rested longer than
 * the limit it was told and the one in force, and never over bytes that have already arrived.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { closeConnection, noteClose, type CloseCause } from '../../forward/connection-close.js';
import { DEFAULT_WAIT } from '../../forward/job.js';
import { arrivedIsRead } from '../../kernel/net/arrived.js';
import { later, within, type Clock, type Duration, type Moment } from '../../kernel/clock/clock.js';
import { LingeringClose } from './lingering-close.js';

interface Connection {
  /** Requests in their order whose answers have not been written to the last byte. */
  readonly unanswered: Map<ServerResponse, IncomingMessage>;
  /** How many requests came. */
  begun: number;
  /** What the parser's error is to be answered with, once nothing else is owed. */
  rejection: string | undefined;
  /** Since when nothing is under way; undefined before the first request. */
  idleSince: Moment | undefined;
  /** The idle limit that its client was told last. */
  toldLimit: number;
  /** How long it may rest at least: what its client was told, and the limit in force when it became idle. */
  idleLimit: number;
  /** How long its next header may take at least: the limit in force when that could begin. */
  headerLimit: Duration;
  /** Bytes that had been read when it became idle. */
  bytesRead: number;
  /** The answer that asks for the connection's end because of the planned stop; undefined before. */
  retired: ServerResponse | undefined;
  /** Set once its last answer is written and only its client's end is waited for. */
  lingering: LingeringClose | undefined;
}

const rejections = new Map<string, string>([
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
  ['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);

/** Errors after which the client may come back, since they tell nothing against its request. */
const passing: ReadonlySet<string> = new Set(['ERR_HTTP_REQUEST_TIMEOUT']);

const rejectionText = (code = ''): string =>
  [
    `HTTP/1.1 ${rejections.get(code) ?? '400 Bad Request'}`,
    'Connection: close',
    ...(passing.has(code) ? [`Retry-After: ${(DEFAULT_WAIT / 1000).toFixed(3)}`] : []),
    'Content-Length: 0\r\n\r\n',
  ].join('\r\n');

export class Connections {
  private readonly open = new Map<Socket, Connection>();
  private closing = false;
  /** Wakes who waits until nothing is under way. */
  private changed: () => void = () => undefined;
  private retiring = false;

  /** `idleLimit` gives the ms that a connection may rest, `headerLimit` those that a header may take, as in force now. */
  constructor(
    private readonly clock: Clock,
    private readonly idleLimit: () => Duration,
    private readonly headerLimit: () => Duration,
  ) {}

  add(socket: Socket): void {
    const connection: Connection = {
      unanswered: new Map(),
      begun: 0,
      rejection: undefined,
      idleSince: undefined,
      toldLimit: 0,
      idleLimit: 0,
      headerLimit: this.headerLimit(),
      bytesRead: 0,
      retired: undefined,
      lingering: undefined,
    };
    this.open.set(socket, connection);
    // The HTTP server ends a connection by this, behind its last answer.
    socket.destroySoon = () => {
      connection.lingering ??= new LingeringClose(socket, this.clock);
    };
    socket.once('close', () => {
      this.open.delete(socket);
      this.changed();
    });
  }

  /**
   * Notes a request, whose answer tells the idle limit given; false where its connection is to end before it, so that it
   * must not be begun.
   */
  begin(request: IncomingMessage, response: ServerResponse, toldLimit: number): boolean {
    const { socket } = request;
    const connection = this.open.get(socket);
    if (!connection || connection.rejection !== undefined || connection.lingering) {
      request.resume();
      return false;
    }
    connection.begun += 1;
    connection.idleSince = undefined;
    connection.toldLimit = toldLimit;
    connection.headerLimit = this.headerLimit();
    connection.unanswered.set(response, request);
    if (this.retiring) this.retireNewest(connection);
    response.once('close', () => this.end(socket, connection, response));
    return true;
  }

  /** From now on asks each caller to close its connection behind the answer to the newest request that it has sent on it. */
  retire(): void {
    this.retiring = true;
    for (const connection of this.open.values()) this.retireNewest(connection);
  }

  /** What came is no request, or did not come to its end in time. */
  reject(socket: Socket, code: string | undefined): void {
    const connection = this.open.get(socket);
    if (connection?.lingering && code !== 'ECONNRESET') return;
    if (!connection || !socket.writable || code === 'ECONNRESET')
      return closeConnection(socket, 'client-left');
    connection.rejection ??= rejectionText(code);
    this.finishRejected(socket, connection);
  }

  /**
   * A header did not come to its end within the limit in force, unless the rest of it has arrived and was not read yet; one
   * that may have begun under a longer limit has that much more time.
   */
  async rejectLate(socket: Socket, code: string): Promise<void> {
    const connection = this.open.get(socket);
    if (!connection) return closeConnection(socket, 'client-left');
    const { begun, headerLimit } = connection;
    const more = headerLimit - this.headerLimit();
    if (more > 0) await this.clock.sleep(more);
    await arrivedIsRead();
    if (connection.begun === begun && !socket.destroyed) this.reject(socket, code);
  }

  /** Closes the connections that have rested beyond their limit, or whose clients do not close them. */
  closeExpired(): void {
    const now = this.clock.now();
    const current = this.idleLimit();
    for (const [socket, connection] of this.open)
      if (
        connection.lingering?.isOver() ||
        (this.resting(socket, connection) &&
          now - connection.idleSince! > Math.max(current, connection.idleLimit))
      )
        closeConnection(socket, 'idle-limit');
  }

  /** Closes the connections on which nothing is under way, from now on as soon as that is so; what has arrived is read first. */
  closeIdle(): void {
    this.closing = true;
    void arrivedIsRead().then(() => {
      for (const [socket, connection] of this.open) this.closeResting(socket, connection);
    });
  }

  /**
   * Waits, at most `limit` ms, until nothing is under way on any connection, be it a header that is half in or a client that
   * still sends behind its last answer; then closes those on which nothing is, before anything more is read.
   */
  async settle(limit: Duration): Promise<void> {
    const end = later(this.clock.now(), limit);
    for (;;) {
      await arrivedIsRead();
      const left = end - this.clock.now();
      const isBusy = [...this.open].some(([socket, connection]) => this.isBusy(socket, connection));
      if (!isBusy || left <= 0) break;
      await within(this.clock, left, new Promise<void>((resolve) => (this.changed = resolve)));
    }
    for (const [socket, connection] of this.open)
      if (!this.isBusy(socket, connection)) closeConnection(socket, 'idle-at-stop');
  }

  /** Notes why all connections that are still open are about to be closed. */
  noteCloseOfAll(cause: CloseCause): void {
    for (const socket of this.open.keys()) noteClose(socket, cause);
  }

  /** Moves the wish for the connection's end to its newest request, as long as it was not told with an earlier one. */
  private retireNewest(connection: Connection): void {
    const newest = [...connection.unanswered.keys()].at(-1);
    if (!newest) return;
    const { retired } = connection;
    if (retired && !retired.headersSent) retired.shouldKeepAlive = true;
    connection.retired = newest.shouldKeepAlive ? newest : undefined;
    newest.shouldKeepAlive = false;
  }

  private closeResting(socket: Socket, connection: Connection): void {
    if (this.resting(socket, connection)) closeConnection(socket, 'idle-at-stop');
  }

  private isBusy(socket: Socket, connection: Connection): boolean {
    if (connection.unanswered.size > 0 || connection.lingering) return true;
    return connection.begun === 0 ? socket.bytesRead > 0 : !this.resting(socket, connection);
  }

  private resting(socket: Socket, { idleSince, bytesRead, lingering }: Connection): boolean {
    return !lingering && idleSince !== undefined && socket.bytesRead === bytesRead;
  }

  private end(socket: Socket, connection: Connection, response: ServerResponse): void {
    connection.unanswered.delete(response);
    if (connection.rejection !== undefined) return this.finishRejected(socket, connection);
    if (connection.unanswered.size > 0 || connection.lingering) return;
    connection.idleSince = this.clock.now();
    connection.idleLimit = Math.max(this.idleLimit(), connection.toldLimit);
    connection.bytesRead = socket.bytesRead;
    this.changed();
    if (this.closing) setImmediate(() => this.closeResting(socket, connection));
  }

  /** Answers the error and closes, once no request that came whole is unanswered. */
  private finishRejected(socket: Socket, { unanswered, rejection }: Connection): void {
    if ([...unanswered.values()].some(({ complete }) => complete)) return;
    const begun = [...unanswered.keys()].some(({ headersSent }) => headersSent);
    if (!begun && socket.writable) socket.write(rejection!);
    noteClose(socket, 'parser-error');
    socket.destroySoon();
  }
}
