/**
 * A TCP relay in front of one address, on which links are cut, delayed and reset. Every connection belongs to a link: to
 * that of the process that opened it, where its first bytes tell which one that is, and to the link that all share.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { parseAddress } from '../../kernel/net/net.js';
import { Link } from './link.js';
import { Pump } from './pump.js';

/** Reads from the first bytes of a connection who opened it; undefined while they don't tell yet. */
export type Identify = (first: Buffer) => string | undefined;

/** A relay in front of one address. */
export class Relay {
  /** The link that all connections share. */
  readonly all = new Link();
  private readonly links = new Map<string, Link>();
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  /** Without `identify` every connection is on the shared link alone. */
  constructor(
    private readonly target: () => string,
    private readonly identify?: Identify,
  ) {
    this.server = createServer({ allowHalfOpen: true }, (socket) => this.accept(socket));
  }

  listen(address: string): Promise<string> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host, port, backlog: 1024 }, () => {
        resolve(`${host}:${(this.server.address() as { port: number }).port}`);
      });
    });
  }

  /** The link of connections that a process opens. */
  from(source: string): Link {
    const known = this.links.get(source);
    if (known) return known;
    const link = new Link();
    this.links.set(source, link);
    return link;
  }

  close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private track(socket: Socket): void {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.once('close', () => this.sockets.delete(socket));
  }

  private accept(opener: Socket): void {
    this.track(opener);
    if (this.all.effect.refuse) return void opener.resetAndDestroy();
    if (!this.identify) return this.join(opener, [this.all]);
    this.readIdentity(opener, this.identify);
  }

  private readIdentity(opener: Socket, identify: Identify): void {
    let first = Buffer.alloc(0);
    const end = (): void => void opener.end();
    const read = (chunk: Buffer): void => {
      first = Buffer.concat([first, chunk]);
      const source = identify(first);
      if (source === undefined) return;
      opener.off('data', read);
      opener.off('end', end);
      opener.pause();
      const link = this.from(source);
      if (link.effect.refuse) return void opener.resetAndDestroy();
      opener.unshift(first);
      this.join(opener, [this.all, link]);
    };
    opener.on('data', read);
    opener.once('end', end);
  }

  private join(opener: Socket, links: readonly Link[]): void {
    const { host, port } = parseAddress(this.target());
    const target = connect({ host, port, allowHalfOpen: true });
    this.track(target);
    const reset = (): void => {
      forward.stop();
      backward.stop();
      opener.resetAndDestroy();
      target.resetAndDestroy();
    };
    const inspect = (): boolean => {
      const isLost = links.some(({ effect }) => effect.loseAnswers);
      if (isLost) reset();
      return !isLost;
    };
    const forward = new Pump(opener, target);
    const backward = new Pump(target, opener, inspect);
    const update = (): void => {
      const delay = Math.max(...links.map(({ effect }) => effect.delay));
      const rate = Math.min(...links.map(({ effect }) => effect.rate));
      forward.set({ isHeld: links.some(({ effect }) => effect.holdForward), delay, rate });
      backward.set({ isHeld: links.some(({ effect }) => effect.holdBackward), delay, rate });
    };
    const unwatch = links.map((link) => link.watch(update, reset));
    const closed = (): void => {
      if (!opener.destroyed || !target.destroyed) return;
      for (const each of unwatch) each();
    };
    opener.once('close', closed);
    target.once('close', closed);
  }
}
