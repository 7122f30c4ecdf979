/**
 * A child process of a run of slopes, started by `Child`: it takes one role, says when it is ready, and answers reports.
 * Its processor time and memory are its own, so that each role's cost can be told apart.
 */
import 'reflect-metadata';
import type { Role, Usage } from './role.js';

const usageNow = (): Usage => {
  (globalThis as { gc?: () => void }).gc?.();
  const { user, system } = process.cpuUsage();
  const { rss, heapUsed } = process.memoryUsage();
  return { processor: (user + system) / 1e6, rss, heap: heapUsed };
};

const roles = new Map<string, () => Promise<Role>>([
  ['hollow', async () => (await import('./hollow.js')).hollow],
  ['count', async () => (await import('./counts.js')).count],
  ['forwarder', async () => (await import('./forwarding.js')).forwarder],
  ['engine', async () => (await import('./forwarding.js')).engine],
  ['index', async () => (await import('./prefixes.js')).index],
]);

const serve = async (name: string): Promise<void> => {
  const role = await roles.get(name)!();
  const { plan } = await new Promise<{ plan: never }>((resolve) =>
    process.once('message', resolve),
  );
  const { ready, answer } = await role(plan);
  process.on('message', ({ question }: { question: unknown }) => {
    void Promise.resolve(answer(question)).then((told) =>
      process.send!({ usage: usageNow(), told }),
    );
  });
  process.on('disconnect', () => process.exit(0));
  process.send!({ ready });
};

await serve(process.argv[2] ?? '');
