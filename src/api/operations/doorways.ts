/** The operators' calls on doorways. What is wrong in itself is refused here without a round of the register. */
import { Right } from 'purify-ts';
import type { InForce } from '../../doorway/match.js';
import { checkDoorway } from '../../doorway/shape.js';
import { failed, type Outcome } from '../../kernel/fault/fault.js';
import type { DoorwayAct } from '../../register/document.js';
import type { Schemas } from '../schema.js';
import type { Changed, Changes, Operator } from './changes.js';
import type { ClaimRenewals } from './claim-renewals.js';

/** Sets, removes, claims and shows doorways. */
export class DoorwayOperations {
  constructor(
    private readonly node: string,
    private readonly inForce: InForce,
    private readonly renewals: ClaimRenewals,
    private readonly changes: Changes,
  ) {}

  set(
    operator: Operator,
    { change, doorway, expects, wait }: Schemas['DoorwaySetAsk'],
  ): Promise<Outcome<Changed>> {
    const act = setAct({ doorway, expects });
    if (act.isLeft()) return Promise.resolve(act);
    return this.changes.submit(operator, change, act.unsafeCoerce(), wait);
  }

  remove(
    operator: Operator,
    { change, name, expects, wait }: Schemas['DoorwayRemoveAsk'],
  ): Promise<Outcome<Changed>> {
    return this.changes.submit(operator, change, { kind: 'remove', name, expects }, wait);
  }

  /** Many doorways in one change: removals first, then what is set; all of it or nothing. */
  apply(
    operator: Operator,
    { change, sets, removes, wait }: Schemas['DoorwayApplyAsk'],
  ): Promise<Outcome<Changed>> {
    const items: DoorwayAct[] = removes.map(({ name, expects }) => ({
      kind: 'remove',
      name,
      expects,
    }));
    for (const [at, set] of sets.entries()) {
      const act = setAct(set).mapLeft((fault) => ({
        ...fault,
        reason: `sets[${at}]: ${fault.reason}`,
      }));
      if (act.isLeft()) return Promise.resolve(act);
      items.push(act.unsafeCoerce());
    }
    if (items.length === 0)
      return Promise.resolve(
        failed('doorway.apply', 'operator', 'nothing is to be set or removed'),
      );
    return this.changes.submit(operator, change, { kind: 'apply', items }, wait);
  }

  /** Claims a name or renews the claim; a lapsed claim may be taken over. */
  claim(
    operator: Operator,
    { change, name, duration, expects, wait }: Schemas['DoorwayClaimAsk'],
  ): Promise<Outcome<Changed>> {
    const held = this.inForce.whole?.claims.get(name);
    const takeover =
      held !== undefined && held.renewal === expects && this.renewals.hasLapsed(name, held);
    return this.changes.submit(
      operator,
      change,
      { kind: 'claim', name, duration, expects, takeover },
      wait,
    );
  }

  get(name: string): Outcome<Schemas['PlacedDoorway']> {
    const placed = this.inForce.current.named(name);
    if (!placed) return failed('doorway.get', this.node, `there is no doorway ${name}`);
    return Right({ doorway: placed.doorway, revision: placed.revision });
  }

  list(): Outcome<Schemas['DoorwayListReply']> {
    const document = this.inForce.whole;
    if (!document) return failed('doorway.list', this.node, 'no revision is in force here yet');
    return Right({
      revision: document.revision,
      doorways: [...document.doorways.values()] as Schemas['PlacedDoorway'][],
      removed: [...document.removed].map(([name, revision]) => ({ name, revision })),
      claims: [...document.claims].map(([name, claim]) => ({ name, ...claim })),
    });
  }
}

const setAct = ({
  doorway,
  expects,
}: Schemas['DoorwayApplyAsk']['sets'][number]): Outcome<DoorwayAct> =>
  checkDoorway(doorway).map((checked) => ({ kind: 'set', doorway: checked, expects }));
