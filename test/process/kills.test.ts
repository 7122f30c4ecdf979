/** A short run of a whole fleet under traffic while processes are killed and replaced, judged at its end. */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { firms, play } from '../../src/fleet/scenario.js';

test('a router and a core are killed, an engine is replaced on its address: nothing that must never happen', async () => {
  const plan = {
    folder: mkdtempSync(join(tmpdir(), 'rr-')),
    cores: 3,
    routers: 3,
    engines: 4,
    zones: ['a', 'b'],
    firms,
  };
  const { findings, figures } = await play(
    'kills',
    plan,
    { seed: 3, seconds: 8, shortPerSecond: 30, longPerSecond: 3 },
    async (fleet) => {
      await pause(1000);
      await fleet.kill('router-1');
      await fleet.kill('core-1');
      await fleet.tell(fleet.engines.get('engine-4')!, '/stand/behave', {
        identifier: 'engine-4+new',
      });
      await pause(1500);
      await fleet.tell(fleet.platform, '/stand/drop', { identifier: 'engine-4' });
      await fleet.list({ ...fleet.listed('engine-4', 'a', 'engine-4+new') });
      fleet.again('router-1');
      fleet.again('core-1');
      await fleet.ready(['router-1', 'core-1']);
    },
  );
  expect(findings).toEqual([]);
  const { outcomes, claimedBlocks } = figures as {
    outcomes: Record<string, number>;
    claimedBlocks: number;
  };
  expect(outcomes['result']).toBeGreaterThan(100);
  expect(outcomes['silent']).toBeGreaterThan(0);
  expect(claimedBlocks).toBeGreaterThan(100);
});
