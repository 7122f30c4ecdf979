/** Says plainly which of the losses that are asked of the voters they do not bear, and when they bear them again. */
import type { Log } from '../kernel/log/log.js';
import { bearableLosses, NO_LOSSES, shortfall, type Losses } from './failure-domains.js';
import type { Look } from './voter-change.js';

const textOf = ({ machines, zones, regions }: Losses): string =>
  `machines ${machines}, zones ${zones}, regions ${regions}`;

/** What the voters bear, logged whenever that changes. */
export class LossesReport {
  /** What the voters bore at the last look; nothing before it. */
  borne: Losses = NO_LOSSES;
  private reported = '';

  constructor(
    private readonly asked: Losses,
    private readonly log: Log,
  ) {}

  /** Takes in where the voters of a look stand. */
  note({ set: { members, number }, locationOf }: Look): void {
    const locations = members.map(locationOf);
    this.borne = bearableLosses(locations);
    const isMet = shortfall(locations, this.asked) === 0;
    const report = isMet ? '' : textOf(this.borne);
    if (report === this.reported) return;
    this.reported = report;
    this.log(isMet ? 'losses-borne' : 'losses-not-borne', [
      ['asked', textOf(this.asked)],
      ['borne', textOf(this.borne)],
      ['voters', members.length],
      ['set', number],
    ]);
  }
}
