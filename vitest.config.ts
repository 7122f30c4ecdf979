/**
 * How the tests run: forked processes, explicit files, a seed that never varies between runs. Fleets of real processes
 * need the machine's processors for themselves, so their tests come first, and the simulated worlds after them.
 */
import { defineConfig } from 'vitest/config';

/** Far above what any test takes: a busy machine is no verdict. */
const shared = { testTimeout: 600_000, hookTimeout: 300_000, pool: 'forks' } as const;
const processes = 'test/process/**/*.test.ts';

export default defineConfig({
  test: {
    projects: [
      {
        test: {
          ...shared,
          name: 'processes',
          include: [processes],
          sequence: { seed: 7, groupOrder: 0 },
        },
      },
      {
        test: {
          ...shared,
          name: 'others',
          include: ['test/**/*.test.ts'],
          exclude: [processes],
          sequence: { seed: 7, groupOrder: 1 },
        },
      },
    ],
  },
});
