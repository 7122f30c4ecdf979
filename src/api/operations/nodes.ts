/** The operators' calls on nodes and engines. */
import { Right } from 'purify-ts';
import type { Clock } from '../../kernel/clock/clock.js';
import { failed, type Outcome } from '../../kernel/fault/fault.js';
import { awaitApplication } from '../../lease/application.js';
import { LeaseHolders } from '../../lease/calls.js';
import type { Newsroom } from '../../pool/news.js';
import { sound } from '../../register/gather.js';
import type { Proposer } from '../../register/proposer.js';
import type { VoterDirectory } from '../../register/voter-directory.js';
import type { View } from '../../view/view.js';
import type { Peers } from '../../wire/peers.js';
import type { Schemas } from '../schema.js';
import type { Changed, Changes, Operator } from './changes.js';
import { askAll } from './peer-calls.js';

type Lease = Schemas['NodeListReply']['leases'][number];

/** The age told of a list of engines that was never taken. */
const LARGEST_AGE = 1e9;
const MIN_SUBMIT_MS = 100;

/** Shows nodes and engines, and deregisters routers. */
export class NodeOperations {
  constructor(
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly proposer: Proposer,
    private readonly view: View,
    private readonly news: Newsroom | undefined,
    private readonly clock: Clock,
    private readonly changes: Changes,
  ) {}

  /** The nodes heard of, and the leases that the core's members granted. */
  async list(): Promise<Outcome<Schemas['NodeListReply']>> {
    const known = ['router', 'core']
      .flatMap((role) => this.view.live(role))
      .map(({ name, role, zone, address, age }) => ({ name, role, zone, address, age }));
    const leases = await this.leases();
    return Right({ known, leases });
  }

  private async leases(): Promise<Lease[]> {
    const { addresses } = this.voterDirectory;
    const replies = await askAll(this.peers, addresses, LeaseHolders, {
      from: this.peers.self.name,
    });
    const leases = new Map<string, Lease>();
    for (const { leaseHolders } of sound(replies))
      for (const { node, revision, remaining } of leaseHolders) {
        const before = leases.get(node);
        leases.set(node, {
          name: node,
          revision: Math.max(revision, before?.revision ?? 0),
          remaining: Math.max(remaining, before?.remaining ?? 0),
          grants: (before?.grants ?? 0) + 1,
        });
      }
    return [...leases.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /** The engines as this node has them. */
  engines(): Outcome<Schemas['EngineListReply']> {
    if (!this.news)
      return failed(
        'engine.list',
        this.peers.self.name,
        'a core node keeps no engines; ask a router',
      );
    const engines = [...this.news.listed.values()].map(
      ({ identifier, address, model, zone, leaving }) => ({
        identifier,
        address,
        model,
        zone,
        leaving,
      }),
    );
    return Right({
      age: Math.min(this.news.age, LARGEST_AGE),
      placed: this.news.placed().size > 0,
      engines,
    });
  }

  /** Takes a router that is gone for good out of the registration, once the last registration is in force everywhere else. */
  async deregister(
    operator: Operator,
    { change, name, wait }: Schemas['DeregisterAsk'],
  ): Promise<Outcome<Changed>> {
    const limit = this.clock.now() + wait;
    const read = await this.proposer.read(wait);
    if (read.isLeft()) return read;
    const expects = read.unsafeCoerce().registeredAt;
    const application = await awaitApplication(
      expects,
      (limit - this.clock.now()) / 2,
      this.peers,
      this.voterDirectory,
      this.clock,
    );
    if (!application.everywhere)
      return failed(
        'node.deregister',
        application.silent.join(' '),
        `the last registration is not yet known to be in force everywhere: ${application.reasons.join('; ')}`,
      );
    return this.changes.submit(
      operator,
      change,
      { kind: 'deregister', name, expects },
      Math.max(MIN_SUBMIT_MS, limit - this.clock.now()),
    );
  }
}
