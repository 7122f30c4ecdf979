/**
 * The stand-in engine for opaque requests, over HTTP/1.1: any method, path and body. A request that tells of a prompt
 * gets a stream of events, any other one body (of `bytes=N` in its query). It works in batches, turns away what is
 * meant for another engine or finds no room, leaves in order, and misbehaves when told to.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { ownDialect, type Dialect } from '../../forward/dialect.js';
import { createHttpServer } from '../../kernel/net/http-server.js';
import type { Clock } from '../../kernel/clock/clock.js';
import { parseAddress } from '../../kernel/net/net.js';
import { Reply } from './reply.js';
import { Batch, type BatchParams } from './batch.js';
import { digestOfRequest, type Arrival } from './record.js';
import { Troubles } from './trouble.js';

/** The identity and the workings of a stand-in engine. */
export interface OpaqueEngineParams extends BatchParams {
  readonly identifier: string;
  readonly service: string;
  readonly address: string;
  readonly probePath: string;
  /** Tokens in one event. */
  readonly stride: number;
  /** Tokens a request without a prompt counts for. */
  readonly plainTokens: number;
  /** ms an idle connection stays open; 0 for ever. */
  readonly idle: number;
  /** Connections taken from all callers together. */
  readonly connections: number;
  /** Seconds that one turned away is told to wait. */
  readonly retryAfter: number;
}

/** The params of an engine where nothing else is set. */
export const defaultOpaqueEngine: OpaqueEngineParams = {
  identifier: 'engine-1',
  service: 'drafts',
  address: '127.0.0.1:0',
  probePath: '/health',
  stride: 4,
  plainTokens: 4,
  idle: 60_000,
  connections: 1024,
  retryAfter: 0.5,
  slots: 16,
  queue: 8,
  stepBase: 1,
  stepEach: 0.05,
  readRate: 50,
  readPiece: 2000,
  cacheTokens: 400_000,
};

/** A stand-in engine for opaque requests. */
export class OpaqueEngine {
  readonly troubles = new Troubles();
  readonly arrivals: Arrival[] = [];
  /** Requests that came on a connection whose last answer had not ended. */
  overlaps = 0;
  draining = false;
  /** Whether each answer asks to close the connection, as now and then for no reason. */
  closing = false;
  readonly batch: Batch;
  readonly params: OpaqueEngineParams;
  private readonly server: Server;
  private readonly sockets = new Map<
    Socket,
    { readonly number: number; busy: number; owed: Buffer[] }
  >();
  private connected = 0;
  /** Where it listens. */
  address = '';
  private runs = 0;

  constructor(
    params: Partial<OpaqueEngineParams>,
    private readonly clock: Clock,
    private readonly dialect: Dialect = ownDialect,
  ) {
    this.params = { ...defaultOpaqueEngine, ...params };
    this.batch = new Batch(this.params, clock);
    this.server = createHttpServer(
      { keepAliveTimeout: this.params.idle, requestTimeout: 0, headersTimeout: 0 },
      (request, response) => this.take(request, response),
    );
    this.server.on('connection', (socket: Socket) => {
      if (this.sockets.size >= this.params.connections) return void socket.resetAndDestroy();
      this.sockets.set(socket, { number: ++this.connected, busy: 0, owed: [] });
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  listen(): Promise<string> {
    const { host, port } = parseAddress(this.params.address);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () =>
        resolve((this.address = `${host}:${(this.server.address() as { port: number }).port}`)),
      );
    });
  }

  close(): Promise<void> {
    this.batch.forget();
    for (const socket of this.sockets.keys()) socket.destroy();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  /** Connections open now, and all there ever were. */
  get lines(): { open: number; ever: number } {
    return { open: this.sockets.size, ever: this.connected };
  }

  /** Arrivals that are no probes. */
  get requests(): Arrival[] {
    return this.arrivals.filter(({ probe }) => !probe);
  }

  ran(id: string): Arrival[] {
    return this.arrivals.filter((arrival) => arrival.id === id && arrival.ran > 0);
  }

  private take(request: IncomingMessage, response: ServerResponse): void {
    const line = this.sockets.get(request.socket);
    if (!line) return void request.socket.destroy();
    if (line.busy > 0) this.overlaps += 1;
    line.busy += 1;
    response.once('close', () => (line.busy -= 1));
    for (const owed of line.owed.splice(0)) request.socket.write(owed);
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => void chunks.push(chunk));
    request.once('error', () => undefined);
    request.once('end', () => this.answer(request, response, Buffer.concat(chunks), line));
  }

