/**
 * The holder's part of claims: which claims this router may grant, under which registration. A holder whose duties changed
 * first gathers what the others hold. One that lost its memory also reads back from a majority of the core; for claims
 * that never came there it must hear all other routers, or wait a window out since it started: what it forgot was
 * claimed before that.
 */
import type { InForce } from '../doorway/match.js';
import { holders } from '../duty/rendezvous.js';
import { later, type Clock, type Moment } from '../kernel/clock/clock.js';
import type { Log } from '../kernel/log/log.js';
import type { Registered } from '../register/document.js';
import { majority } from '../register/gather.js';
import type { VoterDirectory } from '../register/voter-directory.js';
import type { Peers } from '../wire/peers.js';
import {
  Gather,
  HOLDERS,
  type GatherAsk,
  type GatherReply,
  type TakeAsk,
  type TakeReply,
} from './calls.js';
import type { HeldClaims } from './held.js';
import { recallFrom } from './recall.js';

const GATHER_LIMIT = 500;
const WINDOW = 6000;

/** Grants claims on the ids that fall to this router. */
export class ClaimHolder {
  private epoch = 0;
  private epochBegan: Moment;
  private readonly started: Moment;
  private before: { registeredAt: number; names: readonly string[] } = {
    registeredAt: 0,
    names: [],
  };
  private openFor = -1;
  private names: readonly string[] = [];
  /** Who has told all since this registration came into force; what they grant later is known to two holders without this one. */
  private readonly told = new Set<string>();
  private recalled = false;

  constructor(
    private readonly node: string,
    private readonly held: HeldClaims,
    private readonly inForce: InForce,
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.started = this.epochBegan = clock.now();
  }

  /** Whether this router may grant claims on all ids of its duty. */
  get open(): boolean {
    return this.epoch > 0 && this.openFor === this.epoch;
  }

  /** The revision of the registration by which duties are cut now; 0 before the first. */
  get registeredAt(): number {
    return this.epoch;
  }

  /** The registered routers, by name. */
  get registered(): ReadonlyMap<string, Registered> {
    return this.inForce.whole?.registered ?? new Map<string, Registered>();
  }

  /** The routers that hold the claims on an id. */
  duty(key: string): string[] {
    return holders(key, [...this.registered.keys()]).slice(0, HOLDERS);
  }

  /** Notes a new registration as soon as it is in force. */
  followRegistration(): void {
    const document = this.inForce.whole;
    if (!document || document.registeredAt <= this.epoch) return;
    this.before = { registeredAt: this.epoch, names: this.names };
    this.names = [...document.registered.keys()];
    this.epoch = document.registeredAt;
    this.epochBegan = this.clock.now();
    this.told.clear();
    this.recalled = false;
  }

  /** Grants a claim, or says why not and whose it is. */
  grant({ key, owner, registeredAt }: TakeAsk): TakeReply {
    this.followRegistration();
    const { memory } = this.held;
    const known = memory.owner(key);
    if (known !== undefined) return known === owner ? granted(owner) : declined('taken', known);
    if (registeredAt !== this.epoch) return declined('another registration is in force here');
    if (!this.duty(key).includes(this.node)) return declined('not a holder');
    if (this.openFor !== this.epoch && !this.heldBefore(key))
      return declined('still gathering what others hold');
    return memory.note(key, owner) ? granted(owner) : declined('too many ids are remembered');
  }

  /** Whether this router was open under the registration before, and a holder of the id there. */
  private heldBefore(key: string): boolean {
    return (
      this.openFor === this.before.registeredAt &&
      this.openFor > 0 &&
      holders(key, this.before.names).slice(0, HOLDERS).includes(this.node)
    );
  }

  /** Tells another router the claims of its duties that are held here. */
  page({ node, registeredAt, after }: GatherAsk): GatherReply {
    this.followRegistration();
    const { memory, unkept } = this.held;
    const page = memory.page(
      after,
      (key) => unkept.has(key) || this.duty(key).includes(node),
      (key) => !unkept.has(key),
    );
    return {
      open: this.openFor >= this.before.registeredAt && this.openFor >= 0,
      registeredAt: this.epoch,
      ...page,
      more: page.more && registeredAt === this.epoch,
    };
  }

  /** Asks what is held of this one's duties; opens when enough have told. */
  async collect(): Promise<void> {
    const epoch = this.epoch;
    const { registered } = this;
    if (!registered.has(this.node)) return;
    const remembers = this.openFor > 0;
    const others = [...registered].filter(([name]) => name !== this.node && !this.told.has(name));
    if (!remembers && !this.recalled) this.recalled = await this.recall();
    await Promise.all(
      others.map(async ([name, { address }]) => {
        if ((await this.collectFrom(address, epoch)) && this.epoch === epoch) this.told.add(name);
      }),
    );
    if (this.epoch !== epoch) return;
    const missing = registered.size - 1 - this.told.size;
    const waited = this.clock.now() >= later(remembers ? this.epochBegan : this.started, WINDOW);
    if (!(remembers || this.recalled) || (missing > (remembers ? 1 : 0) && !waited)) return;
    this.openFor = epoch;
    this.log('claims-open', [
      ['registeredAt', epoch],
      ['missing', missing],
      ['held', this.held.memory.size],
    ]);
  }

  /** Reads this one's duties back from a majority of the core. */
  private async recall(): Promise<boolean> {
    const { number, members } = this.voterDirectory.core;
    if (members.length === 0) return false;
    const told = (
      await Promise.all(
        members.map(({ address }) => recallFrom(this.peers, address, number, this.node)),
      )
    ).flatMap((each) => (each?.whole ? [each] : []));
    for (const claim of told.flatMap(({ claims }) => claims)) this.held.remember(claim);
    return told.length >= majority(members.length);
  }

  private async collectFrom(address: string, epoch: number): Promise<boolean> {
    for (let after = 0; ;) {
      const ask = { node: this.node, registeredAt: epoch, after };
      const reply = await this.peers.ask(address, Gather, ask, GATHER_LIMIT);
      const told = reply.toMaybe().extract();
      if (!told) return false;
      for (const claim of told.claims) this.held.remember(claim);
      if (!told.open || told.registeredAt !== epoch) return false;
      if (!told.more) return true;
      after = told.next;
    }
  }
}

const granted = (owner: string): TakeReply => ({ granted: true, owner, reason: '' });

const declined = (reason: string, owner = ''): TakeReply => ({ granted: false, owner, reason });
