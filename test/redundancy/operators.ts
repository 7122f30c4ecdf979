/**
 * Operators who change the configuration again and again, each order on top of the newest version that they know, at any
 * core machine that is up; an order without a clear answer goes to the next one, at times to several at once.
 */
import type { ConfigureReply } from '../../src/api/configuration.js';
import type { SimCore } from '../../src/sim/nodes.js';
import { ANSWER_LIMIT, type ControlPlane } from './cluster.js';
import { Ledger, patchOf, wholeOf, type Order } from './orders.js';

/** An operator goes to the next machine after so long without an answer. */
const SILENCE = 1000;
const RETRY_PAUSE = 100;
const WHOLE_EVERY = 4;

export interface StormOptions {
  readonly operators: number;
  /** Ms between the end of an order and the next one: drawn between these. */
  readonly pause: readonly [number, number];
  readonly routes: number;
  /** To how many machines each order goes at once. */
  readonly fanout: number;
  /** The share of answers that never reach the operator. */
  readonly lostAnswers: number;
}

export const STORM: StormOptions = {
  operators: 1,
  pause: [20, 120],
  routes: 10,
  fanout: 1,
  lostAnswers: 0,
};

export class Operators {
  readonly ledger = new Ledger();
  private marks = 0;
  private stopped = false;
  private finished = 0;

  constructor(
    private readonly plane: ControlPlane,
    private readonly options: StormOptions = STORM,
  ) {}

  run(): void {
    for (let at = 0; at < this.options.operators; at++) void this.operate(at);
  }

  /** No new orders begin; those that are open are sent on until they have a clear answer. */
  stop(): void {
    this.stopped = true;
  }

  get areDone(): boolean {
    return this.finished === this.options.operators;
  }

  /** One order; whether it was acknowledged. */
  async change(): Promise<boolean> {
    return this.order(this.nextOrder(0, this.ledger.newest));
  }

  private async operate(who: number): Promise<void> {
    const { operators, pause } = this.options;
    let base = this.ledger.newest;
    while (!this.stopped) {
      const order = this.nextOrder(who, base);
      if (await this.order(order)) base = order.version;
      else base = (await this.read()) ?? base;
      if (operators === 1 && base < this.ledger.newest) base = this.ledger.newest;
      const [least, most] = pause;
      await this.rest(least + (most - least) * this.plane.world.random.fraction());
    }
    this.finished += 1;
  }

  private nextOrder(who: number, base: number): Order {
    const mark = ++this.marks;
    const order: Order = {
      expects: base,
      version: base + 1 + (who % 3),
      mark,
      form: base === 0 || mark % WHOLE_EVERY === 0 ? 'whole' : 'patch',
      sentAt: this.plane.world.now,
    };
    this.ledger.send(order);
    return order;
  }

  /** Sends an order until it has a clear answer. */
  private async order(order: Order): Promise<boolean> {
    for (;;) {
      const answers = await this.ask(this.machines(this.options.fanout), (core, number) =>
        this.send(core, order).then((reply) => ({ reply, number })),
      );
      for (const { reply, number } of answers) {
        const isLost = this.plane.world.random.fraction() < this.options.lostAnswers;
        if (isLost || reply.outcome === 'unknown') continue;
        if (reply.outcome === 'accepted') {
          this.ledger.acknowledge(order, number, this.plane.world.now);
          return true;
        }
        this.ledger.refuse(order, reply.outcome, this.options.operators === 1);
        return false;
      }
      await this.rest(RETRY_PAUSE);
    }
  }

  private send({ configurator }: SimCore, order: Order): Promise<ConfigureReply> {
    const { version, mark, expects, form } = order;
    return form === 'whole'
      ? configurator.replace(wholeOf(this.options.routes, version, mark), expects, ANSWER_LIMIT)
      : configurator.patch(patchOf(version, mark), expects, ANSWER_LIMIT);
  }

  /** Reads the version in force at some machine; what is read is judged. */
  private async read(): Promise<number | undefined> {
    const least = this.ledger.newest;
    const [answer] = await this.ask(this.machines(1), async (core) =>
      core.configurator.read(ANSWER_LIMIT),
    );
    return answer
      ?.map((found) => {
        this.ledger.read(found, least, `read at ${this.plane.world.now}`);
        return found?.version ?? 0;
      })
      .toMaybe()
      .extract();
  }

  /** Some machines that are up, drawn anew for each question. */
  private machines(count: number): Array<[number, SimCore]> {
    const { cores, world } = this.plane;
    const up = [...cores].filter(([, { host }]) => !host.dead);
    const drawn: Array<[number, SimCore]> = [];
    for (let at = 0; at < count && up.length > 0; at++)
      drawn.push(up[Math.floor(world.random.fraction() * up.length)]!);
    return drawn;
  }

  /** The answers of machines, as far as they come in time. */
  private async ask<T>(
    machines: ReadonlyArray<[number, SimCore]>,
    call: (core: SimCore, number: number) => Promise<T>,
  ): Promise<T[]> {
    const answers: T[] = [];
    const asking = machines.map(([number, core]) =>
      call(core, number).then((answer) => void answers.push(answer)),
    );
    await Promise.race([Promise.all(asking), this.rest(SILENCE)]);
    return answers;
  }

  private rest(duration: number): Promise<void> {
    return new Promise((resolve) => this.plane.world.at(duration, () => resolve()));
  }
}
