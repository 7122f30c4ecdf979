/** The callers' face: the published chat format in, whole server-sent events or one collected result out. */
import { Controller, Inject, Post, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import type { Random } from '../../kernel/random/random.js';
import { fault, reasonOf, type Fault } from '../../kernel/fault/fault.js';
import type { Keys } from '../../node/keys.js';
import { names } from '../../node/names.js';
import type { Decline, Passage } from '../../passage/passage.js';
import { readRequest } from '../../passage/request.js';
import { CollectSink, StreamSink } from './sinks.js';

const decline = (
  reply: FastifyReply,
  status: number,
  { step, peer, reason }: Fault,
  outcome: 'declined' | 'unknown',
  requestId: string,
  retryAfter?: number,
): void => {
  if (retryAfter !== undefined) void reply.header('retry-after', String(retryAfter));
  void reply
    .status(status)
    .header('x-request-id', requestId)
    .send({ error: { message: reason, type: outcome, code: step }, outcome, reason, step, peer });
};

@Controller()
export class CallersController {
  constructor(
    @Inject(names.passage) private readonly passage: Passage,
    @Inject(names.keys) private readonly keys: Keys,
    @Inject(names.random) private readonly random: Random,
  ) {}

  @Post(['v1/chat/completions', ':place/v1/chat/completions'])
  async chat(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const headers = new Map(
      Object.entries(request.headers).flatMap(([name, value]) =>
        typeof value === 'string' ? [[name, value] as const] : [],
      ),
    );
    const freshId = `r-${this.random.identity()}`;
    const id = headers.get('x-request-id') ?? freshId;
    const key = /^Bearer (.+)$/.exec(headers.get('authorization') ?? '')?.[1];
    const firm = key === undefined ? undefined : this.keys.caller(key);
    if (firm === undefined)
      return decline(
        reply,
        401,
        fault('caller.key', 'caller', 'the key is missing or not known'),
        'declined',
        id,
      );
    const path = request.url.split('?')[0]!;
    const read = readRequest({ firm, path, headers, body: request.body, freshId });
    if (read.isLeft()) return decline(reply, 400, read.extract() as Fault, 'declined', id);
    const asked = read.unsafeCoerce();
    const sink = asked.stream ? new StreamSink(reply, asked.id) : new CollectSink(reply, asked.id);
    const ending = await this.passage.carry(asked, sink).catch((thrown: unknown): Decline => ({
      outcome: 'unknown',
      status: 500,
      fault: fault('passage', 'self', reasonOf(thrown), 'unknown'),
      retryAfter: undefined,
    }));
    if (ending.outcome === 'result' || ending.outcome === 'broken') return;
    if (reply.sent || reply.raw.headersSent) return void reply.raw.destroy();
    decline(reply, ending.status, ending.fault, ending.outcome, asked.id, ending.retryAfter);
  }
}
