/**
 * A caller that keeps its connection: it sends requests one after the other, rests between them for as long as the idle
 * time that it was told allows, and sends some bodies slowly. It notes on the very records that other callers use.
 */
import { connect, type Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { ownDialect } from '../../forward/dialect.js';
import { parseAddress } from '../../kernel/net/net.js';
import { pick, type Random } from '../../kernel/random/random.js';
import { AnswerReader } from '../../stand/opaque/answer.js';
import { bytesOfRequest, noteAnswer, openTry, type Asking } from '../../stand/opaque/caller.js';
import { digestOfRequest, type Asked, type Try } from '../../stand/opaque/record.js';

/** What only a caller that keeps its connection knows of a try. */
export interface ConnectionNote {
  /** When the last byte of the request was written; 0 while it was not. */
  wholeAt: number;
  /** ms that the connection had rested before the request; 0 for the first on it. */
  readonly rested: number;
  /** ms that the answer before it allowed the connection to rest; 0 where it said nothing. */
  readonly allowed: number;
}

/** A connection that was closed while it rested within the time that it was told. */
export interface EarlyClose {
  readonly router: string;
  readonly at: number;
  readonly rested: number;
  readonly allowed: number;
}

/** A request as it goes on a kept connection. */
export type KeptAsking = Pick<Asking, 'name' | 'host' | 'target' | 'body' | 'repeatable'> & {
  readonly fields?: Asking['fields'];
  readonly chunked?: number;
  /** ms between the pieces of the request; 0 to send it at once. */
  readonly slowness: number;
};

const SILENCE = 8000;
/** A caller stays so many ms below the idle time that it is told. */
const IDLE_MARGIN = 500;
const MOST_REQUESTS = 12;
const PIECES = 6;
const CONNECT_LIMIT = 1000;

const allowedRest = (fields: ReadonlyMap<string, string>): number =>
  Number(/timeout=(\d+)/.exec(fields.get('keep-alive') ?? '')?.[1] ?? 0) * 1000;

const isLast = (fields: ReadonlyMap<string, string>): boolean =>
  /\bclose\b/i.test(fields.get('connection') ?? '');

class KeptConnection {
  private readonly socket: Socket;
  private reader: AnswerReader | undefined;
  private wake: () => void = () => undefined;
  isClosed = false;
  isConnected = false;
  reason = 'closed';
  /** Bytes that came while no request was waiting. */
  unasked = 0;

  constructor(readonly router: string) {
    const { host, port } = parseAddress(router);
    this.socket = connect({ host, port, noDelay: true });
    this.socket.on('connect', () => {
      this.isConnected = true;
      this.wake();
    });
    this.socket.on('data', (chunk: Buffer) => {
      if (this.reader) this.reader.push(chunk);
      else this.unasked += chunk.length;
      this.wake();
    });
    this.socket.on('error', ({ message }) => {
      this.reason = message;
    });
    this.socket.on('close', () => {
      this.isClosed = true;
      this.reader?.end();
      this.wake();
    });
  }

  /** Until the condition holds, the connection is closed, or `limit` ms have passed without a byte. */
  async until(condition: () => boolean, limit: number): Promise<void> {
    while (!condition() && !this.isClosed) {
      let timer: NodeJS.Timeout | undefined;
      const isLate = await new Promise<boolean>((resolve) => {
        this.wake = () => resolve(false);
        timer = setTimeout(() => resolve(true), limit);
      });
      clearTimeout(timer);
      if (isLate) return;
    }
  }

  expect(reader: AnswerReader | undefined): void {
    this.reader = reader;
  }

  write(bytes: Buffer): void {
    if (!this.socket.destroyed) this.socket.write(bytes);
  }

  close(): void {
    this.socket.destroy();
  }
}

/** Callers that keep their connections. */
export class ConnectionCaller {
  readonly notes = new Map<string, ConnectionNote>();
  readonly earlyCloses: EarlyClose[] = [];
  /** Connections on which bytes came that nobody had asked for. */
  unaskedBytes = 0;

  constructor(
    private readonly random: Random,
    private readonly asked: Asked[],
    private readonly deadline: number,
  ) {}

  /**
   * Sends requests on one connection after the other until told to stop. With `rest`, a time in ms, it rests so long between them
   * and keeps each connection for as long as it may; else it rests for anything up to what it was told.
   */
  async run(
    router: () => string,
    next: () => KeptAsking,
    stop: AbortSignal,
    rest?: number,
  ): Promise<void> {
    while (!stop.aborted) {
      await this.useConnection(router(), next, stop, rest);
      await pause(50 + this.random.fraction() * 200);
    }
  }

  private async useConnection(
    router: string,
    next: () => KeptAsking,
    stop: AbortSignal,
    rest: number | undefined,
  ): Promise<void> {
    const most = rest === undefined ? MOST_REQUESTS : Infinity;
    const connection = new KeptConnection(router);
    await connection.until(() => connection.isConnected, CONNECT_LIMIT);
    let rested = 0;
    let allowed = 0;
    for (let count = 0; count < most && !stop.aborted; count++) {
      if (connection.isClosed || !connection.isConnected) break;
      const fields = await this.ask(connection, next(), rested, allowed);
      if (!fields || isLast(fields)) break;
      allowed = allowedRest(fields);
      rested = await this.rest(connection, allowed, rest);
    }
    connection.close();
  }

  /** Rests within what is allowed, often for nearly all of it; gives how long. */
  private async rest(
    connection: KeptConnection,
    allowed: number,
    wanted: number | undefined,
  ): Promise<number> {
    const most = Math.max(0, allowed - IDLE_MARGIN);
    const share = pick(this.random, [0, 0.02, 0.3, 0.9, 1])!;
    const length = Math.min(most, wanted ?? most * share);
    const began = performance.now();
    await Promise.race([
      pause(length),
      connection.until(() => false, length).then(() => undefined),
    ]);
    const rested = performance.now() - began;
    if (connection.unasked > 0) this.unaskedBytes += 1;
    if (connection.isClosed)
      this.earlyCloses.push({ router: connection.router, at: Date.now(), rested, allowed });
    return rested;
  }

  /** Sends one request and reads its answer; gives the answer's fields when it was whole. */
  private async ask(
    connection: KeptConnection,
    asking: KeptAsking,
    rested: number,
    allowed: number,
  ): Promise<ReadonlyMap<string, string> | undefined> {
    const { name, host, target, repeatable, body } = asking;
    const told = openTry(this.random.identity(), connection.router, Date.now());
    told.connected = true;
    const asked: Asked = {
      name,
      host,
      target,
      method: 'POST',
      repeatable,
      resume: false,
      digest: digestOfRequest('POST', target, body),
      began: told.at,
      tries: [told],
      outcome: 'failed',
    };
    this.asked.push(asked);
    const note: ConnectionNote = { wholeAt: 0, rested, allowed };
    this.notes.set(told.id, note);
    const reader = new AnswerReader('POST');
    connection.expect(reader);
    const answered = (): boolean => reader.answers[0]?.complete === true;
    await this.send(connection, asking, told, note, answered);
    await connection.until(() => answered() || reader.malformed !== '', SILENCE);
    connection.expect(undefined);
    told.ended = Date.now();
    noteAnswer(told, reader, connection.isClosed ? connection.reason : 'silent');
    if (!told.complete) return undefined;
    asked.outcome = told.status >= 200 && told.status < 300 ? 'served' : 'refused';
    return reader.answers[0]!.fields;
  }

  private async send(
    connection: KeptConnection,
    asking: KeptAsking,
    told: Try,
    note: ConnectionNote,
    answered: () => boolean,
  ): Promise<void> {
    const bytes = bytesOfRequest({ ...asking, method: 'POST' }, [
      ...(asking.fields ?? []),
      [ownDialect.requestId, told.id],
      [ownDialect.deadline, String(this.deadline)],
    ]);
    const size = asking.slowness > 0 ? Math.ceil(bytes.length / PIECES) : bytes.length;
    for (let at = 0; at < bytes.length; at += size) {
      if (at > 0) await connection.until(answered, asking.slowness);
      if (connection.isClosed || answered()) return;
      connection.write(bytes.subarray(at, at + size));
    }
    note.wholeAt = Date.now();
  }
}
