/** What the faults of a simulated day share: the machines, the callers and the operators they act upon. */
import type { Host } from '../../host.js';
import type { Operators } from '../operators.js';
import type { FaultName } from '../plan.js';
import type { Stage } from '../stage.js';
import type { Traffic } from '../traffic.js';

/** Starts a fault now; it lasts for the time given, in virtual ms. */
export type InjectFault = (lasts: number) => void;

/** The faults that one part of the fleet may meet, each by its name. */
export type FaultTable = ReadonlyArray<readonly [FaultName, InjectFault]>;

/** How long a restart of everything takes. */
export const RESTART = 600;

/** The parts of a day that faults act upon. Two faults may overlap; each undoes only what it did itself. */
export class FaultTarget {
  constructor(
    readonly stage: Stage,
    readonly traffic: Traffic,
    readonly operators: Operators,
  ) {}

  /** Undoes something after a while; until then a fault is under way. */
  during(lasts: number, undo: () => void): void {
    const done = this.stage.disturb();
    this.stage.world.at(lasts, () => {
      undo();
      done();
    });
  }

  /** Stops a machine for a while, with its clock running on or standing still. */
  standStill(host: Host, how: 'freeze' | 'suspend', lasts: number): void {
    host[how]();
    this.during(lasts, () => host.thaw());
  }

  /** Runs a machine slowly for a while. */
  slowDown(host: Host, lasts: number): void {
    host.slow();
    this.during(lasts, () => host.speedUp());
  }

  /** Every router is down and back after a restart. */
  outage(): void {
    this.stage.world.at(RESTART, () => this.traffic.outageEnds());
  }
}
