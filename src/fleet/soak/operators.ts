/**
 * The operators of a soak: each changes the configuration steadily on top of what it knows to be in place, and sends what
 * got no clear answer again, unchanged, to any node. Others only read. Every call is on record.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { SeededRandom, pick, type Random } from '../../kernel/random/random.js';
import type { ChangeAnswer } from '../../history/call.js';
import type { Configuration } from '../../route/shape.js';
import type { RecordedOperators } from '../history.js';
import { OrderComposer, type SoakOrder } from './configurations.js';

/** An order with what became of it. */
export interface SentOrder extends SoakOrder {
  readonly operator: string;
  readonly sentAt: number;
  /** When it was first acknowledged; undefined while it was not. */
  acknowledgedAt: number | undefined;
  /** When it was first told to be lost or invalid. */
  refusedAt: number | undefined;
}

const THINK_LEAST = 10;
const THINK_MORE = 100;
const RESEND_FIRST = 50;
const RESEND_MOST = 800;
const READ_EVERY = 250;
/** ms after which an operator gives up an order and reads what is in place instead. */
const PURSUE = 12_000;
/** The share of calls that go to a router; the others go to core machines. */
const ROUTER_SHARE = 0.2;

/** The orders of a run, in the order in which they were first sent. */
export class SentOrders {
  readonly all: SentOrder[] = [];
  private acknowledgedLast: SentOrder | undefined;
  private waiting: Array<(sent: SentOrder) => void> = [];

  /** Notes an answer to an order. */
  note(sent: SentOrder, answer: ChangeAnswer): void {
    if (answer === 'conflict' || answer === 'invalid') sent.refusedAt ??= Date.now();
    if (answer !== 'acknowledged' || sent.acknowledgedAt !== undefined) return;
    sent.acknowledgedAt = Date.now();
    this.acknowledgedLast = sent;
    const told = this.waiting;
    this.waiting = [];
    for (const resolve of told) resolve(sent);
  }

  /** The mark of the order that was acknowledged last. */
  get newestMark(): string {
    return this.acknowledgedLast?.mark ?? '/';
  }

  /** Fulfilled as soon as an order is acknowledged that was not before. */
  nextAcknowledged(): Promise<SentOrder> {
    return new Promise((resolve) => {
      this.waiting.push(resolve);
    });
  }
}

/** One operator who changes the configuration. */
export class SoakOperator {
  private readonly composer: OrderComposer;
  private readonly random: Random;
  /** What it knows to be, or to have been, in place. */
  private known: Configuration | undefined;

  constructor(
    private readonly name: string,
    seed: number,
    private readonly calls: RecordedOperators,
    private readonly orders: SentOrders,
    private readonly cores: readonly string[],
    private readonly routers: readonly string[],
    private readonly stop: AbortSignal,
    /** Whether it only sends patches, to core machines, as where a configuration is large and routers' links are narrow. */
    private readonly isSparing = false,
  ) {
    this.random = new SeededRandom(seed);
    this.composer = new OrderComposer(name, this.random, isSparing);
  }

  /** Changes the configuration until told to stop. */
  async run(): Promise<void> {
    while (!this.stop.aborted) {
      await pause(THINK_LEAST + this.random.fraction() * THINK_MORE);
      if (!this.known) await this.look();
      else await this.change(this.known);
    }
  }

  /** Reads the configuration steadily until told to stop. */
  async watch(): Promise<void> {
    while (!this.stop.aborted) {
      await pause(this.random.fraction() * 2 * READ_EVERY);
      await this.calls.show(this.node());
    }
  }

  private async look(): Promise<void> {
    this.known = (await this.calls.show(this.node()))?.configuration;
  }

  private async change(base: Configuration): Promise<void> {
    const sent: SentOrder = {
      ...this.composer.compose(base),
      operator: this.name,
      sentAt: Date.now(),
      acknowledgedAt: undefined,
      refusedAt: undefined,
    };
    this.orders.all.push(sent);
    const answer = await this.pursue(sent);
    if (answer === 'acknowledged') this.known = sent.whole;
    else if (answer !== 'invalid') this.known = undefined;
  }

  /** Sends an order until it has a clear answer; that stays open where none comes in time. */
  private async pursue(sent: SentOrder): Promise<ChangeAnswer> {
    const end = performance.now() + PURSUE;
    let rest = RESEND_FIRST;
    while (performance.now() < end && !this.stop.aborted) {
      const answer = await this.calls.send(this.node(), sent.order, sent.isValid);
      this.orders.note(sent, answer);
      if (answer !== 'unclear') return answer;
      await pause(rest * this.random.fraction());
      rest = Math.min(RESEND_MOST, rest * 2);
    }
    return 'unclear';
  }

  private node(): string {
    const isRouter = this.random.fraction() < ROUTER_SHARE && !this.isSparing;
    return pick(this.random, isRouter ? this.routers : this.cores)!;
  }
}
