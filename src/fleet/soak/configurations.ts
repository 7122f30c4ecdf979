/**
 * The configurations of a soak: routes for each kind of request that are always there, and changes to them as operators
 * make them. Each order brings a route of its own, its mark, so that the order in force shows in what is answered there.
 */
import { pick, type Random } from '../../kernel/random/random.js';
import { mergePatch } from '../../route/check.js';
import type { Configuration, Limits, Patch, Route, Share } from '../../route/shape.js';
import type { ConfigurationOrder } from '../../history/order.js';
import { routeTo } from '../opaque.js';

/** The host of all requests. */
export const HOST = 'rail.example';
/** The services, each with engines of its own. */
export const SERVICES = ['alpha', 'beta'] as const;
/** Bounds of the routes' time-outs, in ms. */
export const TIMEOUTS = { least: 2500, most: 4000 } as const;

const IDLE = { least: 1000, most: 6000 } as const;
const CONNECTIONS = 400;
const EXTRAS = 12;
const MARK_PREFIX = 'mark-';

/** An order with what it would put in place. */
export interface SoakOrder {
  readonly order: ConfigurationOrder;
  readonly isValid: boolean;
  /** What is in place once it is applied; undefined for an invalid one. */
  readonly whole: Configuration | undefined;
  /** The path of its mark. */
  readonly mark: string;
}

const whole = (random: Random, least: number, most: number): number =>
  least + Math.floor(random.fraction() * (most - least + 1));

const service = (random: Random): string => pick(random, SERVICES)!;

const timeout = (random: Random): number => whole(random, TIMEOUTS.least, TIMEOUTS.most);

const shares = (random: Random): readonly Share[] => {
  const [first, second] = [whole(random, 0, 100), whole(random, 1, 100)];
  return [
    { service: 'alpha', weight: first },
    { service: 'beta', weight: second },
  ];
};

const baseRoutes: readonly Route[] = [
  routeTo('once', 'alpha', { kind: 'non_idempotent', timeout: TIMEOUTS.most }),
  routeTo('again', 'beta', { timeout: TIMEOUTS.most }),
  routeTo('stream', 'alpha', { kind: 'streaming', timeout: TIMEOUTS.most }),
  routeTo('resumed', 'beta', {
    kind: 'streaming',
    resume: true,
    attempts: 3,
    timeout: TIMEOUTS.most,
  }),
];

const BULK_PREFIX = 'bulk-';

/** Routes that only make the configuration large: about 300 bytes each. */
const bulkRoutes = (count: number): Route[] =>
  Array.from({ length: count }, (_, at) =>
    routeTo(`${BULK_PREFIX}route-that-nobody-asks-for-${at}`, 'alpha', {
      prefix: `/bulk/with-a-prefix-as-long-as-those-of-large-sites/${at}/`,
      kind: 'streaming',
      timeout: TIMEOUTS.most,
      target: 800,
      gap: 250,
      attempts: 1,
      affinity: true,
      resume: false,
    }),
  );

/** The configuration that is in place before the traffic begins, with so many routes that are not asked for. */
export const firstConfiguration = (bulk = 0): Configuration => ({
  version: 1,
  routes: [...baseRoutes, ...bulkRoutes(bulk)],
  services: SERVICES.map((name) => ({ name, connections: CONNECTIONS })),
  limits: { headerBytes: 16_384, bodyBytes: 2_000_000, headerTimeout: 4000, idleTimeout: 3000 },
});

const altered = (random: Random, route: Route): Route => {
  switch (whole(random, 0, 2)) {
    case 0:
      return { ...route, timeout: timeout(random) };
    case 1:
      return { ...route, service: service(random), split: undefined };
    default:
      return { ...route, service: undefined, split: shares(random) };
  }
};

const isBase = ({ name }: Route): boolean =>
  name.startsWith(BULK_PREFIX) || baseRoutes.some((route) => route.name === name);

const extraRoute = (random: Random): Route =>
  routeTo(`extra-${whole(random, 1, EXTRAS)}`, service(random), { timeout: timeout(random) });

