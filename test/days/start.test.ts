/** The start of a fleet: traffic comes three seconds after the machines, and hardly any of it is declined. */
import { expect, test } from 'vitest';
import { Operators } from '../../src/sim/day/operators.js';
import { sites } from '../../src/sim/day/plan.js';
import { Stage } from '../../src/sim/day/stage.js';
import { Tally } from '../../src/sim/day/tally.js';
import { Traffic } from '../../src/sim/day/traffic.js';

for (const [name, plan] of sites)
  test(`callers come three seconds after the first machine at ${name}`, async () => {
    const declined: string[] = [];
    let results = 0;
    for (const seed of [1, 2, 3]) {
      const stage = new Stage(plan, seed, new Tally());
      const traffic = new Traffic(stage);
      stage.start();
      void new Operators(stage).open();
      traffic.flow(3000, 6000, 24, 2);
      await stage.world.run(12_000);
      const told = traffic.calls.filter(
        ({ reason }) => !reason.includes('caller left') && !reason.includes('aborted'),
      );
      results += told.filter(({ outcome }) => outcome === 'result').length;
      declined.push(
        ...told
          .filter(({ outcome }) => outcome !== 'result')
          .map(({ outcome, reason }) => `${outcome}: ${reason}`),
      );
    }
    expect(results).toBeGreaterThan(300);
    expect(declined.length, declined.join('; ')).toBeLessThanOrEqual(3);
  });
