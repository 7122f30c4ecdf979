/**
 * The failures of a day, each by its name: it strikes now and lasts for a while. Two may overlap; each undoes only what
 * it did itself. Only one core machine a day loses its disk or is gone for good.
 */
import { pick } from '../../kernel/random/random.js';
import type { Behaviour } from '../engine.js';
import type { Host } from '../host.js';
import type { Operators } from './operators.js';
import type { FaultName } from './plan.js';
import type { Stage } from './stage.js';
import type { Traffic } from './traffic.js';

type Strike = (lasts: number) => void;

/** How long a restart of everything takes. */
const RESTART = 600;

export class Strikes {
  private readonly draining = new Set<string>();
  private readonly strikes: ReadonlyMap<FaultName, Strike>;

  constructor(
    private readonly stage: Stage,
    private readonly traffic: Traffic,
    private readonly operators: Operators,
  ) {
    this.strikes = new Map<FaultName, Strike>([
      ...this.onCores(),
      ...this.onDisks(),
      ...this.onRouters(),
      ...this.onEngines(),
      ...this.onAll(),
    ]);
  }

  /** Draws failures from the seed over a span of the day, and maybe one that closes it. */
  draw(from: number, span: number): void {
    const { world, random, plan } = this.stage;
    const [least, most] = plan.strikes;
    const count = least + Math.floor(random.fraction() * (most - least + 1));
    for (let each = 0; each < count; each++) {
      const fault = pick(random, plan.faults)!;
      const at = 2000 + random.fraction() * Math.max(1000, span - 14_000);
      const lasts = 500 + random.fraction() * 9000;
      world.at(from - world.now + at, () => this.strike(fault, lasts));
    }
    if (plan.closings.length && random.fraction() < 0.4)
      world.at(from - world.now + span - 1500, () =>
        this.strike(pick(random, plan.closings)!, 1000),
      );
  }

  strike(fault: FaultName, lasts: number): void {
    const { tally, world } = this.stage;
    tally.faults.push(`${fault}@${Math.round(world.now)}+${Math.round(lasts)}`);
    this.strikes.get(fault)!(lasts);
  }

  /** Puts everything back that stands still. */
  mend(): void {
    const { world, disks, cores, routers } = this.stage;
    world.heal();
    world.net.mishap = () => 'pass';
    for (const disk of disks.values()) {
      disk.stalled = false;
      disk.powerCut = () => 'no';
    }
    for (const { host } of [...cores.values(), ...routers.values()]) host.thaw();
  }

  /** Does something now and undoes it later. */
  private during(lasts: number, undo: () => void): void {
    const done = this.stage.disturb();
    this.stage.world.at(lasts, () => {
      undo();
      done();
    });
  }

  private still(host: Host, how: 'freeze' | 'suspend', lasts: number): void {
    host[how]();
    this.during(lasts, () => host.thaw());
  }

  private outage(): void {
    this.stage.world.at(RESTART, () => this.traffic.outageEnds());
  }

  private onCores(): Array<[FaultName, Strike]> {
    const { stage } = this;
    const { world, random } = stage;
    const one = (): string => stage.some(stage.cores)[0];
    const losesPower = (name: string, lasts: number): void => {
      const disk = stage.disks.get(name)!;
      disk.powerCut = () => (random.fraction() < 0.5 ? 'before' : 'after');
      disk.onPowerCut = () => {
        disk.powerCut = () => 'no';
        stage.killCore(name, lasts);
      };
    };
    const oneLost = (): boolean => stage.lostFor.size > 0;
    return [
      ['core-killed', (lasts) => stage.killCore(one(), lasts)],
      ['core-power', (lasts) => losesPower(one(), lasts)],
      [
        'core-power-two',
        (lasts) => stage.coreNames.slice(0, 2).forEach((name) => losesPower(name, lasts)),
      ],
      [
        'core-frozen',
        (lasts) =>
          this.still(stage.some<{ readonly host: Host }>(stage.cores)[1].host, 'freeze', lasts),
      ],
      [
        'core-suspended',
        (lasts) =>
          this.still(stage.some<{ readonly host: Host }>(stage.cores)[1].host, 'suspend', lasts),
      ],
      [
        'core-all-killed',
        (lasts) => stage.coreNames.forEach((name) => stage.killCore(name, lasts)),
      ],
      [
        'core-split',
        (lasts) => {
          const name = one();
          this.during(
            lasts,
            world.part(
              [name],
              stage.coreNames.filter((other) => other !== name),
            ),
          );
        },
      ],
      [
        'core-cut-off',
        (lasts) => this.during(lasts, world.part(stage.coreNames, stage.routerNames)),
      ],
      [
        'core-one-way',
        (lasts) => {
          const name = one();
          const others = [...stage.coreNames, ...stage.routerNames];
          this.during(
            lasts,
            random.fraction() < 0.5 ? world.cut([name], others) : world.cut(others, [name]),
          );
        },
      ],
      [
        'core-disk-lost',
        (lasts) => {
          if (!oneLost()) stage.loseCore(one(), lasts, false);
        },
      ],
      [
        'core-moved',
        (lasts) => {
          if (!oneLost()) stage.loseCore(one(), lasts, true);
        },
      ],
      ['core-acked-then-lost', (lasts) => void this.ackedThenLost(lasts)],
      [
        'seed-foreign',
        (lasts) => {
          const name = one();
          const done = stage.disturb();
          stage.cores.get(name)!.host.kill();
          const { host } = stage.startCore(name, 'another-fleet');
          world.at(lasts, () => {
            host.kill();
            stage.startCore(name);
            done();
          });
        },
      ],
    ];
  }

