/** Core members of a simulated world, on disks that outlive them, with the faults that a schedule may bring upon them. */
import { Accept, Prepare, Committed } from '../../src/register/calls.js';
import { simCore, type SimCore } from '../../src/sim/nodes.js';
import { SimDisk } from '../../src/sim/disk.js';
import { World, type Mishap } from '../../src/sim/world.js';
import { decodeFrame, Stage, type Frame } from '../../src/wire/call.js';
import type {
  CrashAtMessageStep,
  CutLinkStep,
  DiskStep,
  IsolateStep,
  LoseDiskStep,
  MessagesStep,
  PowerLossStep,
  WatchedCall,
} from './steps.js';

const SLOW_DISK = 150;
/** A write that was begun on a slow or stalled disk has ended this long after the disk is well again. */
const SLOWEST_WRITE = 500;
const FORMING_LIMIT = 10_000;

/** Params as they follow from the settings of a deployment. */
const PARAMS = {
  form: true,
  claims: { enabled: false },
  lease: { lapse: 'serve', duration: 1500, renew: 500, patience: 500 },
  feed: { wait: 500 },
  core: { replaceAfter: 1000, keep: 32, keepBytes: 1 << 25, stall: 800 },
};

const codes: Record<WatchedCall, number> = {
  prepare: Prepare.code,
  accept: Accept.code,
  committed: Committed.code,
};

/** What may happen to a message on its way; `pass` leaves it to the next rule. */
type MessageRule = (from: string, to: string, frame: Frame) => Mishap;

export class Cluster {
  readonly world: World;
  readonly members: SimCore[];
  private readonly disks: SimDisk[];
  private readonly addresses: readonly string[];
  private readonly diskBusyUntil: number[];
  private readonly rules = new Set<MessageRule>();
  /** Members that lost their disk and have not been seen as voters beside all others since. */
  private readonly recovering = new Set<number>();

  constructor(size: number, seed: number) {
    this.world = new World(seed);
    this.addresses = Array.from({ length: size }, (_, at) => `127.0.0.1:${at + 1}`);
    this.diskBusyUntil = this.addresses.map(() => 0);
    this.disks = this.addresses.map(() => new SimDisk(this.world));
    this.members = this.addresses.map((_, at) => this.start(at));
    this.world.net.mishap = (from, to, bytes) => this.fateOf(from, to, bytes);
  }

  get size(): number {
    return this.members.length;
  }

  /** Waits until every member has the first revision in force. */
  formed(): Promise<boolean> {
    return this.world.run(FORMING_LIMIT, () =>
      this.members.every(({ inForce }) => inForce.revision > 0),
    );
  }

  isUp(at: number): boolean {
    return !this.members[at]!.host.dead;
  }

  kill(at: number, downtime: number): void {
    if (!this.isUp(at)) return;
    this.members[at]!.host.kill();
    this.disks[at]!.powerCut = () => 'no';
    this.world.at(downtime, () => this.restart(at));
  }

  /** A process is gone, and another can start, only once what it had under way at the disk has ended. */
  restart(at: number): void {
    const busy = this.diskBusyUntil[at]! - this.world.now;
    if (busy > 0) this.world.at(busy, () => this.restart(at));
    else if (!this.isUp(at)) this.members[at] = this.start(at);
  }

  /** Loses the disk of a member, which comes back with an empty one; not while as many as are tolerated recover. */
  loseDisk(at: number, { downtime }: LoseDiskStep): void {
    if (this.hasCaughtUp()) this.recovering.clear();
    const tolerated = Math.floor((this.size - 1) / 2);
    if (!this.isUp(at) || this.recovering.has(at) || this.recovering.size >= tolerated) return;
    this.recovering.add(at);
    this.members[at]!.host.kill();
    this.disks[at] = new SimDisk(this.world);
    this.world.at(downtime, () => this.restart(at));
  }

  losePower(at: number, { write, moment, downtime }: PowerLossStep): void {
    const disk = this.disks[at]!;
    const due = disk.writes + write;
    disk.powerCut = (count) => (count >= due ? moment : 'no');
    disk.onPowerCut = () => this.kill(at, downtime);
  }

  crashAtMessage({ call, stage, side, count, downtime }: CrashAtMessageStep): void {
    let seen = 0;
    const rule: MessageRule = (from, to, frame) => {
      if (frame.code !== codes[call] || frame.stage !== Stage[stage] || ++seen < count)
        return 'pass';
      this.rules.delete(rule);
      const victim = this.numberOf(side === 'sender' ? from : to);
      this.world.at(0, () => this.kill(victim, downtime));
      return 'pass';
    };
    this.rules.add(rule);
  }

