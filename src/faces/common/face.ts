/** An HTTP face of a process: a small Nest application on the Fastify adapter, given the services it needs by name. */
import { Module, type DynamicModule, type Type } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import { FastifyAdapter, type NestFastifyApplication } from '@nestjs/platform-fastify';
import { attempt, type Outcome } from '../../kernel/fault/fault.js';
import { readAllFields } from '../../kernel/net/http-server.js';
import { parseAddress } from '../../kernel/net/net.js';
import type { Application } from './on-demand-face.js';

@Module({})
class FaceModule {
  static with(controllers: Type[], services: ReadonlyMap<string, unknown>): DynamicModule {
    return {
      module: FaceModule,
      controllers,
      providers: [...services].map(([provide, useValue]) => ({ provide, useValue })),
    };
  }
}

/** How often, within the time that a request may take to come, connections are looked through for late ones. */
const CHECKS_PER_TIMEOUT = 4;

const createApplication = (
  bodyLimit: number,
  controllers: Type[],
  services: ReadonlyMap<string, unknown>,
  requestTimeout: number,
): Promise<NestFastifyApplication> => {
  const adapter = new FastifyAdapter({
    bodyLimit,
    forceCloseConnections: true,
    keepAliveTimeout: 30_000,
    requestTimeout,
    ...(requestTimeout > 0 && {
      http: {
        requestTimeout,
        headersTimeout: requestTimeout,
        connectionsCheckingInterval: Math.ceil(requestTimeout / CHECKS_PER_TIMEOUT),
      },
    }),
  });
  readAllFields(adapter.getInstance().server);
  return NestFactory.create<NestFastifyApplication>(
    FaceModule.with(controllers, services),
    adapter,
    { logger: false, abortOnError: false },
  );
};

/** Opens a face. A request that has not come whole within `requestTimeout` milliseconds is answered 408; 0 sets no bound. */
export const openFace = (
  address: string,
  bodyLimit: number,
  controllers: Type[],
  services: ReadonlyMap<string, unknown>,
  requestTimeout = 0,
): Promise<Outcome<NestFastifyApplication>> =>
  attempt('face.listen', address, async () => {
    const app = await createApplication(bodyLimit, controllers, services, requestTimeout);
    const { host, port } = parseAddress(address);
    await app.listen(port, host);
    return app;
  });

/** Makes the application of a face without listening. */
export const makeApplication = (
  bodyLimit: number,
  controllers: Type[],
  services: ReadonlyMap<string, unknown>,
): Promise<Outcome<Application>> =>
  attempt('face.make', 'self', async () => {
    const app = await createApplication(bodyLimit, controllers, services, 0);
    await app.init();
    const fastify = app.getHttpAdapter().getInstance();
    await fastify.ready();
    return {
      handle: (request, response) => fastify.routing(request, response),
      close: () => app.close(),
    };
  });
