/**
 * Claims on ids as a core member keeps them on its disk, so that they outlast every router. The first owner of an id
 * keeps it. Claims that arrive while a write is on its way go into the next one together; a reply goes out only once its
 * claim is synced. Files hold some hundred claims each, written aside and renamed, and go once all in them are past
 * their age. A member answers for the past only when it is whole: it formed the core, or its disk says that it once was
 * whole under this very identity, or it has asked so many others that none of the claims kept before can be missing.
 */
import { Right } from 'purify-ts';
import { holders } from '../duty/rendezvous.js';
import type { Clock, Moment } from '../kernel/clock/clock.js';
import { later } from '../kernel/clock/clock.js';
import type { Disk } from '../kernel/disk/disk.js';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import type { Log } from '../kernel/log/log.js';
import { majority } from '../register/gather.js';
import type { Member } from '../register/member.js';
import { seal, unseal } from '../register/store.js';
import type { Peers } from '../wire/peers.js';
import {
  HOLDERS,
  Keep,
  KEPT,
  Recall,
  Release,
  type KeepAsk,
  type KeepReply,
  type RecallAsk,
  type RecallReply,
} from './calls.js';
import { ClaimMemory } from './memory.js';
import { recallFrom } from './recall.js';

const BOUND = 400_000;
const SEGMENT = 512;
const EVERY = 250;
const WHOLE = 'claims/whole';

interface Segment {
  readonly number: number;
  readonly owners: Map<string, string>;
  newest: Moment;
}

const fileOf = (number: number): string => `claims/segment-${String(number).padStart(10, '0')}`;

/** Claims on a core member's disk. */
export class Keeper {
  private readonly memory: ClaimMemory;
  private readonly unsynced = new Set<string>();
  private segments: Segment[] = [];
  private writing: Promise<boolean> = Promise.resolve(true);
  private next: Promise<boolean> | undefined;
  private held = false;
  /** Writes and the claims in them, for the figures. */
  writes = 0;
  kept = 0;

  constructor(
    private readonly disk: Disk,
    private readonly fleet: string,
    private readonly member: Member,
    private readonly peers: Peers,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.memory = new ClaimMemory(clock, BOUND);
  }

  get whole(): boolean {
    return this.held;
  }

  get size(): number {
    return this.memory.size;
  }

