/** The services of a router node, by name, and the tasks that run them. */
import { Inject, Injectable, Module, type DynamicModule } from '@nestjs/common';
import { Configurator } from '../api/configurator.js';
import { Operations } from '../api/operations.js';
import { extended, type Extension } from '../node/extension.js';
import type { InForce } from '../doorway/match.js';
import { Prefixes } from '../index/prefixes.js';
import type { Clock } from '../kernel/clock/clock.js';
import type { Outcome } from '../kernel/fault/fault.js';
import { Journal } from '../kernel/journal/journal.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import { RepeatBudget } from '../forward/budget.js';
import type { ForwardEvent } from '../forward/chart.js';
import type { Dialect } from '../forward/dialect.js';
import { Forwarder } from '../forward/forwarder.js';
import { HttpLinks, type Links } from '../forward/link.js';
import { LeastLoadPlacer } from '../place/least.js';
import type { Placer } from '../place/placer.js';
import { PrefixPlacer, prefixPlacerDefaults } from '../place/prefix.js';
import { Acceptance } from '../lease/acceptance.js';
import { Enrolment } from '../lease/enrolment.js';
import { Standing } from '../lease/standing.js';
import { Vows } from '../lease/vows.js';
import { names } from '../node/names.js';
import { nodeProviders } from '../node/module.js';
import type { Params } from '../params/shape.js';
import { Claims } from '../claim/claims.js';
import type { PassageEvent } from '../passage/chart.js';
import { TakenIds } from '../passage/ids.js';
import { Lines } from '../passage/line.js';
import { Passage } from '../passage/passage.js';
import { RetryBudget } from '../passage/retry.js';
import { lawBroken, lawText } from '../place/law.js';
import { Chooser } from '../place/choose.js';
import { Channels, type EngineChannels } from '../pool/channel.js';
import { fetchList, Newsroom, type Fetch } from '../pool/news.js';
import { Soundness } from '../pool/soundness.js';
import { Follower } from '../register/follower.js';
import type { Document } from '../register/document.js';
import type { Proposer } from '../register/proposer.js';
import { Relay } from '../register/relay.js';
import type { Roster } from '../register/roster.js';
import type { View } from '../view/view.js';
import type { Hello } from '../wire/call.js';
import type { Peers } from '../wire/peers.js';

/** The longest that a planned stop takes for handing its duties over. */
const HANDOVER = 1000;

/** How many routers there are: a view has room for some only, and the core knows who holds leases, while it is there. */
const routersOf = (view: View, standing: Standing): number =>
  Math.max(view.live('router').length, standing.nodes);

/** The tasks of a router, from start to stop. */
@Injectable()
export class RouterNode {
  private enrolment: Enrolment | undefined;

  constructor(
    @Inject(names.params) private readonly params: Params,
    @Inject(names.peers) private readonly peers: Peers,
    @Inject(names.roster) private readonly roster: Roster,
    @Inject(names.proposer) private readonly proposer: Proposer,
    @Inject(names.inForce) private readonly inForce: InForce,
    @Inject(names.standing) private readonly standing: Standing,
    @Inject(names.vows) private readonly vows: Vows,
    @Inject(names.view) private readonly view: View,
    @Inject(names.news) private readonly news: Newsroom,
    @Inject(names.claims) private readonly claims: Claims,
    @Inject(names.prefixes) private readonly prefixes: Prefixes,
    @Inject(names.passage) private readonly passage: Passage,
    @Inject(names.channels) private readonly channels: EngineChannels,
    @Inject(names.operations) private readonly operations: Operations,
    @Inject(names.clock) private readonly clock: Clock,
    @Inject(names.random) private readonly random: Random,
    @Inject(names.log) private readonly log: Log,
    @Inject(names.stop) private readonly stop: AbortController,
  ) {}

