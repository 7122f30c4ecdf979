/**
 * Links to engines: one socket each, which connects once and never again, and carries one request at a time. A link
 * that did anything unexpected is closed and never used again; one whose answer came whole is kept for a while and
 * taken again, the last one kept first. The answer is pulled piece by piece, and the socket is paused while more is
 * held than the bound. A request that met its end before the socket was up was certainly not sent.
 */
import { buildConnector, Client, type Dispatcher } from 'undici';
import { Left, Right } from 'purify-ts';
import { within, type Clock, type Moment } from '../kernel/clock/clock.js';
import { failed, fault, reasonOf, type Fault, type Outcome } from '../kernel/fault/fault.js';
import type { Engine } from '../pool/engine.js';
import { fieldsOf, only, type Fields } from './fields.js';

const HELD_BOUND = 256 * 1024;

export interface Outgoing {
  readonly method: string;
  readonly target: string;
  readonly fields: Fields;
  readonly body: Buffer | undefined;
}

/**
 * How long silence is borne, in ms: `soft` while the engine says nothing to this node on any link, since then it may be
 * dead; `hard` in any case.
 */
export interface Patience {
  readonly soft: number;
  readonly hard: number;
}

export interface Answer {
  readonly status: number;
  readonly fields: Fields;
  /** Whether its end can be told from a broken connection. */
  readonly framed: boolean;
  /** The next piece; undefined at the whole answer's end; "unknown" when it broke off or stayed silent beyond patience. */
  next(patience: Patience): Promise<Outcome<Uint8Array | undefined>>;
  /** Nothing more of it is wanted, though it is as it should be: the link is kept when the answer came whole. */
  settle(): void;
  /** Gives the answer up and closes the link, also when it came whole. */
  drop(): void;
}

export interface Links {
  /** Sends a request and waits for the head of its answer; "declined" means that nothing was sent. The signal ends it at any point. */
  send(
    engine: Engine,
    outgoing: Outgoing,
    patience: Patience,
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

/** Collects one answer from undici's calls into promises. */
class Exchange implements Answer {
  status = 0;
  fields: Fields = [];
  private readonly held: Uint8Array[] = [];
  private heldBytes = 0;
  private over: Outcome<undefined> | undefined;
  private sent = false;
  private controller: Dispatcher.DispatchController | undefined;
  private wake: () => void = () => undefined;
  private headed = false;
  private kept = false;

  constructor(
    private readonly engine: Engine,
    private readonly clock: Clock,
    private readonly method: string,
    private readonly close: () => void,
    private readonly whole: () => void,
    private readonly put: (fields: Fields) => void,
    private readonly hear: () => void,
    private readonly lastHeard: () => Moment,
  ) {}

  get framed(): boolean {
    return (
      this.status === 204 ||
      this.status === 304 ||
      this.method === 'HEAD' ||
      only(this.fields, 'content-length') !== undefined ||
      only(this.fields, 'transfer-encoding')?.trim().toLowerCase() === 'chunked'
    );
  }

  readonly handler: Dispatcher.DispatchHandler = {
    onRequestStart: (controller) => {
      this.sent = true;
      this.controller = controller;
    },
    onResponseStart: (controller, status) => {
      if (status < 200) return;
      this.controller = controller;
      this.status = status;
      this.fields = fieldsOf((controller.rawHeaders ?? []) as Buffer[]);
      this.headed = true;
      this.hear();
      this.wake();
    },
    onResponseData: (controller, chunk) => {
      this.held.push(chunk);
      this.heldBytes += chunk.length;
      this.hear();
      if (this.heldBytes > HELD_BOUND) controller.pause();
      this.wake();
    },
    onResponseEnd: () => {
      this.over = Right(undefined);
      this.whole();
      this.wake();
    },
    onResponseError: (_, error) => {
      this.over = Left(
        fault(
          'link.exchange',
          this.engine.address,
          reasonOf(error),
          this.sent ? 'unknown' : 'declined',
        ),
      );
      this.close();
      this.wake();
    },
  };

  async head(patience: Patience): Promise<Outcome<Answer>> {
    const waited = await this.until(() => this.headed || this.over !== undefined, patience);
    if (this.headed) return Right(this);
    this.close();
    if (waited) return this.over as unknown as Outcome<Answer>;
    return failed(
      'link.head',
      this.engine.address,
      'no answer within patience',
      this.sent ? 'unknown' : 'declined',
    );
  }

  async next(patience: Patience): Promise<Outcome<Uint8Array | undefined>> {
    const waited = await this.until(
      () => this.held.length > 0 || this.over !== undefined,
      patience,
    );
    const chunk = this.held.shift();
    if (chunk) {
      const paused = this.heldBytes > HELD_BOUND;
      this.heldBytes -= chunk.length;
      if (paused && this.heldBytes <= HELD_BOUND && !this.over) this.controller?.resume();
      return Right(chunk);
    }
    if (waited) {
      this.settle();
      return this.over!;
    }
    this.close();
    return failed('link.next', this.engine.address, 'silent beyond patience', 'unknown');
  }

  settle(): void {
    if (this.kept) return;
    this.kept = this.over?.isRight() ?? false;
    if (this.kept) this.put(this.fields);
    else this.close();
  }

  drop(): void {
    if (!this.kept) this.close();
  }

  private async until(question: () => boolean, { soft, hard }: Patience): Promise<boolean> {
    const begun = this.clock.now();
    while (!question()) {
      const left =
        Math.min(begun + hard, Math.max(begun, this.lastHeard()) + soft) - this.clock.now();
      if (left <= 0) return false;
      await within(this.clock, left, new Promise<void>((resolve) => (this.wake = resolve)));
    }
    return true;
  }
}

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
    patience: Patience,
    signal: AbortSignal,
  ): Promise<Outcome<Answer>> {
    for (;;) {
      const reused = this.takeKept(engine);
      const link = reused ?? this.dial(engine);
      const answer = await this.exchange(link, outgoing, patience, signal);
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
      for (const { client } of links) void client.destroy().catch(() => undefined);
      this.kept.delete(identifier);
    }
  }

  close(): void {
    this.prune(new Map());
  }

  private async exchange(
    link: Link,
    outgoing: Outgoing,
    patience: Patience,
    signal: AbortSignal,
  ): Promise<Outcome<Answer>> {
    const { client, engine } = link;
    this.count(engine, 1);
    let open = true;
    const over = (): void => {
      if (!open) return;
      open = false;
      signal.removeEventListener('abort', close);
      this.count(engine, -1);
    };
    const close = (): void => {
      over();
      void client.destroy().catch(() => undefined);
    };
    signal.addEventListener('abort', close, { once: true });
    const hear = (): void => void this.heard.set(engine.identifier, this.clock.now());
    const lastHeard = (): Moment => this.heard.get(engine.identifier) ?? (-Infinity as Moment);
    const exchange = new Exchange(
      engine,
      this.clock,
      outgoing.method,
      close,
      over,
      (fields) => this.put(link, fields),
      hear,
      lastHeard,
    );
    const headers = outgoing.fields.flat();
    try {
      client.dispatch(
        {
          path: outgoing.target,
          method: outgoing.method as Dispatcher.HttpMethod,
          headers,
          body: outgoing.body ?? null,
        },
        exchange.handler,
      );
    } catch (thrown) {
      close();
      return failed('link.dispatch', engine.address, reasonOf(thrown));
    }
    const head = await exchange.head(patience);
    if (head.isLeft()) close();
    return head;
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
    if (closing || client.closed || client.destroyed)
      return void client.destroy().catch(() => undefined);
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
      void link.client.destroy().catch(() => undefined);
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
