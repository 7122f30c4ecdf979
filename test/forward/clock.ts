/** Time that a test moves by hand, for what waits through the clock service. */
import type { Cancel, Clock, Moment } from '../../src/kernel/clock/clock.js';
import { arrivedIsRead } from '../../src/kernel/net/arrived.js';

interface Sleeper {
  readonly until: number;
  readonly wake: () => void;
}

/** A clock that stands still until it is advanced. */
export class HandClock implements Clock {
  private at = 0;
  private readonly sleepers = new Set<Sleeper>();
  /** Those whose time has come, until the sockets were read. */
  private readonly due = new Set<Sleeper>();

  now(): Moment {
    return this.at as Moment;
  }

  strict(): Moment {
    return this.at as Moment;
  }

  wall(): number {
    return this.at;
  }

  sleep(duration: number, signal?: AbortSignal): Promise<void> {
    return new Promise((wake) => {
      if (signal?.aborted) return wake();
      const sleeper = { until: this.at + duration, wake };
      this.sleepers.add(sleeper);
      signal?.addEventListener('abort', () => {
        this.sleepers.delete(sleeper);
        wake();
      });
    });
  }

  schedule(duration: number, act: () => void): Cancel {
    const sleeper = { until: this.at + duration, wake: act };
    this.sleepers.add(sleeper);
    return () => {
      this.sleepers.delete(sleeper);
      this.due.delete(sleeper);
    };
  }

  /** Moves time on, and wakes whoever was to wake by then; as by the system's clock, once the sockets were read. */
  advance(by: number): void {
    this.at += by;
    for (const sleeper of [...this.sleepers].filter(({ until }) => until <= this.at)) {
      this.sleepers.delete(sleeper);
      this.due.add(sleeper);
      void arrivedIsRead().then(() => {
        if (this.due.delete(sleeper)) sleeper.wake();
      });
    }
  }
}

/** Lets the event loop turn, without a moment of the test's own time passing. */
export const turns = async (count = 30): Promise<void> => {
  for (let turn = 0; turn < count; turn++) await new Promise((resolve) => setImmediate(resolve));
};

/** Turns the event loop until the condition holds; the test's time limit bounds it. */
export const eventually = async (condition: () => boolean): Promise<void> => {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve));
};
