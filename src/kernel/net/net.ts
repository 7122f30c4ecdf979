/**
 * Channels between our own processes: whole frames over TCP by IP number, each frame led by its length. A frame over
 * the bound, or a channel that stops reading, ends the channel. A channel that has closed stays closed.
 */
import { Injectable } from '@nestjs/common';
import { connect, createServer, type Server, type Socket } from 'node:net';
import { Right } from 'purify-ts';
import { failed, reasonOf, type Outcome } from '../fault/fault.js';
import { arrivedIsRead } from './arrived.js';

/** The most bytes that a frame may have. */
export const FRAME_BOUND = 16 * 1024 * 1024;
const LENGTH_BYTES = 4;
/** A frame of up to so many bytes is copied behind its length, which is cheaper than a write of two pieces. */
const COPIED_BYTES = 16 * 1024;
const UNSENT_BOUND = 64 * 1024 * 1024;

/** A connection between two processes that carries frames in order. */
export interface Channel {
  readonly peer: string;
  /** Bytes that have come in so far, also those of a frame that is not whole yet. */
  readonly received: number;
  /** Whether a part of a frame has come in, and the rest has not. */
  readonly isReceiving: boolean;
  send(frame: Uint8Array): boolean;
  receive(): Promise<Uint8Array | undefined>;
  close(): void;
}

/** An address on which connections are accepted. */
export interface Listener {
  readonly address: string;
  close(): void;
}

/** Listening for connections, and opening them. */
export interface Net {
  listen(address: string, accept: (channel: Channel) => void): Promise<Outcome<Listener>>;
  dial(address: string, limit: number): Promise<Outcome<Channel>>;
}

/** Frames that arrived and those who wait for them; used by real and simulated channels alike. */
export class Inbox {
  private readonly frames: Uint8Array[] = [];
  private readonly waiters: Array<(frame: Uint8Array | undefined) => void> = [];
  private ended = false;

  put(frame: Uint8Array): void {
    const waiter = this.waiters.shift();
    if (waiter) waiter(frame);
    else this.frames.push(frame);
  }

  end(): void {
    this.ended = true;
    for (const waiter of this.waiters.splice(0)) waiter(undefined);
  }

  take(): Promise<Uint8Array | undefined> {
    const frame = this.frames.shift();
    if (frame || this.ended) return Promise.resolve(frame);
    return new Promise((resolve) => this.waiters.push(resolve));
  }

  get size(): number {
    return this.frames.length;
  }
}

class SocketChannel implements Channel {
  private readonly inbox = new Inbox();
  private pending: Buffer = Buffer.alloc(0);
  received = 0;

  constructor(
    private readonly socket: Socket,
    readonly peer: string,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (chunk) => this.collect(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.inbox.end());
  }

  get isReceiving(): boolean {
    return this.pending.length > 0;
  }

  send(frame: Uint8Array): boolean {
    if (this.socket.destroyed || frame.length > FRAME_BOUND) return false;
    if (this.socket.writableLength > UNSENT_BOUND) {
      this.close();
      return false;
    }
    const head = Buffer.allocUnsafe(LENGTH_BYTES);
    head.writeUInt32BE(frame.length);
    if (frame.length <= COPIED_BYTES) {
      this.socket.write(Buffer.concat([head, frame]));
      return true;
    }
    this.socket.cork();
    this.socket.write(head);
    this.socket.write(frame);
    this.socket.uncork();
    return true;
  }

  receive(): Promise<Uint8Array | undefined> {
    const frame = this.inbox.take();
    if (this.inbox.size < 64) this.socket.resume();
    return frame;
  }

  close(): void {
    this.socket.destroy();
  }

  private collect(chunk: Buffer): void {
    this.received += chunk.length;
    this.pending = this.pending.length ? Buffer.concat([this.pending, chunk]) : chunk;
    while (this.pending.length >= 4) {
      const length = this.pending.readUInt32BE();
      if (length > FRAME_BOUND) return this.close();
      if (this.pending.length < 4 + length) break;
      this.inbox.put(this.pending.subarray(4, 4 + length));
      this.pending = this.pending.subarray(4 + length);
    }
    if (this.inbox.size >= 256) this.socket.pause();
  }
}

/** Splits `IP:PORT` into its two parts. */
export const parseAddress = (address: string): { host: string; port: number } => {
  const cut = address.lastIndexOf(':');
  return {
    host: address.slice(0, cut).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(cut + 1)),
  };
};

/** The net of the operating system: frames over TCP. */
@Injectable()
export class TcpNet implements Net {
  listen(address: string, accept: (channel: Channel) => void): Promise<Outcome<Listener>> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve) => {
      const server: Server = createServer((socket) =>
        accept(new SocketChannel(socket, `${socket.remoteAddress}:${socket.remotePort}`)),
      );
      server.maxConnections = 4096;
      // Once it listens, an error is that of a connection which could not be accepted, and ends nothing else.
      server.on('error', (thrown) => resolve(failed('net.listen', address, reasonOf(thrown))));
      server.listen(port, host, () => {
        const bound = server.address() as { port: number };
        resolve(Right({ address: `${host}:${bound.port}`, close: () => void server.close() }));
      });
    });
  }

  dial(address: string, limit: number): Promise<Outcome<Channel>> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve) => {
      const socket = connect({ host, port });
      const giveUp = async (): Promise<void> => {
        // It may have come up while this process stood still.
        await arrivedIsRead();
        if (socket.connecting) socket.destroy(new Error(`no channel within ${limit} ms`));
      };
      socket.setTimeout(limit, () => void giveUp());
      socket.once('error', (thrown) => resolve(failed('net.dial', address, reasonOf(thrown))));
      socket.once('connect', () => {
        socket.setTimeout(0);
        resolve(Right(new SocketChannel(socket, address)));
      });
    });
  }
}
