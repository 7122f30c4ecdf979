/** How long the claims on doorway names have gone without renewal, on this node's own clock. */
import type { Clock, Moment } from '../../kernel/clock/clock.js';
import type { Claim, Document } from '../../register/document.js';

interface Renewal {
  readonly number: number;
  readonly since: Moment;
}

/** The renewals of the claims in force, and when each was first seen here. */
export class ClaimRenewals {
  private readonly renewals = new Map<string, Renewal>();

  constructor(private readonly clock: Clock) {}

  /** Follows the claims in force. */
  note({ claims }: Document): void {
    for (const [name, { renewal }] of claims)
      if (this.renewals.get(name)?.number !== renewal)
        this.renewals.set(name, { number: renewal, since: this.clock.now() });
    for (const name of this.renewals.keys()) if (!claims.has(name)) this.renewals.delete(name);
  }

  /** Whether a claim has gone without renewal for longer than it lasts. */
  hasLapsed(name: string, { renewal, duration }: Claim): boolean {
    const seen = this.renewals.get(name);
    return seen?.number === renewal && this.clock.now() - seen.since > duration;
  }
}
