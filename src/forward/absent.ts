/** Stands where forwarding is not there yet: every request is told that it was not run. */
import type { RequestHandler } from './face.js';

export const absentForwarder: RequestHandler = {
  open: 0,
  handle: (_, response) => void response.writeHead(503, { 'retry-after': '1' }).end(),
  drain: () => Promise.resolve(0),
};
