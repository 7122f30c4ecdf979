/**
 * A simulated control plane with the settings of a deployment: core machines on synced disks, and routers that follow them.
 * Machines are killed, lose power or their disk, are stopped as planned, replaced at another address, slowed or cut off.
 */
import { failed } from '../../src/kernel/fault/fault.js';
import type { Log } from '../../src/kernel/log/log.js';
import { silentLog } from '../../src/kernel/log/log.js';
import type { VoterSet } from '../../src/register/document.js';
import type { Layout, Location, Losses } from '../../src/register/failure-domains.js';
import { SimDisk } from '../../src/sim/disk.js';
import {
  simCore,
  simRouter,
  type SimCore,
  type SimRouter,
  type SimSite,
} from '../../src/sim/nodes.js';
import { World } from '../../src/sim/world.js';

/** One way between zones, and what it varies by. */
const LATENCY = 1.4;
const JITTER = 0.4;
/** A synced write of a file and its folder, at 5 ms a sync. */
const SYNCED_WRITE = 10;
const SEED_COUNT = 3;
const FORMING_LIMIT = 5000;
/** A planned stop ends this long after its begin, at the latest. */
const LEAVE_LIMIT = 6000;

export const CATCH_UP = 4000;
export const ACKNOWLEDGE = 4000;
/** How long a node works on an order or a read before it answers. */
export const ANSWER_LIMIT = 700;

export interface ClusterOptions {
  readonly seed: number;
  /** How many voters are wanted. */
  readonly wanted: number;
  readonly routers: number;
  /** How many machines are there at the first start, where that is not as many as voters are wanted. */
  readonly initial?: number;
  /** Where the machine of a number stands; all in one zone where it is left out. */
  readonly placeOf?: (number: number) => Location;
  /** What the voters are to bear, where it is not `(wanted - 1) / 2` machines. */
  readonly tolerates?: Losses;
  /** The machines that all are told as seeds, at each start; left out, those that are there then. */
  readonly seeds?: readonly number[];
  readonly log?: Log | undefined;
}

const ONE_PLACE: Location = { zone: 'z', region: 'r' };

const coreAddress = (number: number): string => `10.0.0.${number}:1`;
const routerAddress = (number: number): string => `10.0.1.${number}:1`;

/** The params as `paramsOf` of the platform derives them from the bounds above. */
const paramsFor = (
  { wanted, tolerates }: ClusterOptions,
  region: string,
  layout: Layout,
  form: boolean,
): object => ({
  region,
  layout,
  form,
  firstStart: form ? 'yes' : 'no',
  lease: {
    duration: ACKNOWLEDGE * 0.375,
    renew: ACKNOWLEDGE * 0.125,
    lapse: 'serve',
    patience: ACKNOWLEDGE / 8,
  },
  feed: { wait: 500 },
  claims: { enabled: false },
  core: {
    replaceAfter: CATCH_UP / 4,
    wanted,
    tolerates: tolerates ?? { machines: (wanted - 1) / 2, zones: 0, regions: 0 },
    keep: 2,
    keepBytes: 1 << 25,
    stall: ACKNOWLEDGE / 5,
  },
});

export class ControlPlane {
  readonly world: World;
  /** The core machines that were ever there, by number; the last process of each. */
  readonly cores = new Map<number, SimCore>();
  readonly disks = new Map<number, SimDisk>();
  readonly routers: SimRouter[] = [];
  /** Machines that are stopped for good. */
  readonly retired = new Set<number>();
  private newestNumber = 0;
  private readonly mends = new Map<number, () => void>();

  constructor(readonly options: ClusterOptions) {
    this.world = new World(options.seed);
    this.world.net.latency = LATENCY;
    this.world.net.jitter = JITTER;
  }

  /** Starts the first machines, and waits until as many as are wanted vote and all routers follow them. */
  async begin(): Promise<boolean> {
    const { wanted, routers, initial = wanted } = this.options;
    const numbers = Array.from({ length: initial }, (_, at) => at + 1);
    for (const number of numbers) this.start(number, true);
    for (let at = 0; at < routers; at++) this.startRouter(at);
    const areVoting = (): boolean =>
      this.alive.filter(({ member }) => member.state().voting).length === Math.min(wanted, initial);
    return this.world.run(
      FORMING_LIMIT,
      () =>
        areVoting() &&
        this.committed > 0 &&
        this.routers.every(({ inForce }) => inForce.revision > 0),
    );
  }

  /** Starts the core machine of a number, on the disk that it has. */
  start(number: number, form = false): SimCore {
    const disk = this.disks.get(number) ?? this.newDisk();
    this.disks.set(number, disk);
    this.newestNumber = Math.max(this.newestNumber, number);
    const { zone, region } = this.placeOf(number);
    const site = this.site(form, region);
    const core = simCore(
      this.world,
      `core-${number}`,
      coreAddress(number),
      zone,
      disk,
      site,
      this.options.log ?? silentLog,
    );
    this.cores.set(number, core);
    void core.node.start();
    return core;
  }

