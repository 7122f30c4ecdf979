/** The recorded days of both sites (docs/incidents/), brought about in the simulator under terms by which routers out of touch serve on. */
import { expect, test } from 'vitest';
import { sites } from '../../src/sim/day/plan.js';
import { Stage } from '../../src/sim/day/stage.js';
import { Tally } from '../../src/sim/day/tally.js';
import type { Configuration } from '../../src/route/shape.js';

const duration = 1500;
const replaceAfter = 1000;
const wait = 4000;
const away = 1600;
const seeds = [1, 2, 3, 4, 5];

class ServingStage extends Stage {
  override get site(): { fleet: string; seeds: string[]; over: object } {
    const { over, ...rest } = super.site;
    return {
      ...rest,
      over: {
        ...over,
        claims: { enabled: false },
        core: { replaceAfter },
        lease: { duration, renew: duration / 3, lapse: 'serve', patience: 500 },
      },
    };
  }

  configure(node: string, configuration: Configuration): Promise<string> {
    return this.world
      .until(
        this.cores.get(node)!.configurator.replace(configuration, configuration.version - 1, wait),
      )
      .then(({ outcome }) => outcome);
  }

  /** The version each core machine reads back from a majority, and the one each router has in force. */
  async versions(): Promise<{ read: Array<number | undefined>; inForce: number[] }> {
    const read: Array<number | undefined> = [];
    for (const { configurator } of this.cores.values())
      read.push(
        (await this.world.until(configurator.read(wait)))
          .toMaybe()
          .chainNullable((value) => value)
          .map(({ version }) => version)
          .extract(),
      );
    return {
      read,
      inForce: [...this.routers.values()].map(({ inForce }) => inForce.routes.version),
    };
  }

  get unready(): string[] {
    return [...this.routers].flatMap(([name, { node }]) =>
      node.ready() ? [`${name}: ${node.ready()}`] : [],
    );
  }
}

const configuration = (version: number): Configuration => ({
  version,
  routes: [
    {
      name: 'a',
      host: 'h.example',
      prefix: `/${version}/`,
      kind: 'streaming',
      timeout: 5000,
      service: 's',
    },
  ],
  services: [{ name: 's' }],
});

const open = async (site: string, seed: number): Promise<ServingStage> => {
  const stage = new ServingStage(sites.get(site)!, seed, new Tally());
  stage.start();
  await stage.world.run(6000);
  for (const version of [1, 2, 3])
    expect(await stage.configure('core-1', configuration(version))).toBe('accepted');
  return stage;
};

for (const seed of seeds)
  test(`all machines of Sahel Rail go down right after a change was accepted, seed ${seed}`, async () => {
    const stage = await open('sahel', seed);
    const [cores, routers] = [stage.coreNames, stage.routerNames];
    for (const { host } of [...stage.cores.values(), ...stage.routers.values()]) host.kill();
    await stage.world.run(stage.world.now + away);
    for (const name of cores) stage.startCore(name);
    for (const name of routers) stage.startRouter(name);
    await stage.world.run(stage.world.now + duration);
    expect(stage.unready).toEqual([]);
    expect(await stage.versions()).toEqual({
      read: cores.map(() => 3),
      inForce: routers.map(() => 3),
    });
    expect(await stage.configure('core-2', configuration(4))).toBe('accepted');
  });

for (const seed of seeds)
  test(`the whole core of Aconcagua goes down right after a change was accepted, one disk is lost, and routers serve on, seed ${seed}`, async () => {
    const stage = await open('aconcagua', seed);
    const [cores, routers] = [stage.coreNames, stage.routerNames];
    const formed = stage.cores.get('core-1')!.member.id;
    const unready: string[] = [];
    const look = async (span: number): Promise<void> => {
      for (
        const end = stage.world.now + span;
        stage.world.now < end;
        unready.push(...stage.unready)
      )
        await stage.world.run(stage.world.now + 50);
    };
    for (const { host } of stage.cores.values()) host.kill();
    stage.disks.get('core-1')!.lose();
    await look(away + duration);
    expect([...stage.routers.values()].filter(({ lease }) => lease.holds())).toEqual([]);
    for (const name of cores) stage.startCore(name);
    await look(4 * replaceAfter);
    expect(unready).toEqual([]);
    const { member } = stage.cores.get('core-1')!;
    expect(member.id).not.toBe(formed);
    expect(member.state()).toMatchObject({ voting: true });
    expect(await stage.versions()).toEqual({
      read: cores.map(() => 3),
      inForce: routers.map(() => 3),
    });
    stage.cores.get('core-2')!.host.kill();
    expect(await stage.configure('core-3', configuration(4))).toBe('accepted');
  });
