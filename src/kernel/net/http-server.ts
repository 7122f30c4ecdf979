/**
 * HTTP servers that hand on every field of a header. Node.js drops the fields beyond a count that is set by default, without
 * a word, and with them such as tell the length of the body. Here a header is bounded by its bytes alone, and one that is
 * over them is refused with 431.
 */
import { createServer, type RequestListener, type Server, type ServerOptions } from 'node:http';

/** Node's word for no bound on the count of fields. */
const ALL_FIELDS = 0;

/** Has a server hand on every field of a header, however many there are. */
export const readAllFields = <S extends Pick<Server, 'maxHeadersCount'>>(server: S): S => {
  server.maxHeadersCount = ALL_FIELDS;
  return server;
};

/** Bounds the bytes of headers on the connections that are opened from now on, their first lines included. */
export const boundHeaders = (server: Server, bytes: number): void => {
  // Node.js reads this at each new connection; its types name it only among the options.
  Object.assign(server, { maxHeaderSize: bytes });
};

/** Makes a server that hands on every field of a header. */
export const createHttpServer = (options: ServerOptions, listener?: RequestListener): Server =>
  readAllFields(createServer(options, listener));
