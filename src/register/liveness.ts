/** How long the voters have been silent, as one member sees it by asking them again and again. */
import type { Moment } from '../kernel/clock/clock.js';

/** For how long after its farewell a voter that answers on counts as leaving. */
const LEAVING_EXPIRES = 10_000;

interface Contact {
  /** When the first ask began that it left unanswered since its last answer. */
  failingSince: Moment | undefined;
}

export class VoterLiveness {
  private readonly contacts = new Map<string, Contact>();
  private readonly leaving = new Map<string, Moment>();

  /** `after`: for how long a voter must be silent to count as gone, in ms. */
  constructor(private readonly after: number) {}

  /**
   * Takes in one look at the voters. `forgiving`: this member was frozen itself, so that no silence counts that began
   * before this look.
   */
  note(
    voters: readonly string[],
    answering: ReadonlySet<string>,
    asked: Moment,
    now: Moment,
    forgiving: boolean,
  ): void {
    for (const id of voters) {
      const before = this.contacts.get(id);
      if (answering.has(id)) {
        if (before?.failingSince !== undefined) this.leaving.delete(id);
        this.contacts.set(id, { failingSince: undefined });
      } else if (!before || forgiving) this.contacts.set(id, { failingSince: now });
      else before.failingSince ??= asked;
    }
    for (const id of this.contacts.keys()) if (!voters.includes(id)) this.contacts.delete(id);
    for (const [id, since] of this.leaving)
      if (answering.has(id) && now - since > LEAVING_EXPIRES) this.leaving.delete(id);
  }

  /** A voter said that it stops. */
  noteLeaving(id: string, now: Moment): void {
    this.leaving.set(id, now);
  }

  isLeaving(id: string): boolean {
    return this.leaving.has(id);
  }

  /**
   * Whether a voter gave no answer for so long that it may be replaced. Its silence counts from the first ask that it left
   * unanswered: what lies between that and its last answer may be no more than the pause between two looks.
   */
  isSilent(id: string, now: Moment): boolean {
    const failingSince = this.contacts.get(id)?.failingSince;
    return failingSince !== undefined && now - failingSince >= this.after;
  }

  /** Whether any voter left the last ask unanswered. */
  get anyFailing(): boolean {
    return [...this.contacts.values()].some(({ failingSince }) => failingSince !== undefined);
  }
}
