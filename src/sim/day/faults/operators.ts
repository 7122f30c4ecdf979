/** What the operators meet or bring: storms, races, and acknowledgements that are lost on their way. */
import type { FaultTable, FaultTarget } from './fault.js';

const STORM = { changes: 40, pause: 50 };
const LONG_STORM = { changes: 300, pause: 60 };
const MANY = { changes: 6, pause: 400 };
const LOST_SHARE = 0.7;
const RACES_WHILE_LOST = 12;

export class OperatorFaults {
  readonly table: FaultTable = [
    ['doorway-storm', () => this.storm(STORM.changes, STORM.pause)],
    ['doorway-storm-long', () => this.longStorm()],
    ['doorway-race', () => this.target.operators.compete(3)],
    ['doorways-at-once', () => this.changeMany()],
    ['answers-lost', (lasts) => this.loseAnswers(lasts)],
  ];

  constructor(private readonly target: FaultTarget) {}

  private storm(changes: number, pause: number): void {
    const { stage, operators } = this.target;
    for (let at = 0; at < changes; at++)
      stage.world.at(at * pause, () => operators.compete(1 + (at % 2)));
  }

  /** Hundreds of changes, with a core machine and a router down for most of them. */
  private longStorm(): void {
    const { stage } = this.target;
    const down = LONG_STORM.changes * LONG_STORM.pause * 0.8;
    stage.world.at(LONG_STORM.pause, () => {
      stage.killCore(stage.some(stage.cores)[0], down);
      stage.killRouter(stage.some(stage.routers)[0], down);
    });
    this.storm(LONG_STORM.changes, LONG_STORM.pause);
  }

  private changeMany(): void {
    const { stage, operators } = this.target;
    for (let at = 0; at < MANY.changes; at++)
      stage.world.at(at * MANY.pause, () => operators.many(1 + (at % 3)));
  }

  /** Acknowledgements get lost, and the same orders are sent again to any node, while operators race. */
  private loseAnswers(lasts: number): void {
    const { stage, operators } = this.target;
    operators.answersLost = LOST_SHARE;
    for (let at = 0; at < RACES_WHILE_LOST; at++)
      stage.world.at((at * lasts) / RACES_WHILE_LOST, () => operators.compete(1 + (at % 3)));
    this.target.during(lasts, () => (operators.answersLost = 0));
  }
}
