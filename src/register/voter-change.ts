/**
 * Which change of the voter set is due, by what one member saw of the voters and the learners. Nothing here asks or waits.
 *
 * A change is proposed only where the voters that are left vote, hold the newest committed revision, and are a majority of what
 * is left. What comes first: a vacant place, a voter that is gone, the end of a replacement that is half done, a voter that
 * says that it stops; and when none of that is due, a learner takes over from a voter where the voters would bear more
 * of the losses that are asked of them then, as when they stand in too few zones.
 */
import type { Act, Voter, VoterSet } from './document.js';
import {
  bestBeside,
  chooseVoters,
  shortfall,
  type Candidate,
  type Location,
  type Losses,
} from './failure-domains.js';
import { majority } from './gather.js';

export type VoterChange = Extract<Act, { kind: 'addVoter' | 'removeVoter' }>;

/** What one look at the voters and the learners showed. */
export interface Look {
  readonly set: VoterSet;
  /** Voters that vote and hold the newest committed revision on disk. */
  readonly current: readonly Voter[];
  /** Voters that never vote again: another disk answered in their place, or they are disqualified. */
  readonly unrecoverable: readonly Voter[];
  /** Voters that answered but do not vote now, as with a disk in trouble or before they know of their vote. */
  readonly suspended: readonly Voter[];
  readonly silent: readonly Voter[];
  readonly leaving: readonly Voter[];
  /** Learners that hold the newest committed revision on disk. */
  readonly ready: readonly Voter[];
  /** Where a voter or learner stands. */
  readonly locationOf: (voter: Voter) => Location;
}

/** Which of two that stand equally well is to be a voter. */
const RANK = { current: 0, voter: 1, learner: 2 };

/** The voter that a change takes the vote from, or nothing where it takes none. */
export const votelessBy = (change: VoterChange): string | undefined =>
  change.kind === 'removeVoter' ? change.id : change.replaces;

/** Decides on the change that is due in one look. */
class DueChange {
  private readonly members: readonly Voter[];
  /** Learners at addresses where no voter is. */
  private readonly learners: readonly Voter[];

  constructor(
    private readonly look: Look,
    private readonly self: string,
    private readonly tolerated: Losses,
  ) {
    this.members = look.set.members;
    this.learners = look.ready.filter(
      (learner) => !this.members.some(({ address }) => address === learner.address),
    );
  }

  decide(): VoterChange | undefined {
    return (
      this.addition() ??
      this.removalOfGone() ??
      this.endOfReplacement() ??
      this.replacementOfLeaver() ??
      this.betterSpread()
    );
  }

  /** The second half of a replacement, where the member that began it did not come to it. */
  private endOfReplacement(): VoterChange | undefined {
    const { wanted, replaced } = this.look.set;
    const isOpen = this.members.length > wanted && this.members.some(({ id }) => id === replaced);
    return isOpen && this.canSpare(replaced!) ? this.remove(replaced!) : undefined;
  }

  /** A learner for a vacant place, unless the voters would bear less of what is asked with it. */
  private addition(): VoterChange | undefined {
    const { wanted } = this.look.set;
    if (this.members.length >= wanted) return undefined;
    const best = this.bestVoters(this.members.length, wanted);
    if (best.length <= this.members.length) return undefined;
    const learners = this.learners.filter(({ id }) => best.some((each) => each.id === id));
    const learner = this.bestLearner(learners, this.members);
    return learner && this.add(learner);
  }

  /** A voter that is gone loses its vote, first one that never votes again. */
  private removalOfGone(): VoterChange | undefined {
    const { ready, silent, unrecoverable, set } = this.look;
    const lost = unrecoverable.length > 0 ? unrecoverable : silent;
    const gone = lost.find(({ id }) => id !== this.self);
    const isSpared = ready.length > 0 || this.members.length > set.wanted;
    return gone && isSpared && this.canSpare(gone.id) ? this.remove(gone.id) : undefined;
  }

  private replacementOfLeaver(): VoterChange | undefined {
    const { leaving, set } = this.look;
    const leaver = leaving.find(({ id }) => id !== this.self);
    if (!leaver) return undefined;
    if (this.members.length > set.wanted && this.canSpare(leaver.id)) return this.remove(leaver.id);
    if (this.members.length !== set.wanted) return undefined;
    const learner = this.bestLearner(
      this.learners,
      this.members.filter((voter) => voter !== leaver),
    );
    return learner && this.add(learner, leaver.id);
  }

  /** A learner in the place of a voter, where the voters would bear more of the losses that are asked then. */
  private betterSpread(): VoterChange | undefined {
    const { leaving, set } = this.look;
    if (this.learners.length === 0 || leaving.length > 0) return undefined;
    if (this.members.length > set.wanted) return undefined;
    const count = this.members.length;
    const best = this.bestVoters(count, count);
    if (this.shortfallOf(best) >= this.shortfallOf(this.candidates(this.members))) return undefined;
    const isChosen = ({ id }: Voter): boolean => best.some((each) => each.id === id);
    const learner = this.learners.find(isChosen);
    const voters = this.members.filter((voter) => !isChosen(voter));
    const voter = voters.find(({ id }) => !this.isCurrent(id)) ?? voters[0];
    if (!learner || !voter || !this.bearsReplacementOf(voter.id)) return undefined;
    return this.add(learner, voter.id);
  }

  private bearsReplacementOf(id: string): boolean {
    const { length } = this.look.current;
    const isGrownSound = length + 1 >= majority(this.members.length + 1);
    return isGrownSound && this.currentWithout(id) + 1 >= majority(this.members.length);
  }

  private canSpare(id: string): boolean {
    return this.currentWithout(id) >= majority(this.members.length - 1);
  }

  private currentWithout(id: string): number {
    return this.look.current.filter((voter) => voter.id !== id).length;
  }

  private isCurrent(id: string): boolean {
    return this.look.current.some((voter) => voter.id === id);
  }

  private bestVoters(least: number, most: number): readonly Candidate[] {
    const all = this.candidates([...this.members, ...this.learners]);
    return chooseVoters(all, least, most, this.tolerated);
  }

  private bestLearner(learners: readonly Voter[], voters: readonly Voter[]): Voter | undefined {
    const best = bestBeside(this.candidates(voters), this.candidates(learners), this.tolerated);
    return learners.find(({ id }) => id === best?.id);
  }

  private candidates(voters: readonly Voter[]): Candidate[] {
    return voters.map((voter) => ({
      id: voter.id,
      location: this.look.locationOf(voter),
      rank: this.rankOf(voter),
    }));
  }

  private rankOf({ id }: Voter): number {
    if (this.isCurrent(id)) return RANK.current;
    return this.members.some((voter) => voter.id === id) ? RANK.voter : RANK.learner;
  }

  private shortfallOf(candidates: readonly Candidate[]): number {
    return shortfall(
      candidates.map(({ location }) => location),
      this.tolerated,
    );
  }

  private add(learner: Voter, replaces?: string): VoterChange {
    const voter = { ...learner, ...this.look.locationOf(learner) };
    const expects = this.look.set.number;
    return { kind: 'addVoter', voter, expects, ...(replaces !== undefined && { replaces }) };
  }

  private remove(id: string): VoterChange {
    return { kind: 'removeVoter', id, vacant: true, expects: this.look.set.number };
  }
}

/** The change that is due by what a member saw, or nothing. `tolerated`: the losses that the voters are to bear. */
export const dueChange = (look: Look, self: string, tolerated: Losses): VoterChange | undefined =>
  new DueChange(look, self, tolerated).decide();