  /** A change is told accepted, and at that very moment a core machine is gone with its disk. */
  private async ackedThenLost(lasts: number): Promise<void> {
    const { stage, operators } = this;
    if (stage.lostFor.size > 0) return;
    const name = pick(stage.random, operators.names)!;
    const { outcome } = await operators.change(name, operators.newest(name), 'all');
    if (outcome !== 'accepted' || stage.lostFor.size > 0) return;
    stage.tally.note('lostAfterAccepted');
    stage.loseCore(stage.some(stage.cores)[0], lasts, false);
  }

  private onDisks(): Array<[FaultName, Strike]> {
    const { stage } = this;
    return [
      [
        'disk-stalled',
        (lasts) => {
          const disk = stage.disks.get(stage.some(stage.cores)[0])!;
          disk.stalled = true;
          this.during(lasts, () => (disk.stalled = false));
        },
      ],
      [
        'disk-full',
        (lasts) => {
          const [name] = stage.some(stage.cores);
          const disk = stage.disks.get(name)!;
          disk.full = true;
          this.during(lasts, () => {
            disk.full = false;
            if (stage.cores.has(name)) stage.killCore(name, 200);
          });
        },
      ],
      [
        'disk-slow',
        (lasts) => {
          for (const disk of stage.disks.values()) disk.latency = 120;
          this.during(lasts, () => {
            for (const disk of stage.disks.values()) disk.latency = 2;
          });
        },
      ],
    ];
  }

  private onRouters(): Array<[FaultName, Strike]> {
    const { stage } = this;
    const { world, random } = stage;
    const one = (): string => stage.some(stage.routers)[0];
    const away = (name: string): string[] => [
      ...stage.coreNames,
      ...stage.routerNames.filter((other) => other !== name),
      'platform',
    ];
    return [
      ['router-killed', (lasts) => stage.killRouter(one(), lasts)],
      [
        'router-herd',
        (lasts) =>
          stage.routerNames
            .slice(0, Math.ceil(stage.routers.size * 0.75))
            .forEach((name) => stage.killRouter(name, lasts)),
      ],
      [
        'router-all-killed',
        () => {
          stage.routerNames.forEach((name) => stage.killRouter(name, RESTART));
          this.outage();
        },
      ],
      [
        'router-frozen',
        (lasts) =>
          this.still(stage.some<{ readonly host: Host }>(stage.routers)[1].host, 'freeze', lasts),
      ],
      [
        'router-suspended',
        (lasts) =>
          this.still(stage.some<{ readonly host: Host }>(stage.routers)[1].host, 'suspend', lasts),
      ],
      [
        'router-isolated',
        (lasts) => {
          const name = one();
          this.during(lasts, world.part([name], away(name)));
        },
      ],
      [
        'router-one-way',
        (lasts) => {
          const name = one();
          this.during(
            lasts,
            random.fraction() < 0.5 ? world.cut([name], away(name)) : world.cut(away(name), [name]),
          );
        },
      ],
      ['router-drains', (lasts) => void this.drain(one(), lasts)],
      ['routers-rolled', () => void this.roll()],
    ];
  }

  private async drain(name: string, lasts: number): Promise<void> {
    const { stage, draining } = this;
    const { host, passage, node } = stage.routers.get(name)!;
    if (host.dead || draining.has(name)) return;
    draining.add(name);
    const done = stage.disturb();
    const taken = passage.open;
    stage.tally.note('takenAtStop', taken);
    const left = await Promise.race([node.drain(), stage.pause(9000).then(() => -1)]);
    if (left !== 0 && !host.dead)
      stage.tally.find('drain-broke-off', `${name} broke off ${left} of ${taken}`);
    stage.killRouter(name, lasts);
    draining.delete(name);
    done();
  }

  /** Every router is stopped as planned and started again, one after the other. */
  private async roll(): Promise<void> {
    for (const name of this.stage.routerNames) {
      await this.drain(name, 300);
      await this.stage.pause(700);
    }
  }

