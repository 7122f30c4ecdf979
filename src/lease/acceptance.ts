/**
 * From a verdict of the register to "accepted". Where a router without a lease stops, a committed change is accepted once
 * the application on its revision says that it is in force wherever it must be. Where it serves on, a committed change is
 * accepted as it is; the routers that hold leases are waited for, as the core knows them, but never beyond the patience of
 * the terms, so that one that is frozen, killed or cut off delays nothing further.
 */
import { within, type Clock } from '../kernel/clock/clock.js';
import { gather, majority, sound } from '../register/gather.js';
import type { VoterDirectory } from '../register/voter-directory.js';
import type { Peers } from '../wire/peers.js';
import { awaitApplication, type ApplicationStatus } from './application.js';
import { Confirm } from './calls.js';
import { TERMS, type LeaseTerms } from './terms.js';

const SLACK = 100;

export class Acceptance {
  constructor(
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly clock: Clock,
    private readonly terms: LeaseTerms = TERMS,
  ) {}

  /** Waits, at most so many ms, until a committed revision may be called accepted. */
  of(revision: number, duration: number): Promise<ApplicationStatus> {
    const limit = Math.max(0, duration);
    return this.terms.lapse === 'stop'
      ? awaitApplication(revision, limit, this.peers, this.voterDirectory, this.clock)
      : this.reports(revision, Math.min(limit, this.terms.patience));
  }

  private async reports(revision: number, patience: number): Promise<ApplicationStatus> {
    const { members } = this.voterDirectory.core;
    const asking = gather(
      members.map(({ address }) => address),
      (address) => this.peers.ask(address, Confirm, { revision, wait: patience }, patience + SLACK),
      (all) => sound(all).filter(({ confirmed }) => confirmed).length >= majority(members.length),
    );
    const replies = patience > 0 ? await within(this.clock, patience, asking) : undefined;
    return {
      everywhere: true,
      silent: [...new Set(sound(replies ?? []).flatMap(({ silent }) => silent))],
      reasons: [],
    };
  }
}
