/** A fleet of processes tells of invariants that its nodes found violated, in any of their lives, and does not stop quietly. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from 'vitest';
import { Fleet } from '../../src/fleet/fleet.js';

const LINES = [
  'at=2026-12-02T10:00:00.000Z node=core-1 event=started role=core',
  'at=2026-12-02T10:00:01.000Z node=core-1 event=register-violation invariant=in-force-fell revision=8 before=9',
  'at=2026-12-02T10:00:02.000Z node=core-1 event=round-failed reason="no event=x-violation here"',
  'at=2026-12-02T10:00:03.000Z node=core-1 event=request-violation invariant=never-ended age=9000',
];

test('the lines of violations are found in the logs, and stop throws', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'fleet-'));
  const plan = { folder, cores: 0, routers: 0, engines: 0, zones: ['a'], firms: [] };
  const fleet = new Fleet(plan);
  try {
    const ended = { kill: () => true, exitCode: 0, signalCode: null };
    fleet['running'].set('core-1', { args: [], child: ended as never, logged: Promise.resolve() });
    expect(fleet.violations()).toEqual([]);
    await writeFile(join(folder, 'core-1.log'), `${LINES[0]!}\n`);
    await fleet.stop();
    await writeFile(join(folder, 'core-1.log'), LINES.join('\n'));
    expect(fleet.violations()).toEqual([LINES[1], LINES[3]]);
    await expect(fleet.stop()).rejects.toThrow('invariant=in-force-fell');
  } finally {
    await rm(folder, { recursive: true });
  }
});