  private onEngines(): Array<[FaultName, Strike]> {
    const { stage, traffic } = this;
    const { world, random } = stage;
    return [
      [
        'engine-killed',
        (lasts) => {
          const engine = stage.someEngine();
          engine?.host.kill();
          this.during(lasts, () => engine && stage.replace(engine));
        },
      ],
      [
        'engine-replaced',
        () => {
          const engine = stage.someEngine();
          if (engine) stage.replace(engine);
        },
      ],
      [
        'engine-dark',
        (lasts) => {
          const engine = stage.someEngine();
          engine?.host.freeze();
          this.during(lasts, () => engine?.host.thaw());
        },
      ],
      [
        'engine-leaves',
        (lasts) => {
          const engine = stage.someEngine();
          if (!engine) return;
          stage.markLeaving(engine);
          world.at(5000 + lasts, () => stage.replace(engine));
        },
      ],
      [
        'engine-misbehaves',
        (lasts) => {
          const engine = stage.someEngine();
          if (!engine) return;
          engine.behaviour = pick(random, [
            'cut',
            'no-marker',
            'foreign',
            'not-run',
            'stall',
          ] as const satisfies readonly Behaviour[])!;
          this.during(lasts, () => (engine.behaviour = 'well'));
        },
      ],
      [
        'engines-fail',
        (lasts) => {
          const engines = [...stage.engines.values()].filter(({ host }) => !host.dead).slice(0, 2);
          traffic.flow(world.now, 3000 + lasts, 10, 40);
          world.at(2000, () =>
            engines.forEach(
              (engine) =>
                (engine.behaviour = pick(random, ['foreign', 'stall', 'not-run'] as const)!),
            ),
          );
          this.during(2500 + lasts, () => engines.forEach((engine) => (engine.behaviour = 'well')));
        },
      ],
      [
        'streams-break',
        (lasts) => {
          const cutting = [...stage.engines.values()].filter(({ host }) => !host.dead);
          const kinds = [
            'cut',
            'well',
            'well',
            'cut',
            'restarts',
            'well',
            'well',
            'garbles',
          ] as const;
          traffic.flow(world.now, 3000 + lasts, 10, 40);
          world.at(2000, () =>
            cutting.forEach((engine, at) => (engine.behaviour = kinds[at % kinds.length]!)),
          );
          this.during(2500 + lasts, () => cutting.forEach((engine) => (engine.behaviour = 'well')));
        },
      ],
      ['engines-released', () => void this.release()],
      [
        'address-reused',
        (lasts) => {
          const engine = stage.someEngine();
          if (engine) stage.reuse(engine, 500 + lasts / 2);
        },
      ],
      [
        'platform-dark',
        (lasts) => {
          this.during(lasts, world.part(stage.routerNames, ['platform']));
          world.at(300, () => {
            const engine = stage.someEngine();
            if (engine) stage.markLeaving(engine);
          });
        },
      ],
      [
        'platform-slow',
        (lasts) => {
          stage.lag = 450;
          this.during(lasts, () => (stage.lag = 300));
        },
      ],
    ];
  }

  /** Each engine in turn is marked as leaving, ends, and comes back empty with new weights under a new identity. */
  private async release(): Promise<void> {
    const { stage } = this;
    for (const engine of [...stage.engines.values()]) {
      if (engine.host.dead || !stage.listed.has(engine.identifier)) continue;
      stage.markLeaving(engine);
      stage.world.at(5000, () => stage.replace(engine, 'w2'));
      await stage.pause(2500);
    }
  }

  private onAll(): Array<[FaultName, Strike]> {
    const { stage, traffic, operators } = this;
    const { world, random } = stage;
    return [
      [
        'clocks-jump',
        () => {
          for (const { host } of [
            stage.some(stage.cores)[1],
            stage.some(stage.routers)[1],
            stage.some(stage.routers)[1],
          ])
            host.jump((random.fraction() - 0.5) * pick(random, [200, 8000, 7_200_000])!);
          this.during(3000, () => undefined);
        },
      ],
      [
        'lossy-net',
        (lasts) => {
          world.net.mishap = () =>
            random.fraction() < 0.05
              ? 'drop'
              : random.fraction() < 0.02
                ? 'twice'
                : random.fraction() < 0.03
                  ? 'late'
                  : 'pass';
          this.during(lasts, () => (world.net.mishap = () => 'pass'));
        },
      ],
      [
        'all-killed',
        () => {
          stage.coreNames.forEach((name) => stage.killCore(name, RESTART));
          stage.routerNames.forEach((name) => stage.killRouter(name, RESTART));
          this.outage();
        },
      ],
      ['crowd', () => traffic.flow(world.now, 1500, 150, 4)],
      ['hot-prefix', () => traffic.flow(world.now, 4000, 4, 24, true)],
      [
        'doorway-storm',
        () => {
          for (let at = 0; at < 40; at++) world.at(at * 50, () => operators.rivals(1 + (at % 2)));
        },
      ],
      ['doorway-race', () => operators.rivals(3)],
      [
        'doorways-at-once',
        () => {
          for (let at = 0; at < 6; at++) world.at(at * 400, () => operators.many(1 + (at % 3)));
        },
      ],
    ];
  }
}
