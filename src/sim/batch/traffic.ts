/** Traffic of two kinds by a seed, independent of how it is placed: long prompts with a shared part, and short questions. */
import type { PromptPart } from '../../forward/dialect.js';
import type { Random } from '../../kernel/random/random.js';

export type Kind = 'long' | 'short';

export interface Demand {
  readonly at: number;
  readonly kind: Kind;
  readonly parts: readonly PromptPart[];
  readonly output: number;
  readonly client: number;
}

export interface TrafficParams {
  /** Milliseconds in which requests arrive. */
  readonly span: number;
  readonly longPerSecond: number;
  readonly shortPerSecond: number;
  readonly keys: number;
  readonly skew: number;
  /** Between `from` and `to` ms one kind comes `x` times as often. */
  readonly burst?: {
    readonly kind: Kind;
    readonly x: number;
    readonly from: number;
    readonly to: number;
  };
  /** Between `from` and `to` ms a share of the long ones asks for one and the same key. */
  readonly hot?: { readonly share: number; readonly from: number; readonly to: number };
}

const gauss = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction());

/** A lognormal of a mean and a spread, with a most. */
const draw = (random: Random, mean: number, spread: number, most: number): number =>
  Math.max(
    1,
    Math.round(Math.min(most, mean * Math.exp(spread * gauss(random) - (spread * spread) / 2))),
  );

class Popularity {
  private readonly sums: number[] = [];

  constructor(count: number, skew: number) {
    let sum = 0;
    for (let at = 1; at <= count; at++) this.sums.push((sum += at ** -skew));
  }

  pick(random: Random): number {
    const at = random.fraction() * this.sums[this.sums.length - 1]!;
    let low = 0;
    for (let high = this.sums.length - 1; low < high;) {
      const middle = (low + high) >> 1;
      if (this.sums[middle]! <= at) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

export const demandsOf = (params: TrafficParams, random: Random): Demand[] => {
  const { span, keys, skew, burst, hot } = params;
  const sizes = Array.from({ length: keys }, () => draw(random, 13_300, 0.7, 39_900));
  const popular = new Popularity(keys, skew);
  const subjects = new Popularity(1000, skew);
  const demands: Demand[] = [];
  let count = 0;
  const arrive = (
    kind: Kind,
    perSecond: number,
    make: (at: number) => Pick<Demand, 'parts' | 'output'>,
  ): void => {
    const most = burst?.kind === kind ? perSecond * burst.x : perSecond;
    for (let at = 0; at < span;) {
      at += (-Math.log(1 - random.fraction()) * 1000) / most;
      const now =
        burst?.kind === kind && at >= burst.from && at < burst.to ? perSecond * burst.x : perSecond;
      if (random.fraction() * most < now)
        demands.push({ at, kind, client: Math.floor(random.fraction() * 1e6), ...make(at) });
    }
  };
  arrive('long', params.longPerSecond, (at) => {
    const heated =
      hot !== undefined && at >= hot.from && at < hot.to && random.fraction() < hot.share;
    const key = heated ? 0 : popular.pick(random);
    return {
      parts: [
        { id: `k${key}`, tokens: sizes[key]! },
        { id: `o${++count}`, tokens: draw(random, 3720, 1.1, 53_200) },
      ],
      output: 4 * draw(random, 29.9, 1.4, 120),
    };
  });
  arrive('short', params.shortPerSecond, () => {
    const subject = subjects.pick(random);
    return {
      parts: [
        { id: `g${subject % 8}`, tokens: 55 },
        { id: `s${subject}`, tokens: 37 },
        { id: `q${++count}`, tokens: draw(random, 291, 1.4, 1830) },
      ],
      output: 4 * draw(random, 11.3, 1.4, 45),
    };
  });
  return demands.sort((a, b) => a.at - b.at);
};
