/** Planned stops at Sahel Rail: changes go on being accepted while routers stop one by one, or half of them at once. */
import { expect, test } from 'vitest';
import { Operators } from '../../src/sim/day/operators.js';
import { sites } from '../../src/sim/day/plan.js';
import { Stage } from '../../src/sim/day/stage.js';
import { Tally } from '../../src/sim/day/tally.js';

const open = async (
  seed: number,
): Promise<{ stage: Stage; operators: Operators; change: () => Promise<number> }> => {
  const stage = new Stage(sites.get('sahel')!, seed, new Tally());
  const operators = new Operators(stage);
  stage.start();
  await stage.world.until(operators.open());
  await stage.world.run(stage.world.now + 6000);
  const change = async (): Promise<number> => {
    const { outcome, asked, at } = await stage.world.until(
      operators.change('sahel-short', operators.newest('sahel-short'), 'all'),
    );
    return outcome === 'accepted' ? at - asked : Infinity;
  };
  return { stage, operators, change };
};

const stop = async (stage: Stage, name: string): Promise<void> => {
  const { node, host } = stage.routers.get(name)!;
  await node.drain();
  host.kill();
};

test('half of the routers stop at once, stay away, and come back: each change is accepted within two seconds', async () => {
  for (const seed of [1, 2, 3]) {
    const { stage, change } = await open(seed);
    const half = stage.routerNames.slice(0, 4);
    const stopping = Promise.all(half.map((name) => stop(stage, name)));
    expect(await change()).toBeLessThan(2000);
    await stage.world.until(stopping);
    for (let each = 0; each < 3; each++) expect(await change()).toBeLessThan(2000);
    for (const name of half) stage.startRouter(name);
    for (let each = 0; each < 8; each++) {
      expect(await change()).toBeLessThan(2000);
      await stage.world.run(stage.world.now + 400);
    }
  }
});

test('all routers are rolled, one after the other', async () => {
  const { stage, change } = await open(4);
  for (const name of stage.routerNames) {
    await stage.world.until(stop(stage, name));
    stage.startRouter(name);
    expect(await change()).toBeLessThan(2000);
  }
});
