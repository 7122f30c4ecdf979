/**
 * The end of a soak: everything must come back, what was answered to orders must hold when they are sent again, and every
 * process must show the configuration.
 */
import { pick, type Random } from '../../kernel/random/random.js';
import type { Fleet } from '../fleet.js';
import type { RecordedOperators } from '../history.js';
import type { OpaqueScene } from '../opaque.js';
import type { ReadBack } from './judge/configuration.js';
import { readMetrics } from './metrics.js';
import type { SentOrder, SentOrders } from './operators.js';
import type { Processes } from './processes.js';
import type { SoakFinding } from './record.js';
import { KINDS } from './traffic.js';

/** Far above what anything takes to come back; a busy machine is no verdict. */
const HEAL_LIMIT = 120_000;
/** Requests of each kind that must be served after everything has healed. */
const SERVED_AFTER = 5;
/** Orders of each sort that are sent once more. */
const REPEATED = 40;
/** How often an order without a clear answer is sent. */
const REPEATED_TRIES = 20;

/** What a router tells of requests that it took and whose end it has not recorded. */
const UNENDED = 'rudderridge_requests_unended';

const isOpen = ({ acknowledgedAt, refusedAt }: SentOrder): boolean =>
  acknowledgedAt === undefined && refusedAt === undefined;

/** What is done and looked at once all troubles are over. */
export class Closing {
  readonly findings: SoakFinding[] = [];

  constructor(
    private readonly fleet: Fleet,
    private readonly processes: Processes,
    private readonly scene: OpaqueScene,
    private readonly operators: RecordedOperators,
    private readonly orders: SentOrders,
    private readonly random: Random,
    /** How many core machines are to vote; the others are learners. */
    private readonly voters: number,
  ) {}

  /** Every process must be ready again, and every kind of request served. */
  async awaitRecovery(): Promise<void> {
    await this.awaitReady();
    const since = Date.now();
    for (const { name } of KINDS) await this.awaitServed(name, since);
  }

  /** Sends some of the orders once more: what was answered clearly must be answered so again, or not clearly. */
  async repeatOrders(): Promise<void> {
    const { all } = this.orders;
    const open = all.filter(isOpen).slice(-REPEATED);
    const newest = all.slice(-REPEATED);
    const older = Array.from({ length: REPEATED }, () => pick(this.random, all)!);
    for (const sent of new Set([...open, ...older, ...newest])) await this.repeat(sent);
  }

  async readBackAll(): Promise<ReadBack[]> {
    const readBacks: ReadBack[] = [];
    for (const node of this.processes.all) readBacks.push(await this.readBack(node));
    return readBacks;
  }

  /** With no request under way any more, each router must have recorded the end of all that it took. */
  async awaitEnds(): Promise<void> {
    for (const name of this.processes.routers) await this.awaitEndsAt(name);
  }

  private async awaitEndsAt(name: string): Promise<void> {
    let unended: number | undefined;
    const isEnded = async (): Promise<boolean> => {
      unended = (await readMetrics(this.fleet.operators.get(name)!))?.get(UNENDED);
      return unended === 0;
    };
    await this.fleet
      .until(`all requests at ${name} to be ended`, isEnded, HEAL_LIMIT)
      .catch(() => this.find('unended', name, `${unended ?? 'unknown'} requests without an end`));
  }

  private async awaitReady(): Promise<void> {
    let reason = '';
    const isReady = async (): Promise<boolean> => {
      const told = await this.processes.allReady(this.voters);
      ({ reason } = told);
      return told.isReady;
    };
    await this.fleet
      .until('all to be ready', isReady, HEAL_LIMIT)
      .catch(() => this.find('not-ready', 'processes', reason));
  }

  private async awaitServed(kind: string, since: number): Promise<void> {
    const served = (): number =>
      this.scene.caller.asked.filter(
        ({ name, began, outcome }) => name === kind && began >= since && outcome === 'served',
      ).length;
    const isServed = (): Promise<boolean> => Promise.resolve(served() >= SERVED_AFTER);
    await this.fleet
      .until(`${kind} to be served`, isServed, HEAL_LIMIT)
      .catch(() => this.find('not-served', kind, `${served()} since all was healed`));
  }

  private async repeat(sent: SentOrder): Promise<void> {
    const most = isOpen(sent) ? REPEATED_TRIES : 1;
    for (let tries = 0; tries < most; tries++) {
      const node = pick(this.random, this.processes.cores)!;
      const answer = await this.operators.send(node, sent.order, sent.isValid);
      this.orders.note(sent, answer);
      if (answer !== 'unclear') return;
    }
  }

  private async readBack(node: string): Promise<ReadBack> {
    let readBack: ReadBack = { node, configuration: undefined, isClear: false };
    const read = async (): Promise<boolean> => {
      const shown = await this.operators.show(node);
      if (shown) readBack = { node, configuration: shown.configuration, isClear: true };
      return readBack.isClear;
    };
    await this.fleet
      .until(`${node} to show the configuration`, read, HEAL_LIMIT)
      .catch(() => undefined);
    return readBack;
  }

  private find(rule: string, subject: string, detail: string): void {
    this.findings.push({ rule, subject, detail });
  }
}