  startRouter(at: number): void {
    const router = simRouter(
      this.world,
      `router-${at}`,
      routerAddress(at),
      ONE_PLACE.zone,
      this.site(false, ONE_PLACE.region),
      () => () => Promise.resolve(failed('list', 'platform', 'there is none')),
      () => undefined,
    );
    this.routers[at] = router;
    void router.node.start();
  }

  /** An empty machine at an address of its own; its number. */
  startAnother(): number {
    const number = this.newestNumber + 1;
    this.start(number);
    return number;
  }

  /** The process is killed; its connections are reset. */
  kill(number: number): void {
    this.cores.get(number)!.host.kill();
  }

  /** The machine goes dark; what was not synced is kept, lost or torn by chance. */
  losePower(number: number): void {
    this.cores.get(number)!.host.losePower();
    this.disks.get(number)!.losePower();
  }

  /** The machine goes dark, and comes back with an empty disk if ever. */
  loseDisk(number: number): void {
    this.cores.get(number)!.host.losePower();
    this.disks.set(number, this.newDisk());
  }

  loseRouterPower(at: number): void {
    this.routers[at]!.host.losePower();
  }

  /** A planned stop, by the core's own way; the machine is gone afterwards. */
  async stop(number: number): Promise<void> {
    const core = this.cores.get(number)!;
    this.retired.add(number);
    const left = core.node.leave(LEAVE_LIMIT);
    const isOver = new Promise<void>((resolve) => this.world.at(LEAVE_LIMIT, () => resolve()));
    await Promise.race([left, isOver]);
    if (!core.host.dead) this.losePower(number);
  }

  /** Cuts a core machine off from all other machines, until it is joined again. */
  cutOff(number: number): void {
    const name = `core-${number}`;
    const others = [...this.cores.values(), ...this.routers]
      .map(({ host }) => host.name)
      .filter((other) => other !== name);
    this.mends.set(number, this.world.part([name], others));
  }

  join(number: number): void {
    this.mends.get(number)?.();
    this.mends.delete(number);
  }

  /** Each event takes a core machine so many ms; nothing by default. */
  slow(number: number, eventCost: number): void {
    const { host } = this.cores.get(number)!;
    if (eventCost > 0) host.slow(eventCost);
    else host.speedUp();
  }

  slowDisk(number: number, latency = SYNCED_WRITE): void {
    this.disks.get(number)!.latency = latency;
  }

  stallDisk(number: number, stalled: boolean): void {
    this.disks.get(number)!.stalled = stalled;
  }

  isUp(number: number): boolean {
    return this.cores.get(number)?.host.dead === false;
  }

  get alive(): SimCore[] {
    return [...this.cores.values()].filter(({ host }) => !host.dead);
  }

  /** The newest committed voter set that a living machine knows. */
  get voterSet(): VoterSet {
    return this.alive
      .map(({ member }) => member.knownCore)
      .reduce((newest, set) => (set.number > newest.number ? set : newest), {
        number: 0,
        wanted: 0,
        members: [],
      });
  }

  /** The numbers of the machines that are voters now. */
  get voterNumbers(): number[] {
    const addresses = this.voterSet.members.map(({ address }) => address);
    return [...this.cores.keys()].filter((number) => addresses.includes(coreAddress(number)));
  }

  /** The newest revision that any living machine knows to be committed. */
  get committed(): number {
    return Math.max(0, ...this.alive.map(({ member }) => member.committedRevision));
  }

  /** Whether there are as many voters as wanted, all alive, each with a revision on its disk. */
  isWhole(revision = this.committed): boolean {
    const { members, wanted } = this.voterSet;
    if (members.length < Math.max(wanted, this.options.wanted)) return false;
    return members.every(({ id }) =>
      this.alive.some(({ member }) => {
        const state = member.id === id ? member.state() : undefined;
        return state?.voting === true && state.committed >= revision && revision > 0;
      }),
    );
  }

  pass(duration: number, done: () => boolean = () => false): Promise<boolean> {
    return this.world.run(this.world.now + duration, done);
  }

  private newDisk(): SimDisk {
    const disk = new SimDisk(this.world);
    disk.latency = SYNCED_WRITE;
    return disk;
  }

  placeOf(number: number): Location {
    return this.options.placeOf?.(number) ?? ONE_PLACE;
  }

  /** The zones that the machines of the first start stand in. */
  private get layout(): Layout {
    const { wanted, initial = wanted } = this.options;
    const places = Array.from({ length: initial }, (_, at) => this.placeOf(at + 1));
    return Object.fromEntries(places.map(({ zone, region }) => [zone, region]));
  }

  /** Three core machines that are there, as an operator would name them now. */
  private site(form: boolean, region: string): SimSite {
    const present = this.alive.map(({ host }) => host.address).reverse();
    const known = [...this.cores.keys()].map(coreAddress).reverse();
    const first = Array.from({ length: SEED_COUNT }, (_, at) => coreAddress(at + 1));
    const seeds = form ? first : [...new Set([...present, ...known, ...first])];
    return {
      fleet: 'f',
      seeds: this.options.seeds?.map(coreAddress) ?? seeds.slice(0, SEED_COUNT),
      over: paramsFor(this.options, region, this.layout, form),
    };
  }
}
