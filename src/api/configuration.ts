/**
 * The calls on the configuration of routes as faces use them, found by name (`names.configurator`). "accepted": committed
 * at a majority of the core and on its way to every router; "conflict": another version is in place and this change will
 * never be in force; "invalid": it can never be in force as it is; "unknown": it may or may not come to be.
 */
import type { Outcome } from '../kernel/fault/fault.js';
import type { Configuration, Patch } from '../route/shape.js';

/** What became of a change of the routes. */
export interface ConfigureReply {
  readonly outcome: 'accepted' | 'conflict' | 'invalid' | 'unknown';
  /** The operators' version in place, as far as is known here. */
  readonly version: number;
  readonly reason: string;
}

/** The calls on the configuration of routes. */
export interface ConfigurationCalls {
  /** Puts a whole configuration on top of the version `expects` (0 for the first); the same again is accepted again. */
  replace(configuration: unknown, expects: number, wait: number): Promise<ConfigureReply>;
  /** Changes named items on top of the version `expects`. */
  patch(patch: unknown, expects: number, wait: number): Promise<ConfigureReply>;
  /** The newest accepted configuration, read through a majority; undefined before the first. */
  read(wait: number): Promise<Outcome<Configuration | undefined>>;
}

export type { Configuration, Patch };
