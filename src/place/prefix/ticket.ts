/** One request at one engine: what is seen of it feeds the estimates and the index. */
import type { Clock } from '../../kernel/clock/clock.js';
import type { Engine } from '../../pool/engine.js';
import type { Soundness } from '../../pool/soundness.js';
import type { Ticket, TicketEnd } from '../placer.js';
import type { Option } from './choice.js';
import type { Reading } from './load.js';
import { RANKS } from './order.js';
import type { PromptPrefixes } from './prefixes.js';
import type { ServiceRecord } from './service.js';

/** By how many ms a request must have missed its unhindered first token for it to count as blocked. */
const MISSED = 40;

/** A ticket that feeds the estimates and the index. */
export class PlacedTicket implements Ticket {
  private readonly sentAt: number;
  private readonly reading: Reading;
  /** A less urgent prompt that was being read here when this one was sent. */
  private readonly beside: Reading | undefined;
  private readonly long: boolean;
  private begun = false;
  private ended = false;

  constructor(
    private readonly option: Option,
    private readonly record: ServiceRecord,
    private readonly prefixes: PromptPrefixes | undefined,
    private readonly capacity: number,
    private readonly soundness: Soundness,
    private readonly clock: Clock,
  ) {
    this.sentAt = clock.now();
    const { load, estimate, late, read, urgency } = option;
    this.reading = {
      sentAt: this.sentAt,
      expected: estimate - Math.max(0, late),
      tokens: read,
      urgency,
    };
    const least = record.pace.base / record.pace.perToken;
    this.beside = load.beside(urgency, least);
    this.long = read >= least;
    if (this.long) record.reading += 1;
    load.begin(this.reading);
    soundness.begin(option.engine.identifier);
  }

  get engine(): Engine {
    return this.option.engine;
  }

  get urgency(): number {
    return this.option.urgency;
  }

  get expected(): number {
    return this.option.estimate;
  }

  head(): void {}

  piece(): void {
    if (this.begun || this.ended) return;
    this.begun = true;
    const now = this.clock.now();
    const { load } = this.option;
    this.read(now);
    load.took();
    this.learn(now, now - this.sentAt);
    this.prefixes?.store(this.engine, this.capacity);
  }

  end(how: TicketEnd): void {
    if (this.ended) return;
    this.ended = true;
    const now = this.clock.now();
    const { load, engine } = this.option;
    if (!this.begun) this.read(now);
    load.flying -= 1;
    const took = now - this.sentAt;
    if (how === 'whole') this.soundness.good(engine.identifier);
    else if (how === 'failed') this.soundness.bad(engine.identifier);
    else if (how === 'turned-away') load.turnedAway(now);
    else if (!this.begun && took > this.reading.expected)
      load.noteLate(now, took - this.reading.expected);
  }

  private read(now: number): void {
    this.option.load.read(this.reading, now);
    if (this.long) this.record.reading -= 1;
  }

  private learn(now: number, took: number): void {
    const {
      load,
      rank,
      read,
      kept,
      ahead: { before, beside },
    } = this.option;
    const { pace, blocking, belief } = this.record;
    if (this.beside) {
      const { readAt } = this.beside;
      if (readAt === undefined) blocking.observe(false);
      else if (readAt - this.sentAt > pace.base + read * pace.perToken + MISSED)
        blocking.observe(true);
    }
    const unknown = this.prefixes ? Math.max(0, this.prefixes.shared - kept) : 0;
    const least =
      pace.base +
      before +
      (this.prefixes ? this.prefixes.prompt.tokens - kept - unknown : 0) * pace.perToken;
    const guess = unknown * pace.perToken;
    // Where a good part was not known to be kept, the time tells whether it was.
    if (guess > pace.base) {
      const warm = took < least + guess / 2;
      if (rank < RANKS) belief.observe(rank, warm);
      load.noteLate(now, Math.max(0, took - least - (warm ? 0 : guess)));
      return;
    }
    pace.observe(took, read, before + beside, true);
    load.noteLate(now, took - this.reading.expected);
  }
}
