/** Faults of engines and of the platform's list, and planned work on engines. */
import { pick } from '../../../kernel/random/random.js';
import type { Behaviour, SimEngine } from '../../engine.js';
import type { FaultTable, FaultTarget } from './fault.js';

/** An engine that is to end is on the list as leaving for this long before it does. */
const NOTICE = 5000;
const RELEASE_PAUSE = 2500;
/** A machine taken back at short notice ends this long after it, and another comes later. */
const SPOT_NOTICE = 2000;
const SPOT_SUCCESSOR = 4000;
const SLOW_FACTOR = 4;
const GREY_SHARE = 0.4;
const ADDED = 2;
/** Trouble of many engines begins this long after the traffic that is to meet it. */
const LEAD = 2000;
const USUAL_LAG = 300;
const LONG_LAG = 450;

const MISBEHAVIOURS = ['cut', 'no-marker', 'foreign', 'not-run', 'stall'] as const;
const FAILURES = ['foreign', 'stall', 'not-run'] as const;
const GREY = ['error', 'not-run', 'stall', 'cut'] as const;
const BREAKING = ['cut', 'well', 'well', 'cut', 'restarts', 'well', 'well', 'garbles'] as const;

export class EngineFaults {
  readonly table: FaultTable = [
    ['engine-killed', (lasts) => this.kill(lasts)],
    ['engine-replaced', () => this.replace()],
    ['engine-dark', (lasts) => this.darken(lasts)],
    ['engine-leaves', (lasts) => this.leave(lasts)],
    ['engine-misbehaves', (lasts) => this.misbehave(lasts)],
    ['engines-fail', (lasts) => this.failTwo(lasts)],
    ['engines-grey', (lasts) => this.failInPart(lasts)],
    ['engines-slow', (lasts) => this.slowDown(lasts)],
    ['engines-spot', () => this.takeBack()],
    ['engines-added', () => this.add()],
    ['engines-removed', () => this.remove()],
    ['streams-break', (lasts) => this.breakStreams(lasts)],
    ['engines-released', () => void this.release()],
    ['address-reused', (lasts) => this.reuseAddress(lasts)],
    ['platform-dark', (lasts) => this.darkenPlatform(lasts)],
    ['platform-slow', (lasts) => this.slowPlatform(lasts)],
  ];

  constructor(private readonly target: FaultTarget) {}

  private get living(): SimEngine[] {
    return [...this.target.stage.engines.values()].filter(({ host }) => !host.dead);
  }

  private kill(lasts: number): void {
    const { stage } = this.target;
    const engine = stage.someEngine();
    engine?.host.kill();
    this.target.during(lasts, () => engine && stage.replace(engine));
  }

  private replace(): void {
    const engine = this.target.stage.someEngine();
    if (engine) this.target.stage.replace(engine);
  }

  private darken(lasts: number): void {
    const engine = this.target.stage.someEngine();
    engine?.host.freeze();
    this.target.during(lasts, () => engine?.host.thaw());
  }

  private leave(lasts: number): void {
    const { stage } = this.target;
    const engine = stage.someEngine();
    if (!engine) return;
    stage.markLeaving(engine);
    stage.world.at(NOTICE + lasts, () => stage.replace(engine));
  }

  private misbehave(lasts: number): void {
    const { stage } = this.target;
    const engine = stage.someEngine();
    if (engine) this.behave([engine], pick(stage.random, MISBEHAVIOURS)!, lasts);
  }

  private behave(engines: readonly SimEngine[], behaviour: Behaviour, lasts: number): void {
    for (const engine of engines) engine.behaviour = behaviour;
    this.target.during(lasts, () => {
      for (const engine of engines) engine.behaviour = 'well';
    });
  }

  private failTwo(lasts: number): void {
    const { stage, traffic } = this.target;
    const { world, random } = stage;
    const engines = this.living.slice(0, 2);
    traffic.flow(world.now, 3000 + lasts, 10, 40);
    world.at(LEAD, () => engines.forEach((engine) => (engine.behaviour = pick(random, FAILURES)!)));
    this.target.during(LEAD + 500 + lasts, () =>
      engines.forEach((engine) => (engine.behaviour = 'well')),
    );
  }

  /** Two engines fail a part of what they get, each in its own way, and do the rest well. */
  private failInPart(lasts: number): void {
    const { stage } = this.target;
    const engines = this.living.slice(0, 2);
    for (const engine of engines)
      engine.grey = { behaviour: pick(stage.random, GREY)!, share: GREY_SHARE };
    this.target.during(lasts, () => engines.forEach((engine) => (engine.grey = undefined)));
  }

  private slowDown(lasts: number): void {
    const engines = this.living.slice(0, 2);
    for (const engine of engines) engine.slowness = SLOW_FACTOR;
    this.target.during(lasts, () => engines.forEach((engine) => (engine.slowness = 1)));
  }

  /** An engine's machine is taken back at short notice; another comes in its place some time later. */
  private takeBack(): void {
    const { stage } = this.target;
    const engine = stage.someEngine();
    if (!engine) return;
    stage.markLeaving(engine);
    this.target.during(SPOT_NOTICE, () => engine.host.kill());
    this.target.during(SPOT_NOTICE + SPOT_SUCCESSOR, () => stage.replace(engine));
  }

  private add(): void {
    for (let each = 0; each < ADDED; each++) this.target.stage.addEngine();
  }

  /** Two engines leave for good, as announced. */
  private remove(): void {
    const { stage } = this.target;
    for (const engine of this.living.slice(-2)) {
      stage.markLeaving(engine);
      stage.world.at(NOTICE, () => stage.removeEngine(engine));
    }
  }

  private breakStreams(lasts: number): void {
    const { stage, traffic } = this.target;
    const { world } = stage;
    const engines = this.living;
    traffic.flow(world.now, 3000 + lasts, 10, 40);
    world.at(LEAD, () =>
      engines.forEach((engine, at) => (engine.behaviour = BREAKING[at % BREAKING.length]!)),
    );
    this.target.during(LEAD + 500 + lasts, () =>
      engines.forEach((engine) => (engine.behaviour = 'well')),
    );
  }

  /** Each engine in turn is marked as leaving, ends, and comes back empty with new weights under a new identity. */
  private async release(): Promise<void> {
    const { stage } = this.target;
    for (const engine of [...stage.engines.values()]) {
      if (engine.host.dead || !stage.listed.has(engine.identifier)) continue;
      stage.markLeaving(engine);
      stage.world.at(NOTICE, () => stage.replace(engine, 'w2'));
      await stage.pause(RELEASE_PAUSE);
    }
  }

  private reuseAddress(lasts: number): void {
    const engine = this.target.stage.someEngine();
    if (engine) this.target.stage.reuse(engine, 500 + lasts / 2);
  }

  private darkenPlatform(lasts: number): void {
    const { stage } = this.target;
    this.target.during(lasts, stage.world.part(stage.routerNames, ['platform']));
    stage.world.at(300, () => {
      const engine = stage.someEngine();
      if (engine) stage.markLeaving(engine);
    });
  }

  private slowPlatform(lasts: number): void {
    const { stage } = this.target;
    stage.lag = LONG_LAG;
    this.target.during(lasts, () => (stage.lag = USUAL_LAG));
  }
}
