/**
 * One run: engines that batch, routers that each place on their own, and clients that arrive whatever happens, try once
 * more after a refusal, and give up at their deadline. What goes wrong comes with the scenario. Repeats exactly by seed.
 */
import { SeededRandom } from '../../kernel/random/random.js';
import type { PlaceAsk, Placer } from '../../place/placer.js';
import type { Weights } from '../../place/prefix.js';
import type { Engine } from '../../pool/engine.js';
import type { Service } from '../../route/shape.js';
import { BatchEngine, type BatchParams } from './engine.js';
import { Tally, type Figures } from './figures.js';
import { placerOf, type Way } from './rivals.js';
import { Timeline } from './time.js';
import { demandsOf, type Demand, type TrafficParams } from './traffic.js';

export interface Scenario {
  readonly engines: number;
  readonly routers: number;
  readonly batch: BatchParams;
  readonly traffic: TrafficParams;
  /** Engines and routers lie in turn in so many zones. */
  readonly zones: number;
  /** The share of requests that come to the first zone's routers on top of its even share. */
  readonly uneven: number;
  /** One engine falls silent at a moment and is listed for `listed` ms more. */
  readonly crash?: { readonly at: number; readonly listed: number };
  /** From a moment on, every `gap` ms one engine is replaced by an empty one. */
  readonly release?: { readonly at: number; readonly gap: number };
  /** One engine takes `x` times as long for everything. */
  readonly slow?: { readonly x: number };
}

interface Member {
  readonly engine: Engine;
  readonly batch: BatchEngine;
}

const KINDS = new Map([
  ['long', { priority: 1, target: 800, deadline: 10_000, gap: 200 }],
  ['short', { priority: 0, target: 400, deadline: 5000, gap: 200 }],
] as const);
const LATENCY = 1.4;
const WARMUP = 4000;