  disturbMessages({ call, fate, every, duration }: MessagesStep): void {
    let seen = 0;
    const rule: MessageRule = (_, __, frame) =>
      frame.code === codes[call] && ++seen % every === 0 ? fate : 'pass';
    this.rules.add(rule);
    this.world.at(duration, () => this.rules.delete(rule));
  }

  /** Lets asks of a kind through to the members given only, until what comes back is called. */
  restrictAsks(call: WatchedCall, reached: readonly number[]): () => void {
    const rule: MessageRule = (_, to, { code, stage }) =>
      code === codes[call] && stage === Stage.ask && !reached.includes(this.numberOf(to))
        ? 'drop'
        : 'pass';
    this.rules.add(rule);
    return () => this.rules.delete(rule);
  }

  /** Calls back right after every one of the members given has sent a reply of a kind. */
  afterReplies(call: WatchedCall, from: readonly number[], act: () => void): void {
    const missing = new Set(from);
    const rule: MessageRule = (sender, _, { code, stage }) => {
      if (code !== codes[call] || stage !== Stage.reply) return 'pass';
      if (!missing.delete(this.numberOf(sender)) || missing.size > 0) return 'pass';
      this.rules.delete(rule);
      this.world.at(0, act);
      return 'pass';
    };
    this.rules.add(rule);
  }

  isolate(at: number, { direction, duration }: IsolateStep): void {
    const others = this.names.filter((_, other) => other !== at);
    this.cut([this.names[at]!], others, direction, duration);
  }

  cutLink(at: number, other: number, { direction, duration }: CutLinkStep): void {
    this.cut([this.names[at]!], [this.names[other]!], direction, duration);
  }

  troubleDisk(at: number, { trouble, duration }: DiskStep): void {
    const disk = this.disks[at]!;
    const usual = new SimDisk(this.world).latency;
    if (trouble !== 'full') this.noteBusy(at, duration);
    if (trouble === 'slow') disk.latency = SLOW_DISK;
    else disk[trouble] = true;
    this.world.at(duration, () => {
      if (trouble === 'slow') disk.latency = usual;
      else disk[trouble] = false;
    });
  }

  freeze(at: number, duration: number): void {
    const { host } = this.members[at]!;
    host.freeze();
    this.world.at(duration, () => host.thaw());
  }

  /** Ends every fault and starts every member that is down. */
  heal(): void {
    this.world.heal();
    this.rules.clear();
    this.disks.forEach((disk, at) => {
      this.diskBusyUntil[at] = this.world.now + SLOWEST_WRITE;
      Object.assign(disk, {
        stalled: false,
        full: false,
        latency: new SimDisk(this.world).latency,
      });
      disk.powerCut = () => 'no';
      this.members[at]!.host.thaw();
      this.restart(at);
    });
  }

  private noteBusy(at: number, duration: number): void {
    const until = this.world.now + duration + SLOWEST_WRITE;
    this.diskBusyUntil[at] = Math.max(this.diskBusyUntil[at]!, until);
  }

  private get names(): readonly string[] {
    return this.addresses.map((_, at) => `core-${at}`);
  }

  private numberOf(name: string): number {
    return this.names.indexOf(name);
  }

  /** Whether all members are up and vote, and hold one same committed revision. */
  private hasCaughtUp(): boolean {
    const states = this.members.map(({ member }) => member.state());
    return this.members.every(
      (_, at) =>
        this.isUp(at) && states[at]!.voting && states[at]!.committed === states[0]!.committed,
    );
  }

  private start(at: number): SimCore {
    const over = { ...PARAMS, firstStart: this.world.now === 0 ? 'yes' : 'no' };
    const site = { fleet: 'f', seeds: this.addresses, over };
    const disk = this.disks[at]!;
    const member = simCore(this.world, `core-${at}`, this.addresses[at]!, 'z', disk, site);
    void member.node.start();
    return member;
  }

  private cut(
    some: readonly string[],
    others: readonly string[],
    direction: IsolateStep['direction'],
    duration: number,
  ): void {
    const mends = [
      ...(direction === 'inbound' ? [] : [this.world.cut(some, others)]),
      ...(direction === 'outbound' ? [] : [this.world.cut(others, some)]),
    ];
    this.world.at(duration, () => mends.forEach((mend) => mend()));
  }

  private fateOf(from: string, to: string, bytes: Uint8Array): Mishap {
    if (this.rules.size === 0) return 'pass';
    const frame = decodeFrame(bytes, from).toMaybe().extract();
    if (!frame) return 'pass';
    for (const rule of [...this.rules]) {
      const fate = rule(from, to, frame);
      if (fate !== 'pass') return fate;
    }
    return 'pass';
  }
}
