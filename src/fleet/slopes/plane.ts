/**
 * A control plane on the simulator's net: core nodes and routers made of the program's own classes, no callers, with
 * every frame counted. Virtual time and a seed make each count repeat exactly.
 */
import { Right } from 'purify-ts';
import type { Configuration, Patch } from '../../route/shape.js';
import type { Fetch } from '../../pool/news.js';
import { encodeDocument } from '../../register/document.js';
import { simCore, simRouter, type SimCore, type SimRouter, type SimSite } from '../../sim/nodes.js';
import { SimDisk } from '../../sim/disk.js';
import type { Host } from '../../sim/host.js';
import { World } from '../../sim/world.js';
import type { Listed } from '../../pool/engine.js';
import { CountedNet, Traffic } from '../../wire/traffic.js';
import { ratesOf, type Sums } from './rates.js';
import type { ControlPlan, RoleRates } from './shape.js';

/** How many zones the nodes are spread over. */
export const ZONES = 8;

/** An engine as the platform lists it, by its number. */
export const listedEngine = (at: number): Listed => ({
  identifier: `engine-${String(at).padStart(5, '0')}-a1b2c3`,
  address: `10.${20 + (at >> 16)}.${(at >> 8) & 255}.${at & 255}:8000`,
  model: `family-${at % 3}`,
  adapters: [],
  weight_generation: 'w1',
  zone: `zone-${at % ZONES}`,
  labels: { group: `group-${at % 8}`, pool: 'shared' },
  cache_capacity_tokens: 524_288,
  prefill_rate: 8000,
  leaving: false,
});

const CALM = 5000;
/** Zones of the core nodes in turn, so that no region and no zone holds a majority of five alone. */
const CORE_ZONES = [0, 4, 1, 5, 2, 6, 3, 7];
const REGION = ZONES / 2;

/** Core nodes and routers on the simulator's net, without callers. */
export class ControlPlane {
  readonly world: World;
  readonly cores: SimCore[] = [];
  readonly routers: SimRouter[] = [];
  private readonly traffics = new Map<string, Traffic>();
  private readonly polled = new Map<string, number>();
  private engines: Listed[];

  constructor(readonly plan: ControlPlan) {
    this.world = new World(plan.seed);
    this.engines = Array.from({ length: plan.engines }, (_, at) => listedEngine(at));
  }

  /** Starts all nodes and runs until each has a lease and the engines, and no change has been made for a while. */
  async start(limit = 240_000): Promise<boolean> {
    const { plan, world } = this;
    const address = (at: number, base: number): string => `10.${base}.${at >> 8}.${at & 255}:7082`;
    const seeds = Array.from({ length: plan.cores }, (_, at) => address(at, 1));
    const kinds = new Map(seeds.map((seed) => [seed, 'core']));
    const net: SimSite['net'] = (inner, node) => {
      const traffic = new Traffic();
      this.traffics.set(node, traffic);
      return new CountedNet(
        inner,
        traffic,
        (peer) => kinds.get(peer) ?? (peer.startsWith('sim-core') ? 'core' : 'router'),
      );
    };
    const site: SimSite = {
      fleet: 'slopes',
      seeds,
      over: { form: true, law: { routers: 10_000 }, ...plan.over },
      net,
    };
    seeds.forEach((seed, at) =>
      this.cores.push(
        simCore(
          world,
          `core-${at}`,
          seed,
          `zone-${CORE_ZONES[at % ZONES]}`,
          new SimDisk(world),
          site,
        ),
      ),
    );
    for (const { node } of this.cores) void node.start();
    await world.run(1500);
    for (let at = 0; at < plan.routers; at++) {
      const router = simRouter(
        world,
        `router-${at}`,
        address(at, 2),
        `zone-${at % ZONES}`,
        site,
        (host) => this.fetchFor(host),
        () => undefined,
      );
      this.routers.push(router);
      void router.node.start();
      await world.run(world.now + 10);
    }
    const end = world.now + limit;
    for (let seen = 0, since = world.now; world.now < end; await world.run(world.now + 250)) {
      const revision = this.cores[0]!.member.committedRevision;
      if (revision === 0 || revision !== seen || !this.steady()) {
        seen = revision;
        since = world.now;
      } else if (world.now - since >= CALM) return true;
    }
    return false;
  }

  steady(): boolean {
    return this.routers.every(
      ({ lease, news }) => lease.holds() && news.placed().size === this.engines.length,
    );
  }

  /** Reads of the platform's list so far, by all routers. */
  get polls(): number {
    return this.routers.reduce((sum, { news }) => sum + news.polls, 0);
  }

