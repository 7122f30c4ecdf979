/**
 * An engine of the pages on a raw socket. It reads one request at a time on a connection and hands it to a function of
 * the case, which writes what it likes; without one it answers as a sound engine does.
 */
import net from 'node:net';
import { listen } from './world-2.mjs';

let lives = 0;

/** Cuts the bytes of one connection into requests. */
class RequestReader {
  constructor() {
    this.held = Buffer.alloc(0);
  }

  push(bytes) {
    this.held = Buffer.concat([this.held, bytes]);
  }

  /** The next whole request; undefined while there is none. */
  next() {
    const end = this.held.indexOf('\r\n\r\n');
    if (end < 0) return undefined;
    const [first, ...lines] = this.held.subarray(0, end).toString('latin1').split('\r\n');
    const [method, target] = first.split(' ');
    const headers = new Map(
      lines.map((line) => {
        const at = line.indexOf(':');
        return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()];
      }),
    );
    const length = Number(headers.get('content-length') ?? 0);
    if (this.held.length < end + 4 + length) return undefined;
    const body = this.held.subarray(end + 4, end + 4 + length);
    this.held = this.held.subarray(end + 4 + length);
    return { method, target, headers, body, id: headers.get('rudderridge-request-id') };
  }
}

export class Engine {
  constructor(world, number, answer = sound) {
    this.world = world;
    this.host = world.engineHosts[number - 1];
    this.name = `engine-${number}`;
    this.answer = answer;
    this.slots = 64;
    this.state = 'ready';
    this.isListed = true;
    this.identifier = `i-${number}-${++lives}`;
    this.runs = [];
    this.sockets = new Set();
  }

  get address() {
    return `${this.host}:${this.world.ports.engine}`;
  }

  async open() {
    this.server = net.createServer((socket) => this.serve(socket));
    await listen(this.server, this.world.ports.engine, this.host);
    this.world.engines.push(this);
    return this;
  }

  serve(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    const reader = new RequestReader();
    let isBusy = false;
    const turn = async () => {
      if (isBusy) return;
      isBusy = true;
      for (let request = reader.next(); request; request = reader.next())
        await this.take(request, socket);
      isBusy = false;
    };
    socket.on('data', (bytes) => {
      reader.push(bytes);
      void turn();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
  }

  async take(request, socket) {
    const expected = request.headers.get('rudderridge-expect-instance');
    if (request.method === 'GET' && request.target === '/health')
      return void socket.write(
        `HTTP/1.1 200 OK\r\nRudderridge-Instance: ${this.identifier}\r\nContent-Length: 0\r\n\r\n`,
      );
    if (expected !== undefined && expected !== this.identifier) {
      this.world.record.say(this.name, 'refuses', request.id, 'meant for', expected);
      return void socket.write(
        `HTTP/1.1 421 Misdirected\r\nRudderridge-Request-Id: ${request.id}\r\nRudderridge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`,
      );
    }
    await this.answer(this, request, socket);
  }

  /** Notes that a request began to run. */
  run(request) {
    this.runs.push(request.id);
    this.world.record.say(
      this.name,
      'runs',
      request.id,
      request.method,
      request.target,
      `last-event-id=${request.headers.get('last-event-id') ?? '-'}`,
    );
  }

  close() {
    this.server?.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

/** The head of an answer of an engine. */
export const headOf = (engine, request, fields = [], status = '200 OK') =>
  [
    `HTTP/1.1 ${status}`,
    `Rudderridge-Request-Id: ${request.id}`,
    `Rudderridge-Response-Seal: seal-${engine.identifier}-${request.id}`,
    'Rudderridge-Weight-Versions: 1',
    ...fields,
    '\r\n',
  ].join('\r\n');

/** One event of a stream, as a chunk. */
export const eventOf = (engine, request, id) => {
  const text = `id: ${id}\ndata: ${request.id} ${id}\n\n`;
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
};

/** A sound engine: a stream of ten events, 20 ms apart, which goes on behind the last event that the caller has. */
export const sound = async (engine, request, socket) => {
  engine.run(request);
  const from = Number(request.headers.get('last-event-id') ?? 0);
  socket.write(
    headOf(engine, request, ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']),
  );
  for (let id = from + 1; id <= 10 && !socket.destroyed; id++) {
    await new Promise((resolve) => setTimeout(resolve, 20));
    socket.write(eventOf(engine, request, id));
  }
  socket.write('0\r\n\r\n');
};
