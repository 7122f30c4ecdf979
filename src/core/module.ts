/** The services of a core node: the member with its disk, the leases it grants, and the tasks that keep it up to date. */
import { Inject, Injectable, Module, type DynamicModule } from '@nestjs/common';
import { Right } from 'purify-ts';
import { Keeper } from '../claim/keeper.js';
import { Operations } from '../api/operations.js';
import { extended, type Extension } from '../node/extension.js';
import type { InForce } from '../doorway/match.js';
import type { Clock } from '../kernel/clock/clock.js';
import { FolderDisk, type Disk } from '../kernel/disk/disk.js';
import type { Outcome } from '../kernel/fault/fault.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import { Grants } from '../lease/grants.js';
import { NodeWork } from '../monitor/node-work.js';
import { advertisedAddress, type Params } from '../params/shape.js';
import { BootstrapAcceptor } from '../register/bootstrap/acceptor.js';
import { Bootstrap, viewOf } from '../register/bootstrap/bootstrap.js';
import type { FeedStatus } from '../register/feed-status.js';
import { Follower } from '../register/follower.js';
import { Member } from '../register/member.js';
import type { Proposer } from '../register/proposer.js';
import { keepRecovering } from '../register/recovery.js';
import { RegisterInvariants } from '../register/register-invariants.js';
import { Repair } from '../register/repair.js';
import type { VoterDirectory } from '../register/voter-directory.js';
import { VoterReplacement } from '../register/replacement.js';
import { Store } from '../register/store.js';
import type { View } from '../view/view.js';
import type { Peers } from '../wire/peers.js';
import { names } from '../node/names.js';
import { controlProviders } from '../node/control.js';
import { nodeProviders } from '../node/module.js';

const COMMIT_EVERY = 250;

@Injectable()
export class CoreNode {
  private grants: Grants | undefined;
  /** How current this node is; there once it has started. */
  feed: FeedStatus | undefined;
  /** Watches the voters; there once the node has started. */
  replacement: VoterReplacement | undefined;

  constructor(
    @Inject(names.params) private readonly params: Params,
    @Inject(names.peers) private readonly peers: Peers,
    @Inject(names.disk) private readonly disk: Disk,
    @Inject(names.member) private readonly member: Member,
    @Inject(names.keeper) private readonly keeper: Keeper,
    @Inject(names.voterDirectory) private readonly voterDirectory: VoterDirectory,
    @Inject(names.proposer) private readonly proposer: Proposer,
    @Inject(names.inForce) private readonly inForce: InForce,
    @Inject(names.view) private readonly view: View,
    @Inject(names.operations) private readonly operations: Operations,
    @Inject(names.clock) private readonly clock: Clock,
    @Inject(names.random) private readonly random: Random,
    @Inject(names.log) private readonly log: Log,
    @Inject(names.stop) private readonly stop: AbortController,
    @Inject(names.registerInvariants) private readonly invariants: RegisterInvariants,
    @Inject(names.nodeWork) private readonly work: NodeWork,
  ) {}

  async start(): Promise<Outcome<unknown>> {
    const bootstrap = this.createBootstrap();
    const opened = await bootstrap.open();
    if (opened.isLeft()) return opened;
    const started = await this.member.start();
    if (started.isLeft()) return started;
    bootstrap.serve();
    const { enabled } = this.params.claims;
    const kept = enabled ? await this.keeper.start() : Right(undefined);
    if (kept.isLeft()) return kept;
    this.grants = new Grants(this.member, this.peers, this.clock, this.params.lease);
    this.grants.serve();
    this.view.serve();
    this.proposer.startFrom(() => this.member.chain.document);
    const replacement = new VoterReplacement(
      this.member,
      advertisedAddress(this.params),
      this.params.core.replaceAfter,
      this.params.core.tolerates,
      this.peers,
      this.voterDirectory,
      this.proposer,
      this.clock,
      this.random,
      this.log,
    );
    replacement.serve();
    this.replacement = replacement;
    const served = await this.peers.serve(this.params.listen.peers);
    if (served.isLeft()) return served;
    if (this.member.newest) this.voterDirectory.learn(this.member.newest.core);
    const follower = new Follower(
      this.peers,
      this.voterDirectory,
      this.proposer,
      this.clock,
      this.random,
      this.log,
      (revisions, committed) => this.member.takeCommitted(revisions, committed),
      advertisedAddress(this.params),
      undefined,
      this.params.feed.wait,
      () => this.member.chain.document,
      () => Promise.resolve(this.member.leastCommitted),
    );
    void this.view.run(this.stop.signal);
    this.feed = follower.status;
    void follower.run(this.stop.signal);
    const repair = new Repair(
      this.member,
      this.peers,
      this.voterDirectory,
      this.clock,
      this.random,
      this.log,
      advertisedAddress(this.params),
      this.params.core.keep + this.params.core.keepBytes > 0,
    );
    void repair.run(this.stop.signal);
    void replacement.run(this.stop.signal);
    void keepRecovering(this.member, this.clock, this.stop.signal);
    if (enabled) void this.keeper.run(this.stop.signal);
    void this.commit();
    void this.enforce();
    if (this.params.form || this.params.firstStart !== 'unknown')
      void bootstrap.run(this.stop.signal);
    return served;
  }

