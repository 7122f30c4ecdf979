/**
 * Engines and callers that speak byte by byte: an engine reads requests off its sockets by hand and answers each with
 * whatever bytes its script gives, a caller writes and reads as told. In front of them stands the real server of
 * requests with the real forwarder.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach } from 'vitest';
import type { RequestHandler } from '../../src/forward/face.js';
import { RequestsFace } from '../../src/faces/requests/face.js';
import { SystemClock, type Clock } from '../../src/kernel/clock/clock.js';
import { parseAddress } from '../../src/kernel/net/net.js';
import type { Engine } from '../../src/pool/engine.js';
import type { Limits, Route } from '../../src/route/shape.js';
import { AnswerReader } from '../../src/stand/opaque/answer.js';
import { eventually } from './clock.js';
import { listedEngine, makeProxy, type Proxy } from './proxy.js';

const HEAD_END = '\r\n\r\n';

/** One request as an engine read it, and the socket to answer on. */
export interface Exchange {
  readonly engine: string;
  readonly id: string;
  readonly head: string;
  readonly body: Buffer;
  readonly socket: Socket;
  /** Requests that came on this connection before. */
  readonly earlier: number;
  readonly closed: () => boolean;
}

export type Script = (exchange: Exchange) => void | Promise<void>;

const closers: Array<() => Promise<void> | void> = [];
afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

const fieldOf = (head: string, name: string): string =>
  new RegExp(`^${name}:[ \t]*(.*)$`, 'im').exec(head)?.[1]?.trim() ?? '';

