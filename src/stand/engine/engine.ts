/**
 * The stand-in engine: the published chat format over HTTP, a true block cache, prefill one request at a time at a set
 * rate, decode side by side. It says little about itself, and late. It records every request that reached it, for the
 * judge, and can be told over /stand to misbehave: to reset, to go dark, to answer under another identifier, to end
 * streams early.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';
import { createHash, randomBytes } from 'node:crypto';
import { createHttpServer } from '../../kernel/net/http-server.js';
import { parseAddress } from '../../kernel/net/net.js';
import { BlockCache } from './cache.js';

/** The identity and the speed of a stand-in engine. */
export interface EngineStandParams {
  readonly identifier: string;
  readonly address: string;
  readonly model: string;
  readonly weightGeneration: string;
  readonly capacityTokens: number;
  readonly prefillRate: number;
  readonly decodeRate: number;
  readonly blockBytes: number;
  readonly blockTokens: number;
  readonly waitingBound: number;
}

/** A request that reached an engine. */
export interface RunRecord {
  readonly engine: string;
  readonly passage: string;
  readonly request: string;
  readonly firm: string;
  readonly at: number;
  /** The words of an earlier run that this one was asked to go on from. */
  readonly continues: string;
  text: string;
  ended: 'running' | 'done' | 'cut';
  /** Whole prompt blocks, and how many of them were found in the cache. */
  readonly blocks: number;
  readonly hits: number;
}

/** `cut-first` cuts every run but those that go on from words of another. */
type Behaviour = 'well' | 'dark' | 'cut' | 'cut-first' | 'no-marker' | 'foreign' | 'busy' | 'stall';

/** A stand-in engine for chat requests. */
export class EngineStand {
  identifier: string;
  behaviour: Behaviour = 'well';
  private cache: BlockCache;
  private readonly records: RunRecord[] = [];
  private prefillTurn: Promise<void> = Promise.resolve();
  private ahead = 0;
  private server: Server | undefined;
  private overreach = 0;
  private claims = 0;

  constructor(private readonly params: EngineStandParams) {
    this.identifier = params.identifier;
    this.cache = this.emptyCache();
  }

  listen(): Promise<string> {
    const { host, port } = parseAddress(this.params.address);
    const server = createHttpServer(
      {},
      (request, response) => void this.answer(request, response).catch(() => response.destroy()),
    );
    server.keepAliveTimeout = 60_000;
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

  /** Starts over, empty and under another identifier. */
  restart(identifier = `${this.params.identifier}-${randomBytes(3).toString('hex')}`): string {
    this.identifier = identifier;
    this.cache = this.emptyCache();
    return identifier;
  }

  get judged(): { claims: number; overreach: number } {
    return { claims: this.claims, overreach: this.overreach };
  }

  private emptyCache(): BlockCache {
    return new BlockCache(Math.floor(this.params.capacityTokens / this.params.blockTokens));
  }

  private space(model: string, firm: string): string {
    return `${model}|${this.params.weightGeneration}|${firm}`;
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.behaviour === 'dark') return;
    const body = await readAll(request);
    const url = request.url ?? '';
    if (url === '/identity')
      return void this.json(response, 200, {
        identifier: this.identifier,
        model: this.params.model,
      });
    if (url === '/stand/records')
      return void this.json(response, 200, {
        identifier: this.identifier,
        records: this.records,
        judged: this.judged,
      });
    if (url === '/stand/behave') {
      const { behaviour, identifier } = JSON.parse(body) as {
        behaviour?: Behaviour;
        identifier?: string;
      };
      if (behaviour) this.behaviour = behaviour;
      if (identifier) this.restart(identifier);
      this.json(response, 200, { identifier: this.identifier, behaviour: this.behaviour });
      if (identifier) response.once('finish', () => this.server?.closeAllConnections());
      return;
    }
    if (url !== '/v1/chat/completions' || request.method !== 'POST')
      return void this.json(response, 404, { error: { code: 'not_found' } });
    await this.chat(request, response, body);
  }

  private json(
    response: ServerResponse,
    status: number,
    value: unknown,
    headers: Record<string, string> = {},
  ): void {
    response
      .writeHead(status, { 'content-type': 'application/json', ...headers })
      .end(JSON.stringify(value));
  }

