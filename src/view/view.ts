/**
 * Partial views shuffled between neighbours, after Cyclon: each node keeps a bounded view of others with ages, and at
 * each turn swaps a part of it with the oldest neighbour it knows. A neighbour that does not answer is dropped. Seeds
 * are asked when the view is thin and now and then besides, so that separated parts meet again.
 */
import { Right } from 'purify-ts';
import type { Clock } from '../kernel/clock/clock.js';
import { pick, shuffled, type Random } from '../kernel/random/random.js';
import { call } from '../wire/call.js';
import { list, number, struct, text } from '../wire/field.js';
import type { Peers } from '../wire/peers.js';

export interface Neighbour {
  name: string;
  incarnation: string;
  address: string;
  zone: string;
  role: string;
  age: number;
}

const neighbourField = struct<Neighbour>({ name: text, incarnation: text, address: text, zone: text, role: text, age: number });

export const Shuffle = call<{ entries: Neighbour[] }, { entries: Neighbour[] }>(32, 'view.shuffle', struct({ entries: list(neighbourField) }), struct({ entries: list(neighbourField) }));

const VIEW = 24;
const SWAP = 8;
const EVERY = 700;
const STALE = 12;
const ASK_LIMIT = 600;

export class View {
  private readonly entries = new Map<string, Neighbour>();
  private turns = 0;
  private leads: () => readonly string[] = () => [];

  constructor(readonly self: Neighbour, private readonly seeds: readonly string[], private readonly peers: Peers, private readonly clock: Clock, private readonly random: Random) {}

  serve(): void {
    this.peers.handle(Shuffle, ({ entries }) => {
      const mine = this.sample();
      this.merge(entries);
      return Right({ entries: mine });
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.turn();
      await this.clock.sleep(EVERY * (0.75 + 0.5 * this.random.fraction()), signal);
    }
  }

  /** Names addresses of nodes that ought to be there; one that is not in the view is asked at each turn. */
  lead(leads: () => readonly string[]): void {
    this.leads = leads;
  }

  /** The nodes of a role that were heard of lately, this one included when it has the role. */
  live(role: string): Neighbour[] {
    return [this.self, ...this.entries.values()].filter((entry) => entry.role === role && entry.age <= STALE);
  }

  drop(name: string): void {
    this.entries.delete(name);
  }

  private async turn(): Promise<void> {
    for (const entry of this.entries.values()) {
      entry.age += 1;
      if (entry.age > STALE * 4) this.entries.delete(entry.name);
    }
    const known = new Set([this.self.address, ...[...this.entries.values()].map(({ address }) => address)]);
    const missing = pick(this.random, this.leads().filter((address) => !known.has(address)));
    if (missing) void this.swap(missing);
    const oldest = [...this.entries.values()].reduce<Neighbour | undefined>((best, entry) => (!best || entry.age > best.age ? entry : best), undefined);
    const toSeed = !oldest || this.entries.size < 3 || ++this.turns % 8 === 0;
    const address = toSeed ? pick(this.random, this.seeds.filter((seed) => seed !== this.self.address)) : oldest.address;
    if (!address) return;
    if (!(await this.swap(address)) && oldest && address === oldest.address) this.entries.delete(oldest.name);
  }

  private async swap(address: string): Promise<boolean> {
    const reply = await this.peers.ask(address, Shuffle, { entries: this.sample() }, ASK_LIMIT);
    reply.ifRight(({ entries }) => this.merge(entries));
    return reply.isRight();
  }

  private sample(): Neighbour[] {
    return [{ ...this.self, age: 0 }, ...shuffled(this.random, [...this.entries.values()]).slice(0, SWAP - 1)];
  }

  private merge(entries: readonly Neighbour[]): void {
    for (const entry of entries.slice(0, SWAP)) {
      if (entry.name === this.self.name) continue;
      const known = this.entries.get(entry.name);
      if (known && known.age <= entry.age) continue;
      this.entries.set(entry.name, { ...entry });
    }
    while (this.entries.size > VIEW) {
      const oldest = [...this.entries.values()].reduce((best, entry) => (entry.age > best.age ? entry : best));
      this.entries.delete(oldest.name);
    }
  }
}
