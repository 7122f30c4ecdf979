/**
 * Lines of waiting requests, one for each doorway, each bounded, served by share: the line that has had the least
 * service for its share goes next, in tokens, so that long drafts can't starve short questions. A head that can't be
 * placed for now lets the next line try.
 */
export interface Liner {
  readonly doorway: string;
  readonly share: number;
  readonly bound: number;
  readonly cost: number;
  /** Tries to go on; false means it must wait. */
  attempt(): boolean;
}

interface Line {
  readonly waiting: Liner[];
  served: number;
}

/** The waiting requests of all doorways. */
export class Lines {
  private readonly lines = new Map<string, Line>();
  private floor = 0;

  /** Lets a request into its line; false when the line is full. */
  enter(liner: Liner): boolean {
    const line = this.lines.get(liner.doorway) ?? { waiting: [], served: this.floor };
    if (line.waiting.length >= liner.bound) return false;
    if (line.waiting.length === 0) line.served = Math.max(line.served, this.floor);
    line.waiting.push(liner);
    this.lines.set(liner.doorway, line);
    return true;
  }

  leave(liner: Liner): void {
    const line = this.lines.get(liner.doorway);
    if (!line) return;
    const at = line.waiting.indexOf(liner);
    if (at >= 0) line.waiting.splice(at, 1);
    if (line.waiting.length === 0 && line.served <= this.floor) this.lines.delete(liner.doorway);
  }

  /** Lets on as many as can go. */
  serve(): void {
    for (let moved = true; moved;) {
      moved = false;
      const order = [...this.lines.values()]
        .filter(({ waiting }) => waiting.length > 0)
        .sort((a, b) => a.served - b.served);
      for (const line of order) {
        const [head] = line.waiting;
        if (!head?.attempt()) continue;
        this.floor = Math.max(this.floor, line.served);
        line.served += head.cost / head.share;
        this.leave(head);
        moved = true;
        break;
      }
    }
  }

  get waiting(): number {
    return [...this.lines.values()].reduce((sum, { waiting }) => sum + waiting.length, 0);
  }

  ahead(doorway: string): number {
    return this.lines.get(doorway)?.waiting.length ?? 0;
  }
}
