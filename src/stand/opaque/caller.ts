/**
 * The stand-in caller of opaque requests. A try is one request on a connection of its own, read by hand; a request is
 * tried again as callers do: with an id of its own for each try, at another router, heeding the wait it is told up to a
 * third of the time it has left; what may run only once solely after the promise that it did not run, or when it never
 * reached the router; nothing after the caller's own fault. A stream is given up after a long silence.
 */
import { connect } from 'node:net';
import { ownDialect, type Dialect } from '../../forward/dialect.js';
import type { Clock } from '../../kernel/clock/clock.js';
import { parseAddress } from '../../kernel/net/net.js';
import type { Random } from '../../kernel/random/random.js';
import { AnswerReader } from './answer.js';
import { digestOfRequest, eventId, type Asked, type Try } from './record.js';

/** An opaque request that is to be sent. */
export interface Asking {
  readonly name: string;
  readonly host: string;
  readonly target: string;
  readonly method: string;
  readonly body: Buffer;
  /** Send the body in chunks of so many bytes; with a length when 0. */
  readonly chunked?: number;
  readonly fields?: ReadonlyArray<readonly [string, string]>;
  readonly repeatable: boolean;
  readonly resume?: boolean;
  /** ms for all tries together. */
  readonly deadline: number;
  /** ms of silence after which it gives up. */
  readonly silence: number;
  readonly furtherTries: number;
  /** ms that it waits between taking pieces, to be a slow reader. */
  readonly pauses?: number;
}

const CONNECT = 1000;
const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const finals: ReadonlySet<number> = new Set([400, 401, 404, 413, 431]);

/** The bytes of a request as they go on the connection. */
export const bytesOfRequest = (
  asking: Pick<Asking, 'method' | 'target' | 'host' | 'body' | 'chunked'>,
  fields: ReadonlyArray<readonly [string, string]>,
): Buffer => {
  const { method, target, host, body, chunked = 0 } = asking;
  const framing =
    chunked > 0
      ? ['Transfer-Encoding: chunked']
      : body.length > 0 || method === 'POST' || method === 'PUT'
        ? [`Content-Length: ${body.length}`]
        : [];
  const head = [
    `${method} ${target} HTTP/1.1`,
    `Host: ${host}`,
    ...fields.map(([name, value]) => `${name}: ${value}`),
    ...framing,
    '',
    '',
  ].join('\r\n');
  const pieces: Buffer[] = [Buffer.from(head, 'latin1')];
  if (chunked > 0) {
    for (let at = 0; at < body.length; at += chunked) {
      const piece = body.subarray(at, at + chunked);
      pieces.push(Buffer.from(`${piece.length.toString(16)}\r\n`), piece, Buffer.from('\r\n'));
    }
    pieces.push(Buffer.from('0\r\n\r\n'));
  } else pieces.push(body);
  return Buffer.concat(pieces);
};

/** A try that begins now. */
export const openTry = (id: string, router: string, at: number, after = 0): Try => ({
  id,
  router,
  at,
  after,
  ended: 0,
  connected: false,
  status: 0,
  answeredId: '',
  seal: '',
  encoding: '',
  retryAfter: undefined,
  body: '',
  events: [],
  stream: false,
  complete: false,
  malformed: '',
  surplus: 0,
  reason: '',
  firstAt: 0,
});

/** Notes what came back on a try, and why it ended where it did so without a whole answer. */
export const noteAnswer = (
  told: Try,
  reader: AnswerReader,
  reason: string,
  dialect: Dialect = ownDialect,
): void => {
  const [answer] = reader.answers;
  told.malformed = reader.malformed;
  told.surplus =
    Math.max(0, reader.answers.length - 1) + (answer?.complete && reader.rest > 0 ? 1 : 0);
  if (!answer) {
    told.reason = reason;
    return;
  }
  const { status, fields, body, complete } = answer;
  told.status = status;
  told.complete = complete;
  told.answeredId = fields.get(dialect.requestId) ?? '';
  told.seal = fields.get(dialect.seal) ?? '';
  told.encoding = fields.get('content-encoding') ?? '';
  const wait = Number(fields.get('retry-after'));
  told.retryAfter = fields.has('retry-after') && Number.isFinite(wait) ? wait * 1000 : undefined;
  told.body = body.toString('latin1');
  told.stream = (fields.get('content-type') ?? '').startsWith('text/event-stream');
  if (told.stream)
    told.events.push(...told.body.split(/(?<=\n\n)/).filter((event) => event.endsWith('\n\n')));
  if (!complete) told.reason = reason;
};

