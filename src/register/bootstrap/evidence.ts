/** What the answers of the core machines say about forming the first group: whether it may be formed, by whom and how. */
import type { VoterSet, Voter } from '../document.js';
import { majority } from '../gather.js';
import type { StatusReply } from './calls.js';

export interface Survey {
  /** The addresses that were asked. */
  readonly asked: readonly string[];
  /** The answers by address. */
  readonly answers: ReadonlyMap<string, StatusReply>;
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

/**
 * What may be done. Machines that are all without a trace of a vote are proof that no group was formed only when they are as
 * many as `evidence` says: any group that ever acknowledged a change would have left it on one of them, as long as no more
 * losses come at once than are tolerated.
 */
export const planFor = (
  self: string,
  configured: readonly string[],
  evidence: number,
  survey: Survey,
): Plan => {
  const { answers } = survey;
  for (const [address, { formed, core }] of answers)
    if (formed) return { kind: 'formed', core: JSON.parse(core) as VoterSet, by: address };
  const bound = boundSeeds(self, survey);
  const seeds =
    bound ?? inOrder(configured.length >= evidence ? configured : [...configured, ...survey.asked]);
  if (!seeds.includes(self)) return wait('not a seed');
  const voters = seeds.filter((seed) => votesFor(seeds, answers.get(seed)));
  if (voters.length >= majority(seeds.length))
    return voters.includes(self)
      ? { kind: 'majority', seeds }
      : wait('a majority of the seeds forms the group');
  const silent = seeds.filter((seed) => !answers.has(seed));
  if (silent.length > 0) return wait(`no answer from ${silent.join(' ')}`);
  if (!bound && seeds.length < evidence)
    return wait(`only ${seeds.length} of ${evidence} are known`);
  const unfit = seeds.filter((seed) => {
    const { healthy, role } = answers.get(seed)!;
    return !healthy || role === 'disqualified';
  });
  if (unfit.length > 0) return wait(`may not vote: ${unfit.join(' ')}`);
  return { kind: 'unanimous', seeds };
};

/** The first voters: the seeds that answered, and others that did up to as many as are wanted. */
export const firstVoters = (
  seeds: readonly string[],
  wanted: number,
  { answers }: Survey,
): Voter[] => {
  const fit = [...answers].filter(([, { healthy, formed }]) => healthy && !formed);
  const voterOf = ([address, { member }]: readonly [string, StatusReply]): Voter => ({
    id: member,
    address,
  });
  const first = fit.filter(([address]) => seeds.includes(address)).map(voterOf);
  const others = fit.filter(([address]) => !seeds.includes(address)).map(voterOf);
  const vacant = Math.max(0, wanted - first.length);
  return [...first, ...others.slice(0, vacant)].sort((a, b) => (a.id < b.id ? -1 : 1));
};
