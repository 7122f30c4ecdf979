/**
 * The loss at the end of a soak: right after an acknowledgement every process is killed, also those without a vote, and as
 * many voters as tolerated lose their disks. What was acknowledged must still be there once all are started again.
 */
import { operate } from '../../client/operate.js';
import { pick, type Random } from '../../kernel/random/random.js';
import { operatorKey, type Fleet } from '../fleet.js';
import type { SentOrders } from './operators.js';
import type { Processes } from './processes.js';
import type { SoakFinding } from './record.js';
import type { Redundancy } from './redundancy.js';

/** Far above what it takes until all voters hold everything; a busy machine is no verdict. */
const WHOLE_LIMIT = 120_000;

/** What was lost, and right after which acknowledgement. */
export interface Loss {
  readonly version: number;
  readonly voters: readonly string[];
}

/** Brings the loss at the end about. */
export class FinalLoss {
  readonly findings: SoakFinding[] = [];
  /** The loss, once it has been brought about. */
  loss: Loss | undefined;

  constructor(
    private readonly fleet: Fleet,
    private readonly processes: Processes,
    private readonly orders: SentOrders,
    private readonly redundancy: Pick<Redundancy, 'isFull'>,
    private readonly random: Random,
  ) {}

  /**
   * Needs operators that go on changing the configuration. All voters must hold everything again after the troubles, amid
   * these changes; `count` of them lose their disks. Every process is up again, ready or not, when this is fulfilled.
   */
  async strike(count: number): Promise<void> {
    const voters = await this.awaitFull();
    if (!voters) return;
    const victims = this.choose(voters, count);
    const { order } = await this.orders.nextAcknowledged();
    const restarts = await Promise.all(this.processes.all.map((name) => this.processes.kill(name)));
    await Promise.all(victims.map((name) => this.processes.loseDisk(name)));
    this.loss = { version: order.body.version, voters: victims };
    await Promise.all(restarts.map((restart) => restart()));
  }

  /** The voters, once all of them hold everything. */
  private async awaitFull(): Promise<readonly string[] | undefined> {
    let voters: readonly string[] = [];
    const isFull = async (): Promise<boolean> => {
      voters = await this.readVoters();
      return voters.length > 0 && (await this.redundancy.isFull());
    };
    try {
      await this.fleet.until('all voters to hold everything', isFull, WHOLE_LIMIT);
      return voters;
    } catch {
      const detail = `not all voters hold the newest configuration: ${voters.join(', ')}`;
      this.findings.push({ rule: 'not-redundant', subject: 'core', detail });
      return undefined;
    }
  }

  /** The names of the voters as the first core machine shows them. */
  private async readVoters(): Promise<readonly string[]> {
    const [core] = this.processes.cores;
    const [firm] = this.fleet.plan.firms;
    const target = { node: this.fleet.operators.get(core!)!, key: operatorKey(firm!) };
    const shown = await operate(target, 'core.show', {});
    const addresses = new Set(
      shown.map(({ members }) => members.map(({ address }) => address)).orDefault([]),
    );
    return this.processes.cores.filter((name) => addresses.has(this.fleet.advertised.get(name)!));
  }

  private choose(voters: readonly string[], count: number): string[] {
    const left = [...voters];
    return Array.from({ length: Math.min(count, left.length) }, () => {
      const chosen = pick(this.random, left)!;
      left.splice(left.indexOf(chosen), 1);
      return chosen;
    });
  }
}