  /** How many routers have read the platform's list themselves since the last time this was asked. */
  get pollers(): number {
    return this.routers.filter(({ host, news }) => {
      const before = this.polled.get(host.name) ?? 0;
      this.polled.set(host.name, news.polls);
      return news.polls > before;
    }).length;
  }

  /** How many routers a router knows of in its view, in the middle. */
  get knownRouters(): number {
    const known = this.routers.map(({ view }) => view.live('router').length).sort((a, b) => a - b);
    return known[Math.floor(known.length / 2)] ?? 0;
  }

  /** How many routers a router takes all to be, in the middle. */
  get countedRouters(): number {
    const counted = this.routers.map(({ lease }) => lease.nodes).sort((a, b) => a - b);
    return counted[Math.floor(counted.length / 2)] ?? 0;
  }

  /** Lets some virtual seconds pass and counts what each node sent and received in them. */
  quiet(seconds: number): Promise<{ core: RoleRates; router: RoleRates }> {
    return this.during(() => this.world.run(this.world.now + seconds * 1000));
  }

  /** Counts what each node sent and received while something was done. */
  async during(act: () => Promise<unknown>): Promise<{ core: RoleRates; router: RoleRates }> {
    const before = this.sums();
    const began = this.world.now;
    await act();
    const after = this.sums();
    const seconds = (this.world.now - began) / 1000;
    return {
      core: ratesOf(
        this.cores.map(({ host }) => host.name),
        before,
        after,
        seconds,
      ),
      router: ratesOf(
        this.routers.map(({ host }) => host.name),
        before,
        after,
        seconds,
      ),
    };
  }

  /** Puts a whole configuration in place of the one in force; says whether it was accepted. */
  async configure(configuration: Configuration, expects: number): Promise<boolean> {
    return (
      (await this.world.until(this.cores[0]!.configurator.replace(configuration, expects, 20_000)))
        .outcome === 'accepted'
    );
  }

  /** Patches the configuration; gives the ms until it was told accepted and until it was in force at all routers given. */
  async change(
    patch: Patch,
    expects: number,
    routers: readonly SimRouter[] = this.routers,
    limit = 30_000,
  ): Promise<{ accepted: number; everywhere: number }> {
    const began = this.world.now;
    let accepted = NaN;
    void this.cores[0]!.configurator.patch(patch, expects, 20_000).then(({ outcome }) => {
      if (outcome === 'accepted') accepted = this.world.now - began;
    });
    const everywhere = await this.inForce(patch.version, routers, limit);
    if (Number.isNaN(accepted))
      await this.world.run(this.world.now + 3000, () => !Number.isNaN(accepted));
    return { accepted, everywhere };
  }

  /** The operators' version at the first core node. */
  get version(): number {
    return this.cores[0]!.inForce.routes.version;
  }

  /** Bytes of the newest revision as a whole. */
  get documentBytes(): number {
    const { whole } = this.cores[0]!.inForce;
    return whole ? encodeDocument(whole).length : 0;
  }

  /** Patches the configuration and waits for the answer only. */
  async patched(patch: Patch, expects: number): Promise<string> {
    return (await this.world.until(this.cores[0]!.configurator.patch(patch, expects, 20_000)))
      .outcome;
  }

  /** The ms from now until a version is in force at all routers given. */
  async inForce(
    version: number,
    routers: readonly SimRouter[] = this.routers,
    limit = 30_000,
  ): Promise<number> {
    const began = this.world.now;
    while (this.world.now - began < limit) {
      if (routers.every(({ inForce }) => inForce.routes.version >= version))
        return this.world.now - began;
      await this.world.run(this.world.now + 5);
    }
    return NaN;
  }

  /** Cuts the two regions of four zones from each other; what comes back mends the cut. */
  partRegions(): { heal: () => void; near: SimRouter[] } {
    const far = ({ params }: { params: { zone: string } }): boolean =>
      Number(params.zone.split('-')[1]) >= REGION;
    const all = [...this.cores, ...this.routers];
    const names = (wanted: boolean): string[] =>
      all.filter((node) => far(node) === wanted).map(({ host }) => host.name);
    return {
      heal: this.world.part(names(false), names(true)),
      near: this.routers.filter((router) => !far(router)),
    };
  }

  /** One engine of the list changes, as when it is replaced. */
  changeEngine(at: number, identifier: string): void {
    this.engines = this.engines.map((engine, place) =>
      place === at ? { ...engine, identifier } : engine,
    );
  }

  private sums(): Sums {
    return new Map([...this.traffics].map(([node, traffic]) => [node, traffic.counts]));
  }

  private fetchFor(host: Host): Fetch {
    return () =>
      new Promise((resolve) =>
        host.later(2, () =>
          resolve(Right({ text: JSON.stringify({ engines: this.engines }), wait: 0 })),
        ),
      );
  }
}
