/**
 * Replacing core members that are gone. A newcomer, which has no seat, announces itself to the members it can find. The
 * members watch each other; when one seat has been silent for the param's time, or another machine answers in its
 * place, and a newcomer is there, one of them takes the seat away and gives the newcomer one. That duty is cut by
 * rendezvous over the seats that answer, and its fence is the core set's number: of two who both think it is theirs
 * only one change can win, and a change that lost does nothing. A seat is taken away only when those that answer at that
 * very turn are a majority of what is left; and a member that is merely silent keeps its seat while another machine
 * answers in the place of a third, whose disk is then gone for good.
 */
import { Right } from 'purify-ts';
import type { Clock, Moment } from '../kernel/clock/clock.js';
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

export const Announce = call<Seat, { heard: boolean }>(8, 'register.announce', struct<{ id: string; address: string }>({ id: text, address: text }), struct({ heard: flag }));

const EVERY = 1000;
const ASK_LIMIT = 700;
const FRESH = 5000;
const NEWCOMERS = 16;

export class Succession {
  private readonly newcomers = new Map<string, { seat: Seat; at: Moment }>();
  private readonly answered = new Map<string, Moment>();

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
  ) {}

  serve(): void {
    this.peers.handle(Announce, (seat) => {
      if (!this.newcomers.has(seat.id) && this.newcomers.size >= NEWCOMERS) this.newcomers.delete(this.newcomers.keys().next().value as string);
      this.newcomers.set(seat.id, { seat, at: this.clock.now() });
      return Right({ heard: true });
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { voting, reason } = this.member.state();
      if (voting) await this.watch();
      else if (reason === '' || reason === 'not in the core set') await this.announce();
      await this.clock.sleep(EVERY * (0.75 + 0.5 * this.random.fraction()), signal);
    }
  }

  private async announce(): Promise<void> {
    const leads = this.roster.leads.filter((lead) => lead !== this.address);
    await Promise.all(leads.map((lead) => this.peers.ask(lead, Announce, { id: this.member.id, address: this.address }, ASK_LIMIT)));
  }

  private async watch(): Promise<void> {
    const { number, wanted, members } = this.member.knownCore;
    const now = this.clock.now();
    const replies = await Promise.all(members.map(async ({ id, address }) => (id === this.member.id ? this.member.state() : (await this.peers.ask(address, State, { from: this.peers.self.name }, ASK_LIMIT)).toMaybe().extract())));
    const here = members.filter(({ id }, at) => replies[at]?.member === id);
    const swapped = members.filter(({ id }, at) => replies[at] && replies[at].member !== id);
    for (const { id } of members) if (!this.answered.has(id) || here.some((seat) => seat.id === id)) this.answered.set(id, this.clock.now());
    for (const id of this.answered.keys()) if (!members.some((seat) => seat.id === id)) this.answered.delete(id);
    if (this.after === 0) return;
    const silent = members.filter(({ id }) => now - this.answered.get(id)! > this.after);
    const [holder] = holders(`succession-${number}`, members.filter((seat) => !silent.includes(seat)).map(({ id }) => id));
    const spare = [...this.newcomers.values()].find(({ seat, at }) => now - at < FRESH && !members.some(({ id }) => id === seat.id));
    const replaceable = swapped.length ? swapped : silent;
    const gone = here.length >= majority(members.length - 1) ? silent.find((seat) => seat.id !== this.member.id && replaceable.includes(seat)) : undefined;
    if (!spare || holder !== this.member.id) return;
    if (members.length < wanted) await this.act({ kind: 'seat', seat: spare.seat, expects: number });
    else if (gone) await this.act({ kind: 'unseat', id: gone.id, vacant: true, expects: number });
  }

  private async act(act: Extract<Act, { kind: 'seat' | 'unseat' }>): Promise<void> {
    const id = `succession-${this.random.identity()}`;
    const told = await this.proposer.propose({ id, firm: '', who: this.peers.self.name, act }, 5000);
    const done = told.map(({ kind }) => kind === 'applied').orDefault(false);
    this.log('succession', [['act', act.kind], ['member', act.kind === 'seat' ? act.seat.id : act.id], ['done', done]]);
  }
}
