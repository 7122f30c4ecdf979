/**
 * Partial views shuffled between neighbours, after Cyclon: each node keeps a bounded view of others with ages, and at
 * each turn swaps a part of it with the oldest neighbour it knows. One that does not answer is probed by way of two
 * others; when none of them reaches it either, it is suspected, which is told on with the view, and after some turns it
 * is taken for gone. A node that hears that it is suspected refutes it with a higher beat of its own incarnation; word
 * of an older beat then counts no more. Seeds are asked when the view is thin and now and then besides, and nodes that
 * ought to be there at each turn, so that separated parts meet again. In a fleet larger than a view, the nodes that
 * rendezvous hashing puts first for a duty are never given up for others and go along in each swap, so that they come to
 * stand in all views and the duty is cut alike everywhere.
 */
import { Right } from 'purify-ts';
import { weight } from '../duty/rendezvous.js';
import type { Clock } from '../kernel/clock/clock.js';
import { pick, shuffled, type Random } from '../kernel/random/random.js';
import { call } from '../wire/call.js';
import { flag, list, short, struct, text, word } from '../wire/field.js';
import type { Peers } from '../wire/peers.js';

/** Another node as this one knows it. */
export interface Neighbour {
  name: string;
  incarnation: string;
  address: string;
  zone: string;
  role: string;
  age: number;
  /** Raised by the node itself to refute a suspicion. */
  beat: number;
  suspect: boolean;
}

const neighbourField = struct<Neighbour>({
  name: text,
  incarnation: text,
  address: text,
  zone: text,
  role: text,
  age: short,
  beat: word,
  suspect: flag,
});

/** Swaps a part of two nodes' views. */
export const Shuffle = call<{ entries: Neighbour[] }, { entries: Neighbour[] }>(
  32,
  'view.shuffle',
  struct({ entries: list(neighbourField) }),
  struct({ entries: list(neighbourField) }),
);

/** Asks a node to try to reach another. */
export const Probe = call<{ address: string }, { reached: boolean }>(
  33,
  'view.probe',
  struct({ address: text }),
  struct({ reached: flag }),
);

/** Asks a node whether it is there. */
export const Ping = call<{ from: string }, { name: string }>(
  34,
  'view.ping',
  struct({ from: text }),
  struct({ name: text }),
);

const VIEW = 24;
const SWAP = 8;
const EVERY = 700;
/** The first turns are taken at the shorter of the two periods, so that a node that starts is soon known. */
const EAGER = 12;
const STALE = 12;
const ASK_LIMIT = 600;
const PROBE_LIMIT = 300;
const HELPERS = 2;
/** Turns from suspicion to being taken for gone, and for how many turns word of one that is gone is not believed. */
const SUSPECTED = 4;
const GONE = 60;
/** How many nodes of each duty go along in every swap. */
export const HEADS = 2;

interface Gone {
  readonly entry: Neighbour;
  readonly turn: number;
}

/** The partial view that a node keeps of the live nodes of the fleet. */
export class View {
  private readonly entries = new Map<string, Neighbour>();
  private readonly suspects = new Map<string, number>();
  private readonly gone = new Map<string, Gone>();
  private readonly duties = new Map<
    string,
    { readonly role: string; readonly weights: Map<string, string> }
  >();
  private turns = 0;
  private contacts: () => readonly string[] = () => [];

  constructor(
    readonly self: Neighbour,
    private seeds: readonly string[],
    private readonly peers: Peers,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly every = EVERY,
  ) {}

