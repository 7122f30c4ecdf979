/** Faults of routers, and planned work on them. */
import type { Host } from '../../host.js';
import { RESTART, type FaultTable, type FaultTarget } from './fault.js';

const HERD_SHARE = 0.75;
/** A router that drains must be done after this long. */
const DRAIN_LIMIT = 9000;
const ROLL_RESTART = 300;
const ROLL_PAUSE = 700;

export class RouterFaults {
  private readonly draining = new Set<string>();

  readonly table: FaultTable = [
    ['router-killed', (lasts) => this.target.stage.killRouter(this.some(), lasts)],
    ['router-herd', (lasts) => this.killHerd(lasts)],
    ['router-all-killed', () => this.killAll()],
    ['router-frozen', (lasts) => this.target.standStill(this.someHost(), 'freeze', lasts)],
    ['router-suspended', (lasts) => this.target.standStill(this.someHost(), 'suspend', lasts)],
    ['router-slow', (lasts) => this.target.slowDown(this.someHost(), lasts)],
    ['router-resets', (lasts) => this.resetConnections(lasts)],
    ['router-isolated', (lasts) => this.isolate(lasts)],
    ['router-one-way', (lasts) => this.cutOneWay(lasts)],
    ['router-drains', (lasts) => void this.drain(this.some(), lasts)],
    ['routers-rolled', () => void this.roll()],
  ];

  constructor(private readonly target: FaultTarget) {}

  private some(): string {
    const { stage } = this.target;
    return stage.some(stage.routers)[0];
  }

  private someHost(): Host {
    const { stage } = this.target;
    return stage.some<{ readonly host: Host }>(stage.routers)[1].host;
  }

  private away(name: string): string[] {
    const { stage } = this.target;
    const others = stage.routerNames.filter((other) => other !== name);
    return [...stage.coreNames, ...others, 'platform'];
  }

  private killHerd(lasts: number): void {
    const { stage } = this.target;
    const count = Math.ceil(stage.routers.size * HERD_SHARE);
    for (const name of stage.routerNames.slice(0, count)) stage.killRouter(name, lasts);
  }

  private killAll(): void {
    const { stage } = this.target;
    for (const name of stage.routerNames) stage.killRouter(name, RESTART);
    this.target.outage();
  }

  /** The connections of all routers to other nodes are reset. */
  private resetConnections(lasts: number): void {
    const { stage } = this.target;
    const reset = (): void => {
      for (const { host } of stage.routers.values())
        stage.tally.note('connectionsReset', host.resetConnections());
    };
    reset();
    this.target.during(lasts, reset);
  }

  private isolate(lasts: number): void {
    const name = this.some();
    this.target.during(lasts, this.target.stage.world.part([name], this.away(name)));
  }

  private cutOneWay(lasts: number): void {
    const { world, random } = this.target.stage;
    const name = this.some();
    const others = this.away(name);
    this.target.during(
      lasts,
      random.fraction() < 0.5 ? world.cut([name], others) : world.cut(others, [name]),
    );
  }

  private async drain(name: string, lasts: number): Promise<void> {
    const { stage } = this.target;
    const { draining } = this;
    const { host, passage, node } = stage.routers.get(name)!;
    if (host.dead || draining.has(name)) return;
    draining.add(name);
    const done = stage.disturb();
    const taken = passage.open;
    stage.tally.note('takenAtStop', taken);
    const left = await Promise.race([node.drain(), stage.pause(DRAIN_LIMIT).then(() => -1)]);
    if (left !== 0 && !host.dead)
      stage.tally.find('drain-broke-off', `${name} broke off ${left} of ${taken}`);
    stage.killRouter(name, lasts);
    draining.delete(name);
    done();
  }

  /** Every router is stopped as planned and started again, one after the other. */
  private async roll(): Promise<void> {
    for (const name of this.target.stage.routerNames) {
      await this.drain(name, ROLL_RESTART);
      await this.target.stage.pause(ROLL_PAUSE);
    }
  }
}
