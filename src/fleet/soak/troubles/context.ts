/** What the troubles of a soak work with. */
import type { OpaqueScene } from '../../opaque.js';
import type { EngineSlots } from '../engine-slots.js';
import type { SoakNetwork } from '../network.js';
import type { Processes } from '../processes.js';
import type { Incidents } from '../record.js';
import type { Redundancy } from '../redundancy.js';
import type { Trouble, TroubleKind } from '../schedule.js';

/** The parts of a soak that troubles strike. */
export interface TroubleContext {
  readonly processes: Processes;
  readonly network: SoakNetwork;
  readonly scene: OpaqueScene;
  readonly engines: EngineSlots;
  readonly incidents: Incidents;
  readonly redundancy: Redundancy;
  /** Waits so many ms, or until the run is at its end. */
  readonly wait: (duration: number) => Promise<void>;
}

/** Brings a trouble about and ends it; gives the names of what it struck, none where it could not be. */
export type TroubleAction = (
  context: TroubleContext,
  trouble: Trouble,
) => Promise<readonly string[]>;

/** The actions of some kinds of trouble. */
export type TroubleActions = ReadonlyMap<TroubleKind, TroubleAction>;

/** So many of some names, beginning with one that the trouble's number says. */
export const chosen = (
  names: readonly string[],
  { target }: Pick<Trouble, 'target'>,
  count = 1,
): string[] =>
  Array.from(
    { length: Math.min(count, names.length) },
    (_, at) => names[(target + at) % names.length]!,
  );

/** A number from `least` to `most` by the trouble's choice. */
export const between = ({ choice }: Pick<Trouble, 'choice'>, least: number, most: number): number =>
  least + (choice % (most - least + 1));
