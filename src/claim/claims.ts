/**
 * Claims on the ids of requests that may not be repeated, over the whole fleet. Two must agree before such a request is
 * sent. Uniqueness: the duty for an id is cut by rendezvous hashing over the registered routers; of its three holders two
 * must grant the claim, under the same registration. Durability: a majority of the core must have the claim on disk, where
 * the first owner of an id keeps it too, so that it outlasts every router. While the core is out of reach a claim rests
 * on memory alone, of a majority of all registered routers and of every other that answers, and is brought to the core
 * later.
 *
 * A holder whose duties changed first gathers what the others hold. One that lost its memory also reads back from a
 * majority of the core; for claims that never came there it must hear all other routers, or wait a window out
 * since it started: what it forgot was claimed before that.
 *
 * Where ids are never used twice by callers, claims can be switched off: every id is then taken at once.
 */
import { Right } from 'purify-ts';
import type { InForce } from '../doorway/match.js';
import { holders } from '../duty/rendezvous.js';
import { later, within, type Clock, type Moment } from '../kernel/clock/clock.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import type { Registered } from '../register/document.js';
import { gather, majority, sound } from '../register/gather.js';
import type { VoterDirectory } from '../register/voter-directory.js';
import type { Peers } from '../wire/peers.js';
import {
  Copy,
  Gather,
  HOLDERS,
  Keep,
  keyOf,
  Release,
  Take,
  type HeldClaim,
  type TakeAsk,
  type TakeReply,
} from './calls.js';
import { ClaimMemory } from './memory.js';
import { recallFrom } from './recall.js';

const ASK_LIMIT = 250;
const KEEP_LIMIT = 500;
/** After a failure to reach the core, claims don't wait for it for this long. */
const CORE_PAUSE = 1000;
const BOUND = 200_000;
const UNKEPT_BOUND = 20_000;
const UNKEPT_BATCH = 64;
const RETRY = 150;
const WINDOW = 6000;

/** What became of a claim: taken, known to be another's, or not to be had. */
export type Taken = 'taken' | 'known' | 'none';
type Kept = 'kept' | 'known' | 'unsure';

/** Takes claims on ids over the fleet, and holds those that fall to this router. */
export class Claims {
  private readonly memory: ClaimMemory;
  /** Claims that rest on memory alone, of this router's own requests and of others that were copied here. */
  private readonly unkept = new Map<string, string>();
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
  private coreFailed = -Infinity as Moment;

  constructor(
    private readonly node: string,
    private readonly inForce: InForce,
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
    private readonly enabled = true,
  ) {
    this.memory = new ClaimMemory(clock, BOUND);
    this.started = this.epochBegan = clock.now();
  }

