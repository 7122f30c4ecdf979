/**
 * News of the platform's list. One duty holder among the live routers polls it; the others keep an ask open at that
 * holder, which is answered when there is newer news, and carries the list only when it is another than the asker
 * holds. They count the news' age from when they asked, less the time the ask was kept open, so it is never
 * understated. Whoever is asked and has only old news polls, so that nodes that don't agree on the holder yet have news
 * all the same. A holder that does not answer, or can't have the list itself, is passed over for a while, and the next
 * one has the duty; a node whose news grows old polls for itself besides, within its own slice of the platform's rate
 * limit. Where `place` is not 0, the place of every engine lapses once the news is older than that.
 */
import { request } from 'undici';
import { Right } from 'purify-ts';
import { later, type Clock, type Moment } from '../kernel/clock/clock.js';
import { attempt, failed, type Outcome } from '../kernel/fault/fault.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import { holders } from '../duty/rendezvous.js';
import { digestOf } from '../register/hash.js';
import { HEADS, type View } from '../view/view.js';
import { call } from '../wire/call.js';
import { blob, number, struct, text } from '../wire/field.js';
import type { Peers } from '../wire/peers.js';
import { parseList, type Engine } from './engine.js';

/** `number` counts the news of the one asked; an ask that names its newest waits for the next, at most `wait` ms. */
export interface NewsAsk {
  number: number;
  digest: string;
  wait: number;
}
/** `held` is how long the ask was kept open, in milliseconds; `list` is empty when the asker holds the one of that digest. */
export interface NewsReply {
  number: number;
  held: number;
  age: number;
  digest: string;
  list: Uint8Array;
}

/** Asks the holder of the list for one newer than the asker has. */
export const News = call<NewsAsk, NewsReply>(
  48,
  'pool.news',
  struct({ number, digest: text, wait: number }),
  struct({ number, held: number, age: number, digest: text, list: blob }),
);

const DUTY = 'list';
const ASK_LIMIT = 400;
const POLL_LIMIT = 1000;
const PASSED_OVER = 3000;
const WAIT_BOUND = 10_000;
const LIST_BOUND = 8 * 1024 * 1024;

/** The list as a text that `parseList` reads; empty, with the wait that was asked for, when it may not be had now. */
export type Fetch = (limit: number) => Promise<Outcome<{ text: string; wait: number }>>;

/** Reads the list over HTTP; a 429 gives the wait it asks for. */
export const fetchList =
  (url: string): Fetch =>
  async (limit) => {
    const got = await attempt('pool.poll', url, async () => {
      const reply = await request(url, {
        headersTimeout: limit,
        bodyTimeout: limit,
        signal: AbortSignal.timeout(limit),
      });
      const text = await reply.body.text();
      return {
        status: reply.statusCode,
        text: text.length > LIST_BOUND ? '' : text,
        wait: Number(reply.headers['retry-after'] ?? 0) * 1000,
      };
    });
    return got.chain(({ status, text, wait }) => {
      if (status === 429) return Right({ text: '', wait: Math.max(wait, 250) });
      return status === 200 && text
        ? Right({ text, wait: 0 })
        : failed('pool.poll', url, `status ${status}`);
    });
  };

/** How often the list is read, and for how long one counts. */
export interface PollParams {
  readonly every: number;
  readonly slice: number;
  readonly place: number;
}

/** The platform's list as this node has it, read or passed on by another router. */
export class Newsroom {
  private text = '';
  private digest = '';
  private origin = -Infinity as Moment;
  private engines: ReadonlyMap<string, Engine> = new Map();
  private notBefore = -Infinity as Moment;
  private polled = -Infinity as Moment;
  private number = 0;
  private polling: Promise<void> = Promise.resolve();
  private waiters: Array<() => void> = [];
  private readonly passedOver = new Map<string, Moment>();
  /** Whom the last news came from, and that one's number of it. */
  private source = { address: '', number: 0 };
  polls = 0;

  constructor(
    private readonly fetch: Fetch,
    private readonly params: PollParams,
    private readonly view: View,
    private readonly peers: Peers,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
    private readonly onNews: (engines: ReadonlyMap<string, Engine>) => void,
  ) {}

  serve(): void {
    this.view.keep(DUTY, 'router');
    this.peers.handle(News, async ({ number, digest, wait }) => {
      const asked = this.clock.now();
      if (number === this.number && !this.late) await this.next(Math.min(wait, WAIT_BOUND));
      if (this.late) await this.poll(this.params.every);
      if (!this.text) return failed('pool.news', this.view.self.name, 'no news here yet');
      return Right({
        number: this.number,
        held: this.clock.now() - asked,
        age: this.age,
        digest: this.digest,
        list: digest === this.digest ? Buffer.alloc(0) : Buffer.from(this.text),
      });
    });
  }

  get age(): number {
    return this.clock.strict() - this.origin;
  }

