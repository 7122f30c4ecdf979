/**
 * The acceptor of the first revision. Its whole state is one file, written and synced before each reply. One call at a
 * time touches it, and a call waits for its write to end however long that takes, so that writes never change their order.
 */
import { Right } from 'purify-ts';
import type { Disk } from '../../kernel/disk/disk.js';
import { failed, type Outcome } from '../../kernel/fault/fault.js';
import { compareBallots, FIRST, type Ballot } from '../ballot.js';
import { seal, unseal } from '../store.js';
import type {
  AcceptorRole,
  BootstrapAcceptAsk,
  BootstrapAcceptReply,
  BootstrapPrepareAsk,
  BootstrapPrepareReply,
} from './calls.js';

const FILE = 'bootstrap';
/** The member's own identity; a disk that holds it is not new. */
const IDENTITY_FILE = 'member';

interface AcceptorState {
  readonly role: AcceptorRole;
  readonly seeds: readonly string[];
  readonly promised: Ballot;
  readonly accepted: Ballot;
  readonly document: Uint8Array;
}

const BLANK: AcceptorState = {
  role: 'none',
  seeds: [],
  promised: FIRST,
  accepted: FIRST,
  document: Buffer.alloc(0),
};

/** What the acceptor must know of the member that shares its disk. */
export interface MemberView {
  readonly id: string;
  /** Whether a revision is held, so that a group exists. */
  readonly formed: boolean;
  /** Whether the disk works and nothing voted may be lost. */
  readonly healthy: boolean;
}

const sameSeeds = (one: readonly string[], other: readonly string[]): boolean =>
  one.length === other.length && one.every((seed, at) => seed === other[at]);

export class BootstrapAcceptor {
  private state = BLANK;
  private turn: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly disk: Disk,
    private readonly fleet: string,
    private readonly member: () => MemberView,
  ) {}

  get role(): AcceptorRole {
    return this.state.role;
  }

  /** The seeds this acceptor is bound to, in order of address; none while its role is `none`. */
  get seeds(): readonly string[] {
    return this.state.seeds;
  }

  get promised(): Ballot {
    return this.state.promised;
  }

  /** Reads what the disk holds. */
  async load(): Promise<Outcome<void>> {
    const read = await this.disk.read(FILE);
    return read.map((bytes) => {
      if (bytes) this.state = this.parse(bytes);
    });
  }

  /**
   * Binds a new disk to the seeds of the first start, before this process answers anything. Only a disk that holds nothing
   * is bound: it has never voted, so all that it will ever have voted is on it.
   */
  async markFirstStart(seeds: readonly string[]): Promise<Outcome<void>> {
    if (this.state.role !== 'none') return Right(undefined);
    const identity = await this.disk.read(IDENTITY_FILE);
    if (identity.isLeft()) return identity as Outcome<never>;
    if (identity.extract() !== undefined) return Right(undefined);
    return this.keep({ ...BLANK, role: 'voter', seeds });
  }

  /** Promises to take no part in lower ballots. */
  prepare(ask: BootstrapPrepareAsk): Promise<Outcome<BootstrapPrepareReply>> {
    return this.alone(async () => {
      const refused = this.refusal('bootstrap.prepare', ask);
      if (refused) return refused;
      const { state } = this;
      if (state.role !== 'voter' && !ask.unanimous)
        return failed('bootstrap.prepare', ask.acceptor, `${state.role} votes in no such round`);
      if (compareBallots(ask.ballot, state.promised) <= 0)
        return Right({
          promised: false,
          highest: state.promised,
          accepted: FIRST,
          document: Buffer.alloc(0),
        });
      const role = state.role === 'voter' ? 'voter' : 'candidate';
      const kept = await this.keep({ ...state, role, seeds: ask.seeds, promised: ask.ballot });
      return kept.map(() => ({
        promised: true,
        highest: ask.ballot,
        accepted: state.accepted,
        document: state.document,
      }));
    });
  }

  /** Accepts a first revision; a candidate only in the very round in which it promised. */
  accept(ask: BootstrapAcceptAsk): Promise<Outcome<BootstrapAcceptReply>> {
    return this.alone(async () => {
      const refused = this.refusal('bootstrap.accept', ask);
      if (refused) return refused;
      const { role, promised, seeds } = this.state;
      const order = compareBallots(ask.ballot, promised);
      if (role === 'none' || (role === 'candidate' && order !== 0))
        return failed('bootstrap.accept', ask.acceptor, `${role} made no promise in that round`);
      if (order < 0) return Right({ accepted: false, highest: promised });
      const { ballot, document } = ask;
      const kept = await this.keep({
        role: 'voter',
        seeds,
        promised: ballot,
        accepted: ballot,
        document,
      });
      return kept.map(() => ({ accepted: true, highest: ballot }));
    });
  }

  private refusal(
    step: string,
    { acceptor, seeds }: { acceptor: string; seeds: readonly string[] },
  ): Outcome<never> | undefined {
    const { id, formed, healthy } = this.member();
    if (acceptor !== id) return failed(step, acceptor, `the disk here is that of ${id}`);
    if (formed) return failed(step, id, 'a group is formed');
    if (!healthy || this.state.role === 'disqualified') return failed(step, id, 'may not vote');
    if (this.state.role !== 'none' && !sameSeeds(seeds, this.state.seeds))
      return failed(step, id, `bound to the seeds ${this.state.seeds.join(' ')}`);
    return undefined;
  }

  private parse(bytes: Uint8Array): AcceptorState {
    const opened = unseal(FILE, bytes).toMaybe().extract();
    if (!opened || opened.head.get('fleet') !== this.fleet)
      return { ...BLANK, role: 'disqualified' };
    const { head, body } = opened;
    return {
      role: head.get('role') as AcceptorRole,
      seeds: head.get('seeds') as string[],
      promised: head.get('promised') as Ballot,
      accepted: head.get('accepted') as Ballot,
      document: body,
    };
  }

  private async keep(state: AcceptorState): Promise<Outcome<void>> {
    const head = new Map<string, unknown>([
      ['fleet', this.fleet],
      ['role', state.role],
      ['seeds', state.seeds],
      ['promised', state.promised],
      ['accepted', state.accepted],
    ]);
    const written = await this.disk.write(FILE, seal(head, state.document));
    written.ifRight(() => (this.state = state));
    return written;
  }

  private alone<T>(act: () => Promise<T>): Promise<T> {
    const next = this.turn.then(act);
    this.turn = next.catch(() => undefined);
    return next;
  }
}
