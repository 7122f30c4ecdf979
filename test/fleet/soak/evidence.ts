/** A sound run's records, small enough to plant single violations in. */
import { RouteTable } from '../../../src/route/table.js';
import type { Configuration } from '../../../src/route/shape.js';
import { sharesOf } from '../../../src/route/shape.js';
import { contentOf, requestOf } from '../../../src/history/order.js';
import type { Call } from '../../../src/history/call.js';
import { firstConfiguration, HOST, TIMEOUTS } from '../../../src/fleet/soak/configurations.js';
import type { ConnectionNote } from '../../../src/fleet/soak/connection-caller.js';
import type { SoakEvidence } from '../../../src/fleet/soak/judge/judge.js';
import { Timeline } from '../../../src/fleet/soak/judge/timeline.js';
import type { SentOrder } from '../../../src/fleet/soak/operators.js';
import type { Incident } from '../../../src/fleet/soak/record.js';
import { routeTo } from '../../../src/fleet/opaque.js';
import { openTry } from '../../../src/stand/opaque/caller.js';
import {
  digestOfRequest,
  type Arrival,
  type Asked,
  type Try,
} from '../../../src/stand/opaque/record.js';

export const ROUTER = 'router-1';
/** Wall clock ms at which the first request is sent; the orders came before. */
export const START = 1_000_000;

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

/** Evidence whose parts a test may alter. */
export type Planted = Mutable<SoakEvidence> & {
  asked: Asked[];
  arrivals: Arrival[];
  orders: SentOrder[];
  calls: Call[];
  notes: Map<string, ConnectionNote>;
};

const versioned = (version: number): Configuration => {
  const first = firstConfiguration();
  const mark = routeTo('mark-a', 'alpha', { prefix: `/mark-a-${version}/` });
  return version === 1 ? first : { ...first, version, routes: [...first.routes, mark] };
};

export const orderOf = (version: number, over: Partial<SentOrder> = {}): SentOrder => {
  const whole = versioned(version);
  return {
    order: { body: whole, expects: version - 1 },
    isValid: true,
    whole,
    mark: `/mark-a-${version}/`,
    operator: 'a',
    sentAt: START - 10_000 + version * 1000,
    acknowledgedAt: START - 10_000 + version * 1000 + 20,
    refusedAt: undefined,
    ...over,
  };
};

const changeCall = ({ order, sentAt }: SentOrder, number: number): Call => ({
  kind: 'change',
  number,
  node: 'core-1',
  start: sentAt,
  end: sentAt + 20,
  request: requestOf(order, true),
  answer: 'acknowledged',
});

export const readCall = (version: number, start: number, number: number): Call => ({
  kind: 'read',
  number,
  node: 'core-1',
  start,
  end: start + 5,
  answer: { kind: 'found', version, content: contentOf(versioned(version)) },
});

/** A request that an engine served whole, on the route that its path has in a configuration. */
export const served = (
  id: string,
  target: string,
  at: number,
  table: RouteTable,
): { asked: Asked; told: Try; arrival: Arrival } => {
  const told = openTry(id, ROUTER, at);
  const body = `answer of ${id}`;
  Object.assign(told, {
    ended: at + 30,
    connected: true,
    status: 200,
    answeredId: id,
    seal: `seal-${id}`,
    body,
    complete: true,
  });
  const asked: Asked = {
    name: target.startsWith('/mark') ? 'mark' : 'once',
    host: HOST,
    target,
    method: 'POST',
    digest: digestOfRequest('POST', target, Buffer.from('x')),
    repeatable: false,
    resume: false,
    began: at,
    tries: [told],
    outcome: 'served',
  };
  const [share] = sharesOf(table.match(HOST, target)!);
  const arrival: Arrival = {
    engine: `${share!.service}-1+1`,
    service: share!.service,
    id,
    digest: asked.digest,
    method: 'POST',
    target,
    host: HOST,
    fields: [],
    bytes: 1,
    at: at + 5,
    connection: 1,
    probe: false,
    after: 0,
    urgency: 5,
    ran: at + 6,
    read: 0,
    hits: 0,
    status: 200,
    seal: told.seal,
    made: [body],
    stream: false,
    total: 1,
    ended: 'whole',
  };
  return { asked, told, arrival };
};

export const VERSIONS = [1, 2, 3] as const;

/** Three acknowledged versions, a request each second on each of two routes, and what was read at the end. */
export const soundRun = (incidents: readonly Incident[] = []): Planted => {
  const orders = VERSIONS.map((version) => orderOf(version));
  const newest = orders.at(-1)!.whole!;
  const table = new RouteTable(newest);
  const requests = Array.from({ length: 20 }, (_, at) =>
    served(`r${at}`, at % 2 ? '/once/x' : '/again/x', START + at * 500, table),
  );
  const mark = served('m0', `/mark-a-${newest.version}/x`, START + 100, table);
  requests.push(mark);
  return {
    asked: requests.map(({ asked }) => asked),
    arrivals: requests.map(({ arrival }) => arrival),
    notes: new Map(),
    earlyCloses: [],
    unaskedBytes: 0,
    timeline: new Timeline(incidents),
    routerAt: (address) => address,
    deadline: 5000,
    timeouts: TIMEOUTS,
    orders,
    calls: [...orders.map(changeCall), readCall(newest.version, START + 10, orders.length)],
    readBacks: ['core-1', 'core-2'].map((node) => ({ node, configuration: newest, isClear: true })),
    cores: ['core-1', 'core-2', 'core-3'],
    lapse: 'stop',
    retries: { share: 0.2, window: 10_000 },
  };
};
