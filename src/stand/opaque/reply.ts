/** One answer of a stand-in engine, right or in one of the wrong ways its troubles name. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Dialect } from '../../forward/dialect.js';
import type { Arrival } from './record.js';
import type { Troubles } from './trouble.js';

const PIECE = 65_536;
const GARBLED = 'qd\u0001\u0002 this is no answer \r\n\r\n\u0000\u0007';

/** One answer of a stand-in engine. */
export class Reply {
  private headed = false;
  private over = false;
  private stalled = false;
  /** Whether the head told the length, so that the last byte is the end. */
  private isSized = false;

  constructor(
    private readonly arrival: Arrival,
    private readonly response: ServerResponse,
    private readonly socket: Socket,
    private readonly dialect: Dialect,
    private readonly troubles: Troubles,
    private readonly last: boolean,
  ) {}

  probe(well: boolean): void {
    this.end('whole', well ? 200 : 503, { 'x-engine-id': this.arrival.engine }, '');
  }

  /** Turned away unrun, and said so. */
  refuse(status: number, retryAfter?: number): void {
    this.end(
      'refused',
      status,
      {
        [this.dialect.notRun]: '1',
        ...(retryAfter === undefined ? {} : { 'retry-after': String(retryAfter) }),
      },
      '',
    );
  }

  /** It runs: what goes wrong before any answer shows now. */
  begun(): void {
    const trouble = this.troubles.strikes(
      'reset',
      'closed',
      'silent',
      'failure',
      'unmarked-full',
      'garbled',
    );
    switch (trouble) {
      case 'reset':
        return this.break('cut', () => this.socket.resetAndDestroy());
      case 'closed':
        return this.break('cut', () => this.socket.end());
      case 'silent':
        return this.break('cut', () => undefined);
      case 'failure':
        return this.end('failed', 500, {}, 'failed');
      case 'unmarked-full':
        return this.end('failed', 503, {}, 'failed');
      case 'garbled':
        return this.break('cut', () => this.socket.write(GARBLED));
      case undefined:
        return;
    }
  }

  event(number: number): void {
    if (this.over || this.stalled) return;
    const { arrival } = this;
    const text = `id: ${number}\ndata: ${arrival.seal} ${number} of ${arrival.total}\n\n`;
    if (!this.headed) this.head({ 'content-type': 'text/event-stream' });
    if (arrival.made.length >= this.troubles.after && this.midway(text)) return;
    arrival.made.push(text);
    this.response.write(text);
  }

  /** A stream taken up behind its last event. */
  nothing(): void {
    if (!this.over && !this.headed) this.head({ 'content-type': 'text/event-stream' });
  }

  /** One body, with a length when it is short and in chunks when it is long; it waits while it is not read. */
  body(bytes: number, whole: () => void): void {
    if (this.over) return;
    const lead = JSON.stringify({ run: this.arrival.seal, digest: this.arrival.digest });
    const text = lead + '.'.repeat(Math.max(0, bytes - lead.length));
    if (!this.headed)
      this.head(text.length < PIECE ? { 'content-length': String(text.length) } : {});
    this.pump(text, 0, Math.min(PIECE, Math.ceil(text.length / 4)), whole);
  }

  private pump(text: string, from: number, size: number, whole: () => void): void {
    for (let at = from; at < text.length; at += size) {
      if (this.over) return;
      if (at * 4 >= this.troubles.after * text.length && this.midway()) return;
      const piece = text.slice(at, at + size);
      this.arrival.made[0] = (this.arrival.made[0] ?? '') + piece;
      if (!this.response.write(piece))
        return void this.response.once('drain', () => this.pump(text, at + size, size, whole));
    }
    whole();
  }

