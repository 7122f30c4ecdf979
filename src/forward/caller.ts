/**
 * The caller's side of one request: reads the body whole within its bound, answers once, and passes pieces on as they
 * come, waiting while the caller does not read. What can't be ended whole is ended by cutting the connection, so that it
 * never looks complete.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';
import { Right } from 'purify-ts';
import type { Moment } from '../kernel/clock/clock.js';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import { closeCauseOf } from './connection-close.js';
import { fieldsOf, only, type Fields } from './fields.js';
import type { CutCause, EndCause, SkipCause } from './request-end.js';

/** The statuses of our own that say that a request may have run. */
const statusesOfUnknown: ReadonlySet<number> = new Set([502, 504]);

const left = (): Outcome<never> =>
  failed('caller.body', 'caller', 'the caller left before its request was whole');

/** Waits for the first of the events. */
const firstOf = (emitter: EventEmitter, ...events: readonly string[]): Promise<void> =>
  new Promise((resolve) => {
    const done = (): void => {
      for (const event of events) emitter.off(event, done);
      resolve();
    };
    for (const event of events) emitter.once(event, done);
  });

export class Caller {
  readonly fields: Fields;
  private readonly leave = new AbortController();
  readonly gone = this.leave.signal;
  /** Until when its request may be held, once that is known. */
  limit: Moment | undefined;
  private ends = false;
  private skipCause: SkipCause | undefined;
  private cutCause: CutCause | undefined;
  /** What the answer that was begun is; undefined before its head. */
  private answerKind: 'answered' | 'refused' | 'failed' | undefined;
  /** Bytes of the body that the answer's head tells of, and that were passed on. */
  private toldBytes: number | undefined;
  private passedBytes = 0;
  private isShort = false;
  /** Whether a defect ended it. */
  private isFaulty = false;
  /** Whether the answer under way has neither a length nor chunks, so that its connection's end is its own. */
  private endsByClose = false;

  constructor(
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly closing: () => boolean,
  ) {
    this.fields = fieldsOf(request.rawHeaders);
    response.once('close', () => {
      if (!response.writableFinished) this.leave.abort();
    });
    response.on('error', () => this.leave.abort());
    request.on('error', () => this.leave.abort());
  }

  get socket(): Socket {
    return this.request.socket;
  }

  get method(): string {
    return this.request.method ?? 'GET';
  }

  get target(): string {
    return this.request.url ?? '/';
  }

  field(name: string): string | undefined {
    return only(this.fields, name);
  }

  /** Bytes of the header as it came, save its first line. */
  get headerBytes(): number {
    return this.fields.reduce((sum, [name, value]) => sum + name.length + value.length + 4, 0);
  }

  /** Whether the body's coding, where it has one, is one we can tell the end of. */
  get framed(): boolean {
    const codings = this.fields.filter(([name]) => name.toLowerCase() === 'transfer-encoding');
    return (
      codings.length === 0 ||
      (codings.length === 1 && codings[0]![1].trim().toLowerCase() === 'chunked')
    );
  }

  /** Whether nothing may follow on this connection. */
  get last(): boolean {
    return this.ends || this.gone.aborted;
  }

  /** Has the connection end with this request's answer. */
  endConnection(): void {
    this.ends = true;
  }

  /** Gives up a request that nothing was done for, because its connection ends with the one before. */
  skip(before: Caller): void {
    this.ends = true;
    this.skipCause = before.endsByStop ? 'behind-stop' : 'behind-closed';
  }

  /** Whether its connection ends with it only because this process is stopping. */
  private get endsByStop(): boolean {
    if (this.skipCause) return this.skipCause === 'behind-stop';
    return this.closing() && !this.gone.aborted && !this.cutCause && this.keepsConnection;
  }

  /** Whether the client would use the connection again, as far as the request tells. */
  private get keepsConnection(): boolean {
    const { headers, httpVersionMinor } = this.request;
    const told = (headers.connection ?? '').toLowerCase();
    return httpVersionMinor > 0 ? !told.includes('close') : told.includes('keep-alive');
  }

  private get bodied(): boolean {
    const told = this.request.headers['content-length'];
    return (
      this.request.headers['transfer-encoding'] !== undefined ||
      (told !== undefined && Number(told) > 0)
    );
  }

