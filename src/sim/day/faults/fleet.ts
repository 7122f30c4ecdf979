/** Faults of the whole fleet at once, its clocks, its net or its callers. */
import { pick } from '../../../kernel/random/random.js';
import type { Mishap } from '../../world.js';
import { RESTART, type FaultTable, type FaultTarget } from './fault.js';

const JUMPS = [200, 8000, 7_200_000] as const;
const JUMP_COUNTS_FOR = 3000;
const DROPPED = 0.05;
const REPEATED = 0.02;
const LATE = 0.03;

export class FleetFaults {
  readonly table: FaultTable = [
    ['clocks-jump', () => this.stepClocks()],
    ['lossy-net', (lasts) => this.losePackets(lasts)],
    ['all-killed', () => this.killAll()],
    ['nodes-reload', () => this.reload()],
    ['crowd', () => this.flow(1500, 150, 4)],
    ['hot-prefix', () => this.flow(4000, 4, 24, true)],
    ['callers-repeat', (lasts) => this.repeatCalls(lasts)],
  ];

  constructor(private readonly target: FaultTarget) {}

  private stepClocks(): void {
    const { stage } = this.target;
    const { random } = stage;
    const hosts = [
      stage.some(stage.cores)[1].host,
      stage.some(stage.routers)[1].host,
      stage.some(stage.routers)[1].host,
    ];
    for (const host of hosts) host.jump((random.fraction() - 0.5) * pick(random, JUMPS)!);
    this.target.during(JUMP_COUNTS_FOR, () => undefined);
  }

  private losePackets(lasts: number): void {
    const { world } = this.target.stage;
    world.net.mishap = () => this.drawMishap();
    this.target.during(lasts, () => (world.net.mishap = () => 'pass'));
  }

  private drawMishap(): Mishap {
    const { random } = this.target.stage;
    if (random.fraction() < DROPPED) return 'drop';
    if (random.fraction() < REPEATED) return 'twice';
    return random.fraction() < LATE ? 'late' : 'pass';
  }

  private killAll(): void {
    const { stage } = this.target;
    for (const name of stage.coreNames) stage.killCore(name, RESTART);
    for (const name of stage.routerNames) stage.killRouter(name, RESTART);
    this.target.outage();
  }

  /** Every node reads its seeds again: the core machines of that moment, each node in an order of its own. */
  private reload(): void {
    const { stage } = this.target;
    const addresses = [...stage.cores.values()].map(({ host }) => host.address);
    for (const { host, voterDirectory, view } of [
      ...stage.cores.values(),
      ...stage.routers.values(),
    ]) {
      if (host.dead) continue;
      const first = Math.floor(stage.random.fraction() * addresses.length);
      const seeds = [...addresses.slice(first), ...addresses.slice(0, first)];
      voterDirectory.reseed(seeds);
      view.reseed(seeds);
    }
    stage.tally.note('reloads');
  }

  private flow(span: number, short: number, long: number, hot = false): void {
    this.target.traffic.flow(this.target.stage.world.now, span, short, long, hot);
  }

  /** Callers send their requests again at once, without waiting for an answer. */
  private repeatCalls(lasts: number): void {
    const { traffic } = this.target;
    traffic.repeatsAtOnce = true;
    this.target.during(lasts, () => (traffic.repeatsAtOnce = false));
  }
}
