/**
 * The touching law: what every router promises about its own traffic to one engine, so that each can bound what the
 * others may have pushed into that engine's cache without any of them sharing a placement. Within any span d, one
 * router touches at most warm + 2 x largest + rate x d distinct tokens at an engine: blocks in its warm set are free,
 * others are paid from a bucket of depth `largest` filling at `rate`, and what is paid and still in flight is bounded
 * by `largest` as well. docs/index.md carries the argument.
 */
import type { Clock, Moment } from '../kernel/clock/clock.js';
import type { Engine } from '../pool/engine.js';

/** What bounds the traffic of each router. */
export interface LawParams {
  readonly routers: number;
  readonly largestPrompt: number;
  readonly largestReply: number;
  readonly rateShare: number;
}

/** The bound on what other routers may have pushed out of one engine's cache. */
export interface Law {
  readonly warm: number;
  readonly largest: number;
  readonly rate: number;
  readonly others: number;
}

/** The law as one text, the same for all routers that keep the same. */
export const lawText = ({ routers, largestPrompt, largestReply, rateShare }: LawParams): string =>
  `${routers}/${largestPrompt}/${largestReply}/${rateShare}`;

/** Why no claim can be made under this law beside the routers registered; empty when they can. */
export const lawBroken = (
  law: LawParams,
  registered: ReadonlyMap<string, { readonly law: string }>,
): string => {
  if (registered.size > law.routers)
    return `${registered.size} routers are registered, law.routers is ${law.routers}`;
  const own = lawText(law);
  const other = [...registered].find(([, each]) => each.law !== own);
  return other === undefined ? '' : `${other[0]} keeps another law: ${other[1].law}, not ${own}`;
};

/** The last block of a request may be counted whole; blocks are at most this large. */
export const ROUNDING = 256;

/** The bound that holds at an engine. */
export const lawFor = (engine: Engine, params: LawParams): Law => ({
  warm: engine.cacheCapacity / (8 * params.routers),
  largest: params.largestPrompt + params.largestReply + ROUNDING,
  rate: (engine.prefillRate * params.rateShare) / params.routers,
  others: params.routers - 1,
});

/** The most distinct tokens all other routers together may have touched at the engine within a span. */
export const othersBound = (law: Law, span: number): number =>
  law.others * (law.warm + 2 * law.largest + (law.rate * Math.max(0, span)) / 1000);

/** What a request pays from the router's allowance at an engine. */
export interface Payment {
  readonly blocks: readonly string[];
  readonly paid: number;
}

/** One router's dealings with one engine under the law. */
export class Allowance {
  private readonly warm = new Map<string, number>();
  private warmTokens = 0;
  private level = 0;
  private flying = 0;

  /** The bucket is empty when the process is born, so that a process that restarts often keeps the law too. */
  constructor(
    private readonly law: Law,
    private readonly clock: Clock,
    private filled: Moment,
  ) {}

  /** What a request would have to pay. */
  cost(blocks: readonly string[], blockTokens: number, extra: number): number {
    return blocks.reduce((sum, block) => sum + (this.warm.has(block) ? 0 : blockTokens), 0) + extra;
  }

  /** How long until the cost could be paid, were nothing else sent; 0 when it can be now. */
  wait(cost: number): number {
    this.fill();
    if (this.flying > 0 && this.flying + cost > this.law.largest) return 20;
    return Math.max(0, ((cost - this.level) / this.law.rate) * 1000);
  }

  pay(blocks: readonly string[], blockTokens: number, extra: number): Payment {
    const paid = this.cost(blocks, blockTokens, extra);
    this.fill();
    this.level -= paid;
    this.flying += paid;
    for (const block of blocks) this.heat(block, blockTokens);
    return { blocks, paid };
  }

  /** The request is over; blocks it made join the warm set, since they were paid for with it. */
  over(payment: Payment, made: readonly string[], blockTokens: number): void {
    this.flying -= payment.paid;
    for (const block of made) this.heat(block, blockTokens);
  }

  private heat(block: string, tokens: number): void {
    if (this.warm.delete(block)) this.warmTokens -= tokens;
    this.warm.set(block, tokens);
    this.warmTokens += tokens;
    for (const [old, size] of this.warm) {
      if (this.warmTokens <= this.law.warm) break;
      this.warm.delete(old);
      this.warmTokens -= size;
    }
  }

  private fill(): void {
    const now = this.clock.now();
    this.level = Math.min(
      this.law.largest,
      this.level + ((now - this.filled) * this.law.rate) / 1000,
    );
    this.filled = now;
  }
}
