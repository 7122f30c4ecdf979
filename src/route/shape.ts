/**
 * The configuration of opaque routes, as the operators hold it under a version number of their own: routes, which pick
 * requests by host and longest path prefix and say how they are to be handled; services, the groups of engines that
 * routes name; and limits on what callers may send. Fields we do not know are kept in `extra` and handed back as they
 * came. All times are milliseconds.
 */
export type RequestKind = 'idempotent' | 'non_idempotent' | 'streaming';

export type Extra = Readonly<Record<string, unknown>>;

export interface Share {
  readonly service: string;
  readonly weight: number;
  readonly extra?: Extra;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** The longest time a request may be held. */
  readonly timeout: number;
  /** The time within which an answer (a stream's first event) earns its full worth. */
  readonly target?: number;
  /** The longest pause between events of a stream that still counts as in time. */
  readonly gap?: number;
  /** 0 is the highest. */
  readonly priority?: number;
  /** The most engines that one try may be sent to. */
  readonly attempts?: number;
  readonly affinity?: boolean;
  /** A broken stream may go on at another engine. */
  readonly resume?: boolean;
  /** Either one service or shares of several; the weights count relative to their sum. */
  readonly service?: string;
  readonly split?: readonly Share[];
  readonly extra?: Extra;
}

export interface EngineClass {
  readonly slots?: number;
  readonly cacheTokens?: number;
  /** Tokens held in one event of a stream. */
  readonly stride?: number;
  readonly extra?: Extra;
}

export interface Service {
  readonly name: string;
  readonly probePath?: string;
  /** Connections one engine takes from all callers together. */
  readonly connections?: number;
  readonly engine?: EngineClass;
  readonly extra?: Extra;
}

export interface Limits {
  readonly headerBytes?: number;
  readonly bodyBytes?: number;
  readonly headerTimeout?: number;
  readonly idleTimeout?: number;
  readonly extra?: Extra;
}

export interface Configuration {
  /** The operators' own number, which rises in uneven steps. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits?: Limits;
  readonly extra?: Extra;
}

/** A change to named items of the configuration: what is set replaces by name or is added, what is removed goes. */
export interface Patch {
  readonly version: number;
  readonly set: {
    readonly routes?: readonly Route[];
    readonly services?: readonly Service[];
    readonly limits?: Limits;
  };
  readonly remove: { readonly routes?: readonly string[]; readonly services?: readonly string[] };
  readonly extra?: Extra;
}

/** The services a route may send to, with their weights; those of no weight left out. */
export const sharesOf = (route: Route): readonly Share[] =>
  (
    route.split ?? (route.service === undefined ? [] : [{ service: route.service, weight: 1 }])
  ).filter(({ weight }) => weight > 0);

/** Whether a request of this route may run more than once. */
export const mayRepeat = (route: Route): boolean =>
  route.kind === 'idempotent' || (route.kind === 'streaming' && route.resume === true);
