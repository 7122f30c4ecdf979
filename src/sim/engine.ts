/**
 * A simulated engine: a process of the world with a true block cache, prefill in turn and decode side by side; and the
 * simulated way to it, with the same verification on the channel itself as over HTTP. It records what it ran.
 */
import { createHash } from 'node:crypto';
import { Right } from 'purify-ts';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import type { EngineChannel, EngineChannels, EngineReply } from '../pool/channel.js';
import type { Engine } from '../pool/engine.js';
import { BlockCache } from '../stand/engine/cache.js';
import type { RunRecord } from '../stand/engine/engine.js';
import { Host } from './host.js';
import type { World } from './world.js';

const BLOCK = 64;
const TOKENS = 16;
const DECODE_STEP = 12;

export interface EngineFacts {
  readonly runs: RunRecord[];
  overreach: number;
  /** How many requests were failed by engines whose health was good. */
  greyFailures: number;
  claims: number;
}

export type Behaviour =
  'well' | 'cut' | 'no-marker' | 'foreign' | 'not-run' | 'stall' | 'restarts' | 'garbles' | 'error';

/** An engine whose health is good and that fails a share of its requests in one way. */
export interface GreyFailure {
  readonly behaviour: Behaviour;
  readonly share: number;
}

export class SimEngine {
  readonly host: Host;
  behaviour: Behaviour = 'well';
  grey: GreyFailure | undefined;
  /** How many times longer than usual it works. */
  slowness = 1;
  private readonly cache: BlockCache;
  private prefillFree = 0;

  constructor(
    private readonly world: World,
    readonly identifier: string,
    readonly address: string,
    capacity: number,
    private readonly rate: number,
    private readonly facts: EngineFacts,
    private readonly weightGeneration = 'w1',
    readonly dialled: () => void = () => undefined,
  ) {
    this.host = new Host(world, identifier, address);
    this.cache = new BlockCache(Math.floor(capacity / TOKENS));
  }

  /** Takes a request; the pieces come out through `put`, which is asked whether the other side still listens. */
  run(
    headers: ReadonlyMap<string, string>,
    body: string,
    head: (status: number, passage: string, text?: string) => void,
    put: (text: string) => boolean,
    end: (how: 'end' | 'reset') => void,
  ): void {
    const { world, host, cache } = this;
    const failure = this.drawGreyFailure();
    const behaves = (behaviour: Behaviour): boolean => (failure ?? this.behaviour) === behaviour;
    const asked = JSON.parse(body) as {
      model: string;
      messages: Array<{ role: string; content: string }>;
      max_tokens: number;
      continue_final_message?: boolean;
      echo?: boolean;
    };
    const continues = asked.continue_final_message ? asked.messages.pop()!.content : '';
    const passage = headers.get('x-request-id')!;
    const firm = headers.get('x-firm')!;
    if (behaves('not-run'))
      return head(503, passage, JSON.stringify({ error: { code: 'not_run' } }));
    const prompt = Buffer.from(
      asked.messages.map(({ role, content }) => `<${role}>\n${content}\n`).join('') +
        `<assistant>\n${continues}`,
    );
    const space = `${asked.model}|${this.weightGeneration}|${firm}`;
    const names = BlockCache.names(space, prompt, BLOCK);
    const hits = cache.hits(names);
    const record: RunRecord = {
      engine: this.identifier,
      passage,
      request: headers.get('x-caller-request-id')!,
      firm,
      at: world.now,
      text: '',
      continues,
      ended: 'running',
      blocks: names.length,
      hits,
    };
    this.facts.runs.push(record);
    const claimed = Number(headers.get('x-claimed-blocks') ?? 0);
    this.facts.claims += claimed;
    if (claimed > hits) this.facts.overreach += 1;
    const tokens = Math.ceil((prompt.length * TOKENS) / BLOCK);
    const takes = ((tokens - hits * TOKENS) / this.rate) * 1000 * this.slowness;
    this.prefillFree = Math.max(this.prefillFree, world.now) + takes;
    host.later(this.prefillFree - world.now, () => {
      cache.take(names);
      if (behaves('stall')) return;
      if (behaves('error')) {
        record.ended = 'cut';
        cache.release(names);
        return head(500, passage, JSON.stringify({ error: { code: 'internal' } }));
      }
      head(200, behaves('foreign') ? 'someone-else' : passage);
      let written = prompt.toString('utf8');
      const begun = continues.split(' ').length - 1;
      const count = Math.min(asked.max_tokens + begun, 14);
      const piece = (delta: object, finish: string | null): string =>
        `data: ${JSON.stringify({ id: passage, choices: [{ delta, finish_reason: finish }] })}\n\n`;
      const mark = createHash('sha1')
        .update(`${passage}|${this.identifier}`)
        .digest('hex')
        .slice(0, 6);
      const decode = (at: number): void => {
        if (at === 4 + begun && behaves('cut')) {
          record.ended = 'cut';
          cache.release(names);
          return end('reset');
        }
        if (at < count) {
          const word = `w${at}-${mark} `;
          written += word;
          if (!put(piece({ content: word }, null))) {
            record.ended = 'cut';
            return cache.release(names);
          }
          record.text += word;
          return host.later(DECODE_STEP * this.slowness, () => decode(at + 1));
        }
        const whole = BlockCache.names(
          space,
          Buffer.from(written).subarray(0, Buffer.byteLength(written) - 1),
          BLOCK,
        ).slice(names.length);
        cache.take(whole);
        cache.release([...names, ...whole]);
        record.ended = 'done';
        put(piece({}, 'stop'));
        if (!behaves('no-marker')) put('data: [DONE]\n\n');
        end('end');
      };
      if (continues && asked.echo && !behaves('restarts')) {
        const echoed = behaves('garbles') ? continues.replace(/\d/, 'x') : continues;
        for (let at = 0; at < echoed.length; at += 40)
          put(piece({ content: echoed.slice(at, at + 40) }, null));
      }
      decode(begun);
    });
  }

