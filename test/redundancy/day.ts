/** A day on the control plane: changes go on, machines are lost one after the other, and at the end all lose power at once. */
import { expect } from 'vitest';
import { pick } from '../../src/kernel/random/random.js';
import { ANSWER_LIMIT, CATCH_UP, ControlPlane, type ClusterOptions } from './cluster.js';
import { lose, untilWhole, type Loss } from './losses.js';
import { Operators, STORM, type StormOptions } from './operators.js';

const WARM_UP = 1000;
const DOWNTIME = 300;
const RECOVERY = 12_000;
const READ_PAUSE = 200;

export class Day {
  readonly plane: ControlPlane;
  readonly operators: Operators;

  constructor(options: ClusterOptions, storm: Partial<StormOptions> = {}) {
    this.plane = new ControlPlane(options);
    this.operators = new Operators(this.plane, { ...STORM, ...storm });
  }

  /** The group is formed, and the changes have begun. */
  async begin(): Promise<void> {
    expect(await this.plane.begin()).toBe(true);
    this.operators.run();
    await this.plane.pass(WARM_UP);
  }

  pickVoter(): number {
    return pick(this.plane.world.random, this.plane.voterNumbers)!;
  }

  /** Loses a voter; what takes its place must be a voter that holds the newest in time. The ms that it took. */
  async loseOne(loss: Loss, number = this.pickVoter(), downtime = DOWNTIME): Promise<number> {
    const { plane } = this;
    const successor = await plane.world.until(lose(plane, loss, number, downtime));
    const took = await untilWhole(plane, successor, CATCH_UP);
    expect(took, `${this.name}: core-${successor} for core-${number}`).toBeDefined();
    return took!;
  }

  /** Runs until something is acknowledged, and tells by which machine. */
  nextAcknowledgement(): Promise<number> {
    const { ledger } = this.operators;
    return this.plane.world.until(
      new Promise((resolve) => {
        ledger.onAcknowledged = (_, node): void => {
          ledger.onAcknowledged = (): void => undefined;
          resolve(node);
        };
      }),
    );
  }

  /** Runs until some ms after the next order was sent. */
  async afterNextOrder(delay: number): Promise<void> {
    const { ledger } = this.operators;
    await this.plane.world.until(
      new Promise<void>((resolve) => {
        ledger.onSent = (): void => {
          ledger.onSent = (): void => undefined;
          resolve();
        };
      }),
    );
    await this.plane.pass(delay);
  }

  /** Everything loses power at this very moment, routers too, and some machines their disks; all come back. */
  async powerOff(disksLost: readonly number[], downtime: number): Promise<void> {
    const { plane } = this;
    const numbers = [...plane.cores.keys()].filter((number) => plane.isUp(number));
    for (const number of numbers)
      if (disksLost.includes(number)) plane.loseDisk(number);
      else plane.losePower(number);
    plane.routers.forEach((_, at) => plane.loseRouterPower(at));
    await plane.pass(downtime);
    numbers.filter((number) => !plane.retired.has(number)).forEach((number) => plane.start(number));
    plane.routers.forEach((_, at) => plane.startRouter(at));
  }

  /** What was acknowledged can be read at every machine, routers have it, all voters are back, and changes go on. */
  async recovered(): Promise<void> {
    const { operators, plane } = this;
    const { ledger } = operators;
    const until = plane.world.now + RECOVERY;
    for (const number of [...plane.cores.keys()].filter((each) => plane.isUp(each)))
      expect(await this.readAt(number, until), `${this.name}: read at core-${number}`).toBe(true);
    const least = ledger.newest;
    const isRestored = await plane.pass(
      Math.max(0, until - plane.world.now),
      () =>
        plane.isWhole(1) && plane.routers.every(({ inForce }) => inForce.routes.version >= least),
    );
    expect(isRestored, `${this.name}: whole again`).toBe(true);
    operators.stop();
    expect(await plane.pass(RECOVERY, () => operators.areDone), `${this.name}: orders end`).toBe(
      true,
    );
    expect(await plane.world.until(operators.change())).toBe(true);
    expect(ledger.faults).toEqual([]);
  }

  /** Reads at a machine until it answers; the answer is judged. */
  private async readAt(number: number, until: number): Promise<boolean> {
    const { operators, plane } = this;
    const { ledger } = operators;
    while (plane.world.now < until) {
      const least = ledger.newest;
      const { configurator } = plane.cores.get(number)!;
      const read = await plane.world.until(configurator.read(ANSWER_LIMIT));
      read.ifRight((found) => ledger.read(found, least, `core-${number}`));
      if (read.isRight()) return true;
      await plane.pass(READ_PAUSE);
    }
    return false;
  }

  private get name(): string {
    return `seed ${this.plane.options.seed}`;
  }
}
