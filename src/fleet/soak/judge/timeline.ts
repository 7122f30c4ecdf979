/** What happened to whom and when, as the judge asks for it. */
import { EVERYONE, type Incident, type IncidentKind } from '../record.js';

/** A span of wall clock time. */
export interface Span {
  readonly from: number;
  readonly till: number;
}

/** The incidents of a run by whom they struck. */
export class Timeline {
  private readonly byTarget = new Map<string, Incident[]>();

  constructor(incidents: readonly Incident[]) {
    for (const incident of incidents) {
      const known = this.byTarget.get(incident.target);
      if (known) known.push(incident);
      else this.byTarget.set(incident.target, [incident]);
    }
  }

  /** Whether an incident of these kinds struck the target, or everyone, within the span. */
  struck(target: string, kinds: ReadonlySet<IncidentKind>, { from, till }: Span): boolean {
    return this.of(target, kinds).some(({ began, ended }) => began <= till && ended >= from);
  }

  /** Whether one of these kinds began or ended within the span. */
  changed(target: string, kinds: ReadonlySet<IncidentKind>, { from, till }: Span): boolean {
    const isWithin = (at: number): boolean => at >= from && at <= till;
    return this.of(target, kinds).some(({ began, ended }) => isWithin(began) || isWithin(ended));
  }

  private of(target: string, kinds: ReadonlySet<IncidentKind>): Incident[] {
    return [target, EVERYONE].flatMap((each) =>
      (this.byTarget.get(each) ?? []).filter(({ kind }) => kinds.has(kind)),
    );
  }
}
