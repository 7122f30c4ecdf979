/**
 * Routing work on loopback: one process with a router's own forwarder in front of one with stand-in engines, so that the
 * forwarder's processor time and memory are told apart from the engines' and the callers'.
 */
import type { RequestListener, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { NestFactory } from '@nestjs/core';
import type { InForce } from '../../doorway/match.js';
import type { Forwarder } from '../../forward/forwarder.js';
import { createHttpServer } from '../../kernel/net/http-server.js';
import { silentLog } from '../../kernel/log/log.js';
import { names } from '../../node/names.js';
import { checkParams } from '../../params/shape.js';
import type { Engine } from '../../pool/engine.js';
import { genesis } from '../../register/document.js';
import { RouterModule } from '../../router/module.js';
import type { Role } from './role.js';

/** The service that the requests are for. */
export const SERVICE = 'slopes';
const SEAL = { 'x-answer-seal': 'seal' };

const portOf = async (handle: RequestListener): Promise<number> => {
  const server = createHttpServer({ keepAliveTimeout: 60_000 }, handle);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
};

const events = async (response: ServerResponse, count: number, gap: number): Promise<void> => {
  for (let at = 1; at <= count && !response.destroyed; at++) {
    response.write(
      `id: ${at}\ndata: {"text":"some words of an answer, as long as they come","at":${at}}\n\n`,
    );
    if (gap > 0 && at < count) await pause(gap);
  }
  response.end();
};

/** Answers with as many events as the path says, with a gap in ms between them: /COUNT/GAP. */
export const engine = (async () => ({
  ready: await portOf((request, response) => {
    const [count, gap] = request.url!.split('/').slice(-2).map(Number);
    request.resume().on('end', () => {
      response.writeHead(200, {
        ...SEAL,
        'x-request-id': request.headers['x-request-id'] ?? '',
        'content-type': 'text/event-stream',
      });
      void events(response, count!, gap!);
    });
  }),
  answer: () => undefined,
})) satisfies Role as Role;

/** The ports of the forwarder and its engines. */
export interface ForwarderPlan {
  /** Ports of the stand-ins; all but the first of the engines share them in turn. */
  readonly ports: readonly number[];
  readonly engines: number;
}

/** The role of a router that forwards requests. */
export const forwarder = (async ({ ports, engines }: ForwarderPlan) => {
  const params = checkParams({ name: 'router-1' }).unsafeCoerce();
  const listed = new Map(
    Array.from({ length: engines }, (_, at): [string, Engine] => [
      `engine-${at}`,
      {
        identifier: `engine-${at}`,
        address: `127.0.0.1:${ports[at % ports.length]}`,
        model: 'model',
        adapters: new Set<string>(),
        weightGeneration: 'w1',
        zone: 'zone-1',
        labels: new Map<string, string>(),
        cacheCapacity: 262_144,
        prefillRate: 51_000,
        leaving: false,
        service: SERVICE,
        slots: 4096,
      },
    ]),
  );
  const services = new Map<string, unknown>([
    [names.log, silentLog],
    [names.lease, { holds: () => true, serves: () => true, nodes: 1 }],
    [names.news, { placed: () => listed, listed }],
  ]);
  const context = await NestFactory.createApplicationContext(
    RouterModule.with(params, { services, faces: [] }),
    { logger: false, abortOnError: false },
  );
  const route = {
    name: 'route',
    host: 'slopes.example',
    prefix: '/',
    kind: 'streaming' as const,
    timeout: 600_000,
    target: 600_000,
    gap: 600_000,
    service: SERVICE,
    attempts: 2,
  };
  context.get<InForce>(names.inForce).swap({
    ...genesis('slopes', []),
    configuration: {
      version: 1,
      routes: [route],
      services: [{ name: SERVICE, connections: 4096 }],
    },
  });
  const handler = context.get<Forwarder>(names.forwarder);
  return {
    ready: await portOf((request, response) => handler.handle(request, response)),
    answer: () => ({ open: handler.open }),
  };
}) satisfies (plan: ForwarderPlan) => unknown as Role;