  serve(): void {
    this.peers.handle(Shuffle, ({ entries }) => {
      const [sender] = entries;
      const mine = this.sample();
      const doubted =
        sender && (this.gone.get(sender.name)?.entry ?? this.entries.get(sender.name));
      if (doubted?.suspect && doubted.incarnation === sender?.incarnation)
        mine.push({ ...doubted });
      this.merge(entries);
      return Right({ entries: mine });
    });
    this.peers.handle(Ping, () => Right({ name: this.self.name }));
    this.peers.handle(Probe, async ({ address }) =>
      Right({
        reached: (
          await this.peers.ask(address, Ping, { from: this.self.name }, PROBE_LIMIT)
        ).isRight(),
      }),
    );
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.turn();
      const every = this.turns < EAGER ? Math.min(EVERY, this.every) : this.every;
      await this.clock.sleep(every * (0.75 + 0.5 * this.random.fraction()), signal);
    }
  }

  /** Takes other seeds in the place of the old ones. */
  reseed(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** Names addresses of nodes that ought to be there; one that is not in the view is asked at each turn. */
  addContacts(contacts: () => readonly string[]): void {
    this.contacts = contacts;
  }

  /** From now on the first holders of a duty among the nodes of a role are kept in view, however many nodes there are. */
  keep(duty: string, role: string): void {
    this.duties.set(duty, { role, weights: new Map() });
  }

  /** Whether there may be nodes that this view has no room for. */
  get full(): boolean {
    return this.entries.size >= VIEW;
  }

  /** The nodes of a role that were heard of lately and not taken for gone, this one included when it has the role. */
  live(role: string): Neighbour[] {
    return [this.self, ...this.entries.values()].filter(
      (entry) => entry.role === role && entry.age <= STALE,
    );
  }

  /** A neighbour did not answer in some other matter; the next turns see to it. */
  doubt(name: string): void {
    const entry = this.entries.get(name);
    if (entry) entry.age += STALE / 2;
  }

  private async turn(): Promise<void> {
    this.turns += 1;
    for (const entry of this.entries.values()) {
      entry.age += 1;
      if (entry.age > STALE * 4) this.forget(entry.name);
    }
    for (const [name, since] of this.suspects) if (this.turns - since > SUSPECTED) this.bury(name);
    for (const [name, { turn }] of this.gone) if (this.turns - turn > GONE) this.gone.delete(name);
    const known = new Set([
      this.self.address,
      ...[...this.entries.values()].map(({ address }) => address),
    ]);
    const missing = pick(
      this.random,
      this.contacts().filter((address) => !known.has(address)),
    );
    if (missing) void this.swap(missing);
    const oldest = [...this.entries.values()].reduce<Neighbour | undefined>(
      (best, entry) => (!best || entry.age > best.age ? entry : best),
      undefined,
    );
    if (!oldest || this.entries.size < 3 || this.turns % 8 === 0) {
      const seed = pick(
        this.random,
        this.seeds.filter((address) => address !== this.self.address),
      );
      if (seed) void this.swap(seed);
    }
    if (!oldest) return;
    const { name, incarnation } = oldest;
    oldest.age = Math.max(0, oldest.age - STALE);
    if ((await this.swap(oldest.address)) || (await this.reachedByOthers(oldest)))
      return void this.clear(name);
    const entry = this.entries.get(name);
    if (entry?.incarnation === incarnation) this.suspect(entry);
  }

  private async swap(address: string): Promise<boolean> {
    const reply = await this.peers.ask(address, Shuffle, { entries: this.sample() }, ASK_LIMIT);
    reply.ifRight(({ entries }) => this.merge(entries));
    return reply.isRight();
  }

  private async reachedByOthers({ name, address }: Neighbour): Promise<boolean> {
    const helpers = shuffled(
      this.random,
      [...this.entries.values()].filter((entry) => entry.name !== name && !entry.suspect),
    ).slice(0, HELPERS);
    const told = await Promise.all(
      helpers.map((helper) => this.peers.ask(helper.address, Probe, { address }, PROBE_LIMIT * 2)),
    );
    return told.some((reply) => reply.map(({ reached }) => reached).orDefault(false));
  }

  private suspect(entry: Neighbour): void {
    entry.suspect = true;
    if (!this.suspects.has(entry.name)) this.suspects.set(entry.name, this.turns);
  }

  private clear(name: string): void {
    const entry = this.entries.get(name);
    if (entry) entry.suspect = false;
    this.suspects.delete(name);
  }

  private forget(name: string): void {
    this.entries.delete(name);
    this.suspects.delete(name);
  }

  private bury(name: string): void {
    const entry = this.entries.get(name);
    if (entry) this.gone.set(name, { entry: { ...entry, suspect: true }, turn: this.turns });
    this.forget(name);
  }

  private sample(): Neighbour[] {
    const doubted = [...this.entries.values()].filter(({ suspect }) => suspect);
    const sound = [...this.entries.values()].filter(({ suspect }) => !suspect);
    const heads = this.heads;
    const others = shuffled(this.random, sound);
    const ordered = this.full
      ? [
          ...others.filter((entry) => heads.has(entry)),
          ...others.filter((entry) => !heads.has(entry)),
        ]
      : others;
    return [{ ...this.self, age: 0 }, ...[...doubted, ...ordered].slice(0, SWAP - 1)];
  }

  /** The first holders of each duty among the nodes in view. */
  private get heads(): Set<Neighbour> {
    const heads = new Set<Neighbour>();
    for (const [duty, { role, weights }] of this.duties) {
      const live = [...this.entries.values()].filter(
        (entry) => entry.role === role && entry.age <= STALE,
      );
      if (weights.size > VIEW * 4) weights.clear();
      for (const { name } of live) if (!weights.has(name)) weights.set(name, weight(duty, name));
      live
        .sort((a, b) => ((weights.get(a.name) ?? '') < (weights.get(b.name) ?? '') ? 1 : -1))
        .slice(0, HEADS)
        .forEach((entry) => heads.add(entry));
    }
    return heads;
  }

  private merge(entries: readonly Neighbour[]): void {
    for (const entry of entries.slice(0, SWAP + 1)) this.take(entry);
    if (this.entries.size <= VIEW) return;
    const heads = this.heads;
    const rest = [...this.entries.values()]
      .filter((entry) => !heads.has(entry))
      .sort((a, b) => b.age - a.age);
    for (const { name } of rest.slice(0, this.entries.size - VIEW)) this.forget(name);
  }

  private take(entry: Neighbour): void {
    if (entry.name === this.self.name) {
      if (
        entry.suspect &&
        entry.incarnation === this.self.incarnation &&
        entry.beat >= this.self.beat
      )
        this.self.beat = entry.beat + 1;
      return;
    }
    const buried = this.gone.get(entry.name)?.entry;
    if (buried && buried.incarnation === entry.incarnation && buried.beat >= entry.beat) return;
    this.gone.delete(entry.name);
    const known = this.entries.get(entry.name);
    if (known && known.incarnation === entry.incarnation) {
      if (entry.beat < known.beat) return;
      const refuted = entry.beat > known.beat;
      if (entry.suspect && !known.suspect) this.suspect(known);
      known.age = Math.min(known.age, entry.age);
      known.beat = entry.beat;
      if (refuted && !entry.suspect) this.clear(entry.name);
      return;
    }
    if (known && known.age <= entry.age) return;
    this.forget(entry.name);
    this.entries.set(entry.name, { ...entry });
    if (entry.suspect) this.suspects.set(entry.name, this.turns);
  }
}