  /** The whole body; undefined where the request has none. */
  body(bound: number): Promise<Outcome<Buffer | undefined>> {
    const { request } = this;
    const told = request.headers['content-length'];
    if (this.gone.aborted) return Promise.resolve(left());
    if (told === undefined && request.headers['transfer-encoding'] === undefined) {
      request.resume();
      return Promise.resolve(Right(undefined));
    }
    if (told !== undefined && Number(told) > bound)
      return Promise.resolve(
        failed('caller.body', 'caller', `a body of ${told} bytes is over the bound of ${bound}`),
      );
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      request.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > bound) {
          request.pause();
          return resolve(failed('caller.body', 'caller', `a body of over ${bound} bytes`));
        }
        chunks.push(chunk);
      });
      request.once('end', () =>
        resolve(Right(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks))),
      );
      request.once('close', () => resolve(left()));
    });
  }

  /** An answer of our own, with `retryAfter` in ms where the caller may come back. */
  refuse(status: number, reason: string, retryAfter?: number): void {
    const { response } = this;
    if (response.headersSent || response.destroyed) return this.cut('internal-fault');
    this.answerKind = statusesOfUnknown.has(status) ? 'failed' : 'refused';
    const body = `${JSON.stringify({ error: reason })}\n`;
    const fields: Array<[string, string]> = [
      ['Content-Type', 'application/json'],
      ['Content-Length', String(Buffer.byteLength(body))],
    ];
    if (retryAfter !== undefined)
      fields.push(['Retry-After', (Math.max(1, Math.ceil(retryAfter)) / 1000).toFixed(3)]);
    const unread = !this.request.complete && this.bodied;
    this.ends ||= this.closing() || unread || !response.shouldKeepAlive;
    if (this.ends) fields.push(['Connection', 'close']);
    response.writeHead(status, fields.flat());
    response.end(body);
    if (unread) this.request.resume();
  }

  head(status: number, fields: Fields): void {
    this.ends ||= this.closing() || !this.response.shouldKeepAlive;
    const all = this.ends ? [...fields, ['Connection', 'close'] as const] : fields;
    this.response.writeHead(status, all.flat());
    this.answerKind = 'answered';
    const length = only(fields, 'content-length');
    if (length !== undefined && this.hasBody(status)) this.toldBytes = Number(length);
    this.endsByClose = !this.response.chunkedEncoding && length === undefined;
  }

  /** Passes a piece on; false when the caller has to read first, or is gone. */
  write(piece: Uint8Array): boolean {
    const { response } = this;
    this.passedBytes += piece.length;
    return !response.destroyed && response.write(piece);
  }

  /** Waits until the caller has read enough for more to be written; false when it is gone. */
  async drained(): Promise<boolean> {
    const { response } = this;
    if (!response.destroyed && response.writableNeedDrain)
      await firstOf(response, 'drain', 'close');
    return !response.destroyed;
  }

  /** Whether the answer has been written to its last byte, or there will be none. */
  get settled(): boolean {
    const { response } = this;
    return (
      this.skipCause !== undefined ||
      this.gone.aborted ||
      response.closed ||
      response.writableFinished
    );
  }

  /** Why an answer that is not settled when its time is over is cut off: its client did not read, or there is none. */
  get unflushedCause(): CutCause {
    return this.response.writableEnded ? 'client-not-reading' : 'internal-fault';
  }

  /** Waits until it is settled. */
  async flushed(): Promise<void> {
    const { response } = this;
    if (this.settled) return;
    const left = new Promise((resolve) => this.gone.addEventListener('abort', resolve));
    await Promise.race([firstOf(response, 'finish', 'close'), left]);
  }

  /** Ends the answer; `isWhole` tells whether the engine's was whole. */
  finish(isWhole: boolean): void {
    this.isShort = !isWhole || this.passedBytes !== (this.toldBytes ?? this.passedBytes);
    this.response.end();
  }

  /** Ends the connection visibly in the middle: an answer that its connection's end would end is reset. */
  cut(cause: CutCause): void {
    const { response } = this;
    this.ends = true;
    if (!this.gone.aborted) this.cutCause ??= cause;
    if (this.endsByClose) response.socket?.resetAndDestroy();
    response.destroy();
  }

  /** Ends the request after a defect: by an answer that says so while none has begun, else by cutting it. */
  fail(): void {
    this.isFaulty = true;
    this.refuse(502, 'a defect of this node; it may have run');
  }

  /** How the request ended, once it has. */
  get endCause(): EndCause {
    const { request, response } = this;
    if (this.isFaulty) return 'internal-fault';
    if (response.writableFinished && this.answerKind) return this.answerKind;
    return this.cutCause ?? closeCauseOf(request.socket) ?? this.skipCause ?? 'unaccounted';
  }

  /** The status that was sent; 0 when none was. */
  get status(): number {
    return this.response.headersSent ? this.response.statusCode : 0;
  }

  /** Whether the request came to its last byte. */
  get isReadWhole(): boolean {
    return this.request.complete;
  }

  /** Whether the answer was finished though the engine's was not whole. */
  get isAnswerShort(): boolean {
    return this.isShort;
  }

  private hasBody(status: number): boolean {
    return this.method !== 'HEAD' && status !== 204 && status !== 304;
  }
}
