/** The opaque requests of a router: placement, links to engines, and the forwarder. */
import type { Provider } from '@nestjs/common';
import type { InForce } from '../doorway/match.js';
import type { Clock } from '../kernel/clock/clock.js';
import { Journal } from '../kernel/journal/journal.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import { RepeatBudget } from '../forward/budget.js';
import type { ForwardEvent } from '../forward/chart.js';
import type { Dialect } from '../forward/dialect.js';
import { Forwarder } from '../forward/forwarder.js';
import { HttpLinks, type Links } from '../forward/link.js';
import { RequestEnds } from '../forward/request-ends.js';
import { LeastLoadPlacer } from '../place/least.js';
import type { Placer } from '../place/placer.js';
import { PrefixPlacer, prefixPlacerDefaults } from '../place/prefix.js';
import { RouterLease } from '../lease/router-lease.js';
import { names } from '../node/names.js';
import type { Params } from '../params/shape.js';
import type { PlannedWork } from '../monitor/planned-work.js';
import { Newsroom } from '../pool/news.js';
import type { View } from '../view/view.js';

/** How many routers there are: a view has room for some only, and the core knows who holds leases, while it is there. */
const routersOf = (view: View, lease: RouterLease): number =>
  Math.max(view.live('router').length, lease.nodes);

/** The providers of this module, by name. */
export const forwardProviders = (params: Params): Provider[] => [
  {
    provide: names.placer,
    inject: [names.view, names.lease, names.clock, names.random],
    useFactory: (view: View, lease: RouterLease, clock: Clock, random: Random): Placer =>
      params.place.policy === 'index'
        ? new PrefixPlacer(
            {
              ...prefixPlacerDefaults,
              zone: params.zone,
              zoneCost: params.place.zoneCost,
              routers: () => routersOf(view, lease),
            },
            clock,
            random,
          )
        : new LeastLoadPlacer(random),
  },
  {
    provide: names.links,
    inject: [names.clock],
    useFactory: (clock: Clock) =>
      new HttpLinks(clock, params.forward.connect, params.forward.keepLinks),
  },
  {
    provide: names.requestEnds,
    inject: [names.clock, names.log, names.plannedWork],
    useFactory: (clock: Clock, log: Log, plannedWork: PlannedWork) =>
      new RequestEnds(clock, log, plannedWork),
  },
  {
    provide: names.forwarder,
    inject: [
      names.inForce,
      names.lease,
      names.news,
      names.links,
      names.placer,
      names.dialect,
      names.view,
      names.clock,
      names.random,
      names.log,
      names.requestEnds,
    ],
    useFactory: (
      inForce: InForce,
      lease: RouterLease,
      news: Newsroom,
      links: Links,
      placer: Placer,
      dialect: Dialect,
      view: View,
      clock: Clock,
      random: Random,
      log: Log,
      requestEnds: RequestEnds,
    ) =>
      new Forwarder(
        inForce,
        () => lease.serves(),
        news,
        links,
        placer,
        new RepeatBudget(params.forward.retryShare, params.forward.retryWindow, clock),
        dialect,
        () => routersOf(view, lease),
        params.forward,
        clock,
        random,
        new Journal<ForwardEvent>(clock),
        log,
        requestEnds,
      ),
  },
];
