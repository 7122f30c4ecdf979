/** The forwarder with one route, whose placer takes the first engine that may serve, as tests of forwarding need it. */
import { InForce } from '../../src/doorway/match.js';
import { RepeatBudget } from '../../src/forward/budget.js';
import type { ForwardEvent } from '../../src/forward/chart.js';
import { ownDialect } from '../../src/forward/dialect.js';
import { Forwarder } from '../../src/forward/forwarder.js';
import { HttpLinks } from '../../src/forward/link.js';
import { RequestEnds } from '../../src/forward/request-ends.js';
import type { Clock } from '../../src/kernel/clock/clock.js';
import { Journal } from '../../src/kernel/journal/journal.js';
import { SeededRandom } from '../../src/kernel/random/random.js';
import { PlannedWork } from '../../src/monitor/planned-work.js';
import type { Placer, TicketEnd } from '../../src/place/placer.js';
import type { Engine } from '../../src/pool/engine.js';
import { genesis } from '../../src/register/document.js';
import type { Configuration, Limits, Route } from '../../src/route/shape.js';

export interface ProxyPlan {
  readonly listed: ReadonlyMap<string, Engine>;
  readonly route?: Partial<Route>;
  readonly limits?: Limits;
  readonly ratio?: number;
  readonly clock: Clock;
  /** ms for a connection to an engine to come up. */
  readonly connect?: number;
}

export interface Proxy {
  readonly forwarder: Forwarder;
  readonly requestEnds: RequestEnds;
  readonly placer: Placer;
  readonly links: HttpLinks;
  readonly journal: Journal<ForwardEvent>;
  readonly route: Route;
  readonly configuration: Configuration;
  /** How the tickets of each engine ended, in order. */
  readonly ends: ReadonlyArray<readonly [string, TicketEnd]>;
}

/** An engine of the service "s", as the list shows it. */
export const listedEngine = (identifier: string, address: string): Engine => ({
  identifier,
  address,
  model: 'm',
  adapters: new Set(),
  weightGeneration: '1',
  zone: 'z',
  labels: new Map(),
  cacheCapacity: 1,
  prefillRate: 1,
  leaving: false,
  service: 's',
});

const firstEnginePlacer = (ends: Array<readonly [string, TicketEnd]>): Placer => ({
  place: (_, [first]) => ({
    kind: 'placed',
    ticket: {
      engine: first!,
      urgency: 3,
      head: () => undefined,
      piece: () => undefined,
      end: (how) => void ends.push([first!.identifier, how]),
    },
  }),
  listed: () => undefined,
});

/** As the registry does, a new map for each list. */
const poolOf = (
  listed: ReadonlyMap<string, Engine>,
): { placed: () => ReadonlyMap<string, Engine> } => {
  let shown: { of: string; placed: ReadonlyMap<string, Engine> } = { of: '', placed: new Map() };
  return {
    placed: () => {
      const of = JSON.stringify([...listed.values()]);
      if (of !== shown.of) shown = { of, placed: new Map(listed) };
      return shown.placed;
    },
  };
};

const params = {
  bodyBytes: 1 << 20,
  heldBytes: 1 << 26,
  timeout: 5000,
  impatience: 0.7,
  surprise: 3,
  hedgeTokens: 4096,
  gapShare: 3,
  gapLeast: 300,
};

export const makeProxy = (plan: ProxyPlan): Proxy => {
  const { listed, limits, ratio = 100, clock, connect = 400 } = plan;
  const route: Route = {
    name: 'r',
    host: 'h.example',
    prefix: '/a/',
    kind: 'streaming',
    timeout: 20_000,
    service: 's',
    attempts: 2,
    target: 10_000,
    gap: 700,
    ...plan.route,
  };
  const configuration: Configuration = {
    version: 1,
    routes: [route],
    services: [{ name: 's' }],
    ...(limits ? { limits } : {}),
  };
  const inForce = new InForce();
  inForce.swap({ ...genesis('f', []), configuration });
  const ends: Array<readonly [string, TicketEnd]> = [];
  const placer = firstEnginePlacer(ends);
  const requestEnds = new RequestEnds(clock, () => undefined, new PlannedWork(clock));
  const journal = new Journal<ForwardEvent>(clock);
  const links = new HttpLinks(clock, connect, 5000);
  const forwarder = new Forwarder(
    inForce,
    () => true,
    poolOf(listed),
    links,
    placer,
    new RepeatBudget(ratio, 10_000, clock),
    ownDialect,
    () => 1,
    params,
    clock,
    new SeededRandom(1),
    journal,
    () => undefined,
    requestEnds,
  );
  return { forwarder, requestEnds, placer, links, journal, route, configuration, ends };
};