  async start(): Promise<Outcome<unknown>> {
    this.view.serve();
    this.news.serve();
    this.vows.serve();
    if (this.params.claims.enabled) this.claims.serve();
    const served = await this.peers.serve(this.params.listen.peers);
    if (served.isLeft()) return served;
    const relay = new Relay(this.peers, () =>
      this.view
        .live('router')
        .filter(({ name }) => name !== this.params.name)
        .map(({ address }) => address),
    );
    relay.serve();
    this.view.lead(() =>
      [...(this.inForce.whole?.enrolled.values() ?? [])].map(({ address }) => address),
    );
    const follower = new Follower(
      this.peers,
      this.roster,
      this.proposer,
      this.clock,
      this.random,
      this.log,
      (documents, items, _settled, frames) => {
        const newest = documents.at(-1);
        if (!newest) return;
        relay.note(items, documents, frames);
        if (!this.inForce.swap(newest)) return;
        this.operations.noteClaims(newest);
        this.log('in-force', [['generation', newest.generation]]);
        this.heedLaw(newest);
        this.standing.renewNow();
        this.passage.stir();
      },
      '',
      relay,
      this.params.feed.wait,
    );
    const { signal } = this.stop;
    void this.view.run(signal);
    void this.news.run(signal);
    void this.standing.run(signal);
    void follower.run(signal);
    if (this.params.claims.enabled) void this.claims.run(signal);
    if (this.params.lease.lapse === 'serve') return served;
    const own = {
      address: this.params.listen.peers,
      zone: this.params.zone,
      law: lawText(this.params.law),
    };
    this.enrolment = new Enrolment(
      this.params.name,
      own,
      this.inForce,
      this.standing,
      this.proposer,
      this.peers,
      this.roster,
      this.clock,
      this.random,
      this.log,
    );
    void this.enrolment.run(signal);
    return served;
  }

  /** Claims rest on what all routers promise about their own traffic; when one promises otherwise, none are made. */
  private heedLaw({ enrolled }: Document): void {
    const reason = lawBroken(this.params.law, enrolled);
    if (this.prefixes.lawful !== (reason === ''))
      this.log(reason ? 'law-broken' : 'law-kept', [['reason', reason || undefined]]);
    this.prefixes.lawful = reason === '';
  }

  ready(): string {
    if (!this.standing.serves())
      return this.params.lease.lapse === 'stop' ? 'no standing' : 'nothing is in force yet';
    if (this.params.listen.requests && this.inForce.routes.version === 0)
      return 'no routes are in force';
    if (this.news.placed().size === 0) return 'no engine has a confirmed place';
    return '';
  }

  /** Finishes what was taken, hands its duties over, gives standing back, and closes. */
  async drain(): Promise<number> {
    const began = this.clock.now();
    const left = await this.passage.drain(this.params.drain);
    await this.enrolment?.leave(
      Math.min(HANDOVER, this.params.drain + HANDOVER - (this.clock.now() - began)),
    );
    await this.standing.leave();
    this.channels.close();
    return left;
  }
}

