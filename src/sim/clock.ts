/** The clock of a simulated host, on virtual time. */
import { Reckoner, type Cancel, type Clock, type Moment } from '../kernel/clock/clock.js';
import type { Host } from './host.js';

/** Reads the host's own monotonic and wall clock, and sleeps on the world's agenda. */
export class SimClock implements Clock {
  private readonly reckoner: Reckoner;

  constructor(private readonly host: Host) {
    this.reckoner = new Reckoner(
      () => this.now(),
      () => this.wall(),
    );
  }

  now(): Moment {
    return this.host.monotonic as Moment;
  }

  wall(): number {
    return this.host.wall;
  }

  strict(): Moment {
    return this.reckoner.strict();
  }

  schedule(duration: number, act: () => void): Cancel {
    let isOver = false;
    const done = (): void => {
      if (isOver) return;
      isOver = true;
      act();
    };
    // A timer that was cancelled is none any more, and takes a slow machine none of its time.
    this.host.world.at(duration, () => {
      if (!isOver) this.host.reach(done);
    });
    return () => {
      isOver = true;
    };
  }

  sleep(duration: number, signal?: AbortSignal): Promise<void> {
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
