/**
 * A small HTTP server for questions that a process answers by itself, without an application: it costs a process little
 * to start and little to answer. Whatever is not such a question goes to a handler.
 */
import type { RequestListener, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Right } from 'purify-ts';
import { failed, reasonOf, type Outcome } from '../../kernel/fault/fault.js';
import { createHttpServer } from '../../kernel/net/http-server.js';
import { parseAddress } from '../../kernel/net/net.js';
import type { Face } from '../../node/extension.js';

const KEEP_ALIVE = 30_000;
const READING_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD']);
const JSON_TYPE = 'application/json; charset=utf-8';

/** Writes the whole answer to one question. */
export type Answer = (response: ServerResponse) => void | Promise<void>;

/** The answers to the questions that are read at their paths. */
export type Answers = ReadonlyMap<string, Answer>;

/** Answers with a text, and leaves a closed connection alone. */
export const sendText = (
  response: ServerResponse,
  status: number,
  text: string,
  type = 'text/plain; charset=utf-8',
): void => {
  response.writeHead(status, { 'content-type': type, 'content-length': Buffer.byteLength(text) });
  response.end(text);
};

/** Answers with a value as JSON. */
export const sendJson = (response: ServerResponse, status: number, value: unknown): void =>
  sendText(response, status, JSON.stringify(value), JSON_TYPE);

const notFound: RequestListener = (_, response) =>
  sendJson(response, 404, { statusCode: 404, message: 'Not Found' });

const pathOf = (url = '/'): string => url.split('?', 1)[0]!;

/** The server of such questions. */
export class PlainFace implements Face {
  private readonly server: Server;

  /** `otherwise` takes every request that asks none of the questions. */
  constructor(
    private readonly answers: Answers,
    private readonly otherwise: RequestListener = notFound,
  ) {
    this.server = createHttpServer(
      { requestTimeout: 0, keepAliveTimeout: KEEP_ALIVE },
      (request, response) => {
        const asks = READING_METHODS.has(request.method ?? '');
        const answer = asks ? this.answers.get(pathOf(request.url)) : undefined;
        if (answer) this.answer(answer, response);
        else this.otherwise(request, response);
      },
    );
  }

  /** Where it listens. */
  get address(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  listen(address: string): Promise<Outcome<this>> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve) => {
      const refuse = (thrown: Error): void =>
        resolve(failed('face.listen', address, reasonOf(thrown)));
      this.server.once('error', refuse);
      this.server.listen(port, host, () => {
        this.server.off('error', refuse);
        // A connection that could not be accepted, as for want of file descriptors, ends nothing else.
        this.server.on('error', () => undefined);
        resolve(Right(this));
      });
    });
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private answer(answer: Answer, response: ServerResponse): void {
    Promise.resolve(answer(response)).catch((thrown: unknown) => {
      if (response.headersSent) response.destroy();
      else sendJson(response, 500, { statusCode: 500, message: reasonOf(thrown) });
    });
  }
}
