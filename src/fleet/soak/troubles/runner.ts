/** Brings the troubles of a schedule about, each at its time, and ends all of them when the run is at its end. */
import { setTimeout as pause } from 'node:timers/promises';
import type { Trouble, TroubleKind } from '../schedule.js';
import { engineTroubles } from './engine-troubles.js';
import type { TroubleAction, TroubleContext } from './context.js';
import { linkTroubles } from './link-troubles.js';
import { processTroubles } from './process-troubles.js';

/** A trouble with whom it struck and when, in wall clock ms; it struck nobody where it had to be left out. */
export interface PlayedTrouble {
  readonly trouble: Trouble;
  readonly began: number;
  readonly ended: number;
  readonly struck: readonly string[];
}

const actions = new Map<TroubleKind, TroubleAction>([
  ...processTroubles,
  ...linkTroubles,
  ...engineTroubles,
]);

/** Plays schedules. */
export class TroubleRunner {
  readonly played: PlayedTrouble[] = [];
  private readonly stop = new AbortController();
  private readonly running: Array<Promise<void>> = [];
  private readonly context: TroubleContext;

  constructor(parts: Omit<TroubleContext, 'wait'>) {
    this.context = { ...parts, wait: (duration) => this.wait(duration) };
  }

  /** Begins each trouble at its time; fulfilled when all have begun and `length` ms are over. */
  async play(schedule: readonly Trouble[], length: number): Promise<void> {
    const started = performance.now();
    for (const trouble of schedule) {
      await pause(Math.max(0, started + trouble.at - performance.now()));
      this.running.push(this.strike(trouble));
    }
    await pause(Math.max(0, started + length - performance.now()));
  }

  /** Ends all troubles; fulfilled when every process is up and every link is whole again. */
  async heal(): Promise<void> {
    this.stop.abort();
    await Promise.all(this.running);
  }

  private async strike(trouble: Trouble): Promise<void> {
    const began = Date.now();
    const struck = await actions.get(trouble.kind)!(this.context, trouble);
    this.played.push({ trouble, began, ended: Date.now(), struck });
  }

  private async wait(duration: number): Promise<void> {
    await pause(duration, undefined, { signal: this.stop.signal }).catch(() => undefined);
  }
}
