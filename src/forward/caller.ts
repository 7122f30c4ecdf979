/**
 * The caller's side of one request: reads the body whole within its bound, answers once, and passes pieces on as they
 * come, waiting while the caller does not read. What can't be ended whole is ended by cutting the connection, so that it
 * never looks complete.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { EventEmitter } from 'node:events';
import { Right } from 'purify-ts';
import type { Moment } from '../kernel/clock/clock.js';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import { fieldsOf, only, type Fields } from './fields.js';

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
  private skipped = false;
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

  /** Gives up a request that nothing was done for, because its connection ends before its turn. */
  skip(): void {
    this.ends = true;
    this.skipped = true;
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
    if (response.headersSent || response.destroyed) return this.cut();
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
    this.endsByClose =
      !this.response.chunkedEncoding && only(fields, 'content-length') === undefined;
  }

  /** Passes a piece on; false when the caller has to read first, or is gone. */
  write(piece: Uint8Array): boolean {
    const { response } = this;
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
    return this.skipped || this.gone.aborted || response.closed || response.writableFinished;
  }

  /** Waits until it is settled. */
  async flushed(): Promise<void> {
    const { response } = this;
    if (this.settled) return;
    const left = new Promise((resolve) => this.gone.addEventListener('abort', resolve));
    await Promise.race([firstOf(response, 'finish', 'close'), left]);
  }

  finish(): void {
    this.response.end();
  }

  /** Ends the connection visibly in the middle: an answer that its connection's end would end is reset. */
  cut(): void {
    const { response } = this;
    this.ends = true;
    if (this.endsByClose) response.socket?.resetAndDestroy();
    response.destroy();
  }
}
