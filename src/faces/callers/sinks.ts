/**
 * Where pieces go: straight on to the caller as server-sent events, or collected into one result. Back-pressure runs
 * through `write`. A stream that broke ends with an error event and a cut connection; a collected one that broke is
 * told as unknown, and nothing of it is shown.
 */
import type { FastifyReply } from 'fastify';
import type { Fault } from '../../kernel/fault/fault.js';
import type { Sink } from '../../passage/trip.js';
import type { SseEvent } from '../../passage/sse.js';

abstract class CallerSink implements Sink {
  private readonly leave = new AbortController();
  readonly gone = this.leave.signal;

  constructor(
    protected readonly reply: FastifyReply,
    protected readonly requestId: string,
  ) {
    reply.raw.once('close', () => {
      if (!reply.raw.writableFinished) this.leave.abort();
    });
  }

  abstract write(event: SseEvent, engine: string): Promise<boolean>;
  abstract complete(): void;
  abstract broken(reason: Fault): void;
}

export class StreamSink extends CallerSink {
  private begun = false;

  async write(event: SseEvent, engine: string): Promise<boolean> {
    const { raw } = this.reply;
    if (!this.begun) {
      this.begun = true;
      this.reply.hijack();
      raw.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
        'x-request-id': this.requestId,
        'x-engine-id': engine,
      });
    }
    if (raw.destroyed) return false;
    if (raw.write(event.raw)) return true;
    await new Promise<void>((resolve) => {
      const done = (): void => {
        raw.off('drain', done);
        raw.off('close', done);
        resolve();
      };
      raw.once('drain', done);
      raw.once('close', done);
    });
    return !raw.destroyed;
  }

  complete(): void {
    this.reply.raw.end();
  }

  broken({ step, peer, reason }: Fault): void {
    const { raw } = this.reply;
    if (raw.destroyed) return;
    const event = `event: error\ndata: ${JSON.stringify({ error: { message: reason, type: 'broken', code: step }, outcome: 'unknown', reason, step, peer })}\n\n`;
    raw.write(event, () => raw.destroy());
  }
}

interface Piece {
  id?: string;
  model?: string;
  created?: number;
  choices?: Array<{ delta?: { content?: string }; finish_reason?: string | null }>;
  usage?: unknown;
}

export class CollectSink extends CallerSink {
  private readonly pieces: Piece[] = [];

  write(event: SseEvent): Promise<boolean> {
    if (event.data !== '[DONE]') this.pieces.push(JSON.parse(event.data) as Piece);
    return Promise.resolve(!this.gone.aborted);
  }

  complete(): void {
    const content = this.pieces.map((piece) => piece.choices?.[0]?.delta?.content ?? '').join('');
    const finish = this.pieces
      .map((piece) => piece.choices?.[0]?.finish_reason)
      .find((reason) => typeof reason === 'string');
    const { id, model, created } = this.pieces[0] ?? {};
    const usage = this.pieces.find((piece) => piece.usage)?.usage;
    void this.reply
      .status(200)
      .header('x-request-id', this.requestId)
      .send({
        id,
        object: 'chat.completion',
        created,
        model,
        choices: [{ index: 0, message: { role: 'assistant', content }, finish_reason: finish }],
        usage,
      });
  }

  broken({ step, peer, reason }: Fault): void {
    void this.reply
      .status(502)
      .header('x-request-id', this.requestId)
      .send({
        error: { message: reason, type: 'unknown', code: step },
        outcome: 'unknown',
        reason,
        step,
        peer,
      });
  }
}
