/** Configurations of as many routes as a sweep asks for, and patches of one of them. */
import type { Configuration, Patch, Route } from '../../route/shape.js';

const SERVICES = 24;

const route = (at: number, timeout: number): Route => ({
  name: `route-${at}`,
  host: `tenant-${at}.example`,
  prefix: `/v1/chat/`,
  kind: at % 3 === 0 ? 'non_idempotent' : 'streaming',
  timeout,
  target: 1500,
  gap: 27,
  priority: at % 4,
  attempts: 2,
  affinity: true,
  resume: at % 3 !== 0,
  service: `service-${at % SERVICES}`,
});

/** A configuration with as many routes as asked for. */
export const configurationOf = (items: number, version: number): Configuration => ({
  version,
  routes: Array.from({ length: items }, (_, at) => route(at, 60_000)),
  services: Array.from({ length: SERVICES }, (_, at) => ({
    name: `service-${at}`,
    connections: 512,
    engine: { slots: 64, cacheTokens: 524_288, stride: 1 },
  })),
});

/** A patch of one route. */
export const patchOf = (at: number, version: number): Patch => ({
  version,
  set: { routes: [route(at, 60_000 + version)] },
  remove: {},
});