const limitsFrom = (random: Random, limits: Limits | undefined): Limits => ({
  ...limits,
  idleTimeout: whole(random, IDLE.least, IDLE.most),
  headerTimeout: whole(random, 2000, 6000),
});

/** Makes orders on top of what is known to be in place, each with a mark of its own. */
export class OrderComposer {
  private count = 0;

  /** With `patchesOnly` no order brings a whole configuration, but for those that are invalid. */
  constructor(
    private readonly operator: string,
    private readonly random: Random,
    private readonly patchesOnly = false,
  ) {}

  compose(base: Configuration): SoakOrder {
    this.count += 1;
    const { random } = this;
    if (random.fraction() < 0.08) return this.invalid(base);
    const isWhole = random.fraction() < 0.5;
    return isWhole && !this.patchesOnly ? this.replacement(base) : this.patch(base);
  }

  private get markName(): string {
    return `${MARK_PREFIX}${this.operator}`;
  }

  private get markPath(): string {
    return `/${this.markName}-${this.count}/`;
  }

  private markRoute(): Route {
    return routeTo(this.markName, service(this.random), { prefix: this.markPath });
  }

  private next({ version }: Configuration): number {
    return version + whole(this.random, 1, 3);
  }

  private replacement(base: Configuration): SoakOrder {
    const { random } = this;
    const kept = base.routes.filter(
      (route) => isBase(route) || (route.name !== this.markName && random.fraction() < 0.8),
    );
    const changed = whole(random, 0, kept.length - 1);
    const routes = kept.map((route, at) => (at === changed ? altered(random, route) : route));
    const configuration: Configuration = {
      ...base,
      version: this.next(base),
      routes: [...routes, this.markRoute()],
      limits: random.fraction() < 0.5 ? limitsFrom(random, base.limits) : base.limits,
    };
    return this.valid({ body: configuration, expects: base.version }, configuration);
  }

  private patch(base: Configuration): SoakOrder {
    const { random } = this;
    const set = [this.markRoute()];
    if (random.fraction() < 0.5) set.push(altered(random, pick(random, baseRoutes)!));
    if (random.fraction() < 0.4) set.push(extraRoute(random));
    const named = new Set(set.map(({ name }) => name));
    const extras = base.routes.filter((route) => !isBase(route) && !named.has(route.name));
    const removed = random.fraction() < 0.3 ? pick(random, extras) : undefined;
    const body: Patch = {
      version: this.next(base),
      set: {
        routes: set,
        ...(random.fraction() < 0.3 ? { limits: limitsFrom(random, base.limits) } : {}),
      },
      remove: { routes: removed ? [removed.name] : [] },
    };
    const merged = mergePatch(base, body).unsafeCoerce();
    return this.valid({ body, expects: base.version }, merged);
  }

  private valid(order: ConfigurationOrder, configuration: Configuration): SoakOrder {
    return { order, isValid: true, whole: configuration, mark: this.markPath };
  }

  private invalid(base: Configuration): SoakOrder {
    const { random } = this;
    const mark = this.markRoute();
    const version = this.next(base);
    const routes = base.routes.filter(({ name }) => name !== this.markName);
    const wrong: ReadonlyArray<ConfigurationOrder['body']> = [
      { ...base, version, routes: [...routes, mark, routeTo('lost', 'nowhere')] },
      { ...base, version, routes: [...routes, { ...mark, timeout: 0 }] },
      { ...base, version, routes: [...routes, mark, { ...mark, name: 'twin' }] },
      { ...base, version: base.version, routes: [...routes, mark] },
      { version, set: { routes: [mark, routeTo('lost', 'nowhere')] }, remove: {} },
      {
        version,
        set: { routes: [mark, routeTo('lost', [{ service: 'alpha', weight: 0 }])] },
        remove: {},
      },
      { version, set: { routes: [mark] }, remove: { services: ['alpha', 'beta'] } },
    ];
    return {
      order: { body: pick(random, wrong)!, expects: base.version },
      isValid: false,
      whole: undefined,
      mark: this.markPath,
    };
  }
}
