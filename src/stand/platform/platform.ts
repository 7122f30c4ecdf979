/**
 * The stand-in platform: a list of engines that lags behind what was told to it, in pages where asked for, behind a rate
 * limit that answers 429. Entries are put, marked as leaving and dropped over /stand.
 */
import type { Server } from 'node:http';
import { createHttpServer } from '../../kernel/net/http-server.js';
import { SystemClock, type Clock } from '../../kernel/clock/clock.js';
import { parseAddress } from '../../kernel/net/net.js';
import type { Listed } from '../../pool/engine.js';
import { readAll } from '../engine/engine.js';

/** How the stand-in platform lags and limits. */
export interface PlatformStandParams {
  readonly address: string;
  readonly lag: number;
  readonly perSecond: number;
  /** Entries on one page; all on one when absent. */
  readonly pageSize?: number;
}

/** A stand-in for the platform's list of engines. */
export class PlatformStand {
  private current = new Map<string, Listed>();
  private readonly shown: Array<{ at: number; engines: readonly Listed[] }> = [];
  private readonly reads: number[] = [];
  private server: Server | undefined;
  answered = 0;
  declined = 0;

  constructor(
    private readonly params: PlatformStandParams,
    private readonly clock: Clock = new SystemClock(),
  ) {
    this.publish();
  }

  put(entry: Listed): void {
    this.current.set(entry.identifier, entry);
    this.publish();
  }

  leave(identifier: string): void {
    const entry = this.current.get(identifier);
    if (entry) this.put({ ...entry, leaving: true });
  }

  drop(identifier: string): void {
    this.current.delete(identifier);
    this.publish();
  }

  listen(): Promise<string> {
    const { host, port } = parseAddress(this.params.address);
    const server = createHttpServer({}, (request, response) => {
      const send = (status: number, text: string, headers: Record<string, string> = {}): void =>
        void response
          .writeHead(status, { 'content-type': 'application/json', ...headers })
          .end(text);
      const url = new URL(request.url ?? '/', 'http://platform');
      if (url.pathname === '/engines') {
        const page = this.read(
          url.searchParams.get('zone') ?? undefined,
          url.searchParams.get('page') ?? undefined,
        );
        if (!page) return send(429, '{"error":{"code":"rate_limited"}}', { 'retry-after': '1' });
        return send(200, JSON.stringify(page));
      }
      void readAll(request).then((body) => {
        if (request.url === '/stand/put') this.put(JSON.parse(body) as Listed);
        else if (request.url === '/stand/leave')
          this.leave((JSON.parse(body) as { identifier: string }).identifier);
        else if (request.url === '/stand/drop')
          this.drop((JSON.parse(body) as { identifier: string }).identifier);
        else if (request.url === '/stand/counts')
          return send(200, JSON.stringify({ answered: this.answered, declined: this.declined }));
        else return send(404, '{}');
        send(200, '{}');
      });
    });
    this.server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () =>
        resolve(`${host}:${(server.address() as { port: number }).port}`),
      );
    });
  }

  close(): void {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  /** One page of what is shown now, and the next page's name; undefined over the rate. */
  read(
    zone?: string,
    page?: string,
  ): { engines: readonly Listed[]; next: string | null } | undefined {
    const now = this.clock.wall();
    while (this.reads[0] !== undefined && this.reads[0] <= now - 1000) this.reads.shift();
    if (this.reads.length >= this.params.perSecond) {
      this.declined += 1;
      return undefined;
    }
    this.reads.push(now);
    this.answered += 1;
    const engines = this.seen(now).filter((engine) => zone === undefined || engine.zone === zone);
    const from = Number(/^p-(\d+)$/.exec(page ?? 'p-0')?.[1] ?? 0);
    const to = from + (this.params.pageSize ?? engines.length);
    return { engines: engines.slice(from, to), next: to < engines.length ? `p-${to}` : null };
  }

  /** When the list first shows an engine as leaving or no more, by the wall clock; undefined while it does not. */
  shownLeaving(identifier: string): number | undefined {
    let known = false;
    for (const { at, engines } of this.shown) {
      const entry = engines.find((engine) => engine.identifier === identifier);
      known ||= entry !== undefined;
      if (known && (!entry || entry.leaving)) return at + this.params.lag;
    }
    return undefined;
  }

  private publish(): void {
    this.shown.push({ at: this.clock.wall(), engines: [...this.current.values()] });
    if (this.shown.length > 1000) this.shown.shift();
  }

  private seen(now: number): readonly Listed[] {
    const old = this.shown.filter(({ at }) => at <= now - this.params.lag);
    return (old[old.length - 1] ?? this.shown[0]!).engines;
  }
}
