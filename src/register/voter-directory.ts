/**
 * Where the core members are, as this node knows: the seeds at first, then the core set of the newest revision it
 * has seen. What was learned is kept when seeds change or fall silent.
 */
import type { VoterSet } from './document.js';

export class VoterDirectory {
  private known: VoterSet = { number: 0, wanted: 0, members: [] };

  constructor(private seeds: readonly string[]) {}

  /** Takes other seeds in the place of the old ones. */
  reseed(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  learn(core: VoterSet): void {
    if (core.number > this.known.number) this.known = core;
  }

  get core(): VoterSet {
    return this.known;
  }

  /** The members' addresses, or the seeds while no core set is known. */
  get addresses(): readonly string[] {
    return this.known.number > 0 ? this.known.members.map(({ address }) => address) : this.seeds;
  }

  /** Every address worth asking for news of the core set. */
  get contacts(): readonly string[] {
    return [...new Set([...this.known.members.map(({ address }) => address), ...this.seeds])];
  }
}
