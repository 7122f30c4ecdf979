/** The engines of a router: the platform's list, and what is known of each engine. */
import type { Provider } from '@nestjs/common';
import { Prefixes } from '../index/prefixes.js';
import type { Clock } from '../kernel/clock/clock.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import { type Links } from '../forward/link.js';
import type { Placer } from '../place/placer.js';
import { names } from '../node/names.js';
import type { Params } from '../params/shape.js';
import { Chooser } from '../place/choose.js';
import { Channels } from '../pool/channel.js';
import { fetchList, Newsroom, type Fetch } from '../pool/news.js';
import { Soundness } from '../pool/soundness.js';
import type { View } from '../view/view.js';
import type { Peers } from '../wire/peers.js';

/** The providers of this module, by name. */
export const engineProviders = (params: Params): Provider[] => [
  { provide: names.listSource, useValue: fetchList(params.platform.url) },
  {
    provide: names.news,
    inject: [
      names.listSource,
      names.view,
      names.peers,
      names.clock,
      names.random,
      names.log,
      names.channels,
      names.soundness,
      names.prefixes,
      names.chooser,
      names.links,
      names.placer,
    ],
    useFactory: (
      source: Fetch,
      view: View,
      peers: Peers,
      clock: Clock,
      random: Random,
      log: Log,
      channels: Channels,
      soundness: Soundness,
      prefixes: Prefixes,
      chooser: Chooser,
      links: Links,
      placer: Placer,
    ) =>
      new Newsroom(source, params.platform, view, peers, clock, random, log, (engines) => {
        channels.prune(engines);
        soundness.forget(engines);
        prefixes.listed(engines);
        chooser.listed(engines);
        links.prune(engines);
        placer.listed(engines);
      }),
  },
  {
    provide: names.channels,
    inject: [names.clock],
    useFactory: (clock: Clock) => new Channels(clock),
  },
  {
    provide: names.soundness,
    inject: [names.clock],
    useFactory: (clock: Clock) => new Soundness(clock),
  },
];
