/**
 * Calls on the configuration of a fleet of real processes, sent to any node and recorded for the history checker. Calls
 * are not repeated here: whoever drives a scenario says which order goes where, how often and when.
 */
import { operate } from '../client/operate.js';
import type { ChangeAnswer, ReadAnswer } from '../history/call.js';
import { contentOf, requestOf, type ConfigurationOrder } from '../history/order.js';
import { HistoryRecorder } from '../history/recorder.js';
import type { Configuration } from '../route/shape.js';
import { operatorKey, type Fleet } from './fleet.js';

const answers = new Map<string, ChangeAnswer>([
  ['accepted', 'acknowledged'],
  ['conflict', 'conflict'],
  ['invalid', 'invalid'],
]);

/** What a read showed: a version with its configuration, or that there is none yet. */
export interface Shown {
  readonly version: number;
  readonly configuration: Configuration | undefined;
}

/** ms that a call may take beyond the time that its node is given; a call that is lost ends then. */
const CALL_LIMIT = 65_000;

/** Operators that send orders to nodes and record the answers. */
export class RecordedOperators {
  readonly history = new HistoryRecorder(() => performance.now());

  /** `reach` gives the address by which an operator reaches a node. */
  constructor(
    private readonly fleet: Fleet,
    private readonly wait: number,
    private readonly limit = CALL_LIMIT,
    private readonly reach = (node: string): string => fleet.operators.get(node)!,
  ) {}

  async send(node: string, order: ConfigurationOrder, valid = true): Promise<ChangeAnswer> {
    const opened = this.history.openChange(node, requestOf(order, valid));
    const { body, expects } = order;
    const { wait, limit } = this;
    const target = this.target(node);
    const reply = await ('routes' in body
      ? operate(target, 'routes.put', { configuration: { ...body }, expects, wait }, limit)
      : operate(target, 'routes.patch', { patch: { ...body }, expects, wait }, limit));
    const outcome = reply.map((told) => told.outcome as string).orDefault('unknown');
    const answer = answers.get(outcome) ?? 'unclear';
    opened.close(answer);
    return answer;
  }

  /** The version that a node shows as the newest; undefined without a clear answer. */
  async read(node: string): Promise<number | undefined> {
    return (await this.show(node))?.version;
  }

  /** What a node shows as the newest configuration; undefined without a clear answer. */
  async show(node: string): Promise<Shown | undefined> {
    const opened = this.history.openRead(node);
    const { wait, limit } = this;
    const reply = await operate(this.target(node), 'routes.show', { wait }, limit);
    const shown = reply
      .map(({ configuration }): Shown => shownBy(configuration as Configuration | undefined))
      .toMaybe()
      .extract();
    opened.close(shown ? foundIn(shown.configuration) : { kind: 'unclear' });
    return shown;
  }

  private target(node: string): { node: string; key: string } {
    const [firm] = this.fleet.plan.firms;
    return { node: this.reach(node), key: operatorKey(firm!) };
  }
}

const shownBy = (configuration: Configuration | undefined): Shown => ({
  version: configuration?.version ?? 0,
  configuration,
});

const foundIn = (configuration: Configuration | undefined): ReadAnswer =>
  configuration
    ? { kind: 'found', version: configuration.version, content: contentOf(configuration) }
    : { kind: 'absent' };
