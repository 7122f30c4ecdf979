/**
 * News of the platform's list. One duty holder among the live routers polls it; the others ask that holder and count
 * the news' age from when they asked, so age is never understated. A node whose news grows old polls for itself, within
 * its own slice of the platform's rate limit. The place of every engine lapses once the news is older than `PLACE`.
 */
import { request } from 'undici';
import { Right } from 'purify-ts';
import { later, type Clock, type Moment } from '../kernel/clock/clock.js';
import { attempt, failed, type Outcome } from '../kernel/fault/fault.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import { holders } from '../duty/rendezvous.js';
import type { View } from '../view/view.js';
import { call } from '../wire/call.js';
import { blob, number, struct } from '../wire/field.js';
import type { Peers } from '../wire/peers.js';
import { parseList, type Engine } from './engine.js';

export interface NewsReply { age: number; list: Uint8Array }
export const News = call<{ age: number }, NewsReply>(48, 'pool.news', struct({ age: number }), struct({ age: number, list: blob }));

export const PLACE = 2500;
const WORRY = 1500;
const ASK_LIMIT = 400;
const LIST_BOUND = 8 * 1024 * 1024;

export type Fetch = (limit: number) => Promise<Outcome<{ text: string; wait: number }>>;

/** Reads the list over HTTP; a 429 gives the wait it asks for. */
export const fetchList = (url: string): Fetch => async (limit) => {
  const got = await attempt('pool.poll', url, async () => {
    const reply = await request(url, { headersTimeout: limit, bodyTimeout: limit, signal: AbortSignal.timeout(limit) });
    const text = await reply.body.text();
    return { status: reply.statusCode, text: text.length > LIST_BOUND ? '' : text, wait: Number(reply.headers['retry-after'] ?? 0) * 1000 };
  });
  return got.chain(({ status, text, wait }) => {
    if (status === 429) return Right({ text: '', wait: Math.max(wait, 250) });
    return status === 200 && text ? Right({ text, wait: 0 }) : failed('pool.poll', url, `status ${status}`);
  });
};

export interface PollParams {
  readonly every: number;
  readonly slice: number;
}

export class Newsroom {
  private text = '';
  private origin = -Infinity as Moment;
  private engines: ReadonlyMap<string, Engine> = new Map();
  private notBefore = -Infinity as Moment;
  private mayPoll = -Infinity as Moment;
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
    this.peers.handle(News, () => {
      if (!this.text) return failed('pool.news', this.view.self.name, 'no news here yet');
      return Right({ age: this.age, list: Buffer.from(this.text) });
    });
  }

  get age(): number {
    return this.clock.strict() - this.origin;
  }

  /** The engines whose place is confirmed right now; none once the news is too old. */
  placed(): ReadonlyMap<string, Engine> {
    return this.age <= PLACE ? this.engines : new Map();
  }

  get listed(): ReadonlyMap<string, Engine> {
    return this.engines;
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.turn();
      await this.clock.sleep(this.params.every * (0.9 + 0.2 * this.random.fraction()), signal);
    }
  }

  private async turn(): Promise<void> {
    const routers = this.view.live('router');
    const [first, second] = holders('list', routers.map(({ name }) => name));
    if (first === this.view.self.name) return this.poll(this.params.every);
    for (const name of [first, second]) {
      const holder = routers.find((router) => router.name === name);
      if (!holder || name === this.view.self.name) continue;
      if (await this.askPeer(holder.address)) return;
      this.view.doubt(holder.name);
    }
    if (this.age > WORRY) await this.poll(this.params.slice);
  }

  private async askPeer(address: string): Promise<boolean> {
    const asked = this.clock.strict();
    const reply = await this.peers.ask(address, News, { age: Math.min(this.age, 1e9) }, ASK_LIMIT);
    return reply.caseOf({
      Left: () => false,
      Right: ({ age, list }) => {
        if (age > WORRY) return false;
        this.take(Buffer.from(list).toString('utf8'), (asked - age) as Moment, address);
        return true;
      },
    });
  }

  private async poll(spacing: number): Promise<void> {
    const now = this.clock.now();
    if (now < this.notBefore || now < this.mayPoll) return;
    this.mayPoll = later(now, spacing * 0.8);
    this.polls += 1;
    const asked = this.clock.strict();
    const got = await this.fetch(1000);
    got.caseOf({
      Left: ({ reason, peer }) => this.log('poll-failed', [['peer', peer], ['reason', reason]]),
      Right: ({ text, wait }) => {
        if (wait) this.notBefore = later(this.clock.now(), wait);
        else this.take(text, asked, 'platform');
      },
    });
  }

  private take(text: string, origin: Moment, peer: string): void {
    if (origin <= this.origin) return;
    if (text === this.text) {
      this.origin = origin;
      return;
    }
    const parsed = parseList(text, peer);
    parsed.caseOf({
      Left: ({ reason }) => this.log('list-declined', [['peer', peer], ['reason', reason]]),
      Right: (engines) => {
        this.text = text;
        this.origin = origin;
        this.engines = new Map(engines.map((engine) => [engine.identifier, engine]));
        this.log('list-taken', [['engines', engines.length], ['leaving', engines.filter(({ leaving }) => leaving).length], ['peer', peer]]);
        this.onNews(this.engines);
      },
    });
  }
}
