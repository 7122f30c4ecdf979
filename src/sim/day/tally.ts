/** What a day writes down as it goes: findings, faults that were injected, and how often each situation came up. */
import type { DayFinding, Situation } from './plan.js';

export class Tally {
  readonly findings: DayFinding[] = [];
  readonly faults: string[] = [];
  readonly situations = new Map<Situation, number>();

  find(breach: string, detail: string, request = ''): void {
    this.findings.push({ breach, request, detail });
  }

  note(situation: Situation, count = 1): void {
    this.situations.set(situation, (this.situations.get(situation) ?? 0) + count);
  }
}