/** An engine whose every answer is written by its script. */
export class ScriptedEngine {
  /** Requests read whole, in order; `begun` counts the connections on which any byte of one came. */
  readonly exchanges: Exchange[] = [];
  begun = 0;
  readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(
    readonly identifier: string,
    public script: Script,
  ) {
    this.server = createServer((socket) => this.accept(socket));
    closers.push(() => this.close());
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  get ids(): string[] {
    return this.exchanges.map(({ id }) => id);
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    let pending: Buffer = Buffer.alloc(0);
    let earlier = 0;
    let closed = false;
    socket.on('error', () => undefined);
    socket.once('close', () => {
      closed = true;
      this.sockets.delete(socket);
    });
    socket.on('data', (chunk: Buffer) => {
      if (pending.length === 0) this.begun += 1;
      pending = Buffer.concat([pending, chunk]);
      for (;;) {
        const end = pending.indexOf(HEAD_END);
        if (end < 0) return;
        const head = pending.subarray(0, end).toString('latin1');
        const length = Number(fieldOf(head, 'content-length') || 0);
        const whole = end + HEAD_END.length + length;
        if (pending.length < whole) return;
        const exchange: Exchange = {
          engine: this.identifier,
          id: fieldOf(head, 'x-request-id'),
          head,
          body: pending.subarray(whole - length, whole),
          socket,
          earlier: earlier++,
          closed: () => closed,
        };
        pending = pending.subarray(whole);
        this.exchanges.push(exchange);
        void this.script(exchange);
      }
    });
  }
}

/** An answer's head, with the request's id and the seal that names engine and request, unless told otherwise. */
export const answerHead = (
  { engine, id }: Pick<Exchange, 'engine' | 'id'>,
  framing: string,
  status = '200 OK',
): string =>
  [`HTTP/1.1 ${status}`, `X-Request-Id: ${id}`, `X-Answer-Seal: ${engine}/${id}`, framing, '', '']
    .filter((line, at) => line !== '' || at > 3)
    .join('\r\n');

/** A whole answer with a length. */
export const sized = (exchange: Exchange, body = `of ${exchange.id}`, status = '200 OK'): string =>
  `${answerHead(exchange, `Content-Length: ${Buffer.byteLength(body)}`, status)}${body}`;

/** A whole answer in chunks. */
export const chunked = (exchange: Exchange, ...pieces: readonly string[]): string =>
  `${answerHead(exchange, 'Transfer-Encoding: chunked')}${pieces
    .map((piece) => `${piece.length.toString(16)}\r\n${piece}\r\n`)
    .join('')}0\r\n\r\n`;

/** The word that the request did not run. */
export const notRun = ({ id }: Pick<Exchange, 'id'>, status = '503 Service Unavailable'): string =>
  `HTTP/1.1 ${status}\r\nX-Request-Id: ${id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`;

export interface ScriptedStage extends Proxy {
  readonly address: string;
  readonly face: RequestsFace;
  readonly engines: readonly ScriptedEngine[];
  readonly listed: Map<string, Engine>;
  limits: Limits;
  /** How many requests the face handed on. */
  readonly taken: { count: number };
}

interface ScriptedPlan {
  /** One engine for each script, named "engine-1" and on. */
  readonly scripts: readonly Script[];
  readonly route?: Partial<Route>;
  readonly limits?: Limits;
  readonly clock?: Clock;
  readonly ratio?: number;
}

export const openScripted = async ({
  scripts,
  clock = new SystemClock(),
  limits = {},
  ...plan
}: ScriptedPlan): Promise<ScriptedStage> => {
  const engines = scripts.map((script, at) => new ScriptedEngine(`engine-${at + 1}`, script));
  const listed = new Map<string, Engine>();
  for (const engine of engines)
    listed.set(engine.identifier, listedEngine(engine.identifier, await engine.listen()));
  const proxy = makeProxy({ listed, limits, clock, ...plan });
  const stage = { ...proxy, engines, listed, limits, taken: { count: 0 } };
  const { forwarder } = proxy;
  const handler: RequestHandler = {
    open: 0,
    drain: (limit) => forwarder.drain(limit),
    reject: () => forwarder.reject(),
    handle: (request, response) => {
      stage.taken.count += 1;
      forwarder.handle(request, response);
    },
  };
  const face = new RequestsFace(handler, () => stage.limits, clock);
  (await face.listen('127.0.0.1:0')).unsafeCoerce();
  closers.push(() => {
    proxy.links.close();
    return face.close();
  });
  return Object.assign(stage, { face, address: face.address });
};

/** One connection of a caller. */
export interface CallerLine {
  readonly socket: Socket;
  readonly reader: AnswerReader;
  readonly received: () => Buffer;
  readonly closed: () => boolean;
  /** What the connection ended with, where that was an error. */
  readonly error: () => string;
  send(text: string | Buffer): void;
  /** Waits until so many answers have come whole. */
  answered(count: number): Promise<void>;
  /** Waits until the connection is closed. */
  over(): Promise<void>;
}

export const callerLine = (address: string, method = 'POST'): CallerLine => {
  const reader = new AnswerReader(method);
  const socket = connect(parseAddress(address));
  const chunks: Buffer[] = [];
  let closed = false;
  let error = '';
  socket.on('data', (chunk: Buffer) => {
    chunks.push(chunk);
    reader.push(chunk);
  });
  socket.on('error', (thrown: NodeJS.ErrnoException) => (error = thrown.code ?? thrown.message));
  socket.once('close', () => {
    closed = true;
    reader.end();
  });
  closers.push(() => void socket.destroy());
  return {
    socket,
    reader,
    received: () => Buffer.concat(chunks),
    closed: () => closed,
    error: () => error,
    send: (text) => void socket.write(text),
    answered: (count) =>
      eventually(() => closed || reader.answers.filter(({ complete }) => complete).length >= count),
    over: () => eventually(() => closed),
  };
};

/** A request with a length, of the service's route. */
export const requestText = (id: string, body = '', more: readonly string[] = []): string =>
  [
    'POST /a/ HTTP/1.1',
    'Host: h.example',
    `X-Request-Id: ${id}`,
    ...more,
    `Content-Length: ${Buffer.byteLength(body)}`,
    '',
    body,
  ].join('\r\n');
