/** What the operator calls do, the same on every node: one object over the calls of each resource. */
import type { InForce } from '../doorway/match.js';
import type { Clock } from '../kernel/clock/clock.js';
import type { Outcome } from '../kernel/fault/fault.js';
import type { Acceptance } from '../lease/acceptance.js';
import type { Newsroom } from '../pool/news.js';
import type { Document } from '../register/document.js';
import type { Proposer } from '../register/proposer.js';
import type { RegisterInvariants } from '../register/register-invariants.js';
import type { VoterDirectory } from '../register/voter-directory.js';
import type { View } from '../view/view.js';
import type { Peers } from '../wire/peers.js';
import { Changes, type Changed, type Operator } from './operations/changes.js';
import { ClaimRenewals } from './operations/claim-renewals.js';
import { CoreSetOperations } from './operations/core-set.js';
import { DoorwayOperations } from './operations/doorways.js';
import { NodeOperations } from './operations/nodes.js';
import { RevisionOperations } from './operations/revisions.js';
import { TraceOperations } from './operations/traces.js';
import type { Schemas } from './schema.js';

export type { Operator };

/** The operator calls of a node. */
export class Operations {
  private readonly renewals: ClaimRenewals;
  private readonly changes: Changes;
  private readonly doorways: DoorwayOperations;
  private readonly revisions: RevisionOperations;
  private readonly traces: TraceOperations;
  private readonly nodeOperations: NodeOperations;
  private readonly coreSet: CoreSetOperations;

  constructor(
    peers: Peers,
    voterDirectory: VoterDirectory,
    proposer: Proposer,
    inForce: InForce,
    view: View,
    news: Newsroom | undefined,
    clock: Clock,
    acceptance: Acceptance,
    invariants: RegisterInvariants,
  ) {
    this.renewals = new ClaimRenewals(clock);
    this.changes = new Changes(proposer, acceptance, invariants, clock);
    this.doorways = new DoorwayOperations(peers.self.name, inForce, this.renewals, this.changes);
    this.revisions = new RevisionOperations(peers, voterDirectory, proposer);
    this.traces = new TraceOperations(
      peers,
      voterDirectory,
      proposer,
      inForce,
      view,
      this.revisions,
    );
    this.nodeOperations = new NodeOperations(
      peers,
      voterDirectory,
      proposer,
      view,
      news,
      clock,
      this.changes,
    );
    this.coreSet = new CoreSetOperations(peers, voterDirectory, proposer, this.changes);
  }

  /** Follows the claims in force, to know for how long each has gone without renewal. */
  noteClaims(document: Document): void {
    this.renewals.note(document);
  }

  setDoorway(operator: Operator, ask: Schemas['DoorwaySetAsk']): Promise<Outcome<Changed>> {
    return this.doorways.set(operator, ask);
  }

  removeDoorway(operator: Operator, ask: Schemas['DoorwayRemoveAsk']): Promise<Outcome<Changed>> {
    return this.doorways.remove(operator, ask);
  }

  applyDoorways(operator: Operator, ask: Schemas['DoorwayApplyAsk']): Promise<Outcome<Changed>> {
    return this.doorways.apply(operator, ask);
  }

  claimDoorway(operator: Operator, ask: Schemas['DoorwayClaimAsk']): Promise<Outcome<Changed>> {
    return this.doorways.claim(operator, ask);
  }

  get(name: string): Outcome<Schemas['PlacedDoorway']> {
    return this.doorways.get(name);
  }

  list(): Outcome<Schemas['DoorwayListReply']> {
    return this.doorways.list();
  }

  outcome(ask: Schemas['ChangeAsk']): Promise<Outcome<Changed>> {
    return this.changes.outcome(ask);
  }

  trace(ask: Schemas['TraceAsk']): Promise<Outcome<Schemas['TraceReply']>> {
    return this.traces.trace(ask);
  }

  at(revision: number): Promise<Outcome<Schemas['ConfigReply']>> {
    return this.revisions.at(revision);
  }

  history(ask: Schemas['HistoryAsk']): Promise<Outcome<Schemas['HistoryReply']>> {
    return this.revisions.history(ask);
  }

  nodes(): Promise<Outcome<Schemas['NodeListReply']>> {
    return this.nodeOperations.list();
  }

  engines(): Outcome<Schemas['EngineListReply']> {
    return this.nodeOperations.engines();
  }

  deregister(operator: Operator, ask: Schemas['DeregisterAsk']): Promise<Outcome<Changed>> {
    return this.nodeOperations.deregister(operator, ask);
  }

  core(): Promise<Outcome<Schemas['CoreReply']>> {
    return this.coreSet.show();
  }

  form(
    addresses: readonly string[],
    wanted = addresses.length,
  ): Promise<Outcome<Schemas['CoreReply']>> {
    return this.coreSet.form(addresses, wanted);
  }

  addVoter(operator: Operator, ask: Schemas['AddVoterAsk']): Promise<Outcome<Changed>> {
    return this.coreSet.addVoter(operator, ask);
  }

  removeVoter(operator: Operator, ask: Schemas['RemoveVoterAsk']): Promise<Outcome<Changed>> {
    return this.coreSet.removeVoter(operator, ask);
  }
}