  serve(): void {
    this.peers.handle(Take, (ask) => Right(this.grant(ask)));
    this.peers.handle(Release, ({ key, owner }) => {
      if (this.unkept.get(key) === owner) this.unkept.delete(key);
      return Right({ known: this.memory.release(key, owner) });
    });
    this.peers.handle(Copy, ({ key, owner }) => {
      this.remember({ key, owner, age: 0, kept: false });
      return Right({ owner: this.memory.owner(key) ?? '' });
    });
    this.peers.handle(Gather, ({ node, registeredAt, after }) => {
      this.turn();
      const page = this.memory.page(
        after,
        (key) => this.unkept.has(key) || this.duty(key).includes(node),
        (key) => !this.unkept.has(key),
      );
      return Right({
        open: this.openFor >= this.before.registeredAt && this.openFor >= 0,
        registeredAt: this.epoch,
        ...page,
        more: page.more && registeredAt === this.epoch,
      });
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.turn();
      if (this.epoch > 0 && !this.open) await this.collect();
      if (this.epoch > 0 && !this.open) await this.clock.sleep(RETRY, signal);
      if (this.unkept.size > 0 && !this.coreOut) await this.bringBack();
      await this.clock.sleep(60 + 60 * this.random.fraction(), signal);
    }
  }

  /** Takes the claim on an id for one request, or says that another has it, or that none is to be had now. */
  async take(firm: string, id: string, owner: string): Promise<Taken> {
    if (!this.enabled) return 'taken';
    const key = keyOf(firm, id);
    this.turn();
    const [held, kept] = await Promise.all([this.atHolders(key, owner), this.atCore(key, owner)]);
    if (held === 'taken' && kept === 'kept') return 'taken';
    const copied =
      held === 'taken' && kept === 'unsure' && this.unkept.size < UNKEPT_BOUND
        ? await this.copy(key, owner)
        : held;
    if (copied === 'taken' && kept === 'unsure') return 'taken';
    await this.release(firm, id, owner);
    return copied === 'known' || kept === 'known' ? 'known' : 'none';
  }

  /** Gives a claim back whose request certainly was not sent. */
  async release(firm: string, id: string, owner: string): Promise<void> {
    if (!this.enabled) return;
    const key = keyOf(firm, id);
    const { registered } = this;
    const keepers = this.unkept.delete(key) ? [...registered.keys()] : this.duty(key);
    const addresses = [
      ...keepers.flatMap((name) => registered.get(name)?.address ?? []),
      ...this.voterDirectory.addresses,
    ];
    await within(
      this.clock,
      ASK_LIMIT,
      Promise.all(
        addresses.map((address) => this.peers.ask(address, Release, { key, owner }, ASK_LIMIT)),
      ),
    );
  }

  /** Whether this router may grant claims on all ids of its duty. */
  get open(): boolean {
    return this.epoch > 0 && this.openFor === this.epoch;
  }

  get size(): number {
    return this.memory.size;
  }

  get unkeptSize(): number {
    return this.unkept.size;
  }

  private get registered(): ReadonlyMap<string, Registered> {
    return this.inForce.whole?.registered ?? new Map<string, Registered>();
  }

  private get coreOut(): boolean {
    return this.clock.now() < later(this.coreFailed, CORE_PAUSE);
  }

  private async atHolders(key: string, owner: string): Promise<Taken> {
    const { registered } = this;
    const names = this.duty(key);
    if (names.length === 0) return 'none';
    const quorum = majority(names.length);
    const addresses = names.flatMap((name) => registered.get(name)?.address ?? []);
    const granted = (replies: readonly TakeReply[]): number =>
      replies.filter((reply) => reply.granted).length;
    const replies = sound(
      await gather(
        addresses,
        (address) =>
          this.peers.ask(address, Take, { key, owner, registeredAt: this.epoch }, ASK_LIMIT),
        (all) => granted(sound(all)) >= quorum,
      ),
    );
    if (granted(replies) >= quorum) return 'taken';
    return replies.some((reply) => !reply.granted && reply.owner !== '' && reply.owner !== owner)
      ? 'known'
      : 'none';
  }

  /** Without the core, a majority of all registered routers must remember the claim, and every one that answers does. */
  private async copy(key: string, owner: string): Promise<Taken> {
    this.remember({ key, owner, age: 0, kept: false });
    const addresses = [...this.registered.values()].map(({ address }) => address);
    const replies = sound(
      await gather(
        addresses,
        (address) => this.peers.ask(address, Copy, { key, owner }, ASK_LIMIT),
        (all) =>
          sound(all).filter((reply) => reply.owner === owner).length >= majority(addresses.length),
      ),
    );
    if (replies.some((reply) => reply.owner !== '' && reply.owner !== owner)) return 'known';
    return replies.filter((reply) => reply.owner === owner).length >= majority(addresses.length)
      ? 'taken'
      : 'none';
  }

  private async atCore(key: string, owner: string): Promise<Kept> {
    const { number, members } = this.voterDirectory.core;
    const quorum = majority(members.length);
    if (members.length === 0) return 'unsure';
    const kept = (replies: readonly { kept: boolean }[]): number =>
      replies.filter((reply) => reply.kept).length;
    const asking = gather(
      members.map(({ address }) => address),
      (address) => this.peers.ask(address, Keep, { set: number, key, owner }, KEEP_LIMIT),
      (all) => kept(sound(all)) >= quorum || sound(all).some((reply) => !reply.kept),
    );
    if (this.coreOut) return 'unsure';
    const replies = sound(await asking);
    if (replies.some((reply) => !reply.kept)) return 'known';
    if (kept(replies) >= quorum) return 'kept';
    this.coreFailed = this.clock.now();
    return 'unsure';
  }

  /** Brings to the core what rests on memory alone. */
  private async bringBack(): Promise<void> {
    const some = [...this.unkept].slice(0, UNKEPT_BATCH);
    await Promise.all(
      some.map(async ([key, owner]) => {
        const kept = await this.atCore(key, owner);
        if (kept === 'unsure' || this.unkept.get(key) !== owner) return;
        this.unkept.delete(key);
        if (kept === 'known')
          this.log('claim-rivals', [
            ['key', key],
            ['owner', owner],
          ]);
      }),
    );
  }

  private remember({ key, owner, age, kept }: HeldClaim): void {
    if (
      !this.memory.note(key, owner, age) ||
      kept ||
      this.memory.owner(key) !== owner ||
      this.unkept.size >= UNKEPT_BOUND
    )
      return;
    this.unkept.set(key, owner);
  }

  private duty(key: string): string[] {
    return holders(key, [...this.registered.keys()]).slice(0, HOLDERS);
  }

  /** Notes a new registration as soon as it is in force. */
  private turn(): void {
    const document = this.inForce.whole;
    if (!document || document.registeredAt <= this.epoch) return;
    this.before = { registeredAt: this.epoch, names: this.names };
    this.names = [...document.registered.keys()];
    this.epoch = document.registeredAt;
    this.epochBegan = this.clock.now();
    this.told.clear();
    this.recalled = false;
  }

  private grant({ key, owner, registeredAt }: TakeAsk): TakeReply {
    this.turn();
    const declined = (reason: string, by = ''): TakeReply => ({
      granted: false,
      owner: by,
      reason,
    });
    const known = this.memory.owner(key);
    if (known !== undefined)
      return known === owner ? { granted: true, owner, reason: '' } : declined('taken', known);
    if (registeredAt !== this.epoch) return declined('another registration is in force here');
    if (!this.duty(key).includes(this.node)) return declined('not a holder');
    const carried =
      this.openFor === this.before.registeredAt &&
      this.openFor > 0 &&
      holders(key, this.before.names).slice(0, HOLDERS).includes(this.node);
    if (this.openFor !== this.epoch && !carried)
      return declined('still gathering what others hold');
    return this.memory.note(key, owner)
      ? { granted: true, owner, reason: '' }
      : declined('too many ids are remembered');
  }

  /** Asks what is held of this one's duties; opens when enough have told. */
  private async collect(): Promise<void> {
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
      ['held', this.memory.size],
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
    for (const claim of told.flatMap(({ claims }) => claims)) this.remember(claim);
    return told.length >= majority(members.length);
  }

  private async collectFrom(address: string, epoch: number): Promise<boolean> {
    for (let after = 0; ;) {
      const reply = await this.peers.ask(
        address,
        Gather,
        { node: this.node, registeredAt: epoch, after },
        ASK_LIMIT * 2,
      );
      const told = reply.toMaybe().extract();
      if (!told) return false;
      for (const claim of told.claims) this.remember(claim);
      if (!told.open || told.registeredAt !== epoch) return false;
      if (!told.more) return true;
      after = told.next;
    }
  }
}
