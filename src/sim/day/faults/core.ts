/** Faults of core machines. Only one of them a day loses its disk, is gone for good or is replaced. */
import { pick } from '../../../kernel/random/random.js';
import type { Host } from '../../host.js';
import type { FaultTable, FaultTarget } from './fault.js';

/** A file is made, written, synced and renamed, and its folder synced. */
const STEPS_OF_A_WRITE = 5;
/** A planned replacement runs this long beside the machine that it takes over from. */
const OVERLAP = 1000;
const BETWEEN_REPLACEMENTS = 12_000;

export class CoreFaults {
  readonly table: FaultTable = [
    ['core-killed', (lasts) => this.target.stage.killCore(this.some(), lasts)],
    ['core-power', (lasts) => this.losePower(this.some(), lasts)],
    ['core-power-two', (lasts) => this.names.slice(0, 2).forEach((n) => this.losePower(n, lasts))],
    ['core-frozen', (lasts) => this.target.standStill(this.someHost(), 'freeze', lasts)],
    ['core-suspended', (lasts) => this.target.standStill(this.someHost(), 'suspend', lasts)],
    ['core-slow', (lasts) => this.target.slowDown(this.someHost(), lasts)],
    ['core-resets', (lasts) => this.resetConnections(lasts)],
    ['core-all-killed', (lasts) => this.names.forEach((n) => this.target.stage.killCore(n, lasts))],
    ['core-split', (lasts) => this.splitOff(lasts)],
    ['core-cut-off', (lasts) => this.cutOffRouters(lasts)],
    ['core-one-way', (lasts) => this.cutOneWay(lasts)],
    ['core-disk-lost', (lasts) => this.lose(lasts, false)],
    ['core-moved', (lasts) => this.lose(lasts, true)],
    ['core-replaced', () => this.replace()],
    ['core-replaced-twice', () => void this.replaceTwice()],
    ['core-acked-then-lost', (lasts) => void this.loseOneThatAccepted(lasts)],
    ['seed-foreign', (lasts) => this.foreignSeed(lasts)],
  ];

  constructor(private readonly target: FaultTarget) {}

  private get names(): string[] {
    return this.target.stage.coreNames;
  }

  private some(): string {
    const { stage } = this.target;
    return stage.some(stage.cores)[0];
  }

  private someHost(): Host {
    const { stage } = this.target;
    return stage.some<{ readonly host: Host }>(stage.cores)[1].host;
  }

  /** Power goes at a step of the machine's next write; what is not synced is kept, lost or torn, each by itself. */
  private losePower(name: string, lasts: number): void {
    const { stage } = this.target;
    const disk = stage.disks.get(name)!;
    const last = disk.steps + 1 + Math.floor(stage.random.fraction() * STEPS_OF_A_WRITE);
    disk.powerCutAtStep = (step) => step >= last;
    disk.onPowerCut = () => {
      disk.powerCutAtStep = () => false;
      stage.killCore(name, lasts);
    };
  }

  /** All connections of one machine are reset, and again a few times while the fault lasts. */
  private resetConnections(lasts: number): void {
    const { world, tally } = this.target.stage;
    const host = this.someHost();
    const reset = (): void => tally.note('connectionsReset', host.resetConnections());
    for (let at = 0; at < lasts; at += lasts / 4) world.at(at, reset);
    this.target.during(lasts, reset);
  }

  private splitOff(lasts: number): void {
    const name = this.some();
    const others = this.names.filter((other) => other !== name);
    this.target.during(lasts, this.target.stage.world.part([name], others));
  }

  private cutOffRouters(lasts: number): void {
    const { stage } = this.target;
    this.target.during(lasts, stage.world.part(stage.coreNames, stage.routerNames));
  }

  private cutOneWay(lasts: number): void {
    const { stage } = this.target;
    const { world, random } = stage;
    const name = this.some();
    const others = [...stage.coreNames, ...stage.routerNames];
    this.target.during(
      lasts,
      random.fraction() < 0.5 ? world.cut([name], others) : world.cut(others, [name]),
    );
  }

  private get lostBefore(): boolean {
    return this.target.stage.lostFor.size > 0;
  }

  private lose(lasts: number, moved: boolean): void {
    if (!this.lostBefore) this.target.stage.loseCore(this.some(), lasts, moved);
  }

  /** As planned: an empty machine at a new address first, and then the one that it takes over from stops. */
  private replace(): void {
    if (!this.lostBefore) this.target.stage.replaceCore(this.some(), OVERLAP);
  }

  /** Two planned replacements, the second of the machine that took over in the first. */
  private async replaceTwice(): Promise<void> {
    const { stage } = this.target;
    if (this.lostBefore) return;
    const successor = stage.replaceCore(this.some(), OVERLAP);
    await stage.pause(BETWEEN_REPLACEMENTS);
    stage.replaceCore(successor, OVERLAP);
  }

  /** A change is told accepted, and at that very moment a core machine is gone with its disk. */
  private async loseOneThatAccepted(lasts: number): Promise<void> {
    const { stage, operators } = this.target;
    if (this.lostBefore) return;
    const name = pick(stage.random, operators.names)!;
    const { outcome } = await operators.change(name, operators.newest(name), 'all');
    if (outcome !== 'accepted' || this.lostBefore) return;
    stage.tally.note('lostAfterAccepted');
    stage.loseCore(this.some(), lasts, false);
  }

  /** A machine of another fleet answers at the address of a seed. */
  private foreignSeed(lasts: number): void {
    const { stage } = this.target;
    const name = this.some();
    const done = stage.disturb();
    stage.cores.get(name)!.host.kill();
    const { host } = stage.startCore(name, 'another-fleet');
    stage.world.at(lasts, () => {
      host.kill();
      stage.startCore(name);
      done();
    });
  }
}
