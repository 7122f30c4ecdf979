/**
 * Routes compiled for look-up: by host, then by the longest prefix of the path. Prefixes end with a slash, so only the
 * path's own slashes are tried, longest first; the number of routes does not matter.
 */
import type { Configuration, Limits, Route, Service } from './shape.js';

export class RouteTable {
  private readonly hosts = new Map<string, Map<string, Route>>();
  readonly services: ReadonlyMap<string, Service>;
  readonly version: number;
  readonly limits: Limits;

  constructor(readonly configuration: Configuration | undefined) {
    this.version = configuration?.version ?? 0;
    this.limits = configuration?.limits ?? {};
    this.services = new Map(
      (configuration?.services ?? []).map((service) => [service.name, service]),
    );
    for (const route of configuration?.routes ?? []) {
      const host = route.host.toLowerCase();
      const prefixes = this.hosts.get(host) ?? new Map<string, Route>();
      prefixes.set(route.prefix, route);
      this.hosts.set(host, prefixes);
    }
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
