/**
 * One direction of a relayed connection: hands on what one socket reads to another in order, late or not at all while it
 * is told so. The end of a connection, in order or by a reset, travels behind the bytes that came before it.
 */
import type { Socket } from 'node:net';

type Item = Buffer | 'end' | 'reset';

interface Queued {
  readonly item: Item;
  readonly due: number;
}

/** How one direction of a connection is to be carried now. */
export interface Carriage {
  readonly isHeld: boolean;
  /** ms. */
  readonly delay: number;
  /** Bytes in a ms. */
  readonly rate: number;
}

/** Bytes that are kept back before the sender is no longer read. */
const QUEUE_BOUND = 8 * 1024 * 1024;
/** Bytes that are handed on at once where the rate is bounded. */
const PIECE = 4096;

/** Carries one direction of a connection. */
export class Pump {
  private readonly queue: Queued[] = [];
  private queuedBytes = 0;
  private isHeld = false;
  private delay = 0;
  private rate = Infinity;
  /** When what was handed on last has gone through, at the rate in force. */
  private freeAt = 0;
  private isBlocked = false;
  private timer: NodeJS.Timeout | undefined;

  /** `inspect` sees each piece before it is handed on and says whether it may be. */
  constructor(
    private readonly from: Socket,
    private readonly to: Socket,
    private readonly inspect: (chunk: Buffer) => boolean = () => true,
  ) {
    from.on('data', (chunk: Buffer) => this.push(chunk));
    from.once('end', () => this.push('end'));
    from.once('close', (hadError) => {
      if (hadError) this.push('reset');
    });
    to.on('drain', () => {
      this.isBlocked = false;
      this.flush();
    });
    from.resume();
  }

  set({ isHeld, delay, rate }: Carriage): void {
    this.isHeld = isHeld;
    this.delay = delay;
    this.rate = rate;
    this.flush();
  }

  /** Nothing is handed on any more. */
  stop(): void {
    clearTimeout(this.timer);
    this.queue.length = 0;
    this.isHeld = true;
  }

  private push(item: Item): void {
    const due = performance.now() + this.delay;
    for (const piece of this.piecesOf(item)) this.queue.push({ item: piece, due });
    if (Buffer.isBuffer(item)) this.queuedBytes += item.length;
    if (this.queuedBytes > QUEUE_BOUND) this.from.pause();
    this.flush();
  }

  private piecesOf(item: Item): Item[] {
    if (!Buffer.isBuffer(item) || this.rate === Infinity) return [item];
    const count = Math.ceil(item.length / PIECE);
    return Array.from({ length: count }, (_, at) => item.subarray(at * PIECE, (at + 1) * PIECE));
  }

  private flush(): void {
    clearTimeout(this.timer);
    while (!this.isHeld && !this.isBlocked) {
      const [next] = this.queue;
      if (!next) break;
      const left = Math.max(next.due, this.freeAt) - performance.now();
      if (left > 0) {
        this.timer = setTimeout(() => this.flush(), left);
        return;
      }
      this.queue.shift();
      this.deliver(next.item);
    }
    if (this.queuedBytes <= QUEUE_BOUND && this.from.isPaused()) this.from.resume();
  }

  private deliver(item: Item): void {
    if (item === 'reset') return void this.to.resetAndDestroy();
    if (item === 'end') return void this.to.end();
    this.queuedBytes -= item.length;
    this.freeAt = Math.max(this.freeAt, performance.now()) + item.length / this.rate;
    if (!this.inspect(item) || this.to.destroyed) return;
    this.isBlocked = !this.to.write(item);
  }
}
