/**
 * Links to engines: one socket each, which connects once and never again, and carries one request at a time. A link
 * that did anything unexpected is closed and never used again; one whose answer came whole is kept for a while and
 * taken again, the last one kept first. A request that met its end before the socket was up was certainly not sent.
 */
import { buildConnector, Client, type Dispatcher } from 'undici';
import type { Clock, Duration, Moment } from '../kernel/clock/clock.js';
import { failed, reasonOf, type Fault, type Outcome } from '../kernel/fault/fault.js';
import type { Engine } from '../pool/engine.js';
import type { Answer, Outgoing } from './answer.js';
import { Exchange, type ExchangeLink } from './exchange.js';
import { only, type Fields } from './fields.js';

export interface Links {
  /**
   * Sends a request and waits at most `limit` ms for the head of its answer; "declined" means that nothing was sent. The
   * signal ends it at any point.
   */
  send(
    engine: Engine,
    outgoing: Outgoing,
    limit: Duration,
    signal: AbortSignal,
  ): Promise<Outcome<Answer>>;
  /** Whether one more request can be sent without going over the engine's bound on links. */
  open(engine: Engine, bound: number): boolean;
  prune(listed: ReadonlyMap<string, Engine>): void;
  close(): void;
}

interface Link {
  readonly client: Client;
  readonly engine: Engine;
  idleSince: Moment;
  /** Until when it may be used while idle. */
  until: Moment;
}

const connectOnce = (limit: number): ReturnType<typeof buildConnector> => {
  const connect = buildConnector({ timeout: limit });
  let used = false;
  return (options, callback) => {
    if (used) return callback(new Error('the link has ended'), null);
    used = true;
    connect(options, callback);
  };
};

const destroy = (client: Client): void => void client.destroy().catch(() => undefined);

export class HttpLinks implements Links {
  private readonly kept = new Map<string, Link[]>();
  private readonly busy = new Map<string, number>();
  /** When an engine last said anything on any link. */
  private readonly heard = new Map<string, Moment>();
  opened = 0;

  /** `connectLimit`: ms for a socket to come up; `keep`: ms that an idle link is kept when the engine names no time. */
  constructor(
    private readonly clock: Clock,
    private readonly connectLimit: number,
    private readonly keep: number,
  ) {}

  async send(
    engine: Engine,
    outgoing: Outgoing,
    limit: Duration,
    signal: AbortSignal,
  ): Promise<Outcome<Answer>> {
    for (;;) {
      const reused = this.takeKept(engine);
      const link = reused ?? this.dial(engine);
      const answer = await this.exchange(link, outgoing, limit, signal);
      const unsent = answer.isLeft() && (answer.extract() as Fault).certainty === 'declined';
      if (!reused || !unsent || signal.aborted) return answer;
    }
  }

  open(engine: Engine, bound: number): boolean {
    return (this.busy.get(engine.identifier) ?? 0) < bound;
  }

  prune(listed: ReadonlyMap<string, Engine>): void {
    for (const identifier of this.heard.keys())
      if (!listed.has(identifier)) this.heard.delete(identifier);
    for (const [identifier, links] of this.kept) {
      const engine = listed.get(identifier);
      if (engine && engine.address === links[0]?.engine.address) continue;
      for (const { client } of links) destroy(client);
      this.kept.delete(identifier);
    }
  }

  close(): void {
    this.prune(new Map());
  }

  private async exchange(
    link: Link,
    outgoing: Outgoing,
    limit: Duration,
    signal: AbortSignal,
  ): Promise<Outcome<Answer>> {
    const { client, engine } = link;
    const exchangeLink = this.exchangeLink(link, signal);
    const exchange = new Exchange(engine, this.clock, outgoing.method, exchangeLink);
    const options: Dispatcher.DispatchOptions = {
      path: outgoing.target,
      method: outgoing.method as Dispatcher.HttpMethod,
      headers: outgoing.fields.flat(),
      body: outgoing.body ?? null,
    };
    try {
      client.dispatch(options, exchange.handler);
    } catch (thrown) {
      exchangeLink.close();
      return failed('link.dispatch', engine.address, reasonOf(thrown));
    }
    return exchange.head(limit);
  }

  /** The link as one exchange sees it, counted as busy until it is released; the signal closes it. */
  private exchangeLink(link: Link, signal: AbortSignal): ExchangeLink {
    const { client, engine } = link;
    let busy = true;
    const release = (): void => {
      if (!busy) return;
      busy = false;
      signal.removeEventListener('abort', close);
      this.count(engine, -1);
    };
    const close = (): void => {
      release();
      destroy(client);
    };
    this.count(engine, 1);
    signal.addEventListener('abort', close, { once: true });
    return {
      release,
      close,
      keep: (fields) => this.put(link, fields),
      heard: () => void this.heard.set(engine.identifier, this.clock.now()),
      lastHeard: () => this.heard.get(engine.identifier) ?? (-Infinity as Moment),
    };
  }

  private count(engine: Engine, by: number): void {
    const now = (this.busy.get(engine.identifier) ?? 0) + by;
    if (now > 0) this.busy.set(engine.identifier, now);
    else this.busy.delete(engine.identifier);
  }

  private put(link: Link, fields: Fields): void {
    const { client, engine } = link;
    const closing = fields.some(
      ([name, value]) => name.toLowerCase() === 'connection' && /\bclose\b/i.test(value),
    );
    if (closing || client.closed || client.destroyed) return destroy(client);
    const told = /timeout=(\d+)/i.exec(only(fields, 'keep-alive') ?? '')?.[1];
    const life = told === undefined ? this.keep : Math.min(this.keep, Number(told) * 1000 * 0.7);
    link.idleSince = this.clock.now();
    link.until = (link.idleSince + life) as Moment;
    const links = this.kept.get(engine.identifier) ?? [];
    links.push(link);
    this.kept.set(engine.identifier, links);
  }

  private takeKept(engine: Engine): Link | undefined {
    const links = this.kept.get(engine.identifier);
    if (!links) return undefined;
    const now = this.clock.now();
    for (let link = links.pop(); link; link = links.pop()) {
      if (link.engine.address === engine.address && !link.client.destroyed && now < link.until)
        return link;
      destroy(link.client);
    }
    this.kept.delete(engine.identifier);
    return undefined;
  }

  private dial(engine: Engine): Link {
    this.opened += 1;
    const client = new Client(`http://${engine.address}`, {
      connect: connectOnce(this.connectLimit),
      pipelining: 1,
      keepAliveTimeout: this.keep + 1000,
      keepAliveTimeoutThreshold: 200,
      keepAliveMaxTimeout: 600_000,
      bodyTimeout: 0,
      headersTimeout: 0,
      maxHeaderSize: 65_536,
    });
    client.on('connectionError', () => undefined);
    return { client, engine, idleSince: this.clock.now(), until: this.clock.now() };
  }
}
