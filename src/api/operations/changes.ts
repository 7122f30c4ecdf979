/**
 * Changes of the register that operators make. A change gets a verdict from the register and, when applied, is told
 * "accepted" only once no node can stand on an older revision; what stays open at the limit is "unknown".
 */
import { Right } from 'purify-ts';
import type { Clock } from '../../kernel/clock/clock.js';
import type { Outcome } from '../../kernel/fault/fault.js';
import type { Acceptance } from '../../lease/acceptance.js';
import type { Act } from '../../register/document.js';
import type { Proposer } from '../../register/proposer.js';
import type { RegisterInvariants } from '../../register/register-invariants.js';
import type { Schemas } from '../schema.js';

/** Who makes a change, and for which firm. */
export interface Operator {
  readonly firm: string;
  readonly who: string;
}

/** What an operator is told of a change. */
export type Changed = Schemas['ChangedReply'];

/** Submits changes and says what became of them. */
export class Changes {
  constructor(
    private readonly proposer: Proposer,
    private readonly acceptance: Acceptance,
    private readonly invariants: RegisterInvariants,
    private readonly clock: Clock,
  ) {}

  /** Proposes a change, and waits for it to be in force everywhere. */
  async submit(
    { firm, who }: Operator,
    id: string,
    act: Act,
    wait: number,
  ): Promise<Outcome<Changed>> {
    const limit = this.clock.now() + wait;
    const proposed = await this.proposer.propose({ id, firm, who, act }, wait);
    if (proposed.isLeft()) {
      const { certainty, reason } = proposed.extract();
      return Right(notApplied(id, certainty, reason));
    }
    const verdict = proposed.unsafeCoerce();
    switch (verdict.kind) {
      case 'applied':
        return this.awaitApplication(id, verdict.revision, limit - this.clock.now());
      case 'indeterminate':
        return Right(notApplied(id, 'unknown', verdict.reason));
      case 'lost':
      case 'declined':
        return Right(notApplied(id, verdict.kind, verdict.reason));
    }
  }

  /** What became of an earlier change, as far as the register still keeps it. */
  async outcome({ change, wait }: Schemas['ChangeAsk']): Promise<Outcome<Changed>> {
    const limit = this.clock.now() + wait;
    const read = await this.proposer.read(wait);
    if (read.isLeft()) return Right(notApplied(change, 'unknown', read.extract().reason));
    const { outcomes, revision } = read.unsafeCoerce();
    const kept = outcomes.get(change);
    if (!kept)
      return Right(
        notApplied(
          change,
          'unknown',
          `not among the changes kept at revision ${revision}; repeat the change under the same id to have it committed`,
        ),
      );
    return this.awaitApplication(change, kept.revision, limit - this.clock.now());
  }

  private async awaitApplication(
    change: string,
    revision: number,
    wait: number,
  ): Promise<Outcome<Changed>> {
    const application = await this.acceptance.of(revision, wait);
    if (application.everywhere) {
      this.invariants.noteAcknowledged(revision, this.proposer.heldByMajority);
      return Right({ change, outcome: 'accepted', revision, silent: [], reason: '' });
    }
    return Right({
      change,
      outcome: 'unknown',
      revision,
      silent: [...application.silent],
      reason: `committed, but not yet known to be in force everywhere: ${application.reasons.join('; ') || 'the limit came'}`,
    });
  }
}

const notApplied = (change: string, outcome: Changed['outcome'], reason: string): Changed => ({
  change,
  outcome,
  revision: 0,
  silent: [],
  reason,
});
