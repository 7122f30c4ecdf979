/**
 * A model engine that works in batches: in each step every running request whose prompt is read puts out one token, and
 * one chunk of the prompts still to read is read beside them, so that each slows the other. Parts of read prompts are
 * kept while there is memory; the more urgent are let in first and take places of the less urgent.
 */
import type { PromptPart } from '../../forward/dialect.js';
import { KeptParts } from './kept.js';
import type { Timeline } from './time.js';

export interface BatchParams {
  readonly slots: number;
  readonly queue: number;
  /** A step takes `step` ms, `stepPerRunning` more for each that puts out, `contextPerK` for each 1000 tokens they hold. */
  readonly step: number;
  readonly stepPerRunning: number;
  readonly contextPerK: number;
  /** Prompt tokens read in a ms, and ms more for each million pairs of a token and one before it. */
  readonly rate: number;
  readonly pairsPerM: number;
  /** Prompt tokens read in one step at most. */
  readonly chunk: number;
  /** Milliseconds from the first token to its being sent. */
  readonly first: number;
  readonly stride: number;
  readonly memory: number;
  /** Whose prompt is read in a step: the first that came, the most urgent first, or all evenly. */
  readonly chunks: 'arrival' | 'urgent' | 'even';
}

export interface Work {
  readonly parts: readonly PromptPart[];
  readonly output: number;
  readonly urgency: number;
  /** Events of the answer as they are sent; the last one with `last`. */
  readonly event: (last: boolean) => void;
  readonly refused: () => void;
}

class Run {
  left = 0;
  context = 0;
  made = 0;
  cancelled = false;
  keys: readonly string[];
  readonly tokens: number;
  pinned: string[] = [];
  own = 0;

  constructor(
    readonly work: Work,
    readonly number: number,
  ) {
    let key = '';
    this.keys = work.parts.map(({ id }) => (key = `${key}/${id}`));
    this.tokens = work.parts.reduce((sum, { tokens }) => sum + tokens, 0);
  }
}

export interface EngineTally {
  read: number;
  prompted: number;
  putBack: number;
  steps: number;
}

export class BatchEngine {
  readonly tally: EngineTally = { read: 0, prompted: 0, putBack: 0, steps: 0 };
  private readonly kept = new KeptParts();
  private running: Run[] = [];
  private waiting: Run[] = [];
  private busy = false;
  private dead = false;
  private count = 0;

  constructor(
    private readonly params: BatchParams,
    private readonly time: Timeline,
    private readonly slowness: () => number,
    private readonly seen: (shared: number, kept: number) => void,
  ) {}

  /** Takes a request; what is returned gives it up. */
  take(work: Work): () => void {
    if (this.dead) return () => undefined;
    const run = new Run(work, ++this.count);
    const memory = run.tokens + work.output;
    if (memory > this.params.memory || this.waiting.length >= this.params.queue) {
      work.refused();
      return () => undefined;
    }
    this.waiting.push(run);
    this.stir();
    return () => (run.cancelled = true);
  }

  /** Falls silent for good; nothing more is heard of what it had. */
  die(): void {
    this.dead = true;
  }

  get load(): number {
    return this.running.length + this.waiting.length;
  }

  /** Prompt tokens still to be read. */
  get unread(): number {
    return (
      this.running.reduce((sum, { left }) => sum + left, 0) +
      this.waiting.reduce((sum, { tokens }) => sum + tokens, 0)
    );
  }

  /** Prompt tokens that would have to be read, as things are kept now. */
  fresh(parts: readonly PromptPart[]): number {
    let key = '';
    let kept = 0;
    for (const { id, tokens } of parts) {
      key = `${key}/${id}`;
      if (this.kept.leading([key]) === 0) break;
      kept += tokens;
    }
    return parts.reduce((sum, { tokens }) => sum + tokens, 0) - kept;
  }

  private stir(): void {
    if (this.busy || this.dead) return;
    this.busy = true;
    this.time.after(0, () => this.step());
  }

