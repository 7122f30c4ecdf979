/**
 * Routes compiled for look-up: by host, then by the longest prefix of the path. Prefixes end with a slash, so only the
 * path's own slashes are tried, longest first; the number of routes does not matter.
 */
import { differenceOf } from './difference.js';
import type { Configuration, Limits, Route, Service } from './shape.js';

/** The routes of one host, by their prefixes. */
type Prefixes = ReadonlyMap<string, Route>;

const EMPTY: Prefixes = new Map();

/** The routes of all hosts after some were taken out and others put in; what did not change is shared. */
const changeRoutes = (
  hosts: ReadonlyMap<string, Prefixes>,
  gone: readonly Route[],
  fresh: readonly Route[],
): ReadonlyMap<string, Prefixes> => {
  if (gone.length === 0 && fresh.length === 0) return hosts;
  const changed = new Map(hosts);
  const copies = new Map<string, Map<string, Route>>();
  const prefixesOf = (host: string): Map<string, Route> => {
    const key = host.toLowerCase();
    const copy = copies.get(key) ?? new Map(hosts.get(key) ?? EMPTY);
    copies.set(key, copy);
    return copy;
  };
  for (const { host, prefix } of gone) prefixesOf(host).delete(prefix);
  for (const route of fresh) prefixesOf(route.host).set(route.prefix, route);
  for (const [host, prefixes] of copies)
    if (prefixes.size > 0) changed.set(host, prefixes);
    else changed.delete(host);
  return changed;
};

/** The routes of one configuration, arranged for look-up. */
export class RouteTable {
  private readonly hosts: ReadonlyMap<string, Prefixes>;
  readonly services: ReadonlyMap<string, Service>;
  readonly version: number;
  readonly limits: Limits;

  /** Arranges a configuration; from the table of the one before, where there is one, only what changed is made anew. */
  constructor(
    readonly configuration: Configuration | undefined,
    before?: RouteTable,
  ) {
    this.version = configuration?.version ?? 0;
    this.limits = configuration?.limits ?? {};
    const services = configuration?.services ?? [];
    this.services =
      before?.configuration?.services === services
        ? before.services
        : new Map(services.map((service) => [service.name, service]));
    const routes = differenceOf(before?.configuration?.routes ?? [], configuration?.routes ?? []);
    this.hosts = changeRoutes(before?.hosts ?? new Map(), routes.before, routes.after);
  }

  /** The route of a request by its Host field (a port is left out) and its path (the query is left out). */
  match(hostField: string, target: string): Route | undefined {
    const prefixes = this.hosts.get(hostField.replace(/:\d+$/, '').toLowerCase());
    if (!prefixes) return undefined;
    const query = target.indexOf('?');
    const path = query < 0 ? target : target.slice(0, query);
    for (
      let at = path.lastIndexOf('/');
      at >= 0;
      at = at === 0 ? -1 : path.lastIndexOf('/', at - 1)
    ) {
      const route = prefixes.get(path.slice(0, at + 1));
      if (route) return route;
    }
    return undefined;
  }
}
