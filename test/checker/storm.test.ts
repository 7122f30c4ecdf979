/**
 * Storms of configurations by two operators while one core machine at a time is killed, frozen, cut off, loses its disk,
 * is replaced at a new address, or has its disk slow, stalled or full, drawn from a seed. What was acknowledged is never
 * lost or read older, two changes on one version are never both acknowledged, no router goes back within its life, and
 * whenever all has been calm for a while a change is acknowledged in time.
 */
import { expect, test } from 'vitest';
import { failed } from '../../src/kernel/fault/fault.js';
import { pick } from '../../src/kernel/random/random.js';
import type { Configuration } from '../../src/route/shape.js';
import { simCore, simRouter, type SimCore, type SimRouter } from '../../src/sim/nodes.js';
import { SimDisk } from '../../src/sim/disk.js';
import { World } from '../../src/sim/world.js';

const kinds = ['kill', 'freeze', 'cut', 'wipe', 'replace', 'slow', 'stall', 'full', 'all'] as const;
const lease = { duration: 2000, renew: 500, lapse: 'serve', patience: 300 };
const version = (number: number, by: string): Configuration => ({
  version: number,
  routes: [
    { name: by, host: 'h', prefix: '/a/', kind: 'idempotent', timeout: number, service: 's' },
  ],
  services: [{ name: 's' }],
});

class Storm {
  readonly world: World;
  readonly disks = new Map<number, SimDisk>();
  readonly cores = new Map<number, SimCore>();
  readonly routers: SimRouter[];
  readonly acknowledged = new Map<number, { expects: number; by: string }>();
  newest = 0;
  private machines = 3;
  private calmSince = 0;

  constructor(seed: number) {
    this.world = new World(seed);
    for (const number of [1, 2, 3]) this.start(number, true);
    this.routers = [1, 2, 3].map((number) => {
      const router = simRouter(
        this.world,
        `router-${number}`,
        `127.0.0.1:${100 + number}`,
        'z',
        this.site(false),
        () => () => Promise.resolve(failed('list', 'platform', 'there is none')),
        () => undefined,
      );
      void router.node.start();
      return router;
    });
  }

  site(form: boolean): { fleet: string; seeds: string[]; over: object } {
    const live = [...this.cores].filter(([, { host }]) => !host.dead).map(([number]) => number);
    const seeds = (form ? [1, 2, 3] : [...live, 1, 2, 3].slice(0, 3)).map(
      (number) => `127.0.0.1:${number}`,
    );
    return {
      fleet: 'f',
      seeds,
      over: {
        form,
        lease,
        feed: { wait: 700 },
        claims: { enabled: false },
        core: { replaceAfter: 1000, wanted: 3, keep: 6 },
      },
    };
  }

  start(number: number, form = false): void {
    const disk = this.disks.get(number) ?? new SimDisk(this.world);
    this.disks.set(number, disk);
    const core = simCore(
      this.world,
      `core-${number}`,
      `127.0.0.1:${number}`,
      'z',
      disk,
      this.site(form),
    );
    this.cores.set(number, core);
    void core.node.start();
  }

  pause(duration: number): Promise<void> {
    return new Promise((resolve) => this.world.at(duration, () => resolve()));
  }

  get calm(): boolean {
    return this.world.now - this.calmSince > 5000;
  }

  /** A call at some core machine that is there; nothing comes of it when that one dies meanwhile. */
  call<T>(act: (configurator: SimCore['configurator']) => Promise<T>): Promise<T | undefined> {
    const core = pick(
      this.world.random,
      [...this.cores.values()].filter(({ host }) => !host.dead),
    );
    return core
      ? Promise.race([act(core.configurator), this.pause(4000).then(() => undefined)])
      : this.pause(100).then(() => undefined);
  }