  private async chat(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    const asked = JSON.parse(body) as {
      model: string;
      messages: Array<{ role: string; content: string }>;
      max_tokens?: number;
      continue_final_message?: boolean;
      echo?: boolean;
    };
    const continues = asked.continue_final_message ? asked.messages.pop()!.content : '';
    const passage = String(request.headers['x-request-id'] ?? '');
    const caller = String(request.headers['x-caller-request-id'] ?? '');
    const firm = String(request.headers['x-firm'] ?? '');
    const own = {
      'x-request-id': this.behaviour === 'foreign' ? 'someone-else' : passage,
      'x-engine-id': this.identifier,
      'x-tokens-ahead': String(this.ahead),
    };
    if (this.behaviour === 'busy' || this.ahead > this.params.waitingBound)
      return void this.json(
        response,
        429,
        { error: { code: 'not_run', message: 'too busy' } },
        own,
      );
    const prompt = Buffer.from(
      asked.messages.map(({ role, content }) => `<${role}>\n${content}\n`).join('') +
        `<assistant>\n${continues}`,
    );
    const space = this.space(asked.model, firm);
    let gone = false;
    response.once('close', () => (gone = true));
    const { cache } = this;
    const names = BlockCache.names(space, prompt, this.params.blockBytes);
    const claimed = request.headers['x-claimed-blocks'];
    const hits = cache.hits(names);
    const record: RunRecord = {
      engine: this.identifier,
      passage,
      request: caller,
      firm,
      at: Date.now(),
      continues,
      text: '',
      ended: 'running',
      blocks: names.length,
      hits,
    };
    this.records.push(record);
    if (claimed !== undefined) {
      this.claims += Number(claimed);
      if (Number(claimed) > hits) this.overreach += 1;
    }
    const tokens = Math.ceil((prompt.length * this.params.blockTokens) / this.params.blockBytes);
    const fresh = tokens - hits * this.params.blockTokens;
    await this.prefill(fresh);
    const pinned = [...names];
    const cached = Math.min(cache.hits(names), hits) * this.params.blockTokens;
    cache.take(names);
    if (this.behaviour === 'stall') return;
    response.writeHead(200, { 'content-type': 'text/event-stream', ...own });
    const id = `chatcmpl-${passage}`;
    const piece = (delta: object, finish: string | null, usage?: object): string =>
      `data: ${JSON.stringify({ id, object: 'chat.completion.chunk', created: 0, model: asked.model, choices: usage ? [] : [{ index: 0, delta, finish_reason: finish }], ...(usage ? { usage } : {}) })}\n\n`;
    const begun = continues.split(' ').length - 1;
    const count = Math.min((asked.max_tokens ?? 16) + begun, 16 + (passage.length % 5));
    let written = prompt.toString('utf8');
    const mark = createHash('sha1')
      .update(`${passage}|${this.identifier}`)
      .digest('hex')
      .slice(0, 6);
    if (continues && asked.echo) response.write(piece({ content: continues }, null));
    for (let at = begun; at < count && !gone; at++) {
      const word = `w${String(at).padStart(2, '0')}-${mark} `;
      record.text += word;
      written += word;
      response.write(piece({ content: word }, null));
      if (
        at === begun + 4 &&
        (this.behaviour === 'cut' || (this.behaviour === 'cut-first' && !continues))
      ) {
        record.ended = 'cut';
        cache.release(pinned);
        return void response.destroy();
      }
      await pause(1000 / this.params.decodeRate);
    }
    const whole = BlockCache.names(
      space,
      Buffer.from(written).subarray(0, Buffer.byteLength(written) - 1),
      this.params.blockBytes,
    ).slice(names.length);
    cache.take(whole);
    cache.release([...pinned, ...whole]);
    record.ended = gone ? 'cut' : 'done';
    response.write(piece({}, 'stop'));
    response.write(
      piece({}, null, {
        prompt_tokens: tokens,
        completion_tokens: count,
        total_tokens: tokens + count,
        prompt_tokens_details: { cached_tokens: cached },
      }),
    );
    if (this.behaviour !== 'no-marker') response.write('data: [DONE]\n\n');
    response.end();
  }

  private async prefill(tokens: number): Promise<void> {
    this.ahead += tokens;
    const turn = this.prefillTurn.then(() => pause((tokens / this.params.prefillRate) * 1000));
    this.prefillTurn = turn;
    await turn;
    this.ahead -= tokens;
  }
}

/** Reads the body of a request. */
export const readAll = async (request: IncomingMessage): Promise<string> => {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts).toString('utf8');
};
