/**
 * Repair of a member's history. It walks back from the newest committed revision along the digests each revision
 * names for the one before; where its own file is missing, spoilt or was never chosen, it takes the revision from
 * another member and checks it against the chain. Once the history is whole, ranges of files are read again in turn
 * and compared by one digest over the range, so that what spoils on the disk later is found and mended as well. Where old
 * revisions are taken away, the history begins at the floor, or above what no other member holds any more; the newest committed
 * revision is never given up, since what follows is checked against it.
 */
import type { Clock } from '../kernel/clock/clock.js';
import type { Log } from '../kernel/log/log.js';
import { shuffled, type Random } from '../kernel/random/random.js';
import type { Peers } from '../wire/peers.js';
import { History } from './calls.js';
import { digestOf } from './hash.js';
import type { Member } from './member.js';
import type { VoterDirectory } from './voter-directory.js';

const RANGE = 64;
const EVERY = 2000;
const ASK_LIMIT = 1000;

export class Repair {
  private cursor = 0;
  private scrub = 0;
  private missing = 0;

  constructor(
    private readonly member: Member,
    private readonly peers: Peers,
    private readonly voterDirectory: VoterDirectory,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
    private readonly self: string,
    private readonly pruned = false,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.walk(signal);
      await this.compare();
      await this.clock.sleep(EVERY * (0.75 + 0.5 * this.random.fraction()), signal);
    }
  }

  /** Goes back along the chain over what was not yet looked at. */
  private async walk(signal: AbortSignal): Promise<void> {
    const top = this.member.committedRevision;
    const bottom = (): number => Math.max(this.cursor, this.member.chain.floor - 1);
    for (let revision = top; revision > bottom() && !signal.aborted; revision--)
      if (!(await this.check(revision))) return;
    this.cursor = Math.max(this.cursor, top);
  }

  /** Reads one range from the disk again and compares it with the chain by one digest. */
  private async compare(): Promise<void> {
    if (this.cursor === 0) return;
    const from = Math.max(this.scrub + 1, this.member.chain.floor);
    const to = Math.min(this.cursor, from + RANGE - 1);
    const digests: string[] = [];
    for (let revision = from; revision <= to; revision++)
      digests.push((await this.member.inspect(revision)) ?? '');
    if (digestOf(digests.join(' ')) !== this.member.chain.rangeDigest(from, to)) {
      this.log('range-differs', [
        ['from', from],
        ['to', to],
      ]);
      for (let revision = from; revision <= to; revision++) await this.check(revision);
    }
    this.scrub = to >= this.cursor ? 0 : to;
  }

  private async check(revision: number): Promise<boolean> {
    const wanted = this.member.chain.digest(revision);
    if (wanted === undefined) return false;
    if ((await this.member.inspect(revision)) === wanted) return true;
    const others = shuffled(
      this.random,
      this.voterDirectory.addresses.filter((each) => each !== this.self),
    );
    let without = 0;
    for (const address of others) {
      const reply = await this.peers.ask(address, History, { revision }, ASK_LIMIT, 'silence');
      const item = reply.map(({ items }) => items[0]).orDefault(undefined);
      if (item && (await this.member.mend(revision, item))) return true;
      if (reply.isRight() && !item) without += 1;
    }
    if (this.missing !== revision) this.log('revision-missing', [['revision', revision]]);
    this.missing = revision;
    const isNewest = revision >= this.member.committedRevision;
    if (this.pruned && !isNewest && others.length > 0 && without === others.length)
      this.member.chain.raise(revision + 1);
    return false;
  }
}