  async start(): Promise<Outcome<void>> {
    const names = await this.disk.list('claims');
    if (names.isLeft()) return names;
    let spoilt = false;
    for (const name of names.unsafeCoerce().filter((each) => each.startsWith('segment-'))) {
      const owners = await this.read(`claims/${name}`);
      spoilt ||= owners === undefined;
      this.segments.push({
        number: Number(name.slice(8)),
        owners: owners ?? new Map<string, string>(),
        newest: this.clock.now(),
      });
      for (const [key, owner] of owners ?? []) this.memory.note(key, owner);
    }
    const marker = await this.read(WHOLE);
    this.held = !spoilt && marker?.get('member') === this.member.id;
    this.peers.handle(Keep, (ask) => this.keep(ask));
    this.peers.handle(Release, ({ key, owner }) => {
      for (const { owners } of this.segments) if (owners.get(key) === owner) owners.delete(key);
      return Right({ known: this.memory.release(key, owner) });
    });
    this.peers.handle(Recall, (ask) => this.recall(ask));
    return Right(undefined);
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.held && this.member.state().voting) await this.becomeWhole();
      await this.expire();
      await this.clock.sleep(EVERY, signal);
    }
  }

  private async read(path: string): Promise<Map<string, string> | undefined> {
    const bytes = (await this.disk.read(path)).toMaybe().extract();
    const opened = bytes && unseal(path, bytes).toMaybe().extract();
    if (!opened || opened.head.get('fleet') !== this.fleet) return undefined;
    return new Map(
      JSON.parse(Buffer.from(opened.body).toString('utf8')) as Array<[string, string]>,
    );
  }

  private write(path: string, pairs: ReadonlyMap<string, string>): Promise<Outcome<void>> {
    return this.disk.write(
      path,
      seal(new Map([['fleet', this.fleet]]), Buffer.from(JSON.stringify([...pairs]))),
    );
  }

  private votes(step: string, set: number): Outcome<void> {
    const { voting, reason } = this.member.state();
    if (!voting) return failed(step, this.member.id, `does not vote: ${reason}`);
    const { number } = this.member.knownCore;
    return number === set
      ? Right(undefined)
      : failed(step, this.member.id, `core set ${number}, not ${set}`);
  }

  private async keep({ set, key, owner }: KeepAsk): Promise<Outcome<KeepReply>> {
    const may = this.votes('claim.keep', set);
    if (may.isLeft()) return may;
    const before = this.memory.owner(key);
    if (before !== undefined && before !== owner) return Right({ kept: false, owner: before });
    if (before === undefined) {
      if (!this.memory.note(key, owner))
        return failed('claim.keep', this.member.id, 'too many ids are kept');
      this.segment().owners.set(key, owner);
      this.unsynced.add(key);
    }
    if (this.unsynced.has(key) && !(await this.commit()))
      return failed('claim.keep', this.member.id, 'the claim could not be kept', 'unknown');
    return Right({ kept: true, owner });
  }

  /** The segment that takes claims now. */
  private segment(): Segment {
    const last = this.segments.at(-1);
    if (last && last.owners.size < SEGMENT) {
      last.newest = this.clock.now();
      return last;
    }
    const made = {
      number: (last?.number ?? 0) + 1,
      owners: new Map<string, string>(),
      newest: this.clock.now(),
    };
    this.segments.push(made);
    return made;
  }

  /** Joins the write that comes after the one on its way. */
  private commit(): Promise<boolean> {
    this.next ??= this.writing.then(() => {
      this.next = undefined;
      return (this.writing = this.sync());
    });
    return this.next;
  }

  private async sync(): Promise<boolean> {
    const keys = new Set(this.unsynced);
    for (const { number, owners } of this.segments) {
      if (![...keys].some((key) => owners.has(key))) continue;
      const done = await this.write(fileOf(number), owners);
      if (done.isLeft()) {
        this.log('claims-unkept', [
          ['claims', keys.size],
          ['reason', done.extract().reason],
        ]);
        return false;
      }
    }
    for (const key of keys) this.unsynced.delete(key);
    this.writes += 1;
    this.kept += keys.size;
    return true;
  }

  private recall({ set, node, after }: RecallAsk): Outcome<RecallReply> {
    const may = this.votes('claim.recall', set);
    if (may.isLeft()) return may;
    const routers = [...(this.member.newest?.registered.keys() ?? [])];
    return Right({
      whole: this.held,
      ...this.memory.page(
        after,
        (key) => node === '' || holders(key, routers).slice(0, HOLDERS).includes(node),
      ),
    });
  }

  /**
   * A claim was kept by a majority of the members then, and this one may know none of them. So it asks as many whole
   * ones as must include one of those who kept it: all but a majority, and one more. When no one is whole, as after a
   * first start that was broken off, all the others together hold what a majority kept, save what two lost at once.
   */
  private async becomeWhole(): Promise<void> {
    const { number, members } = this.member.knownCore;
    const others = members.filter(({ id }) => id !== this.member.id).map(({ address }) => address);
    if (!this.member.founder) {
      const told = (
        await Promise.all(others.map((address) => recallFrom(this.peers, address, number, '')))
      ).flatMap((each) => each ?? []);
      const enough =
        told.filter(({ whole }) => whole).length >= members.length - majority(members.length) + 1;
      if (!enough && told.length < others.length) return;
      for (const { key, owner, age } of told.flatMap(({ claims }) => claims)) {
        if (this.memory.owner(key) !== undefined || !this.memory.note(key, owner, age)) continue;
        this.segment().owners.set(key, owner);
        this.unsynced.add(key);
      }
      if (this.unsynced.size && !(await this.commit())) return;
    }
    if (
      this.member.knownCore.number !== number ||
      (await this.write(WHOLE, new Map([['member', this.member.id]]))).isLeft()
    )
      return;
    this.held = true;
    this.log('claims-whole', [['claims', this.memory.size]]);
  }

  private async expire(): Promise<void> {
    const now = this.clock.now();
    const past = this.segments.filter(
      ({ newest, owners }) =>
        later(newest, KEPT) < now && ![...owners.keys()].some((key) => this.unsynced.has(key)),
    );
    this.segments = this.segments.filter((segment) => !past.includes(segment));
    for (const { number } of past) await this.disk.remove(fileOf(number));
  }
}
