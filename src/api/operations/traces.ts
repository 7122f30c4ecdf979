/** The operators' call `change.trace`: the steps of one change through all nodes. */
import { Maybe, Right } from 'purify-ts';
import type { InForce } from '../../doorway/match.js';
import { failed, type Outcome } from '../../kernel/fault/fault.js';
import type { Document } from '../../register/document.js';
import type { Proposer } from '../../register/proposer.js';
import type { VoterDirectory } from '../../register/voter-directory.js';
import { Trace } from '../../trace/tracing.js';
import type { View } from '../../view/view.js';
import type { Peers } from '../../wire/peers.js';
import type { Schemas } from '../schema.js';
import { askAll } from './peer-calls.js';
import type { RevisionOperations } from './revisions.js';

type Reply = Schemas['TraceReply'];

interface TracedNode {
  readonly name: string;
  readonly role: string;
}

const READ_TIMEOUT_MS = 3000;

/** Collects the steps of a change from all nodes that can be thought of. */
export class TraceOperations {
  constructor(
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly proposer: Proposer,
    private readonly inForce: InForce,
    private readonly view: View,
    private readonly revisions: RevisionOperations,
  ) {}

  /** The steps of the revision asked for, or of the one that holds the change asked for. */
  async trace({ change, revision }: Schemas['TraceAsk']): Promise<Outcome<Reply>> {
    const read = await this.proposer.read(READ_TIMEOUT_MS);
    const known = read.toMaybe().alt(Maybe.fromNullable(this.inForce.whole)).extract();
    const wanted =
      revision ?? (change === undefined ? undefined : known?.outcomes.get(change)?.revision);
    if (wanted === undefined)
      return failed(
        'change.trace',
        this.peers.self.name,
        change === undefined
          ? 'name a change or a revision'
          : `${change} is not among the changes that are kept`,
      );
    return Right(await this.collect(wanted, this.nodesByAddress(known)));
  }

  private async collect(revision: number, nodes: ReadonlyMap<string, TracedNode>): Promise<Reply> {
    const replies = await askAll(this.peers, [...nodes.keys()], Trace, { revision });
    const changes = await this.revisions.changeIds(revision);
    const traced: Reply['nodes'] = [];
    const silent: string[] = [];
    for (const [address, reply] of replies) {
      const { name, role } = nodes.get(address) ?? { name: address, role: '' };
      reply.caseOf({
        Left: () => silent.push(name),
        Right: ({ node, steps }) => traced.push({ name: node, role, steps }),
      });
    }
    traced.sort((a, b) => (a.name < b.name ? -1 : 1));
    return { revision, changes, nodes: traced, silent };
  }

  /** The nodes that are voters of the core, registered, or heard of. */
  private nodesByAddress(known: Document | undefined): ReadonlyMap<string, TracedNode> {
    const nodes = new Map<string, TracedNode>();
    for (const { address } of this.voterDirectory.core.members)
      nodes.set(address, { name: address, role: 'core' });
    for (const [name, { address }] of known?.registered ?? [])
      nodes.set(address, { name, role: 'router' });
    for (const role of ['core', 'router'])
      for (const { name, address } of this.view.live(role)) nodes.set(address, { name, role });
    return nodes;
  }
}
