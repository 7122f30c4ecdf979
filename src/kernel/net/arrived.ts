/** Waiting until what has arrived is read, before something is judged late by a timer that came due first. */

/**
 * Lets the event loop accept and read once what has arrived by now, as after a standstill of the process. The first round
 * may be the rest of one whose sockets were asked before a standstill within it, so a second one is waited for.
 */
export const arrivedIsRead = (): Promise<void> =>
  new Promise((resolve) => setImmediate(() => setImmediate(resolve)));
