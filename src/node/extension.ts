/**
 * What a deployment adds to a daemon without the product knowing it: services that take the place of its own, by name
 * (src/node/names.ts), and faces beside its own, which reach the node's services by the same names.
 */
import type { Provider } from '@nestjs/common';
import type { Duration } from '../kernel/clock/clock.js';
import type { Outcome } from '../kernel/fault/fault.js';

/**
 * Something that listens. On a planned stop all faces retire, accept what waits, then halt, and settle once what was taken is
 * ended; then they close.
 */
export interface Face {
  /** Tells whoever is connected to go elsewhere, and goes on taking what comes. */
  retire?(): void;
  /** Accepts the connections that wait to be accepted, until none does or the limit has come. */
  acceptWaiting?(limit: Duration): Promise<void>;
  /** Takes nothing new; connections that wait to be accepted are lost. */
  halt?(): void;
  /**
   * Waits, at most `limit` ms, until nothing is under way on any connection, and closes those on which nothing is, so that
   * nothing more comes.
   */
  settle?(limit: Duration): Promise<void>;
  close(): Promise<unknown>;
}

/** The services of a running node, by name. */
export type Services = ReadonlyMap<string, unknown>;

/** What a deployment adds to a node or puts in place of its own parts. */
export interface Extension {
  readonly services: ReadonlyMap<string, unknown>;
  readonly faces: ReadonlyArray<(services: Services) => Promise<Outcome<Face>>>;
}

/** Adds nothing. */
export const noExtension: Extension = { services: new Map(), faces: [] };

/** The providers of a module with some of its services replaced. */
export const extended = (
  providers: readonly Provider[],
  services: ReadonlyMap<string, unknown>,
): Provider[] => [
  ...providers.filter(
    (provider) => !('provide' in provider && services.has(String(provider.provide))),
  ),
  ...[...services].map(([provide, useValue]) => ({ provide, useValue })),
];
