/**
 * An accept that reaches one voter too few, right before just those voters lose their disks or are cut off, while the
 * others go on: an order that was acknowledged is still there. The same with a quorum reached, where the order is
 * acknowledged and must outlast the loss of as many of its voters as is tolerated.
 */
import { describe, expect, test } from 'vitest';
import { describeCall, type ChangeAnswer } from '../../src/history/call.js';
import { judgeHistory } from '../../src/history/judge.js';
import { Cluster } from './cluster.js';
import { Operators } from './operators.js';
import { orderFor, type Order } from './requests.js';

const SEEDS = 4;
const CUT = 20_000;
/** By then every voter holds what was acknowledged last. */
const SPREAD = 1000;
const RECOVERY = 6000;
const TRIES = 12;
const PROPOSER = 0;

type Fate = 'disk lost' | 'cut off';

interface Scenario {
  readonly size: 3 | 5;
  /** The voters whose accept is let through. */
  readonly reached: readonly number[];
  /** Those that are lost right after all the reached have replied. */
  readonly lost: readonly number[];
  readonly fate: Fate;
}

interface Answers {
  readonly contested: ChangeAnswer | undefined;
  readonly rival: ChangeAnswer | undefined;
}

const LOST: Answers = { contested: 'unclear', rival: 'acknowledged' };
const KEPT: Answers = { contested: 'acknowledged', rival: 'conflict' };

const range = (from: number, to: number): number[] =>
  Array.from({ length: to - from }, (_, at) => from + at);

const orderOn = (expects: number, rise: number, variant: number): Order =>
  orderFor(
    { form: 'replace', defect: 'none', base: 'newest', rise, variant, kind: 'change' },
    expects,
  );

class Trial {
  readonly cluster: Cluster;
  readonly operators: Operators;

  constructor(
    seed: number,
    private readonly scenario: Scenario,
  ) {
    this.cluster = new Cluster(scenario.size, seed);
    this.operators = new Operators(this.cluster);
  }

  /** The answers to the order whose accept does not reach all voters, and to a rival sent after the loss. */
  async play(): Promise<Answers> {
    const { cluster, operators } = this;
    expect(await cluster.formed()).toBe(true);
    await this.pursue(orderOn(0, 1, 0), PROPOSER);
    await cluster.world.run(cluster.world.now + SPREAD);
    const contested = orderOn(1, 1, 1);
    const answer = await this.sendRestricted(contested);
    if (this.scenario.fate === 'disk lost') this.loseDisks();
    const rival = await this.pursue(orderOn(1, 2, 2), this.witness);
    cluster.heal();
    await cluster.world.run(cluster.world.now + RECOVERY);
    for (let node = 0; node < cluster.size; node++) {
      await cluster.world.until(operators.send(contested, { node, answerLost: false }));
      await cluster.world.until(operators.read(node));
    }
    return { contested: answer, rival };
  }

  /** A member that is not lost and sends no order before the loss. */
  private get witness(): number {
    const { size, lost } = this.scenario;
    return range(1, size).find((at) => !lost.includes(at))!;
  }

  private async sendRestricted(order: Order): Promise<ChangeAnswer | undefined> {
    const { cluster, operators, scenario } = this;
    let areCut = false;
    const lift = cluster.restrictAsks('accept', scenario.reached);
    cluster.afterReplies('accept', scenario.reached, () => {
      areCut = true;
      this.cutOff();
    });
    const answer = await cluster.world.until(
      operators.send(order, { node: PROPOSER, answerLost: false }),
    );
    expect(areCut).toBe(true);
    lift();
    return answer;
  }

  /** Those to be lost reach no others from now on; so nothing that they hold can be passed on. */
  private cutOff(): void {
    const { world } = this.cluster;
    const { size, lost } = this.scenario;
    const nameOf = (at: number): string => `core-${at}`;
    const others = range(0, size).filter((at) => !lost.includes(at));
    const mend = world.part(lost.map(nameOf), others.map(nameOf));
    world.at(CUT, mend);
  }

  private loseDisks(): void {
    for (const member of this.scenario.lost) {
      this.cluster.loseDisk(member, { kind: 'lose-disk', member, downtime: CUT });
      expect(this.cluster.isUp(member)).toBe(false);
    }
  }

  private async pursue(order: Order, node: number): Promise<ChangeAnswer | undefined> {
    const { cluster, operators } = this;
    for (let tries = 0; tries < TRIES; tries++) {
      const answer = await cluster.world.until(operators.send(order, { node, answerLost: false }));
      if (answer !== undefined && answer !== 'unclear') return answer;
    }
    return undefined;
  }
}

const play = async (scenario: Scenario, expected: Answers): Promise<void> => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const trial = new Trial(seed, scenario);
    const answers = await trial.play();
    const { calls } = trial.operators.history;
    expect({ found: judgeHistory(calls), calls: calls.map(describeCall) }).toMatchObject({
      found: [],
    });
    expect(answers).toEqual(expected);
  }
};

for (const size of [3, 5] as const)
  for (const fate of ['disk lost', 'cut off'] as const)
    describe(`${size} voters, ${fate}`, () => {
      const quorum = Math.floor(size / 2) + 1;

      test('the accept reaches one voter too few, the proposer among them', async () => {
        const reached = range(0, quorum - 1);
        await play({ size, reached, lost: reached, fate }, LOST);
      });

      test('the accept reaches one voter too few, all of them other than the proposer', async () => {
        const reached = range(1, quorum);
        await play({ size, reached, lost: reached, fate }, LOST);
      });

      test('the accept reaches a quorum, of which as many as are tolerated are lost', async () => {
        const reached = range(0, quorum);
        await play({ size, reached, lost: range(1, quorum), fate }, KEPT);
      });
    });