  /** The engines whose place is confirmed right now. */
  placed(): ReadonlyMap<string, Engine> {
    return this.params.place === 0 || this.age <= this.params.place ? this.engines : new Map();
  }

  get listed(): ReadonlyMap<string, Engine> {
    return this.engines;
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const pause = await this.turn();
      await this.clock.sleep(pause * (0.9 + 0.2 * this.random.fraction()), signal);
    }
  }

  /** News this old means that whoever is asked for it should have it, whether it knows of its duty or not. */
  private get late(): boolean {
    return this.age > this.params.every * 1.25;
  }

  /** News this old means that whoever has the duty is late. */
  private get worry(): number {
    return this.params.every * 1.5 + ASK_LIMIT;
  }

  /** Says how long to pause before the next turn. */
  private async turn(): Promise<number> {
    const { every, slice } = this.params;
    const now = this.clock.now();
    for (const [name, until] of this.passedOver) if (until <= now) this.passedOver.delete(name);
    const routers = this.view.live('router').filter(({ name }) => !this.passedOver.has(name));
    const name = this.parent(routers.map((router) => router.name));
    const holder = routers.find((router) => router.name === name);
    if (!holder || name === this.view.self.name) {
      await this.poll(every);
      if (this.late) this.passedOver.set(this.view.self.name, later(this.clock.now(), PASSED_OVER));
      return this.late ? every / 4 : every;
    }
    if (!(await this.askHolder(holder.address))) {
      this.passedOver.set(holder.name, later(this.clock.now(), PASSED_OVER));
      this.view.doubt(holder.name);
    }
    if (this.age > this.worry) await this.poll(slice);
    return every / 20;
  }

  /**
   * Whom this node asks: the holder of the duty. In a fleet larger than a view it is any node that comes before this one
   * for the duty, another for each node, and the first ones, which all have in view, only when there is no other, so that
   * the news goes down a tree and nobody is asked by many.
   */
  private parent(routers: readonly string[]): string | undefined {
    const { name } = this.view.self;
    const ranked = holders(DUTY, routers);
    const place = ranked.indexOf(name);
    if (!this.view.full || place <= 0) return ranked[0];
    const before = ranked.slice(0, place);
    return holders(name, before.length > HEADS ? before.slice(HEADS) : before)[0];
  }

  /** Whether the holder does its duty, as far as can be told: one that is only starting, and has no news yet, does. */
  private async askHolder(address: string): Promise<boolean> {
    const asked = this.clock.strict();
    const wait = this.params.every * 1.25;
    const known = this.source.address === address ? this.source.number : 0;
    const reply = await this.peers.ask(
      address,
      News,
      { number: known, digest: this.digest, wait },
      wait + ASK_LIMIT,
    );
    return reply.caseOf({
      Left: ({ kind }) => kind === 'refused-by-peer',
      Right: ({ number, held, age, digest, list }) => {
        this.source = { address, number };
        if (age > this.worry) return false;
        const same = digest === this.digest;
        if (same || list.length > 0)
          this.take(
            same ? this.text : Buffer.from(list).toString('utf8'),
            (asked + held - age) as Moment,
            address,
          );
        return true;
      },
    });
  }

  private poll(spacing: number): Promise<void> {
    const now = this.clock.now();
    if (now < this.notBefore || now < later(this.polled, spacing * 0.8)) return this.polling;
    this.polled = now;
    this.polling = this.read();
    return this.polling;
  }

  private async read(): Promise<void> {
    this.polls += 1;
    const asked = this.clock.strict();
    const got = await this.fetch(POLL_LIMIT);
    got.caseOf({
      Left: ({ reason, peer }) =>
        this.log('poll-failed', [
          ['peer', peer],
          ['reason', reason],
        ]),
      Right: ({ text, wait }) => {
        if (wait) this.notBefore = later(this.clock.now(), wait);
        else this.take(text, asked, 'platform');
      },
    });
  }

  private take(text: string, origin: Moment, peer: string): void {
    if (origin <= this.origin) return;
    if (text !== this.text) {
      const parsed = parseList(text, peer);
      if (parsed.isLeft())
        return this.log('list-declined', [
          ['peer', peer],
          ['reason', parsed.extract().reason],
        ]);
      const engines = parsed.unsafeCoerce();
      this.text = text;
      this.digest = digestOf(text).slice(0, 16);
      this.engines = new Map(engines.map((engine) => [engine.identifier, engine]));
      this.log('list-taken', [
        ['engines', engines.length],
        ['leaving', engines.filter(({ leaving }) => leaving).length],
        ['peer', peer],
      ]);
      this.onNews(this.engines);
    }
    this.origin = origin;
    this.number += 1;
    for (const wake of this.waiters.splice(0)) wake();
  }

  /** Waits for the next news, at most `wait` ms. */
  private async next(wait: number): Promise<void> {
    const stop = new AbortController();
    const news = new Promise<void>((resolve) => this.waiters.push(resolve));
    await Promise.race([news, this.clock.sleep(wait, stop.signal)]);
    stop.abort('over');
  }
}
