/**
 * The nodes that follow a member, and the revision that each has in force. An ask for what follows a revision says that
 * the asker has that one in force, so following reports a change at no cost of its own.
 */
import { later, type Clock, type Duration, type Moment } from '../kernel/clock/clock.js';

/** How long a follower that should ask again is still counted as one. */
const LAG = 300;
/** How many followers are remembered; asks of others are answered all the same. */
const BOUND = 4096;

interface Following {
  readonly revision: number;
  readonly until: Moment;
}

/** Who follows one member, and how far. */
export class Followers {
  private readonly following = new Map<string, Following>();
  private readonly watchers = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /** Notes that a node has a revision in force, and will ask again after some time at the latest. */
  note(node: string, revision: number, wait: Duration): void {
    const before = this.following.get(node);
    if (!before && this.following.size >= BOUND) this.sweep();
    if (!before && this.following.size >= BOUND) return;
    this.following.set(node, {
      revision: Math.max(revision, before?.revision ?? 0),
      until: later(this.clock.now(), wait + LAG),
    });
    if (revision > (before?.revision ?? 0)) for (const wake of [...this.watchers]) wake();
  }

  /** A node that said that it stops. */
  forget(node: string): void {
    this.following.delete(node);
    for (const wake of [...this.watchers]) wake();
  }

  /** The newest revision that a node told to have in force, 0 where it told none. */
  revisionOf(node: string): number {
    return this.following.get(node)?.revision ?? 0;
  }

  /** Waits until none of some nodes that follow now is behind a revision, or until the limit. */
  async caughtUp(nodes: ReadonlySet<string>, revision: number, limit: Duration): Promise<void> {
    if (!this.isAnyBehind(nodes, revision)) return;
    await new Promise<void>((resolve) => {
      const done = (): void => {
        cancel();
        this.watchers.delete(look);
        resolve();
      };
      const look = (): void => {
        if (!this.isAnyBehind(nodes, revision)) done();
      };
      const cancel = this.clock.schedule(limit, done);
      this.watchers.add(look);
    });
  }

  private isAnyBehind(nodes: ReadonlySet<string>, revision: number): boolean {
    const now = this.clock.now();
    for (const [node, { revision: held, until }] of this.following)
      if (held < revision && until > now && nodes.has(node)) return true;
    return false;
  }

  private sweep(): void {
    const now = this.clock.now();
    for (const [node, { until }] of this.following) if (until <= now) this.following.delete(node);
  }
}
