/** The chat requests of a router: the index of prefixes, the choice of an engine, and the passage. */
import type { Provider } from '@nestjs/common';
import type { InForce } from '../doorway/match.js';
import { Prefixes } from '../index/prefixes.js';
import type { Clock } from '../kernel/clock/clock.js';
import { Journal } from '../kernel/journal/journal.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import { RouterLease } from '../lease/router-lease.js';
import { names } from '../node/names.js';
import type { Params } from '../params/shape.js';
import { Claims } from '../claim/claims.js';
import type { PassageEvent } from '../passage/chart.js';
import { TakenIds } from '../passage/ids.js';
import { Lines } from '../passage/line.js';
import { Passage } from '../passage/passage.js';
import { RetryBudget } from '../passage/retry.js';
import { Chooser } from '../place/choose.js';
import { Channels } from '../pool/channel.js';
import { Newsroom } from '../pool/news.js';
import { Soundness } from '../pool/soundness.js';
import type { Hello } from '../wire/call.js';

/** The providers of this module, by name. */
export const chatProviders = (params: Params): Provider[] => [
  {
    provide: names.journal,
    inject: [names.clock],
    useFactory: (clock: Clock) => new Journal<PassageEvent>(clock),
  },
  {
    provide: names.prefixes,
    inject: [names.clock],
    useFactory: (clock: Clock) => new Prefixes(clock, params.law, params.index.blockTokens),
  },
  {
    provide: names.chooser,
    inject: [names.clock, names.random],
    useFactory: (clock: Clock, random: Random) =>
      new Chooser(params.place, params.law, params.zone, clock, random, params.place.policy),
  },
  {
    provide: names.passage,
    inject: [
      names.lease,
      names.inForce,
      names.news,
      names.channels,
      names.soundness,
      names.prefixes,
      names.chooser,
      names.clock,
      names.journal,
      names.log,
      names.self,
      names.claims,
    ],
    useFactory: (
      lease: RouterLease,
      inForce: InForce,
      news: Newsroom,
      channels: Channels,
      soundness: Soundness,
      prefixes: Prefixes,
      chooser: Chooser,
      clock: Clock,
      journal: Journal<PassageEvent>,
      log: Log,
      self: Hello,
      claims: Claims,
    ) =>
      new Passage(
        `${self.name}-${self.incarnation}`,
        lease,
        inForce,
        news,
        channels,
        soundness,
        prefixes,
        chooser,
        new Lines(),
        new RetryBudget(params.passage.retryShare),
        new TakenIds(clock),
        claims,
        { ...params.passage, ...params.index },
        params.law,
        clock,
        journal,
        log,
      ),
  },
];
