/**
 * Claims on the ids of requests that may not be repeated, over the whole fleet. Two must agree before such a request is
 * sent. Uniqueness: the duty for an id is cut by rendezvous hashing over the registered routers; of its three holders two
 * must grant the claim, under the same registration. Durability: a majority of the core must have the claim on disk, where
 * the first owner of an id keeps it too, so that it outlasts every router. While the core is out of reach a claim rests
 * on memory alone, of a majority of all registered routers and of every other that answers, and is brought to the core
 * later.
 * `holder.ts` has the holder's part, `core.ts` the core's.
 *
 * Where ids are never used twice by callers, claims can be switched off: every id is then taken at once.
 */
import { Right } from 'purify-ts';
import type { InForce } from '../doorway/match.js';
import { within, type Clock } from '../kernel/clock/clock.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import { gather, majority, sound } from '../register/gather.js';
import type { VoterDirectory } from '../register/voter-directory.js';
import type { Peers } from '../wire/peers.js';
import { Copy, Gather, keyOf, Release, Take, type TakeReply } from './calls.js';
import { CoreClaims } from './core.js';
import { HeldClaims } from './held.js';
import { ClaimHolder } from './holder.js';

const ASK_LIMIT = 250;
const UNKEPT_BATCH = 64;
const RETRY = 150;

/** What became of a claim: taken, known to be another's, or not to be had. */
export type Taken = 'taken' | 'known' | 'none';

/** Takes claims on ids over the fleet, and holds those that fall to this router. */
export class Claims {
  private readonly held: HeldClaims;
  private readonly holder: ClaimHolder;
  private readonly core: CoreClaims;

  constructor(
    node: string,
    inForce: InForce,
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
    private readonly enabled = true,
  ) {
    this.held = new HeldClaims(clock);
    this.holder = new ClaimHolder(node, this.held, inForce, peers, voterDirectory, clock, log);
    this.core = new CoreClaims(peers, voterDirectory, clock);
  }

  serve(): void {
    this.peers.handle(Take, (ask) => Right(this.holder.grant(ask)));
    this.peers.handle(Release, ({ key, owner }) => Right({ known: this.held.release(key, owner) }));
    this.peers.handle(Copy, ({ key, owner }) => {
      this.held.remember({ key, owner, age: 0, kept: false });
      return Right({ owner: this.held.memory.owner(key) ?? '' });
    });
    this.peers.handle(Gather, (ask) => Right(this.holder.page(ask)));
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.holder.followRegistration();
      if (this.isCollecting) await this.holder.collect();
      if (this.isCollecting) await this.clock.sleep(RETRY, signal);
      if (this.held.unkept.size > 0 && !this.core.isOut) await this.bringBack();
      await this.clock.sleep(60 + 60 * this.random.fraction(), signal);
    }
  }

  /** Takes the claim on an id for one request, or says that another has it, or that none is to be had now. */
  async take(firm: string, id: string, owner: string): Promise<Taken> {
    if (!this.enabled) return 'taken';
    const key = keyOf(firm, id);
    this.holder.followRegistration();
    const [held, kept] = await Promise.all([
      this.atHolders(key, owner),
      this.core.keep(key, owner),
    ]);
    if (held === 'taken' && kept === 'kept') return 'taken';
    const copied =
      held === 'taken' && kept === 'unsure' && !this.held.isUnkeptFull
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
    const { registered } = this.holder;
    const keepers = this.held.unkept.delete(key) ? [...registered.keys()] : this.holder.duty(key);
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
    return this.holder.open;
  }

  get size(): number {
    return this.held.memory.size;
  }

  get unkeptSize(): number {
    return this.held.unkept.size;
  }

  private get isCollecting(): boolean {
    return this.holder.registeredAt > 0 && !this.holder.open;
  }

  private async atHolders(key: string, owner: string): Promise<Taken> {
    const { registered, registeredAt } = this.holder;
    const names = this.holder.duty(key);
    if (names.length === 0) return 'none';
    const quorum = majority(names.length);
    const addresses = names.flatMap((name) => registered.get(name)?.address ?? []);
    const granted = (replies: readonly TakeReply[]): number =>
      replies.filter((reply) => reply.granted).length;
    const replies = sound(
      await gather(
        addresses,
        (address) => this.peers.ask(address, Take, { key, owner, registeredAt }, ASK_LIMIT),
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
    this.held.remember({ key, owner, age: 0, kept: false });
    const addresses = [...this.holder.registered.values()].map(({ address }) => address);
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

  /** Brings to the core what rests on memory alone. */
  private async bringBack(): Promise<void> {
    const some = [...this.held.unkept].slice(0, UNKEPT_BATCH);
    await Promise.all(
      some.map(async ([key, owner]) => {
        const kept = await this.core.keep(key, owner);
        if (kept === 'unsure' || this.held.unkept.get(key) !== owner) return;
        this.held.unkept.delete(key);
        if (kept === 'known')
          this.log('claim-rivals', [
            ['key', key],
            ['owner', owner],
          ]);
      }),
    );
  }
}
