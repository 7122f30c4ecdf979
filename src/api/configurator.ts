/**
 * The calls on the configuration of routes, the same on every node. What is wrong in itself is refused here without a
 * round of the register; everything else is judged there, against the value in place. A call that can't be committed within
 * its time is "unknown". A read looks at a majority of the core first, and then takes the revision it was shown, so it
 * is never older than what was accepted anywhere before it.
 */
import { Right } from 'purify-ts';
import type { InForce } from '../doorway/match.js';
import { within, type Clock } from '../kernel/clock/clock.js';
import { failed, type Fault, type Outcome } from '../kernel/fault/fault.js';
import type { Acceptance } from '../lease/acceptance.js';
import { Feed } from '../register/calls.js';
import type { Verdict } from '../register/change.js';
import { decodeDocument, type ConfigureAct, type Document } from '../register/document.js';
import { digestOf } from '../register/hash.js';
import { patienceOf } from '../register/contact.js';
import { gather, sound } from '../register/gather.js';
import type { Proposer } from '../register/proposer.js';
import type { RegisterInvariants } from '../register/register-invariants.js';
import type { VoterDirectory } from '../register/voter-directory.js';
import { readConfiguration, readPatch } from '../route/check.js';
import type { Configuration } from '../route/shape.js';
import type { Peers } from '../wire/peers.js';
import type { ConfigurationCalls, ConfigureReply } from './configuration.js';

const PEER_TIMEOUT_MS = 1000;
const RETRY_PAUSE_MS = 50;

/** Puts, patches and reads the configuration of routes by way of the register. */
export class Configurator implements ConfigurationCalls {
  constructor(
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly proposer: Proposer,
    private readonly acceptance: Acceptance,
    private readonly inForce: InForce,
    private readonly clock: Clock,
    private readonly invariants: RegisterInvariants,
  ) {}

  replace(configuration: unknown, expects: number, wait: number): Promise<ConfigureReply> {
    return readConfiguration(configuration).caseOf({
      Left: (fault) => Promise.resolve(this.refused(fault, expects)),
      Right: ({ value, text }) =>
        this.configure(
          {
            kind: 'configure',
            version: value.version,
            expects,
            digest: requestDigest('whole', expects, text),
            whole: value,
          },
          wait,
        ),
    });
  }

  patch(patch: unknown, expects: number, wait: number): Promise<ConfigureReply> {
    return readPatch(patch).caseOf({
      Left: (fault) => Promise.resolve(this.refused(fault, expects)),
      Right: ({ value, text }) =>
        this.configure(
          {
            kind: 'configure',
            version: value.version,
            expects,
            digest: requestDigest('patch', expects, text),
            patch: value,
          },
          wait,
        ),
    });
  }

  async read(wait: number): Promise<Outcome<Configuration | undefined>> {
    const limit = this.clock.now() + wait;
    const { contact } = this.proposer;
    const looked = await contact.within(patienceOf(wait), this.proposer.look(wait));
    if (!looked)
      return failed(
        'configuration.read',
        'core',
        `no majority told its newest revision in time; silent: ${contact.silentVoters.join(' ')}`,
      );
    if (looked.isLeft()) return looked;
    const revision = looked.unsafeCoerce();
    for (;;) {
      const left = Math.max(0, limit - this.clock.now());
      const document = await within(this.clock, left, this.fetch(revision));
      if (document) return Right(document.configuration);
      if (this.clock.now() + RETRY_PAUSE_MS >= limit)
        return failed(
          'configuration.read',
          'core',
          `no member gave revision ${revision} within ${wait} ms`,
        );
      await this.clock.sleep(RETRY_PAUSE_MS);
    }
  }

  private async fetch(revision: number): Promise<Document | undefined> {
    if (this.inForce.whole && this.inForce.revision >= revision) return this.inForce.whole;
    const fresh = (reply: { items: { document: Uint8Array }[] }): Document | undefined => {
      const [item] = reply.items;
      const document = item && decodeDocument(item.document, 'core').toMaybe().extract();
      return document && document.revision >= revision ? document : undefined;
    };
    const replies = await gather(
      this.voterDirectory.addresses,
      (address) => this.peers.ask(address, Feed, { from: 0, wait: 0 }, PEER_TIMEOUT_MS),
      (all) => sound(all).some((reply) => fresh(reply) !== undefined),
    );
    return sound(replies).flatMap((reply) => fresh(reply) ?? [])[0];
  }

  private get version(): number {
    return this.inForce.routes.version;
  }

  /** What is wrong in itself can never be in force, whatever is in place. */
  private refused({ reason }: Fault, expects: number): ConfigureReply {
    if (expects !== this.version && this.inForce.revision > 0)
      return {
        outcome: 'conflict',
        version: this.version,
        reason: `version ${this.version} is in place, not ${expects}; and it is invalid: ${reason}`,
      };
    return { outcome: 'invalid', version: this.version, reason };
  }

  private async configure(act: ConfigureAct, wait: number): Promise<ConfigureReply> {
    const limit = this.clock.now() + wait;
    const change = {
      id: `version-${act.version}-${act.digest}`,
      firm: '',
      who: this.peers.self.name,
      act,
    };
    const told = await within(
      this.clock,
      wait,
      this.proposer.proposeWithin(change, patienceOf(wait)),
    );
    const unsettled = (reason: string): ConfigureReply => ({
      outcome: 'unknown',
      version: this.version,
      reason,
    });
    if (!told) return unsettled(`not committed within ${wait} ms`);
    if (told.isLeft()) return unsettled(told.extract().reason);
    const verdict = told.extract() as Verdict;
    if (verdict.kind === 'indeterminate') return unsettled(verdict.reason);
    if (verdict.kind === 'lost')
      return {
        outcome: 'conflict',
        version: verdict.inPlace ?? this.version,
        reason: verdict.reason,
      };
    if (verdict.kind === 'declined')
      return { outcome: 'invalid', version: this.version, reason: verdict.reason };
    const application = await this.acceptance.of(verdict.revision, limit - this.clock.now());
    if (application.everywhere) {
      this.invariants.noteAcknowledged(verdict.revision, this.proposer.heldByMajority);
      return { outcome: 'accepted', version: act.version, reason: '' };
    }
    return {
      outcome: 'unknown',
      version: act.version,
      reason: `committed, but not yet known to be in force everywhere: ${application.reasons.join('; ') || application.silent.join(' ') || 'the limit came'}`,
    };
  }
}

const requestDigest = (kind: 'whole' | 'patch', expects: number, text: string): string =>
  digestOf(`${kind} ${expects} ${text}`).slice(0, 32);
