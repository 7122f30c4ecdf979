/** Injects faults into a simulated day: those drawn from its seed, or one by its name. */
import { pick } from '../../../kernel/random/random.js';
import type { Operators } from '../operators.js';
import type { FaultName } from '../plan.js';
import type { Stage } from '../stage.js';
import type { Traffic } from '../traffic.js';
import { CoreFaults } from './core.js';
import { DiskFaults } from './disks.js';
import { EngineFaults } from './engines.js';
import { FaultTarget, type InjectFault } from './fault.js';
import { FleetFaults } from './fleet.js';
import { OperatorFaults } from './operators.js';
import { RouterFaults } from './routers.js';

/** The first fault comes this long after traffic begins, at the earliest. */
const EARLIEST = 2000;
/** Faults begin at least this long before the end of a day. */
const TAIL = 14_000;
const SHORTEST = 500;
const LONGEST = 9500;
/** How often a day that may close with a fault does so, and how long before its end. */
const CLOSING_SHARE = 0.4;
const CLOSING_BEFORE_END = 1500;
const CLOSING_LASTS = 1000;

export class FaultInjector {
  private readonly injections: ReadonlyMap<FaultName, InjectFault>;

  constructor(
    private readonly stage: Stage,
    traffic: Traffic,
    operators: Operators,
  ) {
    const target = new FaultTarget(stage, traffic, operators);
    this.injections = new Map<FaultName, InjectFault>([
      ...new CoreFaults(target).table,
      ...new DiskFaults(target).table,
      ...new RouterFaults(target).table,
      ...new EngineFaults(target).table,
      ...new OperatorFaults(target).table,
      ...new FleetFaults(target).table,
    ]);
  }

  /** Draws faults from the seed over a span of the day, and maybe one that closes it. */
  draw(from: number, span: number): void {
    const { world, random, plan } = this.stage;
    const [least, most] = plan.faultCount;
    const count = least + Math.floor(random.fraction() * (most - least + 1));
    for (let each = 0; each < count; each++) {
      const fault = pick(random, plan.faults)!;
      const at = EARLIEST + random.fraction() * Math.max(1000, span - TAIL);
      const lasts = SHORTEST + random.fraction() * (LONGEST - SHORTEST);
      world.at(from - world.now + at, () => this.inject(fault, lasts));
    }
    if (plan.closings.length && random.fraction() < CLOSING_SHARE)
      world.at(from - world.now + span - CLOSING_BEFORE_END, () =>
        this.inject(pick(random, plan.closings)!, CLOSING_LASTS),
      );
  }

  /** Starts a fault now, and writes it down. */
  inject(fault: FaultName, lasts: number): void {
    const { tally, world } = this.stage;
    tally.faults.push(`${fault}@${Math.round(world.now)}+${Math.round(lasts)}`);
    this.injections.get(fault)!(lasts);
  }

  /** Ends every fault that is still under way on the net, the disks and the machines. */
  mend(): void {
    const { world, disks, cores, routers } = this.stage;
    world.heal();
    world.net.mishap = () => 'pass';
    for (const disk of disks.values()) {
      disk.stalled = false;
      disk.powerCutAtStep = () => false;
    }
    for (const { host } of [...cores.values(), ...routers.values()]) host.thaw();
  }
}
