/**
 * Losses one after the other, each within what is tolerated and the next exactly at the end of the time to catch up: a lost
 * disk, a machine at a new address, a planned leaver, in every order of two and three. No acknowledged change is lost, a
 * majority remains, and there is one group.
 */
import { describe, expect, test } from 'vitest';
import { SeededRandom } from '../../src/kernel/random/random.js';
import { Machines, SEEDS } from './machines.js';

const CATCH_UP = 4000;
/** Within which a change is acknowledged, whatever is lost within what is tolerated. */
const BOUND = 2500;
const CHANGE_EVERY = 700;
const LEAVE_LIMIT = 2000;

type Loss = 'wiped' | 'moved' | 'planned' | 'stopped';
const LOSSES: readonly Loss[] = ['wiped', 'moved', 'planned', 'stopped'];

const FIVE = [1, 2, 3, 4, 5];

class Day {
  readonly machines: Machines;
  private readonly random: SeededRandom;
  private next: number;
  slowest = 0;

  constructor(
    seed: number,
    private readonly numbers: readonly number[],
  ) {
    this.machines = new Machines(seed, numbers.length);
    this.random = new SeededRandom(seed + 1);
    this.next = numbers.length + 1;
  }

  async begin(): Promise<void> {
    for (const number of this.numbers) this.machines.start(number, { first: true });
    const formed = await this.machines.run(3000, () => this.machines.voters(this.numbers.length));
    expect(formed).toBe(true);
    await this.change();
  }

  /** One change, which must be acknowledged within the bound. */
  async change(): Promise<void> {
    const { machines } = this;
    const from = machines.world.now;
    const told = await machines.change(machines.voterNumbers, BOUND);
    this.slowest = Math.max(this.slowest, machines.world.now - from);
    expect({ at: Math.round(from), told, voters: machines.voterNumbers }).toMatchObject({
      told: 'applied',
    });
  }

  /** Changes go on until a moment. */
  async until(moment: number): Promise<void> {
    const { machines } = this;
    while (machines.world.now + CHANGE_EVERY < moment) {
      await this.change();
      await machines.run(Math.min(CHANGE_EVERY, moment - machines.world.now));
    }
    await machines.run(Math.max(0, moment - machines.world.now));
  }

  /** One loss, begun now; the number is that of the machine that stands for the lost one from then on. */
  lose(loss: Loss, number: number, away: number): number {
    const { machines } = this;
    const successor = loss === 'wiped' ? number : this.next++;
    const start = (): void => {
      machines.start(successor, { seeds: this.seedsFor(successor), first: false });
    };
    if (loss === 'planned') {
      // The successor comes first, then the old one is told to stop and does not come back.
      start();
      machines.world.at(away, () => this.stop(number));
    } else {
      if (loss === 'stopped') this.stop(number);
      else machines.kill(number, 'lost');
      machines.world.at(away, start);
    }
    return successor;
  }

  /** A planned stop, by the core's own way; the machine does not come back. */
  private stop(number: number): void {
    const { node } = this.machines.cores.get(number)!;
    void node.leave(LEAVE_LIMIT).then(() => this.machines.kill(number, 'lost'));
  }

  private seedsFor(number: number): number[] {
    return [...this.machines.voterNumbers.slice(-2), number];
  }

  pickVoter(except: readonly number[] = []): number {
    const candidates = this.machines.voterNumbers.filter(
      (number) => !except.includes(number) && !this.machines.cores.get(number)!.host.dead,
    );
    return candidates[Math.floor(this.random.fraction() * candidates.length)]!;
  }

  async end(): Promise<void> {
    const { machines } = this;
    await this.change();
    const whole = await machines.run(CATCH_UP, () => machines.voters(this.numbers.length));
    expect({ whole, voters: machines.voterNumbers }).toMatchObject({ whole: true });
    expect(await machines.lost(machines.voterNumbers)).toEqual([]);
    expect({ groups: machines.formed.size, forks: machines.forks.size }).toEqual({
      groups: 1,
      forks: 0,
    });
  }
}

const orders = (length: number): Loss[][] =>
  length === 0
    ? [[]]
    : orders(length - 1).flatMap((order) => LOSSES.map((loss) => [...order, loss]));

const name = (order: readonly Loss[]): string => order.join(', then ');

describe('three voters, one loss borne', () => {
  for (const order of [...orders(2), ...orders(3)])
    test(name(order), async () => {
      for (const seed of [1, 2]) {
        const day = new Day(seed * 100, SEEDS);
        await day.begin();
        let newest = 0;
        for (const [at, loss] of order.entries()) {
          // Every other time the machine that came last is the next to be lost.
          const target = at % 2 === 1 && seed === 1 ? newest : day.pickVoter();
          newest = day.lose(loss, target, at * 400);
          await day.until(day.machines.world.now + at * 400 + CATCH_UP);
        }
        await day.end();
      }
    });
});

describe('five voters, two losses borne', () => {
  for (const order of orders(2))
    test(`${name(order)}, at once; then the same again`, async () => {
      for (const seed of [1, 2, 3]) {
        const day = new Day(seed * 100, FIVE);
        await day.begin();
        for (let turn = 0; turn < 2; turn++) {
          const first = day.pickVoter();
          const second = day.pickVoter([first]);
          day.lose(order[0]!, first, 0);
          day.lose(order[1]!, second, 100 * seed);
          await day.until(day.machines.world.now + 100 * seed + CATCH_UP);
        }
        await day.end();
      }
    });
});
