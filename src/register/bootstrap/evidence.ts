/** What the answers of the core machines say about forming the first group: whether it may be formed, by whom and how. */
import type { VoterSet, Voter } from '../document.js';
import { chooseVoters, spannedBy, type Location, type Losses } from '../failure-domains.js';
import { majority } from '../gather.js';
import type { StatusReply } from './calls.js';

export interface Survey {
  /** The addresses that were asked. */
  readonly asked: readonly string[];
  /** The answers by address. */
  readonly answers: ReadonlyMap<string, StatusReply>;
}

/** How many machines without a trace of a vote prove that no group was formed, and in how many zones and regions they stand. */
export interface Evidence {
  readonly machines: number;
  readonly zones: number;
  readonly regions: number;
}

export type Plan =
  /** A group exists; nothing is to be formed. */
  | { readonly kind: 'formed'; readonly core: VoterSet; readonly by: string }
  /** A round of those that are voters, decided by a majority of the seeds. */
  | { readonly kind: 'majority'; readonly seeds: readonly string[] }
  /** A round in which every seed must promise, since too few of them are voters. */
  | { readonly kind: 'unanimous'; readonly seeds: readonly string[] }
  | { readonly kind: 'wait'; readonly reason: string };

const wait = (reason: string): Plan => ({ kind: 'wait', reason });

export const inOrder = (addresses: Iterable<string>): string[] => [...new Set(addresses)].sort();

const isBound = ({ role }: StatusReply): boolean => role === 'voter' || role === 'candidate';

/** The seeds that this machine is bound to already, or else any other one. */
const boundSeeds = (self: string, { answers }: Survey): readonly string[] | undefined => {
  const own = answers.get(self);
  return own && isBound(own) ? own.seeds : [...answers.values()].find(isBound)?.seeds;
};

const votesFor = (seeds: readonly string[], status: StatusReply | undefined): boolean =>
  status?.role === 'voter' && status.seeds.join() === seeds.join();

/** Why so many seeds, where they stand, do not prove that there is no group; nothing where they do. */
const lackOf = (
  { machines, zones, regions }: Evidence,
  seeds: readonly string[],
  { answers }: Survey,
): string => {
  if (seeds.length < machines) return `only ${seeds.length} of ${machines} are known`;
  const spanned = spannedBy(seeds.flatMap((seed) => answers.get(seed) ?? []));
  if (spanned.zones < zones)
    return `those that are known stand in ${spanned.zones} of at least ${zones} zones`;
  return spanned.regions < regions
    ? `those that are known stand in ${spanned.regions} of at least ${regions} regions`
    : '';
};

/**
 * What may be done. Machines that are all without a trace of a vote are proof that no group was formed only when they are as
 * many, and stand in as many zones and regions, as `evidence` says: any group that ever acknowledged a change would have left
 * it on one of them, as long as no more losses come at once than are tolerated. The machines of a zone that was lost whole
 * prove nothing, however many they are.
 */
export const planFor = (
  self: string,
  configured: readonly string[],
  evidence: Evidence,
  survey: Survey,
): Plan => {
  const { answers } = survey;
  for (const [address, { formed, core }] of answers)
    if (formed) return { kind: 'formed', core: JSON.parse(core) as VoterSet, by: address };
  const bound = boundSeeds(self, survey);
  const isEnough = lackOf(evidence, configured, survey) === '';
  const seeds = bound ?? inOrder(isEnough ? configured : [...configured, ...survey.asked]);
  if (!seeds.includes(self)) return wait('not a seed');
  const voters = seeds.filter((seed) => votesFor(seeds, answers.get(seed)));
  if (voters.length >= majority(seeds.length))
    return voters.includes(self)
      ? { kind: 'majority', seeds }
      : wait('a majority of the seeds forms the group');
  const silent = seeds.filter((seed) => !answers.has(seed));
  if (silent.length > 0) return wait(`no answer from ${silent.join(' ')}`);
  const lack = bound ? '' : lackOf(evidence, seeds, survey);
  if (lack) return wait(lack);
  const unfit = seeds.filter((seed) => {
    const { healthy, role } = answers.get(seed)!;
    return !healthy || role === 'disqualified';
  });
  if (unfit.length > 0) return wait(`may not vote: ${unfit.join(' ')}`);
  return { kind: 'unanimous', seeds };
};

/** Which of two machines that stand equally well is to be a voter. */
const RANK = { seed: 0, other: 1 };

/**
 * The first voters, as many as are wanted where so many answered: those that bear most of the losses that are asked, and
 * where no zone or region is to be borne, the seeds before others.
 */
export const firstVoters = (
  seeds: readonly string[],
  wanted: number,
  tolerated: Losses,
  { answers }: Survey,
): Array<Voter & Location> => {
  const voters = [...answers]
    .filter(([, { healthy, formed }]) => healthy && !formed)
    .map(([address, { member, zone, region }]) => ({ id: member, address, zone, region }));
  const candidates = voters.map(({ id, address, zone, region }) => ({
    id,
    location: { zone, region },
    rank: seeds.includes(address) ? RANK.seed : RANK.other,
  }));
  const chosen = new Set(chooseVoters(candidates, 1, wanted, tolerated).map(({ id }) => id));
  return voters.filter(({ id }) => chosen.has(id)).sort((a, b) => (a.id < b.id ? -1 : 1));
};
