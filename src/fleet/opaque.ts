/**
 * A fleet of real processes under opaque requests: stand-in engines of several services, callers that try again, and an
 * operator who changes the configuration of routes, all of them here and on record, so that what happened can be judged.
 * Engines crash, leave and are replaced on command; processes of the fleet are killed and stopped by the fleet itself.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { request } from 'undici';
import { operate } from '../client/operate.js';
import { SystemClock } from '../kernel/clock/clock.js';
import { SeededRandom, pick, type Random } from '../kernel/random/random.js';
import type { Configuration, Patch, Route, Share } from '../route/shape.js';
import { OpaqueCaller, type Asking } from '../stand/opaque/caller.js';
import { OpaqueEngine, type OpaqueEngineParams } from '../stand/opaque/engine.js';
import {
  judgeOpaque,
  type OpaqueBounds,
  type OpaqueFinding,
  type SentConfiguration,
} from '../stand/opaque/judge.js';
import type { Arrival, Asked } from '../stand/opaque/record.js';
import { operatorKey, type Fleet } from './fleet.js';

/** What an operator was answered. */
export type Told = 'accepted' | 'conflict' | 'invalid' | 'unknown';

/** A kind of request and how often it comes. */
export interface Kind {
  readonly name: string;
  readonly asking: Partial<Asking> & Pick<Asking, 'host' | 'target' | 'repeatable'>;
  readonly perSecond: number;
}

/** By which addresses engines and routers are reached, where these aren't the ones they listen on. */
export interface Wiring {
  engine(identifier: string, bound: string): Promise<string>;
  requests(router: string): string;
}

const READY_EVERY = 200;

/** A fleet with engines and callers of opaque requests. */
export class OpaqueScene {
  readonly engines = new Map<string, OpaqueEngine>();
  readonly caller: OpaqueCaller;
  readonly configurations: SentConfiguration[] = [];
  readonly leaving = new Map<string, number>();
  private readonly past: Arrival[] = [];
  private readonly listed = new Map<string, string>();
  private readonly clock = new SystemClock();
  private readonly random: Random;
  private readonly ready = new Set<string>();
  private readonly stop = new AbortController();
  private readonly calls: Array<Promise<Asked>> = [];

  constructor(
    readonly fleet: Fleet,
    seed: number,
    private readonly engine: Partial<OpaqueEngineParams> = {},
    private readonly wiring: Wiring = {
      engine: (_, bound) => Promise.resolve(bound),
      requests: (router) => fleet.requests.get(router)!,
    },
  ) {
    this.random = new SeededRandom(seed);
    this.caller = new OpaqueCaller(this.clock, new SeededRandom(seed + 1));
  }

  /** Starts an engine, at an address that was another's if told, and has it listed. */
  async startEngine(
    identifier: string,
    service: string,
    address = '127.0.0.1:0',
  ): Promise<OpaqueEngine> {
    const engine = new OpaqueEngine({ ...this.engine, identifier, service, address }, this.clock);
    const bound = await engine.listen();
    this.engines.set(identifier, engine);
    this.listed.set(identifier, await this.wiring.engine(identifier, bound));
    await this.list(identifier, service, false);
    return engine;
  }

  /** The engine is gone at once; the list shows it until told otherwise. Gives its address back. */
  async crash(identifier: string): Promise<string> {
    const engine = this.engines.get(identifier)!;
    const { address } = engine;
    this.engines.delete(identifier);
    this.past.push(...engine.arrivals);
    await engine.close();
    return address;
  }

  unlist(identifier: string): Promise<unknown> {
    return this.fleet.tell(this.fleet.platform, '/stand/drop', { identifier });
  }

  /** The engine is shown as leaving, and serves on until it is ended. */
  async leave(identifier: string): Promise<void> {
    const engine = this.engines.get(identifier)!;
    engine.draining = true;
    await this.list(identifier, engine.params.service, true);
    this.leaving.set(identifier, this.clock.wall() + (this.fleet.plan.lag ?? 100));
  }

  /** Sends a change through a node; what gets no clear answer is sent again unchanged, as operators do. */
  async put(node: string, configuration: Configuration, expects: number): Promise<Told> {
    return this.send(configuration, () =>
      operate(this.target(node), 'routes.put', {
        configuration: { ...configuration },
        expects,
        wait: 5000,
      }),
    );
  }

  async patch(node: string, patch: Patch, whole: Configuration, expects: number): Promise<Told> {
    return this.send(whole, () =>
      operate(this.target(node), 'routes.patch', { patch: { ...patch }, expects, wait: 5000 }),
    );
  }

  async shown(node: string): Promise<unknown> {
    return (await operate(this.target(node), 'routes.show', { wait: 5000 })).toMaybe().extract()
      ?.configuration;
  }

