/** The operators of a schedule: they send orders and reads to members and note what they were answered. */
import { contentOf } from '../../src/history/order.js';
import type { ConfigureReply } from '../../src/api/configuration.js';
import type { ChangeAnswer, ReadAnswer } from '../../src/history/call.js';
import { HistoryRecorder } from '../../src/history/recorder.js';
import type { Configuration, Patch } from '../../src/route/shape.js';
import type { Cluster } from './cluster.js';
import { orderFor, type Order } from './requests.js';
import { CALLS_AT_ONCE, type CallPlan, type ChangeStep, type RepeatStep } from './steps.js';

/** For how long a member works on a call. */
const WAIT = 4000;
/** After this long a call counts as never answered: its member may be gone. */
export const GIVEN_UP_AFTER = WAIT + 1000;

const answers: Record<ConfigureReply['outcome'], ChangeAnswer> = {
  accepted: 'acknowledged',
  conflict: 'conflict',
  invalid: 'invalid',
  unknown: 'unclear',
};

export class Operators {
  readonly history: HistoryRecorder;
  readonly orders: Order[] = [];
  private newest = 0;
  private older = 0;
  private underWay = 0;

  constructor(private readonly cluster: Cluster) {
    this.history = new HistoryRecorder(() => cluster.world.now);
  }

  change(step: ChangeStep): void {
    const order = orderFor(step, this.baseFor(step));
    this.orders.push(order);
    for (const plan of step.calls) void this.send(order, plan);
  }

  repeat({ order, calls }: RepeatStep): void {
    const repeated = this.orders[this.orders.length - 1 - (order % this.orders.length)];
    if (!repeated) return;
    for (const plan of calls) void this.send(repeated, plan);
  }

  /** One call with an order; undefined when no member is up or too many calls are under way. */
  async send(order: Order, { node, answerLost }: CallPlan): Promise<ChangeAnswer | undefined> {
    const at = this.reachable(node);
    if (at === undefined || this.underWay >= CALLS_AT_ONCE) return undefined;
    const opened = this.history.openChange(`core-${at}`, order.request);
    const reply = await this.whileCounted(this.call(at, order));
    if (!reply || answerLost) return undefined;
    this.learn(reply.version);
    opened.close(answers[reply.outcome]);
    return answers[reply.outcome];
  }

  async read(node: number): Promise<ReadAnswer | undefined> {
    const at = this.reachable(node);
    if (at === undefined) return undefined;
    const opened = this.history.openRead(`core-${at}`);
    const read = await this.cluster.members[at]!.configurator.read(WAIT);
    const answer = read.caseOf<ReadAnswer>({
      Left: () => ({ kind: 'unclear' }),
      Right: (found) =>
        found
          ? { kind: 'found', version: found.version, content: contentOf(found) }
          : { kind: 'absent' },
    });
    if (answer.kind === 'found') this.learn(answer.version);
    opened.close(answer);
    return answer;
  }

  get newestKnown(): number {
    return this.newest;
  }

  private baseFor({ base, rise }: ChangeStep): number {
    if (base === 'older') return this.older;
    return base === 'future' ? this.newest + rise : this.newest;
  }

  private learn(version: number): void {
    if (version <= this.newest) return;
    this.older = this.newest;
    this.newest = version;
  }

  private call(at: number, { request, body }: Order): Promise<ConfigureReply> {
    const { configurator } = this.cluster.members[at]!;
    return request.kind === 'replace'
      ? configurator.replace(body as Configuration, request.expects, WAIT)
      : configurator.patch(body as Patch, request.expects, WAIT);
  }

  /** Counts a call as under way until it is answered, or given up because its member may be gone. */
  private async whileCounted(call: Promise<ConfigureReply>): Promise<ConfigureReply | undefined> {
    const { world } = this.cluster;
    this.underWay += 1;
    const givenUp = new Promise<undefined>((resolve) =>
      world.at(GIVEN_UP_AFTER, () => resolve(undefined)),
    );
    const reply = await Promise.race([call, givenUp]);
    this.underWay -= 1;
    return reply;
  }

  /** The member asked for, or the next one that is up. */
  private reachable(node: number): number | undefined {
    const { size } = this.cluster;
    for (let step = 0; step < size; step++)
      if (this.cluster.isUp((node + step) % size)) return (node + step) % size;
    return undefined;
  }
}