  /** Whether this request is one of those that a grey engine fails, and how. */
  private drawGreyFailure(): Behaviour | undefined {
    if (!this.grey || this.world.random.fraction() >= this.grey.share) return undefined;
    this.facts.greyFailures += 1;
    return this.grey.behaviour;
  }
}

type Put = { readonly text: string } | { readonly thrown: Error } | 'end';

class Pieces implements AsyncIterable<Uint8Array> {
  private readonly held: Put[] = [];
  whole = '';
  private waiter: ((put: Put) => void) | undefined;

  push(put: Put): void {
    const { waiter } = this;
    this.waiter = undefined;
    if (waiter) waiter(put);
    else this.held.push(put);
  }

  text(): Promise<string> {
    return Promise.resolve(this.whole);
  }

  [Symbol.asyncIterator](): AsyncIterator<Uint8Array> {
    return {
      next: async () => {
        const put =
          this.held.shift() ?? (await new Promise<Put>((resolve) => (this.waiter = resolve)));
        if (put === 'end') return { done: true, value: undefined };
        if ('thrown' in put) throw put.thrown;
        return { done: false, value: Buffer.from(put.text) };
      },
    };
  }
}

export class SimChannels implements EngineChannels {
  constructor(
    private readonly host: Host,
    private readonly engineAt: (address: string) => SimEngine | undefined,
  ) {}

  prune(): void {}

  close(): void {}

  async open(engine: Engine): Promise<Outcome<EngineChannel>> {
    const { host } = this;
    const { world } = host;
    const there = this.engineAt(engine.address);
    if (!there || there.host.dead) {
      await host.clock.sleep(world.delay());
      return failed('channel.verify', engine.address, 'ECONNREFUSED');
    }
    const answered = await new Promise<boolean>((resolve) => {
      host.later(500, () => resolve(false));
      if (!this.severed(there))
        world.at(world.delay(), () =>
          there.host.reach(() =>
            world.at(world.delay(), () => host.reach(() => resolve(!this.severed(there)))),
          ),
        );
    });
    if (!answered) return failed('channel.verify', engine.address, 'no answer within 500 ms');
    there.dialled();
    if (there.identifier !== engine.identifier)
      return failed('channel.verify', engine.address, `the address answers as ${there.identifier}`);
    return Right({
      engine,
      send: (_, headers, body, signal) => this.send(there, headers, body, signal),
      close: () => undefined,
    });
  }

  private severed(there: SimEngine): boolean {
    const { world, name } = this.host;
    return world.isCut(name, there.host.name) || world.isCut(there.host.name, name);
  }

  private send(
    there: SimEngine,
    headers: ReadonlyMap<string, string>,
    body: string,
    signal: AbortSignal,
  ): Promise<Outcome<EngineReply>> {
    const { host } = this;
    const { world } = host;
    const pieces = new Pieces();
    return new Promise((resolve) => {
      const back = (act: () => void): boolean => {
        if (host.dead || signal.aborted) return false;
        if (!this.severed(there)) world.at(world.delay(), () => host.reach(act));
        return true;
      };
      let over = false;
      const watch = (): void => {
        if (over || host.dead || signal.aborted) return;
        if (!there.host.dead) return world.at(50, watch);
        back(() => {
          resolve(failed('channel.send', there.address, 'ECONNRESET', 'unknown'));
          pieces.push({ thrown: new Error('ECONNRESET') });
        });
      };
      signal.addEventListener(
        'abort',
        () => {
          resolve(failed('channel.send', there.address, 'aborted', 'unknown'));
          pieces.push({ thrown: new Error('aborted') });
        },
        { once: true },
      );
      watch();
      let arrival = 0;
      const ordered = (act: () => void): boolean => {
        if (host.dead || signal.aborted) return false;
        arrival = Math.max(arrival, world.now + world.delay());
        if (!this.severed(there)) world.at(arrival - world.now, () => host.reach(act));
        return true;
      };
      if (this.severed(there)) return;
      world.at(world.net.latency, () =>
        there.host.reach(() => {
          there.run(
            headers,
            body,
            (statusCode, passage, text = '') =>
              void ordered(() => {
                pieces.whole = text;
                resolve(
                  Right({
                    statusCode,
                    headers: { 'x-request-id': passage, 'x-engine-id': there.identifier },
                    body: pieces,
                  }),
                );
              }),
            (text) => ordered(() => pieces.push({ text })),
            (how) => {
              over = true;
              ordered(() =>
                pieces.push(how === 'end' ? 'end' : { thrown: new Error('ECONNRESET') }),
              );
            },
          );
        }),
      );
    });
  }
}
