/**
 * Requests that a caller sends ahead on one connection take turns in the order they came, and none is begun behind an
 * answer that told the connection's end: its own answer could not be given.
 */
import type { Socket } from 'node:net';
import type { Caller } from './caller.js';

interface Turn {
  readonly caller: Caller;
  readonly ended: Promise<void>;
}

export class Turns {
  private readonly newest = new WeakMap<Socket, Turn>();

  /** Whether another request was taken behind this one on its connection. */
  isFollowed(socket: Socket, caller: Caller): boolean {
    return this.newest.get(socket)?.caller !== caller;
  }

  /** Runs when the connection's earlier requests have ended, or never. */
  take(socket: Socket, caller: Caller, run: () => Promise<void>): Promise<void> {
    const before = this.newest.get(socket);
    const ended = before
      ? before.ended.then(() => (before.caller.last ? caller.skip(before.caller) : run()))
      : run();
    this.newest.set(socket, { caller, ended: ended.catch(() => undefined) });
    return ended;
  }
}
