/**
 * Watches every member of a simulated group at every step of the world. By id, and so over restarts but not over a lost
 * disk, a member's promise and the ballot of its accepted value never go down, and a voting member holds no revision
 * below one that it or an earlier life of it reported as committed. A member that found its disk corrupt may hold less,
 * and then does not vote, in this life or a later one. Of the whole fleet, no two members ever hold different committed
 * revisions of one number.
 */
import { ProgressCheck } from '../register/progress-check.js';
import type { MemberProgress } from '../register/member-progress.js';

/** What can be watched: one life of one member. */
export interface ObservedLife {
  readonly fleet: string;
  readonly isAlive: () => boolean;
  readonly progress: () => MemberProgress;
}

/** Judges each life of each member against all that its id showed before. */
export class MemberObserver {
  private lives: ObservedLife[] = [];
  private readonly checks = new Map<string, ProgressCheck>();
  private readonly committed = new Map<string, string>();
  /** How many times a member was looked at, so that a test can tell that the watch was on. */
  looks = 0;

  watch(life: ObservedLife): void {
    this.lives.push(life);
  }

  /** Looks at all members; says what went back, or nothing. */
  look(): string {
    if (this.lives.some((life) => !life.isAlive()))
      this.lives = this.lives.filter((life) => life.isAlive());
    for (const { fleet, progress } of this.lives) {
      const now = progress();
      if (!now.id) continue;
      this.looks += 1;
      const fault = this.judge(now) || this.judgeCommitted(fleet, now);
      if (fault) return `member ${now.id}: ${fault}`;
    }
    return '';
  }

  private judge(now: MemberProgress): string {
    const check = this.checks.get(now.id) ?? new ProgressCheck();
    this.checks.set(now.id, check);
    return check.look(now)?.reason ?? '';
  }

  private judgeCommitted(fleet: string, { committed, digest }: MemberProgress): string {
    if (committed === 0) return '';
    const key = `${fleet} ${committed}`;
    const other = this.committed.get(key) ?? digest;
    this.committed.set(key, other);
    return other === digest ? '' : `holds another committed revision ${committed} than its peers`;
  }
}