  /** Follows which routers call themselves ready, as a platform does before it passes callers on to them. */
  async follow(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await Promise.all(
        [...this.fleet.requests.keys()].map(async (name) => {
          const well = await request(`http://${this.fleet.operators.get(name)!}/ready`, {
            headersTimeout: 500,
            bodyTimeout: 500,
          }).then(
            async (reply) => (await reply.body.dump(), reply.statusCode === 200),
            () => false,
          );
          if (well) this.ready.add(name);
          else this.ready.delete(name);
        }),
      );
      await pause(READY_EVERY);
    }
  }

  ask(name: string, asking: Kind['asking'], router?: string): Promise<Asked> {
    const choose = (): string => this.wiring.requests(router ?? this.chooseRouter());
    const asked = this.caller.ask(
      {
        name,
        method: 'POST',
        body: Buffer.from(name),
        deadline: 8000,
        silence: 4000,
        furtherTries: router === undefined ? 2 : 0,
        ...asking,
      },
      choose,
    );
    this.calls.push(asked);
    return asked;
  }

  /** One of the routers that call themselves ready, of all where none does. */
  chooseRouter(): string {
    const names = this.ready.size ? [...this.ready] : [...this.fleet.requests.keys()];
    return pick(this.random, names)!;
  }

  /** Asks steadily until told to stop. */
  async drive(kinds: readonly Kind[]): Promise<void> {
    const whole = kinds.reduce((sum, { perSecond }) => sum + perSecond, 0);
    for (let due = performance.now(); await this.goesOnAt(due); due += 1000 / whole) {
      let at = this.random.fraction() * whole;
      const kind = kinds.find(({ perSecond }) => (at -= perSecond) < 0) ?? kinds[0]!;
      void this.ask(kind.name, kind.asking);
    }
  }

  /** Waits until a moment; whether the traffic still goes on then. */
  private async goesOnAt(due: number): Promise<boolean> {
    if (due > performance.now()) await pause(due - performance.now());
    return !this.stop.signal.aborted;
  }

  /** Ends the traffic and waits for what is under way. */
  async rest(): Promise<readonly Asked[]> {
    this.stop.abort();
    return Promise.all(this.calls);
  }

  async close(): Promise<void> {
    this.stop.abort();
    await Promise.all([...this.engines.values()].map((engine) => engine.close()));
  }

  get arrivals(): readonly Arrival[] {
    return [...this.past, ...[...this.engines.values()].flatMap(({ arrivals }) => arrivals)];
  }

  judged(bounds: OpaqueBounds): OpaqueFinding[] {
    return judgeOpaque({
      asked: this.caller.asked,
      arrivals: this.arrivals,
      configurations: this.configurations,
      leaving: this.leaving,
      bounds,
    });
  }

  private target(node: string): { node: string; key: string } {
    return { node: this.fleet.operators.get(node)!, key: operatorKey(this.fleet.plan.firms[0]!) };
  }

  private async send(
    configuration: Configuration,
    call: () => ReturnType<typeof operate<'routes.put'>>,
  ): Promise<Told> {
    const sentAt = this.clock.wall();
    const at =
      this.configurations.push({ configuration, sentAt, acceptedAt: undefined, refused: false }) -
      1;
    let told: Told = 'unknown';
    for (let tries = 0; told === 'unknown' && tries < 10; tries++) {
      if (tries > 0) await pause(200);
      told = (await call()).map(({ outcome }) => outcome).orDefault('unknown');
    }
    this.configurations[at] = {
      configuration,
      sentAt,
      acceptedAt: told === 'accepted' ? this.clock.wall() : undefined,
      refused: told === 'conflict' || told === 'invalid',
    };
    return told;
  }

  private list(identifier: string, service: string, leaving: boolean): Promise<unknown> {
    const { slots, cacheTokens } = this.engines.get(identifier)!.params;
    return this.fleet.list({
      identifier,
      address: this.listed.get(identifier)!,
      model: 'm',
      adapters: [],
      weight_generation: '1',
      zone: this.fleet.plan.zones[0]!,
      labels: {},
      cache_capacity_tokens: cacheTokens,
      prefill_rate: 8000,
      leaving,
      service,
      slots,
    });
  }
}

/** A route to one service or split over several, for scenes. */
export const routeTo = (
  name: string,
  to: string | readonly Share[],
  over: Partial<Route> = {},
): Route => ({
  name,
  host: 'rail.example',
  prefix: `/${name}/`,
  kind: 'idempotent',
  timeout: 8000,
  target: 1000,
  gap: 500,
  attempts: 2,
  ...(typeof to === 'string' ? { service: to } : { split: to }),
  ...over,
});
