/**
 * Failure domains: a machine stands in a zone, a zone in a region, and each of them may be lost whole. A voter set bears a loss
 * as long as the voters outside of it are a majority. This module tells what a set bears, and which machines make the set
 * that comes nearest to what is asked of it.
 */

/** The fewest voters of a deployment that says what its voters are to bear. */
const VOTERS_LEAST = 3;
/** The most voters that a set may have. */
export const VOTERS_BOUND = 9;

/** Where a machine stands; an empty name where that is not known. */
export interface Location {
  readonly zone: string;
  readonly region: string;
}

/** How many machines, zones or regions may be lost at the same time: so many of one kind, not of all kinds together. */
export interface Losses {
  readonly machines: number;
  readonly zones: number;
  readonly regions: number;
}

/** The region of each zone. */
export type Layout = Readonly<Record<string, string>>;

/** Whether a value names the region of each zone. */
export const isLayout = (value: unknown): value is Layout =>
  typeof value === 'object' &&
  value !== null &&
  Object.values(value).every((region) => typeof region === 'string');

/** How many zones and regions machines stand in. */
export interface Span {
  readonly zones: number;
  readonly regions: number;
}

/** A machine that could be a voter. Of two that stand equally well, the one with the lower rank is chosen. */
export interface Candidate {
  readonly id: string;
  readonly location: Location;
  readonly rank: number;
}

/** What is known of a machine that does not tell where it stands. */
export const NOWHERE: Location = { zone: '', region: '' };

/** Asks for nothing. */
export const NO_LOSSES: Losses = { machines: 0, zones: 0, regions: 0 };

const regionOf = ({ region }: Location): string => region;
const zoneOf = ({ zone, region }: Location): string => JSON.stringify([region, zone]);

/** The largest number of losses that leave a majority out of so many voters, or parts of equal size. */
const minorityOf = (count: number): number => Math.max(0, Math.floor((count - 1) / 2));

const sizesOf = (domains: readonly string[]): number[] => {
  const sizes = new Map<string, number>();
  for (const domain of domains) sizes.set(domain, (sizes.get(domain) ?? 0) + 1);
  return [...sizes.values()];
};

/** How many of the domains may be lost, whichever they are. */
const bearableDomains = (domains: readonly string[]): number => {
  let spare = minorityOf(domains.length);
  let borne = 0;
  for (const size of sizesOf(domains).sort((a, b) => b - a)) {
    spare -= size;
    if (spare < 0) break;
    borne += 1;
  }
  return borne;
};

/** What voters at these places bear. */
export const bearableLosses = (locations: readonly Location[]): Losses => ({
  machines: minorityOf(locations.length),
  zones: bearableDomains(locations.map(zoneOf)),
  regions: bearableDomains(locations.map(regionOf)),
});

/** By how many losses, of all kinds together, voters at these places fall short of what is asked. */
export const shortfall = (locations: readonly Location[], asked: Losses): number => {
  const borne = bearableLosses(locations);
  return (
    Math.max(0, asked.machines - borne.machines) +
    Math.max(0, asked.zones - borne.zones) +
    Math.max(0, asked.regions - borne.regions)
  );
};

/** How many zones and regions machines at these places stand in. */
export const spannedBy = (locations: readonly Location[]): Span => ({
  zones: sizesOf(locations.map(zoneOf)).length,
  regions: sizesOf(locations.map(regionOf)).length,
});

/** How many zones and regions a deployment has. */
export const spanOf = (layout: Layout): Span =>
  spannedBy(Object.entries(layout).map(([zone, region]) => ({ zone, region })));

/** How many voters bear the losses that are asked, as far as the deployment has zones and regions enough for that. */
export const votersFor = ({ machines, zones, regions }: Losses, layout: Layout = {}): number => {
  const span = spanOf(layout);
  const bearable = Math.max(
    machines,
    Math.min(zones, minorityOf(span.zones)),
    Math.min(regions, minorityOf(span.regions)),
  );
  return Math.min(VOTERS_BOUND, Math.max(VOTERS_LEAST, 2 * bearable + 1));
};

/** In how many domains a trace must be looked for, so that the losses borne can't have taken it everywhere. */
export const domainsBeyond = (losses: number, domains: number): number =>
  Math.min(losses, Math.max(0, domains - 1)) + 1;

type SortKey = (candidate: Candidate) => number;

const countIn =
  (chosen: readonly Candidate[], domainOf: (location: Location) => string): SortKey =>
  ({ location }) =>
    chosen.filter((other) => domainOf(other.location) === domainOf(location)).length;

const byKeys =
  (keys: readonly SortKey[]) =>
  (one: Candidate, other: Candidate): number => {
    for (const key of keys) {
      const order = key(one) - key(other);
      if (order !== 0) return order;
    }
    return one.id < other.id ? -1 : 1;
  };

type Ordering = (chosen: readonly Candidate[]) => readonly SortKey[];

const byRank: SortKey = ({ rank }) => rank;
const spreadOverZones: Ordering = (chosen) => [
  countIn(chosen, zoneOf),
  countIn(chosen, regionOf),
  byRank,
];
const spreadOverRegions: Ordering = (chosen) => [
  countIn(chosen, regionOf),
  countIn(chosen, zoneOf),
  byRank,
];
const rankFirst: Ordering = (chosen) => [byRank, countIn(chosen, zoneOf)];

const orderingsFor = ({ zones, regions }: Losses): readonly Ordering[] => {
  if (regions > 0) return [spreadOverRegions, spreadOverZones];
  return zones > 0 ? [spreadOverZones] : [rankFirst];
};

/** All candidates, each the best one beside those before it. */
const inTurn = (candidates: readonly Candidate[], ordering: Ordering): Candidate[] => {
  const chosen: Candidate[] = [];
  const left = new Set(candidates);
  while (left.size > 0) {
    const [best] = [...left].sort(byKeys(ordering(chosen)));
    chosen.push(best!);
    left.delete(best!);
  }
  return chosen;
};

/** The candidate that stands best beside voters at these places. */
export const bestBeside = (
  voters: readonly Candidate[],
  candidates: readonly Candidate[],
  asked: Losses,
): Candidate | undefined => {
  const [ordering] = orderingsFor(asked);
  return [...candidates].sort(byKeys(ordering!(voters)))[0];
};

/**
 * The voters that fall least short of what is asked, at least and at most so many where there are as many candidates; of
 * those that do equally well, the largest set.
 */
export const chooseVoters = (
  candidates: readonly Candidate[],
  least: number,
  most: number,
  asked: Losses,
): readonly Candidate[] => {
  let best: readonly Candidate[] = [];
  let lowest = Infinity;
  for (const ordering of orderingsFor(asked)) {
    const all = inTurn(candidates, ordering);
    for (let size = Math.min(most, all.length); size >= Math.max(1, least); size--) {
      const chosen = all.slice(0, size);
      const missing = shortfall(
        chosen.map(({ location }) => location),
        asked,
      );
      if (missing < lowest) {
        best = chosen;
        lowest = missing;
      }
    }
  }
  return best;
};
