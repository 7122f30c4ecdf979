/** Virtual time without tasks: what is due runs at once and in order, which is much faster than a world of hosts. */
import type { Cancel, Clock, Moment } from '../../kernel/clock/clock.js';
import { Agenda } from '../agenda.js';

export class Timeline implements Clock {
  private moment = 0;
  private count = 0;
  private readonly agenda = new Agenda();

  now(): Moment {
    return this.moment as Moment;
  }

  strict(): Moment {
    return this.now();
  }

  wall(): number {
    return this.moment;
  }

  sleep(duration: number): Promise<void> {
    return new Promise((wake) => this.after(duration, wake));
  }

  schedule(duration: number, act: () => void): Cancel {
    let isCancelled = false;
    this.after(duration, () => {
      if (!isCancelled) act();
    });
    return () => {
      isCancelled = true;
    };
  }

  after(delay: number, run: () => void): void {
    this.agenda.push({ at: this.moment + Math.max(0, delay), number: ++this.count, run });
  }

  run(until: number): void {
    while (this.agenda.next <= until) {
      const due = this.agenda.pop()!;
      this.moment = Math.max(this.moment, due.at);
      due.run();
    }
    this.moment = Math.max(this.moment, until);
  }
}
