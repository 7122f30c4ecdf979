/**
 * How fast the engines of a service read prompts, learned from this node's own requests: the time to first token of a
 * request that brings next to nothing, and milliseconds for each token read. Whatever others do at an engine only adds
 * to what is seen, so both are low quantiles of recent samples; defaults stand in until there are samples enough.
 */
const DEFAULT_BASE = 50;
const DEFAULT_PER_TOKEN = 1 / 20;
/** Requests that bring fewer tokens tell of the base, those that bring more of the rate. */
const SMALL = 1024;

class Recent {
  private readonly samples: number[];
  private at = 0;
  private stale = false;
  private kept: number;

  constructor(
    private readonly size: number,
    private readonly share: number,
    start: number,
  ) {
    this.samples = [start, start, start];
    this.kept = start;
  }

  add(sample: number): void {
    this.samples[this.at] = sample;
    this.at = (this.at + 1) % this.size;
    this.stale = true;
  }

  get value(): number {
    if (!this.stale) return this.kept;
    const sorted = [...this.samples].sort((a, b) => a - b);
    this.stale = false;
    this.kept = sorted[Math.floor((sorted.length - 1) * this.share)]!;
    return this.kept;
  }
}

/** How fast the engines of a service read prompts. */
export class Pace {
  private readonly bases = new Recent(48, 0.3, DEFAULT_BASE);
  private readonly reads = new Recent(48, 0.3, DEFAULT_PER_TOKEN);

  /** Milliseconds to the first token of an empty prompt at an idle engine. */
  get base(): number {
    return this.bases.value;
  }

  /** Milliseconds to read one token. */
  get perToken(): number {
    return this.reads.value;
  }

  /** A first piece came after `took` ms; `read` tokens are thought to have been read for it, for `ahead` ms this node's others. */
  observe(took: number, read: number, ahead: number, sure: boolean): void {
    if (read <= SMALL) this.bases.add(Math.max(0, took - ahead - read * this.perToken));
    else if (sure && ahead === 0) this.reads.add(Math.max(1e-4, (took - this.base) / read));
  }
}
