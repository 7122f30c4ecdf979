/**
 * A router registers itself once it has a lease, and on a planned stop takes itself out again, so that those that are
 * left remain a majority of the registered and its duties are handed over. Registrations go one at a time: each builds on
 * the last, and is proposed only once the last is in force everywhere, so that majorities before and after always meet.
 */
import type { InForce } from '../doorway/match.js';
import type { Clock } from '../kernel/clock/clock.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import type { Act, Registered } from '../register/document.js';
import type { Proposer } from '../register/proposer.js';
import type { VoterDirectory } from '../register/voter-directory.js';
import type { Peers } from '../wire/peers.js';
import { awaitApplication } from './application.js';
import type { RouterLease } from './router-lease.js';

const EVERY = 200;
const LIMIT = 6000;
/** How long the last registration is left alone, so that duties that moved with it are taken up. */
const CALM = 300;

export class Registration {
  private leaving = false;

  constructor(
    private readonly node: string,
    private readonly own: Registered,
    private readonly inForce: InForce,
    private readonly lease: RouterLease,
    private readonly proposer: Proposer,
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    let seen = { registeredAt: -1, since: this.clock.now() };
    while (!signal.aborted) {
      const document = this.inForce.whole;
      const there = document?.registered.get(this.node);
      if (document && document.registeredAt !== seen.registeredAt)
        seen = { registeredAt: document.registeredAt, since: this.clock.now() };
      const calm = this.clock.now() - seen.since >= CALM;
      if (
        document &&
        calm &&
        !this.leaving &&
        this.lease.holds() &&
        (there?.address !== this.own.address || there.law !== this.own.law)
      ) {
        const expects = document.registeredAt;
        await this.change(
          there
            ? { kind: 'deregister', name: this.node, expects }
            : { kind: 'registerRouter', name: this.node, registered: this.own, expects },
        );
      }
      await this.clock.sleep(EVERY * (0.25 + 1.5 * this.random.fraction()), signal);
    }
  }

  /** Takes this router out of the registration, as far as that can be done within a limit. */
  async leave(limit: number): Promise<void> {
    this.leaving = true;
    const end = this.clock.now() + limit;
    for (let left = limit; left > 0; left = end - this.clock.now()) {
      const document = this.inForce.whole;
      if (!document?.registered.has(this.node)) return;
      await this.change(
        { kind: 'deregister', name: this.node, expects: document.registeredAt },
        left,
      );
      await this.clock.sleep(20 + 60 * this.random.fraction());
    }
  }

  private async change(
    act: Extract<Act, { kind: 'registerRouter' | 'deregister' }>,
    limit = LIMIT,
  ): Promise<void> {
    const end = this.clock.now() + limit;
    if (
      act.expects > 0 &&
      !(await awaitApplication(act.expects, limit, this.peers, this.voterDirectory, this.clock))
        .everywhere
    )
      return;
    const told = await this.proposer.propose(
      { id: `register-${this.random.identity()}`, firm: '', who: this.node, act },
      Math.max(1, end - this.clock.now()),
    );
    const done = told.map(({ kind }) => kind === 'applied').orDefault(false);
    if (done) this.log('registration', [['act', act.kind]]);
  }
}