/** Puts the services of a router together. */
@Module({})
export class RouterModule {
  static with(params: Params, { services }: Extension): DynamicModule {
    return {
      module: RouterModule,
      providers: extended(
        [
          ...nodeProviders(params, 'router'),
          {
            provide: names.journal,
            inject: [names.clock],
            useFactory: (clock: Clock) => new Journal<PassageEvent>(clock),
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
          {
            provide: names.prefixes,
            inject: [names.clock],
            useFactory: (clock: Clock) => new Prefixes(clock, params.law, params.index.blockTokens),
          },
          {
            provide: names.chooser,
            inject: [names.clock, names.random],
            useFactory: (clock: Clock, random: Random) =>
              new Chooser(
                params.place,
                params.law,
                params.zone,
                clock,
                random,
                params.place.policy,
              ),
          },
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
            provide: names.vows,
            inject: [names.inForce, names.peers, names.clock],
            useFactory: (inForce: InForce, peers: Peers, clock: Clock) =>
              new Vows(params.name, inForce, peers, clock, params.lease),
          },
          {
            provide: names.standing,
            inject: [
              names.self,
              names.inForce,
              names.vows,
              names.peers,
              names.roster,
              names.clock,
              names.log,
            ],
            useFactory: (
              self: Hello,
              inForce: InForce,
              vows: Vows,
              peers: Peers,
              roster: Roster,
              clock: Clock,
              log: Log,
            ) =>
              new Standing(
                {
                  node: self.name,
                  incarnation: self.incarnation,
                  address: params.listen.peers,
                  zone: params.zone,
                },
                inForce,
                vows,
                peers,
                roster,
                clock,
                log,
                params.lease,
              ),
          },
          {
            provide: names.claims,
            inject: [
              names.inForce,
              names.peers,
              names.roster,
              names.clock,
              names.random,
              names.log,
            ],
            useFactory: (
              inForce: InForce,
              peers: Peers,
              roster: Roster,
              clock: Clock,
              random: Random,
              log: Log,
            ) =>
              new Claims(
                params.name,
                inForce,
                peers,
                roster,
                clock,
                random,
                log,
                params.claims.enabled,
              ),
          },
          {
            provide: names.passage,
            inject: [
              names.standing,
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
              standing: Standing,
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
                standing,
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
          {
            provide: names.operations,
            inject: [
              names.peers,
              names.roster,
              names.proposer,
              names.inForce,
              names.view,
              names.news,
              names.clock,
              names.acceptance,
            ],
            useFactory: (
              peers: Peers,
              roster: Roster,
              proposer: Proposer,
              inForce: InForce,
              view: View,
              news: Newsroom,
              clock: Clock,
              acceptance: Acceptance,
            ) => new Operations(peers, roster, proposer, inForce, view, news, clock, acceptance),
          },
          {
            provide: names.placer,
            inject: [names.view, names.standing, names.clock, names.random],
            useFactory: (view: View, standing: Standing, clock: Clock, random: Random): Placer =>
              params.place.policy === 'index'
                ? new PrefixPlacer(
                    {
                      ...prefixPlacerDefaults,
                      zone: params.zone,
                      zoneCost: params.place.zoneCost,
                      routers: () => routersOf(view, standing),
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
            provide: names.forwarder,
            inject: [
              names.inForce,
              names.standing,
              names.news,
              names.links,
              names.placer,
              names.dialect,
              names.view,
              names.clock,
              names.random,
              names.log,
            ],
            useFactory: (
              inForce: InForce,
              standing: Standing,
              news: Newsroom,
              links: Links,
              placer: Placer,
              dialect: Dialect,
              view: View,
              clock: Clock,
              random: Random,
              log: Log,
            ) =>
              new Forwarder(
                inForce,
                () => standing.serves(),
                news,
                links,
                placer,
                new RepeatBudget(params.forward.retryShare, params.forward.retryWindow, clock),
                dialect,
                () => routersOf(view, standing),
                params.forward,
                clock,
                random,
                new Journal<ForwardEvent>(clock),
                log,
              ),
          },
          {
            provide: names.acceptance,
            inject: [names.peers, names.roster, names.clock],
            useFactory: (peers: Peers, roster: Roster, clock: Clock) =>
              new Acceptance(peers, roster, clock, params.lease),
          },
          {
            provide: names.configurator,
            inject: [
              names.peers,
              names.roster,
              names.proposer,
              names.acceptance,
              names.inForce,
              names.clock,
            ],
            useFactory: (
              peers: Peers,
              roster: Roster,
              proposer: Proposer,
              acceptance: Acceptance,
              inForce: InForce,
              clock: Clock,
            ) => new Configurator(peers, roster, proposer, acceptance, inForce, clock),
          },
          RouterNode,
        ],
        services,
      ),
    };
  }
}
