/**
 * The link of a simulated machine that carries only so many bytes in a ms. What comes in on several channels at once shares
 * it in turn, piece by piece, as connections share a real one; each channel keeps its order.
 */
import type { World } from './world.js';

/** Bytes that one channel is given before the next one has its turn: those of a few packets. */
const PIECE = 4096;

/** The receiving end of a channel. */
export interface LinkReceiver {
  readonly isClosed: boolean;
  /** Some bytes of a frame have come in; `frame` is given with its last ones. */
  receivePiece(bytes: number, frame: Uint8Array | undefined): void;
}

interface Transfer {
  readonly frame: Uint8Array;
  left: number;
}

/** Carries the frames that come in at one machine. */
export class SimLink {
  /** What is still to come in on each channel, in the order of their turns. */
  private readonly queues = new Map<LinkReceiver, Transfer[]>();
  private isBusy = false;

  constructor(
    private readonly world: World,
    private readonly bytesPerMillisecond: number,
  ) {}

  /** Takes a frame that has reached the link; its channel hears of each piece as it comes in. */
  carry(receiver: LinkReceiver, frame: Uint8Array): void {
    const queue = this.queues.get(receiver) ?? [];
    queue.push({ frame, left: frame.length });
    this.queues.set(receiver, queue);
    if (!this.isBusy) this.carryNext();
  }

  private carryNext(): void {
    const [next] = this.queues;
    this.isBusy = next !== undefined;
    if (!next) return;
    const [receiver, queue] = next;
    const bytes = Math.min(PIECE, queue[0]!.left);
    this.world.at(bytes / this.bytesPerMillisecond, () => {
      this.finishPiece(receiver, queue, bytes);
      this.carryNext();
    });
  }

  private finishPiece(receiver: LinkReceiver, queue: Transfer[], bytes: number): void {
    this.queues.delete(receiver);
    // The sender of a channel that was closed is told so, and sends no more.
    if (receiver.isClosed) return;
    const [transfer] = queue;
    transfer!.left -= bytes;
    const isWhole = transfer!.left <= 0;
    if (isWhole) queue.shift();
    if (queue.length > 0) this.queues.set(receiver, queue);
    receiver.receivePiece(bytes, isWhole ? transfer!.frame : undefined);
  }
}
