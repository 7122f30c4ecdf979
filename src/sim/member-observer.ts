/**
 * Watches every member of a simulated group at every step of the world. By id, and so over restarts but not over a lost
 * disk, a member's promise and the ballot of its accepted value never go down, and a voting member holds no revision
 * below one that it or an earlier life of it reported as committed. A member that found its disk corrupt may hold less,
 * and then does not vote, in this life or a later one. Of the whole fleet, no two members ever hold different committed
 * revisions of one number.
 */
import { ballotText, compareBallots, FIRST, type Ballot } from '../register/ballot.js';
import type { MemberProgress } from '../register/replica.js';

/** What can be watched: one life of one member. */
export interface ObservedLife {
  readonly fleet: string;
  readonly isAlive: () => boolean;
  readonly progress: () => MemberProgress;
}

interface HighestSeen {
  promised: Ballot;
  accepted: Ballot;
  committed: number;
}

/** Judges each life of each member against all that its id showed before. */
export class MemberObserver {
  private lives: ObservedLife[] = [];
  private readonly highest = new Map<string, HighestSeen>();
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
    if (now.isDisqualified) return now.isVoting ? 'votes though it is disqualified' : '';
    const seen = this.highest.get(now.id) ?? { promised: FIRST, accepted: FIRST, committed: 0 };
    this.highest.set(now.id, seen);
    if (compareBallots(now.promised, seen.promised) < 0)
      return `promised fell from ${ballotText(seen.promised)} to ${ballotText(now.promised)}`;
    if (compareBallots(now.accepted, seen.accepted) < 0)
      return `accepted fell from ${ballotText(seen.accepted)} to ${ballotText(now.accepted)}`;
    if (compareBallots(now.promised, now.accepted) < 0)
      return `accepted ${ballotText(now.accepted)} above its promise ${ballotText(now.promised)}`;
    if (now.isVoting && now.revision < Math.max(seen.committed, now.committed))
      return `holds revision ${now.revision}, below committed ${Math.max(seen.committed, now.committed)}`;
    if (now.committed > 0 && now.committed < seen.committed)
      return `committed fell from ${seen.committed} to ${now.committed}`;
    seen.promised = now.promised;
    seen.accepted = now.accepted;
    if (now.isVoting) seen.committed = Math.max(seen.committed, now.committed);
    return '';
  }

  private judgeCommitted(fleet: string, { committed, digest }: MemberProgress): string {
    if (committed === 0) return '';
    const key = `${fleet} ${committed}`;
    const other = this.committed.get(key) ?? digest;
    this.committed.set(key, other);
    return other === digest ? '' : `holds another committed revision ${committed} than its peers`;
  }
}