  private answer(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    line: { number: number; owed: Buffer[] },
  ): void {
    const field = (name: string): string | undefined => request.headers[name] as string | undefined;
    const target = request.url ?? '';
    const method = request.method ?? '';
    const id = field(this.dialect.requestId) ?? '';
    const prompt = this.dialect.prompt(field);
    const total = prompt ? Math.max(1, Math.ceil(prompt.output / this.params.stride)) : 1;
    const arrival: Arrival = {
      engine: this.params.identifier,
      service: this.params.service,
      id,
      method,
      target,
      host: field('host') ?? '',
      fields: request.rawHeaders,
      bytes: body.length,
      digest: digestOfRequest(method, target, body),
      at: this.clock.wall(),
      connection: line.number,
      probe: method === 'GET' && target === this.params.probePath,
      after: Number(field('last-event-id') ?? 0) || 0,
      urgency: Number(field(this.dialect.urgency) ?? 5),
      ran: 0,
      read: 0,
      hits: 0,
      status: 0,
      seal: '',
      made: [],
      stream: prompt !== undefined,
      total,
      ended: 'running',
    };
    this.arrivals.push(arrival);
    const reply = new Reply(
      arrival,
      response,
      request.socket,
      this.dialect,
      this.troubles,
      this.draining || this.closing,
    );
    if (arrival.probe) return reply.probe(!this.draining);
    const expected = field(this.dialect.expectInstance);
    if (!id) return reply.refuse(400);
    if (expected !== undefined && expected !== this.params.identifier) return reply.refuse(421);
    const away = this.troubles.strikes('full', 'busy');
    if (away) return reply.refuse(away === 'full' ? 503 : 429, this.params.retryAfter);
    const begins = this.startsAt(arrival);
    const events = Math.max(0, total - begins);
    const output = prompt
      ? Math.max(1, prompt.output - begins * this.params.stride)
      : this.params.plainTokens;
    let tokens = 0;
    const patience = Number(field(this.dialect.deadline));
    const deadline = new AbortController();
    const leave = this.batch.submit({
      model: prompt?.model ?? '',
      parts: prompt?.parts ?? [],
      tokens: (prompt?.tokens ?? 0) + begins * this.params.stride,
      output,
      urgency: arrival.urgency,
      begun: (read, hits) => {
        arrival.ran = this.clock.wall();
        arrival.read = read;
        arrival.hits = hits;
        arrival.seal = `${this.params.identifier}.${++this.runs}.${arrival.digest.slice(0, 8)}`;
        reply.begun();
      },
      token: () => {
        tokens += 1;
        if (prompt && tokens % this.params.stride === 0 && arrival.made.length < events - 1)
          reply.event(begins + arrival.made.length + 1);
      },
      whole: () => {
        deadline.abort();
        const finish = (): void => {
          const copy = reply.finish();
          if (copy) line.owed.push(copy);
        };
        if (!prompt) return reply.body(Number(/[?&]bytes=(\d+)/.exec(target)?.[1] ?? 0), finish);
        if (events > 0) reply.event(begins + arrival.made.length + 1);
        else reply.nothing();
        finish();
      },
    });
    if (!leave) return reply.refuse(503, this.params.retryAfter);
    response.once('close', () => {
      deadline.abort();
      leave();
      if (arrival.ended === 'running') arrival.ended = 'left';
    });
    if (!(patience > 0)) return;
    void this.clock.sleep(patience, deadline.signal).then(() => {
      if (deadline.signal.aborted) return;
      leave();
      if (arrival.ran === 0) reply.refuse(503, this.params.retryAfter);
      else reply.expire();
    });
  }

  /** The events a stream is taken up behind, right or wrong. */
  private startsAt({ after, stream }: Arrival): number {
    if (!stream || after === 0) return 0;
    const wrong = this.troubles.strikes('anew', 'skips', 'repeats');
    return wrong === 'anew'
      ? 0
      : wrong === 'skips'
        ? after + 1
        : wrong === 'repeats'
          ? after - 1
          : after;
  }
}
