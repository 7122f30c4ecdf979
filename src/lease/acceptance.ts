/**
 * From a verdict of the register to "accepted": a change that was applied is accepted once the accord on its generation
 * says that it is in force wherever it must be, within what is left of the time its caller gives.
 */
import type { Clock } from '../kernel/clock/clock.js';
import type { Roster } from '../register/roster.js';
import type { Peers } from '../wire/peers.js';
import { seekAccord, type Accord } from './accord.js';

export class Acceptance {
  constructor(private readonly peers: Peers, private readonly roster: Roster, private readonly clock: Clock) {}

  /** Waits, at most so many ms, until a settled generation may be called accepted. */
  of(generation: number, duration: number): Promise<Accord> {
    return seekAccord(generation, Math.max(0, duration), this.peers, this.roster, this.clock);
  }
}
