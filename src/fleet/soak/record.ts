/** What a soak notes of its own doing, so that the judge can tell what an end was owed to. Moments are wall clock ms. */
import type { TroubleKind } from './schedule.js';

/** What happened to whom: a trouble, or the part of one that a judge must know by itself. */
export type IncidentKind =
  | TroubleKind
  /** The process was ended without warning, or is not up again. */
  | 'down'
  | 'paused'
  /** It was told to stop, until it is up again. */
  | 'stopping'
  /** It was told to read its params again. */
  | 'reloading'
  /** Its links to callers, or to an engine, were held or reset. */
  | 'link'
  /** Its links to peers were held, reset or delayed. */
  | 'peers'
  /** An engine broke off, misbehaved, ended, or was not reached. */
  | 'engine'
  /** This very process stood still, so that its clocks and its engines did. */
  | 'harness';

/** A span of time in which something was not as usual. */
export interface Incident {
  readonly kind: IncidentKind;
  /** The process, or the engine. */
  readonly target: string;
  readonly began: number;
  /** Infinity while it goes on. */
  ended: number;
}

/** Stands for all processes. */
export const EVERYONE = '*';

/** The incidents of a run. */
export class Incidents {
  readonly all: Incident[] = [];

  constructor(private readonly now: () => number = () => Date.now()) {}

  /** Notes one that begins now; it lasts until the returned function is called. */
  begin(kind: IncidentKind, target: string): () => void {
    const incident: Incident = { kind, target, began: this.now(), ended: Infinity };
    this.all.push(incident);
    return () => {
      if (incident.ended === Infinity) incident.ended = this.now();
    };
  }

  /** Notes one that is over at once. */
  note(kind: IncidentKind, target: string, began = this.now()): void {
    this.all.push({ kind, target, began, ended: this.now() });
  }
}

/** Something that a run should not have shown. */
export interface SoakFinding {
  readonly rule: string;
  readonly subject: string;
  readonly detail: string;
}
