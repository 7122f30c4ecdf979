/**
 * Time as a service. `now` is monotonic and private to the process: limits, and whoever waits a lease out, use only it,
 * so that they can only wait longer. Whoever relies on a lease counts by `strict`, which advances by the larger of what
 * the monotonic and the wall clock advance: a machine that was suspended with its monotonic clock standing finds its
 * leases lapsed, and a wall clock set forward only makes them lapse early. Every wait in the program goes through
 * `sleep` or `schedule`, so that the checker may run the same tasks on its own time. What waited goes on only after the
 * sockets were read, so that a process that stood still takes nobody for silent whose words lie unread.
 */
import { Injectable } from '@nestjs/common';

/** A reading of a monotonic clock, in ms; only readings of the same process compare. */
export type Moment = number & { readonly Moment: unique symbol };

/** A span of time in ms. */
export type Duration = number;

/** The moment that lies a duration after another. */
export const later = (moment: Moment, by: Duration): Moment => (moment + by) as Moment;

/** Takes a scheduled act back; does nothing once it was run. */
export type Cancel = () => void;

/** The time as the program sees it, and waiting. */
export interface Clock {
  now(): Moment;
  strict(): Moment;
  wall(): number;
  sleep(duration: Duration, signal?: AbortSignal): Promise<void>;
  /** Runs an act after some time unless it is cancelled first; much cheaper than a sleep with a signal. */
  schedule(duration: Duration, act: () => void): Cancel;
}

/** How far the wall clock may run ahead of the monotonic one before the difference is counted: what strict time may lack. */
export const SLACK = 20;

/**
 * Keeps the strict time. Small differences between the clocks, as of their grain or of slewing, are not counted each on
 * its own but only once they add up to more than the slack; a wall clock set back changes nothing.
 */
export class Reckoner {
  private lead: number;
  private skew = 0;

  constructor(
    private readonly now: () => number,
    private readonly wall: () => number,
  ) {
    this.lead = wall() - now();
  }

  strict(): Moment {
    const now = this.now();
    const lead = this.wall() - now;
    if (lead < this.lead) this.lead = lead;
    else if (lead - this.lead > SLACK) {
      this.skew += lead - this.lead;
      this.lead = lead;
    }
    return (now + this.skew) as Moment;
  }
}

/** Is told of each timer that fires, with how many ms after its time. */
export type LateTimer = (now: Moment, late: Duration) => void;

/** The clock of the operating system. */
@Injectable()
export class SystemClock implements Clock {
  /** Watches how late timers fire. */
  onTimer: LateTimer | undefined;
  private readonly reckoner = new Reckoner(
    () => this.now(),
    () => this.wall(),
  );

  now(): Moment {
    return performance.now() as Moment;
  }

  wall(): number {
    return Date.now();
  }

  strict(): Moment {
    return this.reckoner.strict();
  }

  schedule(duration: Duration, act: () => void): Cancel {
    const wait = Math.max(0, duration);
    const due = this.now() + wait;
    let following: NodeJS.Immediate | undefined;
    const timer = setTimeout(() => {
      const now = this.now();
      this.onTimer?.(now, now - due);
      // After a standstill timers come first: what has arrived meanwhile is read before anyone wakes.
      following = setImmediate(act);
    }, wait);
    return () => {
      clearTimeout(timer);
      clearImmediate(following);
    };
  }

  sleep(duration: Duration, signal?: AbortSignal): Promise<void> {
    return new Promise((wake) => {
      if (signal?.aborted) return wake();
      const cancel = this.schedule(duration, done);
      function done(): void {
        cancel();
        signal?.removeEventListener('abort', done);
        wake();
      }
      signal?.addEventListener('abort', done, { once: true });
    });
  }
}

/** Waits for a promise until a limit; the promise goes on by itself when the limit comes first. */
export const within = <T>(
  clock: Clock,
  limit: Duration,
  promise: Promise<T>,
): Promise<T | undefined> =>
  new Promise((resolve, reject) => {
    const cancel = clock.schedule(limit, () => resolve(undefined));
    promise.then(resolve, reject);
    void promise.then(cancel, cancel);
  });
