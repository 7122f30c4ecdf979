/** Waiting until what has arrived is read, before something is judged late by a timer that came due first. */

/** Lets the event loop accept and read once what has arrived by now, as after a standstill of the process. */
export const arrivedIsRead = (): Promise<void> =>
  new Promise((resolve) => setImmediate(() => resolve()));
