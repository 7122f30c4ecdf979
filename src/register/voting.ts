/**
 * The votes of a member: it promises and accepts, and answers only after what it answers is synced. It votes under a
 * voter set only as one of its voters, and never for a value that contradicts what it knows to be committed.
 */
import { Right } from 'purify-ts';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import type { Peers } from '../wire/peers.js';
import type { VoterSetId } from './acceptor.js';
import { ballotText, compareBallots } from './ballot.js';
import {
  Accept,
  Form,
  Prepare,
  type AcceptAsk,
  type AcceptReply,
  type PrepareAsk,
  type PrepareReply,
} from './calls.js';
import { applyDelta } from './delta.js';
import { decodeDocument, encodeDocument, type Document, type VoterSet } from './document.js';
import type { Digest } from './hash.js';
import { documentDigest } from './document-digest.js';
import type { Replica } from './replica.js';
import type { Filed } from './store.js';

/** The ballot of the first revision, below that of every proposer but for those of the very first rounds. */
const GENESIS = { counter: 1, node: 'genesis', incarnation: '' };

interface Mandate {
  readonly value: Filed;
  readonly voters: VoterSet;
}

/** A document that was sent whole, only with the digest that it must have. */
const readWhole = (text: Uint8Array, digest: Digest): Outcome<Document> =>
  decodeDocument(text, 'proposer').chain((document) =>
    documentDigest(document) === digest
      ? Right(document)
      : failed('member.accept', 'proposer', 'the value does not match its digest'),
  );

/** The value that a proposer asks to accept: sent whole, or as what changed from the revision held here. */
const proposedValue = (
  { ballot, document: bytes, base, digest }: AcceptAsk,
  held: Document,
): Outcome<Filed> =>
  base
    ? applyDelta(held, bytes, digest, 'proposer').map((document) => ({
        ballot,
        document,
        delta: { base, bytes },
      }))
    : readWhole(bytes, digest).map((document) => ({ ballot, document }));

/**
 * Answers proposers and the former of the group. A value that was never chosen may give way to its committed parent
 * under a higher ballot. The promise of that ballot is synced first: it shows at the next start that the file of the
 * parent, though it has the lower number, may be the newer vote.
 */
export class Voting {
  constructor(private readonly replica: Replica) {}

  serve(peers: Peers): void {
    const { replica } = this;
    peers.handle(Prepare, (ask) => replica.exclusive(() => this.prepare(ask)));
    peers.handle(Accept, (ask) => replica.exclusive(() => this.accept(ask)));
    peers.handle(Form, (ask) => replica.exclusive(() => this.form(ask.document)));
  }

  private mandate(step: string, round: VoterSetId): Outcome<Mandate> {
    const { acceptor, guard, id } = this.replica;
    const { accepted } = acceptor;
    if (guard.reason) return failed(step, id, `does not vote: ${guard.reason}`);
    if (!accepted) return failed(step, id, 'does not vote: not formed');
    if (!acceptor.hasVoter(id)) return failed(step, id, 'does not vote: not in the core set');
    const voters = acceptor.voterSet(id, round);
    return voters
      ? Right({ value: accepted, voters })
      : failed(step, id, `does not vote under that core set ${round.set}`);
  }

  private async prepare(ask: PrepareAsk): Promise<Outcome<PrepareReply>> {
    const { acceptor, chain, id, log } = this.replica;
    const mandate = this.mandate('member.prepare', ask);
    if (mandate.isLeft()) return mandate as Outcome<never>;
    const { value } = mandate.unsafeCoerce();
    const promised = compareBallots(ask.ballot, acceptor.promised) > 0;
    if (promised) {
      if (!(await this.replica.promise(ask.ballot)))
        return failed('member.prepare', id, 'could not keep a promise', 'unknown');
      log('promised', [['ballot', ballotText(ask.ballot)]]);
    }
    const digest = documentDigest(value.document);
    const isSent = promised && digest !== ask.known;
    return Right({
      promised,
      highest: acceptor.promised,
      accepted: value.ballot,
      committed: chain.committed,
      digest,
      document: isSent ? encodeDocument(value.document) : Buffer.alloc(0),
    });
  }

  private async accept(ask: AcceptAsk): Promise<Outcome<AcceptReply>> {
    const { acceptor } = this.replica;
    const mandate = this.mandate('member.accept', ask);
    if (mandate.isLeft()) return mandate as Outcome<never>;
    if (compareBallots(ask.ballot, acceptor.promised) < 0)
      return Right({ accepted: false, highest: acceptor.promised, lacksBase: false });
    const { value, voters } = mandate.unsafeCoerce();
    if (ask.base && ask.base !== documentDigest(value.document))
      return Right({ accepted: false, highest: acceptor.promised, lacksBase: true });
    const proposed = proposedValue(ask, value.document);
    if (proposed.isLeft()) return proposed as Outcome<never>;
    return this.vote({ ...proposed.unsafeCoerce(), under: voters });
  }

  private async vote(value: Filed): Promise<Outcome<AcceptReply>> {
    const { acceptor, chain, id, log } = this.replica;
    const { ballot, document } = value;
    const contradiction = acceptor.contradiction(value, chain);
    if (contradiction) {
      log('accept-refused', [
        ['ballot', ballotText(ballot)],
        ['reason', contradiction],
      ]);
      return failed('member.accept', id, contradiction);
    }
    const isStepBack = document.revision < acceptor.revision;
    if (isStepBack && !(await this.replica.promise(ballot)))
      return failed('member.accept', id, 'could not keep a promise', 'unknown');
    if (!(await this.replica.hold(value)))
      return failed('member.accept', id, 'could not keep a revision', 'unknown');
    log('accepted', [
      ['revision', document.revision],
      ['ballot', ballotText(ballot)],
    ]);
    return Right({ accepted: true, highest: ballot, lacksBase: false });
  }

  private async form(text: Uint8Array): Promise<Outcome<{ formed: boolean }>> {
    const { replica } = this;
    const { acceptor, guard, id } = replica;
    const decoded = decodeDocument(text, 'former');
    if (decoded.isLeft()) return decoded as Outcome<never>;
    const document = decoded.unsafeCoerce();
    if (guard.reason) return failed('member.form', id, guard.reason);
    if (acceptor.accepted) return Right({ formed: false });
    if (document.revision !== 1 || !document.core.members.some((member) => member.id === id))
      return failed('member.form', id, 'not named in that core set');
    if (!(await replica.hold({ ballot: GENESIS, document })))
      return failed('member.form', id, 'could not keep the first revision', 'unknown');
    replica.founder = true;
    replica.log('formed', [
      ['member', id],
      ['core', document.core.members.map(({ address }) => address).join(',')],
    ]);
    return Right({ formed: true });
  }
}
