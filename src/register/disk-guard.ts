/**
 * Whether a member may vote, by the state of its disk. A write that fails, or that takes longer than a stall may, ends
 * its voting, since what is on the disk is then not sure; it may vote again once the disk was read anew. A member whose
 * promise or vote may be lost is disqualified and never votes again under its id.
 */
import { within, type Clock } from '../kernel/clock/clock.js';
import type { Fault, Outcome } from '../kernel/fault/fault.js';
import type { Log } from '../kernel/log/log.js';

/** Stops the voting of a member whose disk can't be relied on. */
export class DiskGuard {
  private why = '';
  private suspended = false;
  private disqualified = false;

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly stall: number,
  ) {}

  /** Why this member does not vote, or nothing while it may. */
  get reason(): string {
    return this.why;
  }

  get isSuspended(): boolean {
    return this.suspended;
  }

  get isDisqualified(): boolean {
    return this.disqualified;
  }

  /** Waits for a write as long as a stall may last; whether it is sure to be kept. */
  async confirm(writing: Promise<Outcome<void>>): Promise<boolean> {
    const written = await within(this.clock, this.stall, writing);
    if (written?.isRight()) return true;
    this.suspended = true;
    this.stop(
      written
        ? (written.extract() as Fault).reason
        : `the disk did not answer within ${this.stall} ms`,
    );
    return false;
  }

  /** Ends the voting for good: what this member promised or voted for may be lost. */
  disqualify(reason: string): void {
    this.disqualified = true;
    this.stop(reason);
  }

  /** The disk works, and what it holds was read anew. */
  resume(): void {
    if (this.disqualified) return;
    this.suspended = false;
    this.why = '';
  }

  private stop(reason: string): void {
    if (!this.why) this.log('voting-ended', [['reason', reason]]);
    this.why ||= reason;
  }
}