/** Sends opaque requests, tries again as callers do, and records the answers. */
export class OpaqueCaller {
  readonly asked: Asked[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly dialect: Dialect = ownDialect,
  ) {}

  /** Asks until it is answered, told no for good, or out of tries or time; `router` gives an address for each try. */
  async ask(
    asking: Asking,
    router: (attempt: number) => string,
    gone?: AbortSignal,
  ): Promise<Asked> {
    const { name, host, target, method, repeatable, resume = false } = asking;
    const asked: Asked = {
      name,
      host,
      target,
      method,
      repeatable,
      resume,
      digest: digestOfRequest(method, target, asking.body),
      began: this.clock.wall(),
      tries: [],
      outcome: 'failed',
    };
    this.asked.push(asked);
    const end = this.clock.now() + asking.deadline;
    for (let attempt = 0; attempt <= asking.furtherTries; attempt++) {
      const left = end - this.clock.now();
      if (left <= 0) break;
      const held = asked.tries.flatMap(({ events }) => events);
      const after = resume && held.length > 0 ? eventId(held[held.length - 1]!) : 0;
      const told = await this.tryOnce(asking, router(attempt), left, after, asked, gone);
      if (told.complete && told.status >= 200 && told.status < 300) {
        asked.outcome = 'served';
        break;
      }
      asked.outcome = told.complete && promises.has(told.status) ? 'refused' : 'failed';
      if (gone?.aborted || (told.complete && finals.has(told.status))) break;
      const unrun = !told.connected || (told.complete && promises.has(told.status));
      if (!repeatable && !unrun) break;
      const rest = end - this.clock.now();
      if (told.retryAfter !== undefined)
        await this.clock.sleep(Math.min(told.retryAfter, rest / 3));
    }
    return asked;
  }

  private tryOnce(
    asking: Asking,
    router: string,
    left: number,
    after: number,
    asked: Asked,
    gone?: AbortSignal,
  ): Promise<Try> {
    const told = openTry(this.random.identity(), router, this.clock.wall(), after);
    asked.tries.push(told);
    const fields: Array<readonly [string, string]> = [
      ...(asking.fields ?? []),
      [this.dialect.requestId, told.id],
      [this.dialect.deadline, String(Math.floor(left))],
      ...(after > 0 ? [['Last-Event-Id', String(after)] as const] : []),
      ['Connection', 'close'],
    ];
    const { host, port } = parseAddress(router);
    const reader = new AnswerReader(asking.method);
    return new Promise((resolve) => {
      const socket = connect({ host, port });
      const timers = new AbortController();
      const over = (reason: string): void => {
        if (timers.signal.aborted) return;
        timers.abort();
        gone?.removeEventListener('abort', leave);
        socket.destroy();
        reader.end();
        told.ended = this.clock.wall();
        noteAnswer(told, reader, reason, this.dialect);
        resolve(told);
      };
      const leave = (): void => over('given up by its caller');
      gone?.addEventListener('abort', leave, { once: true });
      if (gone?.aborted) return leave();
      let heard = this.clock.now();
      const watch = async (): Promise<void> => {
        while (!timers.signal.aborted) {
          const now = this.clock.now();
          const limit = told.connected
            ? heard + asking.silence
            : heard + Math.min(CONNECT, asking.silence);
          if (now >= limit) return void over(told.connected ? 'silent' : 'no connection');
          await this.clock.sleep(limit - now, timers.signal);
        }
      };
      void watch();
      void this.clock.sleep(left, timers.signal).then(() => over('its time was over'));
      socket.once('connect', () => {
        told.connected = true;
        heard = this.clock.now();
        socket.write(bytesOfRequest(asking, fields));
      });
      socket.on('data', (chunk: Buffer) => {
        heard = this.clock.now();
        reader.push(chunk);
        if (told.firstAt === 0 && (reader.answers[0]?.body.length ?? 0) > 0)
          told.firstAt = this.clock.wall();
        if (!asking.pauses) return;
        socket.pause();
        void this.clock.sleep(asking.pauses, timers.signal).then(() => socket.resume());
      });
      socket.once('error', (thrown) => over(thrown.message));
      socket.once('close', () => over('closed'));
    });
  }
}
