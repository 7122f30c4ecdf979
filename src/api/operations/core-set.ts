/** The operators' calls on the core group: its voters, how it is formed, and how a voter comes and goes. */
import { failed, type Outcome } from '../../kernel/fault/fault.js';
import { Right } from 'purify-ts';
import { BootstrapBegin } from '../../register/bootstrap/calls.js';
import { State, type StateReply, type VoteState } from '../../register/calls.js';
import type { VoterSet } from '../../register/document.js';
import { majority, sound } from '../../register/gather.js';
import type { Proposer } from '../../register/proposer.js';
import type { VoterDirectory } from '../../register/voter-directory.js';
import type { Peers } from '../../wire/peers.js';
import type { Schemas } from '../schema.js';
import type { Changed, Changes, Operator } from './changes.js';
import { askStates, PEER_TIMEOUT_MS } from './peer-calls.js';

type Core = Schemas['CoreReply'];
type MemberState = Core['members'][number];

/** Forming takes a few rounds. */
const FORM_TIMEOUT_MS = 8000;
const READ_TIMEOUT_MS = 2000;

/** Shows, forms and changes the core group. */
export class CoreSetOperations {
  constructor(
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly proposer: Proposer,
    private readonly changes: Changes,
  ) {}

  /** The core's members and their state; while none is known, the contacts'. */
  async show(): Promise<Outcome<Core>> {
    await this.proposer.learnCore();
    const voters = this.voterDirectory.core;
    const addresses = voters.number
      ? voters.members.map(({ address }) => address)
      : this.voterDirectory.contacts;
    const replies = await askStates(this.peers, addresses);
    return Right({
      number: voters.number,
      members: replies.map(([address, reply]) => memberState(voters, address, reply)),
    });
  }

  /** Forms the core group, once, from members that all answer; one that was formed before must name this very group. */
  async form(addresses: readonly string[], wanted: number): Promise<Outcome<Core>> {
    const replies = await askStates(this.peers, addresses);
    const formed = replies.find(([, reply]) => reply.map((state) => state.formed).orDefault(false));
    if (formed) return this.formedBefore(addresses, formed[0], formed[1].unsafeCoerce());
    const [first] = addresses;
    if (first === undefined) return failed('core.form', 'operator', 'no member is named');
    const begun = await this.peers.ask(
      first,
      BootstrapBegin,
      { seeds: [...addresses], wanted },
      FORM_TIMEOUT_MS,
    );
    return begun.isLeft() ? begun : this.show();
  }

  private async formedBefore(
    addresses: readonly string[],
    by: string,
    { core, revision }: StateReply,
  ): Promise<Outcome<Core>> {
    const { members } = JSON.parse(core) as VoterSet;
    const there = new Set(members.map(({ address }) => address));
    if (revision > 1) return failed('core.form', by, 'is already part of a formed core');
    if (there.size !== addresses.length || addresses.some((address) => !there.has(address)))
      return failed('core.form', 'core', 'a group of other members was begun there');
    await this.proposer.read(READ_TIMEOUT_MS);
    return this.show();
  }

  /** Promotes a learner, which must answer, be able to vote, and hold the newest committed revision. */
  async addVoter(
    operator: Operator,
    { change, address, expects, wait }: Schemas['AddVoterAsk'],
  ): Promise<Outcome<Changed>> {
    const committed = await this.proposer.look(PEER_TIMEOUT_MS);
    if (committed.isLeft()) return committed;
    const state = await this.peers.ask(
      address,
      State,
      { from: this.peers.self.name },
      PEER_TIMEOUT_MS,
    );
    if (state.isLeft()) return state;
    const { member, vote, reason, revision, committed: held, zone, region } = state.unsafeCoerce();
    if (vote === 'recovering' || vote === 'disqualified')
      return failed('core.addVoter', address, `can not vote: ${reason}`);
    const newest = committed.unsafeCoerce();
    if (Math.min(revision, held) < newest)
      return failed(
        'core.addVoter',
        address,
        `holds revision ${Math.min(revision, held)}, and ${newest} is committed; try again once it has caught up`,
      );
    return this.changes.submit(
      operator,
      change,
      { kind: 'addVoter', voter: { id: member, address, zone, region }, expects },
      wait,
    );
  }

  /** Takes a vote away, unless too few of the voters left would answer to change anything again. */
  async removeVoter(
    operator: Operator,
    { change, id, expects, wait }: Schemas['RemoveVoterAsk'],
  ): Promise<Outcome<Changed>> {
    const rest = this.voterDirectory.core.members.filter((voter) => voter.id !== id);
    const replies = await askStates(
      this.peers,
      rest.map(({ address }) => address),
    );
    const answering = sound(replies).filter(
      ({ member, voting }) => voting && rest.some((voter) => voter.id === member),
    ).length;
    if (answering < majority(rest.length))
      return failed(
        'core.removeVoter',
        id,
        `only ${answering} of the ${rest.length} members that would be left answer and vote; without a majority of them nothing could be changed again`,
      );
    return this.changes.submit(
      operator,
      change,
      { kind: 'removeVoter', id, vacant: false, expects },
      wait,
    );
  }
}

const memberState = (
  voters: VoterSet,
  address: string,
  reply: Outcome<StateReply>,
): MemberState => {
  const id = voters.members.find((voter) => voter.address === address)?.id;
  return reply.caseOf<MemberState>({
    Left: ({ reason }) => ({
      address,
      id: id ?? '',
      state: `silent: ${reason}`,
      revision: 0,
      committed: 0,
      whole: '',
    }),
    Right: (state) => ({
      address,
      id: id ?? state.member,
      whole: state.whole,
      state: describeState(voters, state),
      revision: state.revision,
      committed: state.committed,
    }),
  });
};

const describeState = (
  { number, members }: VoterSet,
  { member, voting, formed, reason, vote }: StateReply,
): string => {
  if (number && !members.some((voter) => voter.id === member))
    return 'swapped: another machine answers here';
  if (voting) return 'voting';
  return formed ? `not voting: ${reason}${remedy(vote)}` : 'newcomer';
};

/** What an operator does by hand about a member that does not vote. */
const remedy = (vote: VoteState): string => {
  switch (vote) {
    case 'disqualified':
      return '; stop it, empty its folder, start it, and it is given its vote again';
    case 'recovering':
      return '; mend its disk or make room on it, and it votes again by itself';
    case 'voting':
    case 'non-voting':
      return '';
  }
};
