/**
 * Drawn days: changes go on; troubles within what is tolerated follow each other, each exactly when the time to catch up after
 * the one before is over; now and then all loses power; at the end disks are lost while all else loses power.
 */
import { pick, shuffled, type Random } from '../../src/kernel/random/random.js';
import type { Log } from '../../src/kernel/log/log.js';
import { CATCH_UP } from './cluster.js';
import { Day } from './day.js';
import { lose, LOSSES, type Loss } from './losses.js';
import type { StormOptions } from './operators.js';

type Trouble = Loss | 'slow' | 'slow-disk' | 'stalled-disk' | 'cut-off' | 'frozen';
const TROUBLES: readonly Trouble[] = [
  ...LOSSES,
  'slow',
  'slow-disk',
  'stalled-disk',
  'cut-off',
  'frozen',
];
/** How often redundancy is looked at, in ms. */
const LOOK_EVERY = 5;
const isLoss = (trouble: Trouble): trouble is Loss => LOSSES.includes(trouble as Loss);

/** What a day showed. */
export interface DayReport {
  /** The ms from the return of what stands for a lost machine until redundancy was whole, by loss. */
  readonly restored: Array<{ loss: Loss; ms: number | undefined }>;
  readonly slowestOrder: number;
  readonly acknowledged: number;
}

const between = (random: Random, least: number, most: number): number =>
  least + (most - least) * random.fraction();

const drawStorm = (random: Random): Partial<StormOptions> => ({
  operators: pick(random, [1, 1, 2, 3])!,
  pause: pick(random, [
    [20, 120],
    [0, 60],
    [50, 150],
  ] as const)!,
  fanout: pick(random, [1, 1, 1, 2, 8])!,
  lostAnswers: pick(random, [0, 0, 0.3, 0.7])!,
});

export interface DrawnDayOptions {
  readonly seed: number;
  readonly wanted: 3 | 5;
  readonly routes: number;
  /** How many troubles follow each other. */
  readonly troubles: number;
  readonly random: Random;
  /** Told each step. */
  readonly note?: ((text: string) => void) | undefined;
  readonly log?: Log | undefined;
}

export class DrawnDay {
  private readonly day: Day;
  private readonly random: Random;
  private readonly restored: DayReport['restored'] = [];
  /** When power came back last. */
  private powerBack = 0;

  constructor(private readonly options: DrawnDayOptions) {
    const { seed, wanted, routes, random, log } = options;
    this.random = random;
    const storm = { ...drawStorm(random), routes };
    this.note(JSON.stringify({ seed, wanted, ...storm }));
    this.day = new Day({ seed, wanted, routers: 2, log }, storm);
  }

  async play(): Promise<DayReport> {
    const { day, random } = this;
    await day.begin();
    for (let turn = 0; turn < this.options.troubles; turn++) {
      await this.trouble();
      if (random.fraction() < 0.2) await this.powerOff(0);
    }
    await this.powerOff(random.fraction() < 0.7 ? this.tolerated : 0);
    await day.recovered();
    const { delays, acknowledged } = day.operators.ledger;
    return {
      restored: this.restored,
      slowestOrder: Math.max(...delays),
      acknowledged: acknowledged.size,
    };
  }

  private note(text: string): void {
    this.options.note?.(text);
  }

  private get tolerated(): number {
    return (this.options.wanted - 1) / 2;
  }

  /** Troubles for as many machines as tolerated at once, maybe all power lost meanwhile, and then the time to catch up. */
  private async trouble(): Promise<void> {
    const { day, random } = this;
    const { plane } = day;
    const first = random.fraction() < 0.5 ? await day.nextAcknowledgement() : undefined;
    const voters = shuffled(
      random,
      plane.voterNumbers.filter((number) => plane.isUp(number)),
    );
    const isVoter = first !== undefined && voters.includes(first);
    const victims = [...new Set(isVoter ? [first, ...voters] : voters)];
    const count = 1 + Math.floor(this.tolerated * random.fraction());
    const ends = victims
      .slice(0, Math.min(count, this.tolerated))
      .map((number) => this.strike(pick(random, TROUBLES)!, number));
    if (random.fraction() < 0.3) {
      await plane.pass(between(random, 0, 3000));
      await this.powerOff(0);
    }
    await plane.world.until(Promise.all(ends));
    await plane.pass(CATCH_UP);
  }

  private async strike(trouble: Trouble, number: number): Promise<void> {
    const { day, random } = this;
    const { plane } = day;
    const lasts = between(random, 100, 3000);
    this.note(`${Math.round(plane.world.now)} ${trouble} core-${number} for ${Math.round(lasts)}`);
    if (isLoss(trouble)) {
      const successor = await lose(plane, trouble, number, lasts);
      this.watchRestored(trouble, successor);
      return;
    }
    const { host } = plane.cores.get(number)!;
    const cost = between(random, 1, 10);
    if (trouble === 'slow') plane.slow(number, cost);
    if (trouble === 'slow-disk') plane.slowDisk(number, between(random, 50, 250));
    if (trouble === 'stalled-disk') plane.stallDisk(number, true);
    if (trouble === 'cut-off') plane.cutOff(number);
    if (trouble === 'frozen') host.freeze();
    await this.rest(lasts);
    if (trouble === 'slow') host.speedUp();
    if (trouble === 'slow-disk') plane.slowDisk(number);
    if (trouble === 'stalled-disk') plane.stallDisk(number, false);
    if (trouble === 'cut-off') plane.join(number);
    if (trouble === 'frozen') host.thaw();
  }

  /**
   * Notes when what stands for a lost machine has its vote and the newest, without holding the day up. The time counts from
   * its return, or from that of all machines where they lost power meanwhile.
   */
  private watchRestored(loss: Loss, number: number): void {
    const { plane } = this.day;
    const { world } = plane;
    const back = world.now;
    const entry: { loss: Loss; ms: number | undefined } = { loss, ms: undefined };
    this.restored.push(entry);
    let target = 0;
    const look = (): void => {
      const took = world.now - Math.max(back, this.powerBack);
      if (target === 0 && plane.voterNumbers.includes(number)) target = plane.committed;
      const state = plane.cores.get(number)!.member.state();
      if (target > 0 && state.voting && state.committed >= target) entry.ms = took;
      else if (took < CATCH_UP) world.at(LOOK_EVERY, look);
    };
    look();
  }

  /** All loses power: at an acknowledgement, or some ms after an order was sent. */
  private async powerOff(disks: number): Promise<void> {
    const { day, random } = this;
    const { plane } = day;
    const atOrder = random.fraction() < 0.5;
    let struck: number | undefined;
    if (atOrder) await day.afterNextOrder(between(random, 5, 400));
    else struck = await day.nextAcknowledgement();
    const voters = shuffled(
      random,
      plane.voterNumbers.filter((number) => plane.isUp(number)),
    );
    const order = struck !== undefined && voters.includes(struck) ? [struck, ...voters] : voters;
    const lost = [...new Set(order)].slice(0, disks);
    this.note(`${Math.round(plane.world.now)} power off, disks of ${lost.join(' ')}`);
    const least = day.operators.ledger.newest;
    await day.powerOff(lost, between(random, 100, 1000));
    this.powerBack = plane.world.now;
    this.note(`${Math.round(this.powerBack)} power back, acknowledged ${least}`);
  }

  private rest(duration: number): Promise<void> {
    return new Promise((resolve) => this.day.plane.world.at(duration, () => resolve()));
  }
}
