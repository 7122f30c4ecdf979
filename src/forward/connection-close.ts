/**
 * Why this process closed a connection of a client. The reason is noted before the socket is destroyed, so that each
 * request which ends with its connection can name what ended it; a close that nobody accounts for shows as such.
 */
import type { Socket } from 'node:net';

/** What closes a whole connection, apart from the end of a request on it. */
export type CloseCause =
  /** It rested longer than its limit. */
  | 'idle-limit'
  /** It rested when this process was stopping. */
  | 'idle-at-stop'
  /** The time for a planned stop was over. */
  | 'stop-deadline'
  /** What came on it was no request, or did not come in time. */
  | 'parser-error'
  /** The client closed or reset it. */
  | 'client-left';

const causes = new WeakMap<Socket, CloseCause>();

/** Notes why a connection is about to be closed; the first reason stays. */
export const noteClose = (socket: Socket, cause: CloseCause): void => {
  if (!causes.has(socket)) causes.set(socket, cause);
};

/** Why a connection was closed, as far as that is known: noted here, or seen on the socket where the client left. */
export const closeCauseOf = (socket: Socket): CloseCause | undefined => {
  const noted = causes.get(socket);
  if (noted) return noted;
  const hasLeft = socket.readableEnded || (socket.errored !== null && socket.errored !== undefined);
  return hasLeft ? 'client-left' : undefined;
};

/** Closes a connection at once; one that its client has left is closed for that. */
export const closeConnection = (socket: Socket, cause: CloseCause): void => {
  noteClose(socket, closeCauseOf(socket) ?? cause);
  socket.destroy();
};
