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

/** Operators that send orders to nodes and record the answers. */
export class RecordedOperators {
  readonly history = new HistoryRecorder(() => performance.now());

  constructor(
    private readonly fleet: Fleet,
    private readonly wait: number,
  ) {}

  async send(node: string, order: ConfigurationOrder, valid = true): Promise<ChangeAnswer> {
    const opened = this.history.openChange(node, requestOf(order, valid));
    const { body, expects } = order;
    const { wait } = this;
    const reply = await ('routes' in body
      ? operate(this.target(node), 'routes.put', { configuration: { ...body }, expects, wait })
      : operate(this.target(node), 'routes.patch', { patch: { ...body }, expects, wait }));
    const outcome = reply.map((told) => told.outcome as string).orDefault('unknown');
    const answer = answers.get(outcome) ?? 'unclear';
    opened.close(answer);
    return answer;
  }

  /** The version that a node shows as the newest; undefined without a clear answer. */
  async read(node: string): Promise<number | undefined> {
    const opened = this.history.openRead(node);
    const shown = await operate(this.target(node), 'routes.show', { wait: this.wait });
    const answer = shown.caseOf<ReadAnswer>({
      Left: () => ({ kind: 'unclear' }),
      Right: ({ configuration }) => foundIn(configuration as Configuration | undefined),
    });
    opened.close(answer);
    if (answer.kind === 'unclear') return undefined;
    return answer.kind === 'found' ? answer.version : 0;
  }

  private target(node: string): { node: string; key: string } {
    const [firm] = this.fleet.plan.firms;
    return { node: this.fleet.operators.get(node)!, key: operatorKey(firm!) };
  }
}

const foundIn = (configuration: Configuration | undefined): ReadAnswer =>
  configuration
    ? { kind: 'found', version: configuration.version, content: contentOf(configuration) }
    : { kind: 'absent' };
