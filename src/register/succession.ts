/**
 * Replacing core members that are gone. A newcomer, which has no seat, announces itself to the members it can find. The
 * members watch each other; when one seat has been silent for the param's time, or another machine answers in its
 * place, and a newcomer is there, one of them takes the seat away and gives the newcomer one. That duty is cut by
 * rendezvous over the seats that answer, and its fence is the core set's number: of two who both think it is theirs
 * only one change can win, and a change that lost does nothing. A seat is taken away only when those that answer at that
 * very turn are a majority of what is left; and a member that is merely silent keeps its seat while another machine
 * answers in the place of a third, whose disk is then gone for good; that one's seat is given away at once.
 *
 * How often members look at each other follows from the param's time; word of a newcomer makes them look at once. One that
 * was itself frozen counts nobody's silence before it looked again.
 */
import { Right } from 'purify-ts';
import { within, type Clock, type Moment } from '../kernel/clock/clock.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import { holders } from '../duty/rendezvous.js';
import { call } from '../wire/call.js';
import { flag, struct, text } from '../wire/field.js';
import type { Peers } from '../wire/peers.js';
import { State } from './calls.js';
import type { Act, Seat } from './document.js';
import { majority } from './gather.js';
import type { Member } from './member.js';
import type { Proposer } from './proposer.js';
import type { Roster } from './roster.js';

export const Announce = call<Seat, { heard: boolean }>(
  8,
  'register.announce',
  struct<{ id: string; address: string }>({ id: text, address: text }),
  struct({ heard: flag }),
);

const EVERY = 1000;
const ASK_LIMIT = 700;
const NEWCOMERS = 16;
/** Announcements at each turn of the members, and for how many turns one counts. */
const ANNOUNCED = 2;
const FRESH = 5;

export class Succession {
  private readonly newcomers = new Map<string, { seat: Seat; at: Moment }>();
  private readonly answered = new Map<string, Moment>();
  private readonly every: number;
  private looked: Moment;
  private wake: () => void = () => undefined;

  constructor(
    private readonly member: Member,
    private readonly address: string,
    private readonly after: number,
    private readonly peers: Peers,
    private readonly roster: Roster,
    private readonly proposer: Proposer,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
  ) {
    this.every = after === 0 ? EVERY : Math.min(EVERY, Math.max(100, after));
    this.looked = clock.now();
  }

  serve(): void {
    this.peers.handle(Announce, (seat) => {
      if (!this.newcomers.has(seat.id) && this.newcomers.size >= NEWCOMERS)
        this.newcomers.delete(this.newcomers.keys().next().value as string);
      this.newcomers.set(seat.id, { seat, at: this.clock.now() });
      if (this.clock.now() - this.looked > this.every / 4) this.wake();
      return Right({ heard: true });
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    const ended = new Promise<void>((resolve) =>
      signal.addEventListener('abort', () => resolve(), { once: true }),
    );
    while (!signal.aborted) {
      const news = new Promise<void>((resolve) => (this.wake = resolve));
      const { voting, reason } = this.member.state();
      const newcomer = !voting && (reason === '' || reason === 'not in the core set');
      if (voting && (await this.watch())) continue;
      if (newcomer) await this.announce();
      const pause =
        (newcomer ? this.every / ANNOUNCED : this.every) * (0.75 + 0.5 * this.random.fraction());
      await within(this.clock, pause, Promise.race([news, ended]));
    }
  }

  private async announce(): Promise<void> {
    await this.proposer.learnCore();
    const leads = this.roster.leads.filter((lead) => lead !== this.address);
    const { limit } = this;
    await within(
      this.clock,
      limit / 2,
      Promise.all(
        leads.map((lead) =>
          this.peers.ask(lead, Announce, { id: this.member.id, address: this.address }, limit),
        ),
      ),
    );
  }

  private get limit(): number {
    return Math.min(ASK_LIMIT, this.every * 0.7);
  }

  /** Looks at the seats, and gives one away or to a newcomer where that is due here; says whether it did. */
  private async watch(): Promise<boolean> {
    const { number, wanted, members } = this.member.knownCore;
    const now = this.clock.now();
    const away = now - this.looked > 3 * this.every + ASK_LIMIT;
    this.looked = now;
    const replies = await Promise.all(
      members.map(async ({ id, address }) =>
        id === this.member.id
          ? this.member.state()
          : (await this.peers.ask(address, State, { from: this.peers.self.name }, this.limit))
              .toMaybe()
              .extract(),
      ),
    );
    const here = members.filter(({ id }, at) => replies[at]?.member === id);
    const swapped = members.filter(({ id }, at) => replies[at] && replies[at].member !== id);
    for (const { id } of members)
      if (away || !this.answered.has(id) || here.some((seat) => seat.id === id))
        this.answered.set(id, this.clock.now());
    for (const id of this.answered.keys())
      if (!members.some((seat) => seat.id === id)) this.answered.delete(id);
    if (this.after === 0) return false;
    const silent = members.filter(({ id }) => now - this.answered.get(id)! > this.after);
    const replaceable = swapped.length ? swapped : silent;
    const [holder] = holders(
      `succession-${number}`,
      members
        .filter((seat) => !silent.includes(seat) && !swapped.includes(seat))
        .map(({ id }) => id),
    );
    const spares = [...this.newcomers.values()]
      .filter(
        ({ seat, at }) =>
          now - at < FRESH * this.every && !members.some(({ id }) => id === seat.id),
      )
      .map(({ seat }) => seat);
    const next = spares.find((seat) => !members.some(({ address }) => address === seat.address));
    const gone =
      here.length >= majority(members.length - 1)
        ? replaceable.find((seat) => seat.id !== this.member.id)
        : undefined;
    if (holder !== this.member.id) return false;
    if (next && members.length < wanted)
      return this.act({ kind: 'seat', seat: next, expects: number });
    return gone && spares.length > 0
      ? this.act({ kind: 'unseat', id: gone.id, vacant: true, expects: number })
      : false;
  }

  private async act(act: Extract<Act, { kind: 'seat' | 'unseat' }>): Promise<boolean> {
    const id = `succession-${this.random.identity()}`;
    const told = await this.proposer.propose(
      { id, firm: '', who: this.peers.self.name, act },
      5000,
    );
    const done = told.map(({ kind }) => kind === 'applied').orDefault(false);
    this.log('succession', [
      ['act', act.kind],
      ['member', act.kind === 'seat' ? act.seat.id : act.id],
      ['done', done],
    ]);
    return done;
  }
}
