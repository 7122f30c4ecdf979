/** The orders that operators send in a storm of changes, what is in force by each, and what was acknowledged when. */
import type { Configuration, Patch, Route } from '../../src/route/shape.js';

const SERVICES = [{ name: 's' }];

const route = (name: string, timeout: number): Route => ({
  name,
  host: `${name}.example`,
  prefix: '/v1/',
  kind: 'streaming',
  timeout,
  target: 1500,
  gap: 27,
  priority: 2,
  attempts: 2,
  affinity: true,
  resume: true,
  service: 's',
});

/** A configuration with so many routes, and one that tells orders of the same version apart. */
export const wholeOf = (routes: number, version: number, mark: number): Configuration => ({
  version,
  routes: [
    route('mark', 1000 + mark),
    ...Array.from({ length: routes }, (_, at) => route(`route-${at}`, 60_000)),
  ],
  services: SERVICES,
});

/** A patch of one route. */
export const patchOf = (version: number, mark: number): Patch => ({
  version,
  set: { routes: [route('mark', 1000 + mark)] },
  remove: {},
});

export interface Order {
  readonly expects: number;
  readonly version: number;
  readonly mark: number;
  readonly form: 'whole' | 'patch';
  readonly sentAt: number;
}

/** What tells configurations of the orders apart. */
export const markOf = (configuration: Configuration | undefined): number =>
  (configuration?.routes.find(({ name }) => name === 'mark')?.timeout ?? 1000) - 1000;

/** All orders, and what became of them. */
export class Ledger {
  readonly faults: string[] = [];
  readonly acknowledged = new Map<number, Order>();
  private readonly bases = new Map<number, Order>();
  /** Orders by version and mark. */
  private readonly sent = new Map<string, Order>();
  /** For each acknowledged order the ms from its first sending. */
  readonly delays: number[] = [];
  /** Proper orders without an acknowledgement so far. */
  readonly open = new Set<Order>();
  newest = 0;
  onAcknowledged: (order: Order, node: number) => void = () => undefined;
  onSent: (order: Order) => void = () => undefined;

  send(order: Order): void {
    this.sent.set(`${order.version}/${order.mark}`, order);
    this.open.add(order);
    this.onSent(order);
  }

  acknowledge(order: Order, node: number, now: number): void {
    this.open.delete(order);
    if (this.acknowledged.get(order.version) !== order) {
      const other = this.bases.get(order.expects);
      if (other && other !== order)
        this.faults.push(
          `two orders on version ${order.expects}: ${text(other)} and ${text(order)}`,
        );
      this.bases.set(order.expects, order);
      this.acknowledged.set(order.version, order);
      this.delays.push(now - order.sentAt);
    }
    this.newest = Math.max(this.newest, order.version);
    this.onAcknowledged(order, node);
  }

  refuse(order: Order, outcome: string, isAlone: boolean): void {
    this.open.delete(order);
    if (outcome === 'invalid') this.faults.push(`${text(order)} was told invalid`);
    if (isAlone) this.faults.push(`${text(order)} was told ${outcome}, without a rival`);
  }

  /** A configuration that was read, after all up to a version had been acknowledged. */
  read(found: Configuration | undefined, least: number, where: string): void {
    const version = found?.version ?? 0;
    const mark = markOf(found);
    if (version < least)
      this.faults.push(`${where}: version ${version}, below acknowledged ${least}`);
    if (version === 0) return;
    const order = this.sent.get(`${version}/${mark}`);
    if (!order) this.faults.push(`${where}: version ${version} with a mark ${mark} was never sent`);
    const acknowledged = this.acknowledged.get(version);
    if (acknowledged && acknowledged !== order)
      this.faults.push(`${where}: version ${version} is not the one that was acknowledged`);
  }
}

const text = ({ version, expects, mark, form }: Order): string =>
  `${form} ${version} on ${expects} (${mark})`;
