/**
 * From a verdict of the register to "accepted". Where a router without a lease stops, a committed change is accepted once
 * the application on its revision says that it is in force wherever it must be. Where it serves on, a committed change is
 * accepted as it is; the routers that hold leases are waited for, as the core knows them, but never beyond the patience of
 * the terms, so that one that is frozen, killed or cut off delays nothing further.
 */
import { within, type Clock } from '../kernel/clock/clock.js';
import { gather, majority, sound, type Replies } from '../register/gather.js';
import type { VoterDirectory } from '../register/voter-directory.js';
import type { Peers } from '../wire/peers.js';
import { awaitApplication, type ApplicationStatus } from './application.js';
import { Confirm, type ConfirmReply } from './calls.js';
import { TERMS, type LeaseTerms } from './terms.js';

const SLACK = 100;
/** After so many ms the members are asked again for routers that none of them heard. */
const PAUSE = 100;

/** The routers with a lease at some member that no member knows to have the revision in force. */
const silentOf = (replies: readonly ConfirmReply[]): readonly string[] => {
  const silent = new Set(replies.flatMap((reply) => reply.silent));
  for (const { reports } of replies) for (const { node } of reports) silent.delete(node);
  return [...silent];
};

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

  /** Waits until each router with a lease is known to some member to have the revision in force. */
  private async reports(revision: number, patience: number): Promise<ApplicationStatus> {
    const limit = this.clock.now() + patience;
    let silent: readonly string[] = [];
    for (let left = patience; left > 0; left = limit - this.clock.now()) {
      const replies = await within(this.clock, left, this.askMembers(revision, left));
      silent = silentOf(sound(replies ?? []));
      if (replies && silent.length === 0) break;
      await this.clock.sleep(Math.min(PAUSE, Math.max(0, limit - this.clock.now())));
    }
    return { everywhere: true, silent, reasons: [] };
  }

  /** Asks all members until a majority has told, and one of them knows of each router that others take for silent. */
  private askMembers(revision: number, wait: number): Promise<Replies<ConfirmReply>> {
    const { members } = this.voterDirectory.core;
    return gather(
      members.map(({ address }) => address),
      (address) => this.peers.ask(address, Confirm, { revision, wait }, wait + SLACK),
      (all) => {
        const told = sound(all);
        return told.length >= majority(members.length) && silentOf(told).length === 0;
      },
    );
  }
}
