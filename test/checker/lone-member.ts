/** One member of a group of three with its disk, asked by hand; the others are never there. */
import type { Outcome } from '../../src/kernel/fault/fault.js';
import { silentLog } from '../../src/kernel/log/log.js';
import type { Ballot } from '../../src/register/ballot.js';
import {
  Accept,
  Form,
  Prepare,
  Committed,
  type AcceptReply,
  type PrepareReply,
} from '../../src/register/calls.js';
import {
  encodeDocument,
  genesis,
  voterSetDigest,
  type Document,
} from '../../src/register/document.js';
import { documentDigest } from '../../src/register/document-digest.js';
import { Member } from '../../src/register/member.js';
import { Store } from '../../src/register/store.js';
import { SimDisk } from '../../src/sim/disk.js';
import { Host } from '../../src/sim/host.js';
import { simBase, type SimBase } from '../../src/sim/nodes.js';
import { World } from '../../src/sim/world.js';
import { Peers } from '../../src/wire/peers.js';

const ADDRESS = '127.0.0.1:1';
export const ballotOf = (counter: number): Ballot => ({ counter, node: 'p', incarnation: 'i' });

export interface Revision {
  readonly document: Document;
  readonly bytes: Uint8Array;
}

export const revisionOf = (document: Document): Revision => ({
  document,
  bytes: encodeDocument(document),
});

/** A revision that follows another; the name makes it differ from others of its number. */
export const following = ({ document }: Revision, name: string, core = document.core): Revision =>
  revisionOf({
    ...document,
    revision: document.revision + 1,
    previous: documentDigest(document),
    core,
    claims: new Map([[name, { firm: 's', renewal: 1, duration: 1 }]]),
  });

/** A member of a group of three, alone on its host, with all that it is asked. */
export class LoneMember {
  readonly world: World;
  readonly disk: SimDisk;
  private readonly asker: SimBase;
  member!: Member;
  first!: Revision;
  private host: Host | undefined;

  constructor(seed: number) {
    this.world = new World(seed);
    this.disk = new SimDisk(this.world);
    const site = { fleet: 'f', seeds: [ADDRESS] };
    this.asker = simBase(this.world, 'p', '127.0.0.1:9', 'z', 'router', site);
  }

  /** Forms the group; a member that is gone before it answered is started again and asked again. */
  async form(): Promise<void> {
    await this.start();
    if (!(await this.formOnce())) {
      await this.start();
      await this.formOnce();
    }
  }

  private async formOnce(): Promise<boolean> {
    const ids = [this.member.id, 'second', 'third'];
    const voters = ids.map((id, at) => ({ id, address: `127.0.0.1:${at + 1}` }));
    this.first = revisionOf(genesis('f', voters));
    const form = { document: this.first.bytes };
    const formed = await this.ask(this.asker.peers.ask(ADDRESS, Form, form, 1000));
    return formed.isRight();
  }

  /** Starts the member, again if it ran before. */
  async start(): Promise<void> {
    this.kill();
    const host = new Host(this.world, 'core', ADDRESS);
    const self = { fleet: 'f', name: 'core', incarnation: host.random.identity() };
    const peers = new Peers(host.net, host.clock, silentLog, self);
    const store = new Store(this.disk.open(host), 'f');
    const member = new Member(
      store,
      peers,
      host.clock,
      host.random,
      silentLog,
      undefined,
      this.world.registerInvariants(silentLog),
    );
    this.world.members.watch({
      fleet: 'f',
      isAlive: () => !host.dead,
      progress: () => member.progress,
    });
    this.host = host;
    this.member = member;
    await this.ask(Promise.race([member.start(), this.pause(5000)]));
    await this.ask(Promise.race([peers.serve(ADDRESS), this.pause(100)]));
  }

  kill(): void {
    this.host?.kill();
  }

  pause(duration: number): Promise<void> {
    return new Promise((resolve) => this.world.at(duration, () => resolve()));
  }

  ask<T>(promise: Promise<T>): Promise<T> {
    return this.world.until(promise);
  }

  prepare(counter: number, core = this.first.document.core): Promise<Outcome<PrepareReply>> {
    const round = { set: core.number, voters: voterSetDigest(core), ballot: ballotOf(counter) };
    return this.ask(this.asker.peers.ask(ADDRESS, Prepare, { ...round, known: '' }, 1000));
  }

  accept(
    counter: number,
    { document, bytes }: Revision,
    core = this.first.document.core,
  ): Promise<Outcome<AcceptReply>> {
    const round = { set: core.number, voters: voterSetDigest(core), ballot: ballotOf(counter) };
    const digest = documentDigest(document);
    const ask = { ...round, document: bytes, base: '', digest };
    return this.ask(this.asker.peers.ask(ADDRESS, Accept, ask, 1000));
  }

  async commit({ document }: Revision): Promise<boolean> {
    const digest = documentDigest(document);
    const told = { revision: document.revision, ballot: ballotOf(1), digest };
    const reply = await this.ask(this.asker.peers.ask(ADDRESS, Committed, told, 1000));
    return reply.map(({ known }) => known).orDefault(false);
  }

  learn(counter: number, { document }: Revision): Promise<void> {
    const learned = [{ ballot: ballotOf(counter), document }];
    return this.ask(this.member.takeCommitted(learned, document.revision));
  }

  get held(): { counter: number; revision: number; promised: number } {
    const { accepted, revision, promised } = this.member.progress;
    return { counter: accepted.counter, revision, promised: promised.counter };
  }
}

export const isAccepted = (reply: Outcome<AcceptReply>): boolean =>
  reply.map(({ accepted }) => accepted).orDefault(false);

/** A member of a formed group; it is killed once, at the first step for which the question is answered with yes. */
export const formed = async (
  seed = 3,
  isKilledAt: (step: number) => boolean = () => false,
): Promise<LoneMember> => {
  const lone = new LoneMember(seed);
  lone.disk.powerCutAtStep = (step) => {
    if (isKilledAt(step)) lone.kill();
    return false;
  };
  await lone.form();
  lone.disk.powerCutAtStep = () => false;
  return lone;
};