export const play = (
  scenario: Scenario,
  way: Way,
  seed: number,
  weights: Partial<Weights> = {},
): Figures => {
  const time = new Timeline();
  const tally = new Tally();
  const service: Service = {
    name: 'svc',
    engine: { slots: scenario.batch.slots, cacheTokens: scenario.batch.memory },
  };
  const members = new Map<string, Member>();
  const batches: BatchEngine[] = [];
  let born = 0;
  const bear = (): void => {
    const number = born++;
    const engine: Engine = {
      identifier: `engine-${seed}-${number}`,
      address: '',
      model: 'm',
      adapters: new Set(),
      weightGeneration: '1',
      zone: `z${number % scenario.zones}`,
      labels: new Map(),
      cacheCapacity: scenario.batch.memory,
      prefillRate: 1,
      leaving: false,
      slots: scenario.batch.slots,
    };
    const batch = new BatchEngine(
      scenario.batch,
      time,
      () => (scenario.slow && number === 0 ? scenario.slow.x : 1),
      (shared, kept) => time.now() > WARMUP && tally.seen(shared, kept),
    );
    batches.push(batch);
    members.set(engine.identifier, { engine, batch });
  };
  for (let at = 0; at < scenario.engines; at++) bear();
  const insight = (engine: Engine, ask: PlaceAsk): number => {
    const { batch } = members.get(engine.identifier)!;
    return batch.unread + 3 * batch.fresh(ask.prompt!.parts);
  };
  const routers: Placer[] = Array.from({ length: scenario.routers }, (_, at) =>
    placerOf(
      way,
      time,
      new SeededRandom(seed * 1000 + at),
      { routers: () => scenario.routers, zone: `z${at % scenario.zones}` },
      insight,
      weights,
    ),
  );
  const listed = (): void => {
    const engines = new Map([...members].map(([identifier, { engine }]) => [identifier, engine]));
    for (const router of routers) router.listed(engines);
  };
  const drop = (identifier: string): void => {
    members.delete(identifier);
    listed();
  };

  const attempt = (demand: Demand, tries: number, began: number): void => {
    const { priority, target, deadline, gap } = KINDS.get(demand.kind)!;
    const any = (demand.client + tries * 7) % routers.length;
    const at = demand.client % 1000 < 1000 * scenario.uneven ? any - (any % scenario.zones) : any;
    const router = routers[at]!;
    const tokens = demand.parts.reduce((sum, part) => sum + part.tokens, 0);
    const left = began + deadline - time.now();
    const again = (wait: number): void => {
      if (tries >= 1 || wait > left) tally.lost(demand.kind);
      else time.after(wait, () => attempt(demand, tries + 1, began));
    };
    const ask: PlaceAsk = {
      service,
      prompt: { model: 'm', tokens, output: demand.output, parts: demand.parts },
      priority,
      target: Math.max(1, began + target - time.now()),
      deadline: left,
      affinity: true,
    };
    const placement = router.place(
      ask,
      [...members.values()].map(({ engine }) => engine),
    );
    if (placement.kind === 'full') {
      if (began > WARMUP) tally.refused(demand.kind);
      return again(Math.min(placement.retryAfter, left / 3));
    }
    const { ticket } = placement;
    const member = members.get(ticket.engine.identifier)!;
    const local = ticket.engine.zone === `z${at % scenario.zones}`;
    if (began > WARMUP) tally.sent(ticket.engine.identifier, time.now(), local);
    const latency = local ? LATENCY / 5 : LATENCY;
    let over = false;
    let events = 0;
    let inTime = true;
    let lastAt = 0;
    let giveUp: () => void = () => undefined;
    const event = (last: boolean): void => {
      if (over) return;
      const now = time.now();
      if (events++ === 0) {
        ticket.head();
        if (began > WARMUP) tally.first(demand.kind, now - began);
        inTime = now - began <= target;
      } else if (now - lastAt > gap) inTime = false;
      lastAt = now;
      ticket.piece();
      if (!last) return;
      over = true;
      ticket.end('whole');
      if (began > WARMUP) tally.served(demand.kind, began, inTime);
    };
    const refused = (): void => {
      if (over) return;
      over = true;
      ticket.end('turned-away');
      if (began > WARMUP) tally.refused(demand.kind);
      again(50);
    };
    time.after(latency, () => {
      giveUp = member.batch.take({
        parts: demand.parts,
        output: demand.output,
        urgency: ticket.urgency,
        event: (last) => time.after(latency, () => event(last)),
        refused: () => time.after(latency, refused),
      });
    });
    const silence = Math.min(left, Math.max(2000, 4 * target));
    const watch = (): void => {
      if (over) return;
      const due = (events === 0 ? began : lastAt) + silence;
      if (time.now() < Math.min(due, began + deadline))
        return time.after(Math.min(due, began + deadline) - time.now() + 0.01, watch);
      over = true;
      giveUp();
      ticket.end('left');
      if (began > WARMUP) tally.lost(demand.kind);
    };
    time.after(silence, watch);
  };

  const random = new SeededRandom(seed);
  for (const demand of demandsOf(scenario.traffic, random))
    time.after(demand.at, () => {
      if (demand.at > WARMUP) tally.owed(demand.kind, demand.at);
      attempt(demand, 0, demand.at);
    });
  if (scenario.crash) {
    const { at, listed: stays } = scenario.crash;
    time.after(at, () => {
      const [identifier, { batch }] = [...members][0]!;
      batch.die();
      time.after(stays, () => drop(identifier));
    });
  }
  if (scenario.release)
    for (let at = 0; at < scenario.engines; at++)
      time.after(scenario.release.at + at * scenario.release.gap, () => {
        bear();
        drop([...members.keys()][0]!);
      });
  const look = (): void => {
    if (time.now() > WARMUP) tally.look([...members.values()].map(({ batch }) => batch.unread));
    if (time.now() < scenario.traffic.span) time.after(20, look);
  };
  look();
  time.run(scenario.traffic.span + 12_000);
  for (const { tally: each } of batches) {
    tally.read += each.read;
    tally.prompted += each.prompted;
    tally.putBack += each.putBack;
  }
  return tally.figures;
};