  private step(): void {
    if (this.dead) return;
    for (const run of this.running) if (run.cancelled) this.leave(run);
    this.running = this.running.filter(({ cancelled }) => !cancelled);
    this.waiting = this.waiting.filter(({ cancelled }) => !cancelled);
    this.admit();
    if (this.running.length === 0) {
      this.busy = false;
      return;
    }
    this.tally.steps += 1;
    const readers = this.running.filter(({ left }) => left > 0);
    readers.sort(
      (a, b) =>
        (this.params.chunks === 'urgent' ? a.work.urgency - b.work.urgency : 0) ||
        (this.params.chunks === 'even' ? a.left - b.left : 0) ||
        a.number - b.number,
    );
    const writers = this.running.filter(({ left }) => left <= 0);
    let chunk = 0;
    let pairs = 0;
    const done: Run[] = [];
    for (const [at, run] of readers.entries()) {
      const room = this.params.chunk - chunk;
      const share = Math.min(
        run.left,
        this.params.chunks === 'even' ? Math.ceil(room / (readers.length - at)) : room,
      );
      if (share <= 0) break;
      pairs += share * (run.context + share / 2);
      run.left -= share;
      run.context += share;
      chunk += share;
      if (run.left <= 0) done.push(run);
    }
    const { step, stepPerRunning, contextPerK, rate, pairsPerM } = this.params;
    const context = writers.reduce((sum, run) => sum + run.context, 0);
    const took =
      (step +
        stepPerRunning * writers.length +
        (contextPerK * context) / 1000 +
        chunk / rate +
        (pairsPerM * pairs) / 1e6) *
      this.slowness();
    this.tally.read += chunk;
    this.time.after(took, () => this.stepped(writers, done));
  }

  private stepped(writers: readonly Run[], done: readonly Run[]): void {
    if (this.dead) return;
    for (const run of done) this.keep(run);
    for (const run of [...writers, ...done]) this.putOut(run);
    this.yieldMemory();
    this.step();
  }

  private putOut(run: Run): void {
    run.made += 1;
    run.own += 1;
    run.context += 1;
    const { output, event } = run.work;
    const last = run.made >= output;
    if (run.made === 1)
      this.time.after(this.params.first, () => !run.cancelled && !this.dead && event(last));
    else if (last || (run.made - 1) % this.params.stride === 0)
      this.time.after(this.params.first, () => !run.cancelled && !this.dead && event(last));
    if (!last) return;
    this.leave(run);
    this.running.splice(this.running.indexOf(run), 1);
  }

  private get used(): number {
    return this.kept.pinned + this.running.reduce((sum, { own }) => sum + own, 0);
  }

  private admit(): void {
    if (this.waiting.length === 0) return;
    this.waiting.sort((a, b) => a.work.urgency - b.work.urgency || a.number - b.number);
    let used = this.used;
    while (this.waiting.length > 0) {
      const next = this.waiting[0]!;
      if (this.running.length >= this.params.slots && !this.putBack(next.work.urgency)) return;
      const kept = this.kept.leading(next.keys);
      if (used + next.tokens > this.params.memory) {
        if (!this.putBack(next.work.urgency)) return;
        used = this.used;
        continue;
      }
      this.waiting.shift();
      const held = next.work.parts.slice(0, kept).reduce((sum, { tokens }) => sum + tokens, 0);
      if (next.made === 0) {
        const shared = next.tokens - next.work.parts[next.work.parts.length - 1]!.tokens;
        this.tally.prompted += next.tokens;
        this.seen(shared, Math.min(held, shared));
      }
      next.pinned = next.keys.slice(0, kept);
      for (const key of next.pinned) this.kept.pin(key);
      next.left = Math.max(1, next.tokens - held) + next.made;
      next.context = held;
      next.own = next.left;
      used += next.own;
      this.running.push(next);
    }
  }

  /** Puts back the newest of the least urgent, if it is less urgent than this. */
  private putBack(urgency: number): boolean {
    let worst: Run | undefined;
    for (const run of this.running)
      if (
        run.work.urgency > urgency &&
        (!worst ||
          run.work.urgency > worst.work.urgency ||
          (run.work.urgency === worst.work.urgency && run.number > worst.number))
      )
        worst = run;
    if (!worst) return false;
    this.leave(worst);
    this.running.splice(this.running.indexOf(worst), 1);
    this.waiting.push(worst);
    this.tally.putBack += 1;
    return true;
  }

  private keep(run: Run): void {
    run.work.parts.forEach(({ tokens }, at) => {
      const key = run.keys[at]!;
      if (at < run.pinned.length) return;
      this.kept.put(key, tokens);
      this.kept.pin(key);
      run.pinned.push(key);
    });
    run.own = 0;
  }

  private yieldMemory(): void {
    this.kept.shrink(this.params.memory - (this.used - this.kept.pinned));
    while (this.used > this.params.memory && this.running.length > 1 && this.putBack(-1));
  }

  private leave(run: Run): void {
    for (const key of run.pinned) this.kept.release(key);
    run.pinned = [];
    run.own = 0;
  }
}
