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
    return [target, EVERYONE].some((each) =>
      (this.byTarget.get(each) ?? []).some(
        ({ kind, began, ended }) => kinds.has(kind) && began <= till && ended >= from,
      ),
    );
  }
}
