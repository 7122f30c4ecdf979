/** The callers of a soak: all kinds of requests, connections that are kept, slow bodies, callers that leave, and marks. */
import { setTimeout as pause } from 'node:timers/promises';
import { SeededRandom, pick, type Random } from '../../kernel/random/random.js';
import type { Kind, OpaqueScene } from '../opaque.js';
import { HOST } from './configurations.js';
import { ConnectionCaller, type KeptAsking } from './connection-caller.js';
import type { SentOrder, SentOrders } from './operators.js';

/** ms that a caller gives all tries of a request. */
export const DEADLINE = 5000;
/** ms of silence after which a caller leaves; above its deadline, so that none leaves for it. */
const SILENCE = 6000;
const KEPT_CONNECTIONS = 16;
const LEAVE_EVERY = 400;
const LONGEST_STAY = 600;
const MARK_EVERY = 120;
/** ms between the questions for the newest mark on one kept connection, times the number of routers. */
const PROBE_EVERY = 20;
/** Marks are asked for among so many newest orders. */
const MARKS_BACK = 30;
const SLOWEST_PIECE = 250;

const promptOf = (tokens: number, output: number): ReadonlyArray<readonly [string, string]> => [
  ['X-Model', 'm'],
  ['X-Token-Counts', `${tokens},${output}`],
  ['X-Prompt-Parts', `aa:${Math.floor(tokens * 0.75)},bb:${Math.ceil(tokens * 0.25)}`],
];

const SHORT = promptOf(400, 40);
const LONG = promptOf(400, 120);
const patience = { host: HOST, deadline: DEADLINE, silence: SILENCE } as const;

/** The kinds of requests that come steadily, each on a connection of its own. */
export const KINDS: readonly Kind[] = [
  {
    name: 'once',
    asking: { ...patience, target: '/once/x?y=z', repeatable: false },
    perSecond: 10,
  },
  {
    name: 'again',
    asking: { ...patience, target: '/again/x?bytes=3000', repeatable: true, chunked: 3 },
    perSecond: 10,
  },
  {
    name: 'large',
    asking: { ...patience, target: '/once/x?bytes=300000', repeatable: false, pauses: 20 },
    perSecond: 2,
  },
  {
    name: 'stream',
    asking: { ...patience, target: '/stream/x', repeatable: false, fields: SHORT },
    perSecond: 6,
  },
  {
    name: 'long-stream',
    asking: { ...patience, target: '/stream/x', repeatable: false, fields: LONG },
    perSecond: 3,
  },
  {
    name: 'resumed',
    asking: { ...patience, target: '/resumed/x', repeatable: true, resume: true, fields: LONG },
    perSecond: 6,
  },
];

const keptKinds: readonly KeptAsking[] = [
  {
    name: 'kept-once',
    host: HOST,
    target: '/once/kept',
    body: Buffer.from('kept'),
    repeatable: false,
    slowness: 0,
  },
  {
    name: 'kept-again',
    host: HOST,
    target: '/again/kept?bytes=500',
    body: Buffer.from('kept'),
    repeatable: true,
    chunked: 2,
    slowness: 0,
  },
  {
    name: 'kept-stream',
    host: HOST,
    target: '/stream/kept',
    body: Buffer.from('kept'),
    repeatable: false,
    fields: SHORT,
    slowness: 0,
  },
];

/** The traffic of a soak. */
export class SoakTraffic {
  readonly connections: ConnectionCaller;
  private readonly random: Random;
  private readonly stop = new AbortController();
  /** What begins requests that it does not wait for; it must be over before these are waited for. */
  private readonly beginning: Array<Promise<void>> = [];
  private readonly running: Array<Promise<unknown>> = [];

  constructor(
    private readonly scene: OpaqueScene,
    private readonly reach: (router: string) => string,
    private readonly orders: SentOrders,
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
    this.connections = new ConnectionCaller(
      new SeededRandom(seed + 1),
      scene.caller.asked,
      DEADLINE,
    );
  }

  start(routers: readonly string[]): void {
    void this.scene.follow();
    this.running.push(this.scene.drive(KINDS));
    this.beginning.push(this.leave(), this.askForMarks());
    for (const router of routers) this.running.push(this.probe(router, routers.length));
    for (let at = 0; at < KEPT_CONNECTIONS; at++) this.running.push(this.keep());
  }

  /** Ends the traffic and waits for what is under way. */
  async finish(): Promise<void> {
    this.stop.abort();
    await Promise.all(this.beginning);
    await this.scene.rest();
    await Promise.all(this.running);
  }

  /** Waits so many ms; whether the traffic still goes on then. */
  private async goesOnAfter(duration: number): Promise<boolean> {
    await pause(duration, undefined, { signal: this.stop.signal }).catch(() => undefined);
    return !this.stop.signal.aborted;
  }

  private keep(): Promise<void> {
    const router = (): string => this.reach(this.scene.chooseRouter());
    return this.connections.run(router, () => this.nextKept(), this.stop.signal);
  }

  /** Asks one router for the newest mark on a connection that is kept until the process closes it or is gone. */
  private probe(router: string, routers: number): Promise<void> {
    const next = (): KeptAsking => ({
      name: 'mark',
      host: HOST,
      target: `${this.orders.newestMark}x`,
      body: Buffer.from('mark'),
      repeatable: true,
      slowness: 0,
    });
    const rest = PROBE_EVERY * routers;
    return this.connections.run(() => this.reach(router), next, this.stop.signal, rest);
  }

  private nextKept(): KeptAsking {
    const kind = pick(this.random, keptKinds)!;
    const slowness =
      this.random.fraction() < 0.25 ? Math.floor(this.random.fraction() * SLOWEST_PIECE) : 0;
    return { ...kind, slowness };
  }

  /** Callers that close their connection while their request is under way. */
  private async leave(): Promise<void> {
    while (await this.goesOnAfter(LEAVE_EVERY * 2 * this.random.fraction())) {
      const gone = AbortSignal.timeout(1 + Math.floor(this.random.fraction() * LONGEST_STAY));
      const { asking } = pick(this.random, KINDS)!;
      this.running.push(
        this.scene.caller.ask(
          {
            name: 'left',
            method: 'POST',
            body: Buffer.from('left'),
            deadline: DEADLINE,
            silence: SILENCE,
            furtherTries: 0,
            ...asking,
          },
          () => this.reach(this.scene.chooseRouter()),
          gone,
        ),
      );
    }
  }

  /** Asks for the marks of orders, whether they are in force, were, or never may be. */
  private async askForMarks(): Promise<void> {
    while (await this.goesOnAfter(MARK_EVERY * 2 * this.random.fraction())) {
      const order = this.chooseOrder();
      if (!order) continue;
      const target = `${order.mark}x`;
      void this.scene.ask(
        'mark',
        { ...patience, target, repeatable: true },
        this.scene.chooseRouter(),
      );
    }
  }

  private chooseOrder(): SentOrder | undefined {
    const recent = this.orders.all.slice(-MARKS_BACK);
    if (this.random.fraction() < 0.4) return recent.at(-1);
    const refused = recent.filter(({ refusedAt }) => refusedAt !== undefined);
    return pick(this.random, this.random.fraction() < 0.5 ? refused : recent);
  }
}