  async strike(kind: (typeof kinds)[number]): Promise<void> {
    const [number, core] = pick(
      this.world.random,
      [...this.cores].filter(([, { host }]) => !host.dead),
    )!;
    const disk = this.disks.get(number)!;
    const lasts = 300 + 5000 * this.world.random.fraction();
    this.calmSince = Infinity;
    if (kind === 'kill' || kind === 'wipe' || kind === 'replace') core.host.kill();
    if (kind === 'wipe') disk.lose();
    if (kind === 'freeze') core.host.freeze();
    if (kind === 'slow') disk.latency = 100;
    if (kind === 'stall') disk.stalled = true;
    if (kind === 'full') disk.full = true;
    const mend =
      kind === 'cut'
        ? this.world.part(
            [core.host.name],
            [...this.cores.values(), ...this.routers].map(({ host }) => host.name),
          )
        : (): void => undefined;
    const all =
      kind === 'all'
        ? [...this.cores].filter(([, { host }]) => !host.dead).map(([each]) => each)
        : [];
    for (const each of all) this.cores.get(each)!.host.kill();
    await this.pause(lasts);
    mend();
    core.host.thaw();
    Object.assign(disk, { stalled: false, full: false, latency: 2 });
    if (kind === 'kill' || kind === 'wipe') this.start(number);
    if (kind === 'replace') this.cores.delete(number);
    if (kind === 'replace') this.start(++this.machines);
    for (const each of all) this.start(each);
    this.calmSince = this.world.now;
  }

  /** One operator: on top of what it reads, sends a version until it has a clear answer. */
  async operate(by: string, until: number): Promise<void> {
    while (this.world.now < until) {
      const before = this.newest;
      const read = await this.call((configurator) => configurator.read(2000));
      if (!read?.isRight()) continue;
      const expects = read.map((configuration) => configuration?.version ?? 0).orDefault(0);
      expect(expects).toBeGreaterThanOrEqual(before);
      const next = expects + 1 + Math.floor(3 * this.world.random.fraction());
      const calm = this.calm;
      const began = this.world.now;
      for (let outcome = 'unknown'; outcome === 'unknown' && this.world.now < until + 20_000;) {
        const reply = await this.call((configurator) =>
          configurator.replace(version(next, by), expects, 3000),
        );
        outcome = reply?.outcome ?? 'unknown';
        expect(outcome).not.toBe('invalid');
        if (outcome === 'accepted') this.acknowledge(next, expects, by);
        if (calm && this.calm) expect(this.world.now - began).toBeLessThan(1500);
        if (outcome === 'unknown') await this.pause(100);
      }
      await this.pause(400 * this.world.random.fraction());
    }
  }

  acknowledge(number: number, expects: number, by: string): void {
    expect([...this.acknowledged.values()].filter((each) => each.expects === expects)).toEqual([]);
    this.acknowledged.set(number, { expects, by });
    this.newest = Math.max(this.newest, number);
  }
}

const weather = async (seed: number): Promise<number> => {
  const storm = new Storm(seed);
  const { world } = storm;
  await world.run(4000);
  const end = world.now + 60_000;
  const faults: unknown[] = [];
  const watched = <T>(task: Promise<T>): Promise<T | undefined> =>
    task.catch((thrown: unknown) => void faults.push(thrown));
  let backwards = 0;
  const seen = storm.routers.map(() => 0);
  const watch = (): boolean => {
    storm.routers.forEach(({ inForce }, at) => {
      if (inForce.routes.version < seen[at]!) backwards += 1;
      seen[at] = inForce.routes.version;
    });
    return faults.length > 0;
  };
  void watched(storm.operate('a', end));
  void watched(storm.operate('b', end));
  void watched(
    (async (): Promise<void> => {
      while (world.now < end - 12_000) {
        await storm.strike(pick(world.random, kinds)!);
        await storm.pause(5000 + (world.random.fraction() < 0.3 ? 4000 : 0));
      }
    })(),
  );
  await world.run(end + 10_000, watch);
  if (faults.length > 0) throw faults[0];
  expect(backwards).toBe(0);
  for (const { configurator } of [...storm.cores.values()].filter(({ host }) => !host.dead)) {
    const read = (await world.until(configurator.read(3000)))
      .map((configuration) => configuration?.version ?? 0)
      .orDefault(-1);
    expect(read).toBeGreaterThanOrEqual(storm.newest);
  }
  expect(storm.routers.map(({ inForce }) => inForce.routes.version >= storm.newest)).toEqual([
    true,
    true,
    true,
  ]);
  return storm.acknowledged.size;
};

/** Other seeds can be named as FIRST-LAST. */
const [first, last] = (process.env['STORMS'] ?? '1-3').split('-').map(Number) as [number, number];

test('storms of configurations and of failures', async () => {
  for (let seed = first; seed <= last; seed++) {
    const acknowledged = await weather(seed).catch((thrown: unknown) => {
      throw new Error(
        `seed ${seed}: ${thrown instanceof Error ? (thrown.stack ?? thrown.message) : String(thrown)}`,
      );
    });
    expect(acknowledged).toBeGreaterThan(40);
  }
});
