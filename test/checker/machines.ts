/**
 * Core machines of a simulated fleet that come, go and lose their disks, with a client that changes the configuration and
 * judges: at no time two groups, no acknowledged change lost, changes acknowledged again within a bound.
 */
import { type VoterSet } from '../../src/register/document.js';
import { digestOf } from '../../src/register/hash.js';
import { SimDisk } from '../../src/sim/disk.js';
import { simBase, simCore, type SimBase, type SimCore, type SimSite } from '../../src/sim/nodes.js';
import { World } from '../../src/sim/world.js';

const FIRST_REVISION = 'revisions/000000000001';
const LINE_FEED = 10;

export const SEEDS = [1, 2, 3];
export const addressOf = (number: number): string => `127.0.0.1:${number}`;

export interface Start {
  readonly seeds?: readonly number[];
  readonly first: boolean;
}

export class Machines {
  readonly world: World;
  readonly disks = new Map<number, SimDisk>();
  readonly cores = new Map<number, SimCore>();
  /** The first revisions that any machine ever held, by digest. */
  readonly formed = new Set<string>();
  /** Numbers at which two members knew different values to be committed. */
  readonly forks = new Set<number>();
  readonly acknowledged = new Set<string>();
  private readonly firstSeen = new Map<number, Uint8Array>();
  private readonly committed = new Map<number, string>();
  private changes = 0;
  private clients = 0;

  constructor(
    seed: number,
    private readonly wanted = 3,
  ) {
    this.world = new World(seed);
  }

  start(number: number, { seeds = SEEDS, first }: Start): SimCore {
    const disk = this.disks.get(number) ?? new SimDisk(this.world);
    this.disks.set(number, disk);
    const core = simCore(
      this.world,
      `core-${number}`,
      addressOf(number),
      'z',
      disk,
      this.site(seeds, first),
    );
    this.cores.set(number, core);
    void core.node.start();
    return core;
  }

  site(seeds: readonly number[], first: boolean): SimSite {
    return {
      fleet: 'f',
      seeds: seeds.map(addressOf),
      over: {
        form: first,
        firstStart: first ? 'yes' : 'no',
        lease: { duration: 2000, renew: 500, lapse: 'serve', patience: 400 },
        feed: { wait: 500 },
        claims: { enabled: false },
        core: { replaceAfter: 1000, wanted: this.wanted },
      },
    };
  }

  /** A lost disk is another one from then on: what was on its way to the old one goes with it. */
  kill(number: number, disk: 'kept' | 'lost' = 'kept'): void {
    this.cores.get(number)?.host.kill();
    if (disk === 'lost') this.disks.set(number, new SimDisk(this.world));
  }

  /**
   * At every step: the first revision on any disk, and what any member knows to be committed. More than one first revision,
   * or two committed values at one number, mean that there are two groups.
   */
  watch(): void {
    for (const [number, disk] of this.disks) {
      const file = disk.files.get(FIRST_REVISION);
      if (!file || this.firstSeen.get(number) === file) continue;
      this.firstSeen.set(number, file);
      this.formed.add(digestOf(file.subarray(file.indexOf(LINE_FEED) + 1)));
    }
    for (const { host, member } of this.cores.values()) {
      const { committed } = member.chain;
      const digest = host.dead || committed === 0 ? undefined : member.chain.digest(committed);
      if (digest === undefined) continue;
      const known = this.committed.get(committed);
      if (known !== undefined && known !== digest) this.forks.add(committed);
      this.committed.set(committed, digest);
    }
  }

  async run(duration: number, done: () => boolean = () => false): Promise<boolean> {
    return this.world.run(this.world.now + duration, () => {
      this.watch();
      return done();
    });
  }

  get alive(): SimCore[] {
    return [...this.cores.values()].filter(({ host }) => !host.dead);
  }

  /** Whether so many living machines vote and hold one same committed revision. */
  voters(count: number): boolean {
    const states = this.alive.map(({ member }) => member.state()).filter(({ voting }) => voting);
    return (
      states.length >= count &&
      states.every(({ committed }) => committed > 0 && committed === states[0]!.committed)
    );
  }

  /** The newest committed voter set that a living machine knows. */
  get voterSet(): VoterSet {
    return this.alive
      .map(({ member }) => member.knownCore)
      .reduce((newest, set) => (set.number > newest.number ? set : newest));
  }

  /** The numbers of the machines that are voters now. */
  get voterNumbers(): number[] {
    return this.voterSet.members.map(({ address }) => Number(address.split(':')[1])).sort();
  }

  /** A change through a client that knows only these seeds; what becomes of it within the limit. */
  async change(seeds: readonly number[] = SEEDS, limit = 6000): Promise<string> {
    const client = this.client(seeds);
    const name = `n-${++this.changes}`;
    const act = { kind: 'claim', name, duration: 1, expects: 0, takeover: false } as const;
    let told: string | undefined;
    void client.proposer
      .propose({ id: `c-${name}`, firm: 's', who: 'o', act }, limit)
      .then((outcome) => (told = outcome.map(({ kind }) => kind as string).orDefault('fault')));
    await this.run(limit + 2000, () => told !== undefined);
    client.host.kill();
    if (told === 'applied') this.acknowledged.add(name);
    return told ?? 'nothing';
  }

  /** Acknowledged changes that a read through a majority does not show. */
  async lost(seeds: readonly number[]): Promise<string[]> {
    const client = this.client(seeds);
    const read = await this.world.until(client.proposer.read(6000));
    client.host.kill();
    const claims = read.map((document) => document.claims).orDefault(new Map());
    return [...this.acknowledged].filter((name) => !claims.has(name));
  }

  private client(seeds: readonly number[]): SimBase {
    const name = `client-${++this.clients}`;
    return simBase(this.world, name, addressOf(90), 'z', 'router', this.site(seeds, false));
  }
}
