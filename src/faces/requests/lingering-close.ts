/**
 * The end of a connection whose last answer is written. A socket that is closed over bytes nobody read is reset, and then
 * a client that still sends may lose the answer. So only our direction is ended at first; what still comes is read and
 * thrown away until the client has ended its own, for a bounded time.
 */
import type { Socket } from 'node:net';
import type { Clock, Duration, Moment } from '../../kernel/clock/clock.js';

/** ms without a byte after which the client is no longer waited for. */
const SILENCE_LIMIT: Duration = 2000;
/** ms for which a client is waited for that goes on sending. */
const TOTAL_LIMIT: Duration = 10_000;

/** Waits for one client to end its connection. */
export class LingeringClose {
  private readonly begun: Moment;
  private heardAt: Moment;
  private bytesRead: number;

  constructor(
    private readonly socket: Socket,
    private readonly clock: Clock,
  ) {
    this.begun = this.heardAt = clock.now();
    this.bytesRead = socket.bytesRead;
    socket.end();
    socket.resume();
  }

  /** Whether the client has had its time; to be asked now and then, since silence is counted between two questions. */
  isOver(): boolean {
    const now = this.clock.now();
    if (this.socket.bytesRead !== this.bytesRead) this.heardAt = now;
    this.bytesRead = this.socket.bytesRead;
    return now - this.heardAt >= SILENCE_LIMIT || now - this.begun >= TOTAL_LIMIT;
  }
}
