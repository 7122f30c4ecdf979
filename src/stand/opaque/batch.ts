/**
 * How a stand-in engine works: up to `slots` requests run side by side and a few more wait, the urgent ones first. A
 * step gives each running request one token and takes longer the more run; prompts are read in pieces between the
 * tokens of others. What is more urgent takes the place of what is less; when memory runs out, the newest of the least
 * urgent is put back and read anew.
 */
import type { PromptPart } from '../../forward/dialect.js';
import type { Clock } from '../../kernel/clock/clock.js';
import { PartCache } from './parts.js';

/** How many requests run and wait at once, and how long steps take. */
export interface BatchParams {
  readonly slots: number;
  readonly queue: number;
  /** ms of a step, and how many more for each running request. */
  readonly stepBase: number;
  readonly stepEach: number;
  /** Prompt tokens read in a ms, and at most so many in one step. */
  readonly readRate: number;
  readonly readPiece: number;
  readonly cacheTokens: number;
}

/** A request as the engine works on it. */
export interface Work {
  readonly model: string;
  readonly parts: readonly PromptPart[];
  /** Of the prompt, and to be put out. */
  readonly tokens: number;
  readonly output: number;
  readonly urgency: number;
  /** It got its first slot: it runs. */
  begun(read: number, hits: number): void;
  token(): void;
  whole(): void;
}

interface Place {
  readonly work: Work;
  readonly order: number;
  readonly names: ReadonlyArray<readonly [string, number]>;
  unread: number;
  made: number;
  held: number;
  ran: boolean;
}

/** The requests that run and wait at one engine. */
export class Batch {
  private cache: PartCache;
  private readonly waiting: Place[] = [];
  private readonly running: Place[] = [];
  private turning = false;
  private orders = 0;
  /** How many times slower than told. */
  slowness = 1;

  constructor(
    private readonly params: BatchParams,
    private readonly clock: Clock,
  ) {
    this.cache = new PartCache(params.cacheTokens);
  }

  get load(): { waiting: number; running: number; used: number } {
    return { waiting: this.waiting.length, running: this.running.length, used: this.cache.used };
  }

  /** Takes work in, and gives the way to take it back; undefined when there is no room for it. */
  submit(work: Work): (() => void) | undefined {
    const larger = work.tokens + work.output > this.params.cacheTokens;
    const ahead = this.waiting.filter(({ work: { urgency } }) => urgency <= work.urgency).length;
    const free = Math.max(0, this.params.slots - this.running.length);
    if (larger || ahead >= this.params.queue + free) return undefined;
    const place: Place = {
      work,
      order: ++this.orders,
      names: PartCache.names(work.model, work.parts),
      unread: 0,
      made: 0,
      held: 0,
      ran: false,
    };
    this.waiting.push(place);
    void this.run();
    return () => this.remove(place);
  }

  forget(): void {
    for (const place of [...this.running, ...this.waiting]) this.remove(place);
    this.cache = new PartCache(this.params.cacheTokens);
  }

  private remove(place: Place): void {
    const at = this.waiting.indexOf(place);
    if (at >= 0) this.waiting.splice(at, 1);
    if (this.running.includes(place)) this.leave(place);
  }

  private async run(): Promise<void> {
    if (this.turning) return;
    this.turning = true;
    await this.clock.sleep(0);
    while (this.running.length + this.waiting.length > 0) {
      this.admit();
      const ready = this.running.filter(({ unread }) => unread === 0);
      const read = this.readPieces();
      await this.clock.sleep(
        (this.params.stepBase +
          this.params.stepEach * this.running.length +
          read / this.params.readRate) *
          this.slowness,
      );
      for (const place of ready) this.token(place);
    }
    this.turning = false;
  }

  private admit(): void {
    this.waiting.sort((a, b) => a.work.urgency - b.work.urgency || a.order - b.order);
    for (let next = this.waiting[0]; next; next = this.waiting[0]) {
      const { work, names, made } = next;
      const rest =
        Math.max(0, work.tokens - names.reduce((sum, [, tokens]) => sum + tokens, 0)) + made;
      const room = (): boolean =>
        this.running.length < this.params.slots && this.cache.fits(names, rest + 1);
      while (!room() && this.putBackFor(next));
      if (!room()) return;
      this.waiting.shift();
      const hits = this.cache.hits(names);
      next.unread = Math.max(0, work.tokens + made - hits);
      this.cache.take(names);
      next.held = rest;
      this.cache.hold(rest);
      this.running.push(next);
      if (next.ran) continue;
      next.ran = true;
      work.begun(next.unread, hits);
    }
  }

  /** Puts back one that is less urgent than the one to be let in; says whether there was one. */
  private putBackFor({ work: { urgency } }: Place): boolean {
    const least = this.leastUrgent();
    if (!least || least.work.urgency <= urgency) return false;
    this.putBack(least);
    return true;
  }

  private leastUrgent(): Place | undefined {
    return [...this.running].sort(
      (a, b) => b.work.urgency - a.work.urgency || b.order - a.order,
    )[0];
  }

  private putBack(place: Place): void {
    this.leave(place);
    this.waiting.push(place);
  }

  private leave(place: Place): void {
    this.running.splice(this.running.indexOf(place), 1);
    this.cache.release(place.names);
    this.cache.hold(-place.held);
    place.held = 0;
  }

  private readPieces(): number {
    let left = this.params.readPiece;
    for (const place of this.running) {
      const piece = Math.min(left, place.unread);
      place.unread -= piece;
      left -= piece;
    }
    return this.params.readPiece - left;
  }

  private token(place: Place): void {
    if (!this.running.includes(place)) return;
    place.made += 1;
    place.held += 1;
    this.cache.hold(1);
    place.work.token();
    if (place.made < place.work.output) {
      while (this.cache.used > this.params.cacheTokens && this.running.length > 1)
        this.putBack(this.leastUrgent()!);
      return;
    }
    if (!this.running.includes(place)) return;
    this.leave(place);
    place.work.whole();
  }
}
