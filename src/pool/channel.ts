/**
 * Verified channels to engines. A channel is one socket that connects once and never again. Before each use the
 * engine's identifier is asked on that same socket; only when it is the one wanted may a request follow. A mismatch,
 * or no answer in time, closes the channel and nothing else is sent on it.
 */
import { buildConnector, Client } from 'undici';
import { Right } from 'purify-ts';
import type { Clock, Moment } from '../kernel/clock/clock.js';
import { attempt, failed, FaultError, type Outcome } from '../kernel/fault/fault.js';
import type { Engine } from './engine.js';

const KEPT_BOUND = 32;
const KEPT_FOR = 4000;

/** The head of an engine's reply, and its body as it comes. */
export interface EngineReply {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: AsyncIterable<Uint8Array> & { text(): Promise<string> };
}

/** The way to engines as the passage needs it: the one over HTTP here, and the simulator's. */
export interface EngineChannels {
  open(engine: Engine): Promise<Outcome<EngineChannel>>;
  prune(listed: ReadonlyMap<string, Engine>): void;
  close(): void;
}

/** A connection on which the engine has just proved its identity. */
export interface EngineChannel {
  readonly engine: Engine;
  send(
    path: string,
    headers: ReadonlyMap<string, string>,
    body: string,
    signal: AbortSignal,
  ): Promise<Outcome<EngineReply>>;
  close(): void;
}

interface Socketed {
  readonly client: Client;
  readonly engine: Engine;
  idleSince: Moment;
}

const connectOnce = (limit: number): ReturnType<typeof buildConnector> => {
  const connect = buildConnector({ timeout: limit });
  let used = false;
  return (options, callback) => {
    if (used) return callback(new FaultError('connection-ended', 'channel-ended'), null);
    used = true;
    connect(options, callback);
  };
};

/** Verified connections to engines over HTTP, kept for a short while after use. */
export class Channels implements EngineChannels {
  private readonly kept = new Map<string, Socketed[]>();

  constructor(
    private readonly clock: Clock,
    private readonly verifyLimit = 500,
  ) {}

  /** A channel on which the engine has just proved to be the one wanted. */
  async open(engine: Engine): Promise<Outcome<EngineChannel>> {
    const step = 'channel.verify';
    for (;;) {
      const reused = this.takeKept(engine);
      const socketed = reused ?? { client: this.dial(engine), engine, idleSince: this.clock.now() };
      const identified = await attempt(step, engine.address, async () => {
        const reply = await socketed.client.request({
          path: '/identity',
          method: 'GET',
          headersTimeout: this.verifyLimit,
          bodyTimeout: this.verifyLimit,
          signal: AbortSignal.timeout(this.verifyLimit),
        });
        const text = await reply.body.text();
        return reply.statusCode === 200
          ? (JSON.parse(text) as { identifier?: unknown }).identifier
          : undefined;
      });
      const verified = identified.chain((identifier) =>
        identifier === engine.identifier
          ? Right(socketed)
          : failed<Socketed>(
              step,
              engine.address,
              `the address answers as ${String(identifier).slice(0, 80)}, not ${engine.identifier}`,
            ),
      );
      if (verified.isRight()) return Right(this.wrap(socketed));
      void socketed.client.destroy().catch(() => undefined);
      if (!reused) return verified as Outcome<never>;
    }
  }

  /** Gives a channel back for a later use, or closes it. */
  keep(engine: Engine, client: Client): void {
    const line = this.kept.get(engine.identifier) ?? [];
    if (client.closed || client.destroyed || line.length >= KEPT_BOUND)
      return void client.destroy().catch(() => undefined);
    line.push({ client, engine, idleSince: this.clock.now() });
    this.kept.set(engine.identifier, line);
  }

  /** Closes what is kept for engines that are no longer listed. */
  prune(listed: ReadonlyMap<string, Engine>): void {
    for (const [identifier, line] of this.kept) {
      if (listed.get(identifier)?.address === line[0]?.engine.address && listed.has(identifier))
        continue;
      for (const { client } of line) void client.destroy().catch(() => undefined);
      this.kept.delete(identifier);
    }
  }

  close(): void {
    this.prune(new Map());
  }

  private takeKept(engine: Engine): Socketed | undefined {
    const line = this.kept.get(engine.identifier) ?? [];
    for (let socketed = line.pop(); socketed; socketed = line.pop()) {
      if (
        socketed.engine.address === engine.address &&
        !socketed.client.destroyed &&
        this.clock.now() - socketed.idleSince < KEPT_FOR
      )
        return socketed;
      void socketed.client.destroy().catch(() => undefined);
    }
    return undefined;
  }

  private dial(engine: Engine): Client {
    return new Client(`http://${engine.address}`, {
      connect: connectOnce(this.verifyLimit),
      pipelining: 1,
      keepAliveTimeout: 30_000,
      bodyTimeout: 0,
      headersTimeout: 0,
    });
  }

  private wrap({ client, engine }: Socketed): EngineChannel {
    return {
      engine,
      send: async (path, headers, body, signal) => {
        const reply = await attempt(
          'channel.send',
          engine.address,
          () =>
            client.request({ path, method: 'POST', headers: [...headers].flat(), body, signal }),
          'unknown',
        );
        return reply
          .mapLeft((fault) =>
            fault.kind === 'connection-ended'
              ? { ...fault, certainty: 'declined' as const }
              : fault,
          )
          .map((data) => {
            data.body.once('end', () => this.keep(engine, client));
            return data;
          });
      },
      close: () => void client.destroy().catch(() => undefined),
    };
  }
}