  /** The answer is whole; gives a copy of it that is owed in place of the next answer, when it is to come late. */
  finish(): Buffer | undefined {
    if (this.over || this.stalled) return undefined;
    if (!this.isSized && this.troubles.strikes('cut-end')) {
      this.break('cut', () => this.socket.end());
      return undefined;
    }
    this.over = true;
    this.arrival.ended = 'whole';
    const trouble = this.troubles.strikes('surplus', 'late', 'late-refusal');
    this.response.end();
    if (trouble === 'surplus') this.socket.write(this.copy());
    return trouble === 'late'
      ? this.copy()
      : trouble === 'late-refusal'
        ? this.refusal()
        : undefined;
  }

  /** The deadline came while it ran. */
  expire(): void {
    if (this.over) return;
    if (this.headed) return this.break('cut', () => this.socket.end());
    this.end('failed', 504, {}, 'late');
  }

  private head(more: Readonly<Record<string, string>>): void {
    this.headed = true;
    const { arrival } = this;
    arrival.status = 200;
    const wrong = this.troubles.strikes('foreign', 'unsealed', 'encoded', 'unframed');
    this.isSized = more['content-length'] !== undefined && wrong !== 'unframed';
    const names = {
      ...(wrong === 'unframed' && more['content-length'] !== undefined ? {} : more),
      [this.dialect.requestId]: wrong === 'foreign' ? `${arrival.id}-other` : arrival.id,
      ...(wrong === 'unsealed' ? {} : { [this.dialect.seal]: arrival.seal }),
      ...(wrong === 'encoded' ? { 'content-encoding': 'br' } : {}),
      ...this.leaving(),
    };
    if (wrong === 'unframed') {
      this.response.useChunkedEncodingByDefault = false;
      this.response.shouldKeepAlive = false;
    }
    this.response.writeHead(200, names);
  }

  private midway(event = ''): boolean {
    const trouble = this.troubles.strikes(
      'cut',
      'cut-reset',
      'stalled',
      'garbled-midway',
      ...(event ? (['cut-inside'] as const) : []),
    );
    if (!trouble) return false;
    if (trouble === 'stalled') this.stalled = true;
    else if (trouble === 'cut-inside') {
      const half = event.slice(0, event.length / 2);
      this.arrival.made.push(half);
      this.break('cut', () => this.response.write(half, () => this.socket.end()));
    } else if (trouble === 'cut') this.break('cut', () => this.socket.end());
    else if (trouble === 'cut-reset') this.break('cut', () => this.socket.resetAndDestroy());
    else {
      if (!this.arrival.stream) this.arrival.made[0] = (this.arrival.made[0] ?? '') + GARBLED;
      this.break('cut', () => this.socket.write(GARBLED));
    }
    return true;
  }

  private break(how: 'cut', act: () => void): void {
    this.over = true;
    this.arrival.ended = how;
    act();
  }

  private end(
    how: 'refused' | 'failed' | 'whole',
    status: number,
    names: Readonly<Record<string, string>>,
    body: string,
  ): void {
    if (this.over || this.response.destroyed) return;
    this.over = true;
    this.arrival.ended = how;
    this.arrival.status = status;
    if (how === 'failed') this.arrival.made[0] = body;
    this.response
      .writeHead(status, {
        ...names,
        ...(this.arrival.id ? { [this.dialect.requestId]: this.arrival.id } : {}),
        ...(how === 'failed' ? { [this.dialect.seal]: this.arrival.seal } : {}),
        ...this.leaving(),
      })
      .end(body);
  }

  private leaving(): Record<string, string> {
    return this.last ? { connection: 'close' } : {};
  }

  private refusal(): Buffer {
    return Buffer.from(
      `HTTP/1.1 503 Service Unavailable\r\n${this.dialect.requestId}: ${this.arrival.id}\r\n${this.dialect.notRun}: 1\r\ncontent-length: 0\r\n\r\n`,
    );
  }

  private copy(): Buffer {
    const body = this.arrival.made.join('');
    return Buffer.from(
      `HTTP/1.1 200 OK\r\n${this.dialect.requestId}: ${this.arrival.id}\r\n${this.dialect.seal}: ${this.arrival.seal}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
  }
}
