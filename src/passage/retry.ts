/**
 * The retry budget: each fresh request earns a twentieth of a retry and nothing is there at the start. Only one whole
 * retry is ever kept, so that over any span this node sends at most a twentieth of its fresh traffic again, and one more;
 * quiet hours don't save up for a burst.
 */
export class RetryBudget {
  private earned = 0;
  fresh = 0;
  spent = 0;

  constructor(
    private readonly share = 0.05,
    private readonly kept = 1,
  ) {}

  noteFresh(): void {
    this.fresh += 1;
    this.earned = Math.min(this.kept, this.earned + this.share);
  }

  spend(): boolean {
    if (this.earned < 1) return false;
    this.earned -= 1;
    this.spent += 1;
    return true;
  }
}