  /** A planned stop: a learner that is there takes over before this voter goes. */
  async leave(limit: number): Promise<void> {
    await this.replacement?.leave(limit);
  }

  ready(): string {
    const { voting, reason } = this.member.state();
    if (!voting) return reason || 'newcomer';
    const { contact } = this.proposer;
    return contact.holds
      ? ''
      : `no contact with a majority of the core; silent: ${contact.silentVoters.join(' ')}`;
  }

  /** Commits what a proposer left undecided here, so that an accepted revision doesn't hang. */
  private async commit(): Promise<void> {
    let before = 0;
    while (!this.stop.signal.aborted) {
      const { revision, committed, voting } = this.member.state();
      if (voting && revision > committed && revision === before) await this.proposer.read(1000);
      before = revision;
      await this.clock.sleep(COMMIT_EVERY * (1 + this.random.fraction()), this.stop.signal);
    }
  }

  /** Keeps the newest committed revision in force here too, for the operators' questions. */
  private async enforce(): Promise<void> {
    while (!this.stop.signal.aborted) {
      const newest = this.member.chain.document;
      const begun = this.clock.now();
      if (newest && this.inForce.swap(newest)) {
        this.invariants.noteInForce(this.inForce.revision);
        this.voterDirectory.learn(newest.core);
        this.operations.noteClaims(newest);
        this.log('in-force', [['revision', newest.revision]]);
        this.work.add('put-in-force', this.clock.now() - begun);
      }
      await this.member.chain.beyond(this.inForce.revision, 500);
    }
  }

  private createBootstrap(): Bootstrap {
    const { params, member, peers } = this;
    const acceptor = new BootstrapAcceptor(this.disk, params.fleet, () => viewOf(member));
    return new Bootstrap(
      {
        address: advertisedAddress(params),
        seeds: params.seeds,
        wanted: params.core.wanted,
        tolerated: params.core.tolerates,
        layout: params.layout,
        fixedSeeds: params.form,
        firstStart: params.firstStart === 'yes',
      },
      acceptor,
      member,
      peers,
      this.voterDirectory,
      this.proposer,
      this.clock,
      this.random,
      this.log,
    );
  }
}

@Module({})
export class CoreModule {
  static with(params: Params, { services }: Extension): DynamicModule {
    return {
      module: CoreModule,
      providers: extended(
        [
          ...nodeProviders(params, 'core'),
          ...controlProviders(params),
          { provide: names.disk, useFactory: () => new FolderDisk(params.folder) },
          {
            provide: names.member,
            inject: [
              names.disk,
              names.peers,
              names.clock,
              names.random,
              names.log,
              names.registerInvariants,
            ],
            useFactory: (
              disk: Disk,
              peers: Peers,
              clock: Clock,
              random: Random,
              log: Log,
              invariants: RegisterInvariants,
            ) =>
              new Member(
                new Store(disk, params.fleet, {
                  revisions: params.core.keep,
                  bytes: params.core.keepBytes,
                }),
                peers,
                clock,
                random,
                log,
                params.core.stall,
                invariants,
                { zone: params.zone, region: params.region },
              ),
          },
          {
            provide: names.keeper,
            inject: [names.disk, names.member, names.peers, names.clock, names.log],
            useFactory: (disk: Disk, member: Member, peers: Peers, clock: Clock, log: Log) =>
              new Keeper(disk, params.fleet, member, peers, clock, log),
          },
          CoreNode,
        ],
        services,
      ),
    };
  }
}
