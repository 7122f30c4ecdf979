/** What a process says of itself over HTTP: alive, ready to serve, and its metrics. */
import { Controller, Get, Inject, Res } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import { Registry } from 'prom-client';
import { names } from '../../node/names.js';

export type ReadyQuestion = () => string;

@Controller()
export class StatusController {
  constructor(
    @Inject(names.status) private readonly status: ReadyQuestion,
    @Inject(names.metrics) private readonly metrics: Registry,
  ) {}

  @Get('live')
  live(): { live: boolean } {
    return { live: true };
  }

  @Get('ready')
  ready(@Res() reply: FastifyReply): void {
    const reason = this.status();
    void reply.status(reason ? 503 : 200).send({ ready: !reason, reason });
  }

  @Get('metrics')
  async text(@Res() reply: FastifyReply): Promise<void> {
    const text = await this.metrics.metrics();
    void reply.header('content-type', this.metrics.contentType).send(text);
  }
}
