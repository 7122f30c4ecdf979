/**
 * A process of a run of slopes, started by `Child`: it takes one role, says when it is ready, and answers reports. Its
 * processor time and memory are its own, so that each role's cost can be told apart.
 */
import 'reflect-metadata';
import { fork, type ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';

/** Processor time and memory of a process. */
export interface Usage {
  /** Seconds of processor time since the start. */
  readonly processor: number;
  readonly rss: number;
  readonly heap: number;
}

/** What a child process answers, with its usage. */
export interface Report<T> {
  readonly usage: Usage;
  readonly told: T;
}

/** Answers a question to a role. */
export type Answer = (question: unknown) => unknown;

/** What a role module offers: it starts with the plan given and answers questions from then on. */
export type Role = (plan: never) => Promise<{ readonly ready: unknown; readonly answer: Answer }>;

const usageNow = (): Usage => {
  (globalThis as { gc?: () => void }).gc?.();
  const { user, system } = process.cpuUsage();
  const { rss, heapUsed } = process.memoryUsage();
  return { processor: (user + system) / 1e6, rss, heap: heapUsed };
};

/** One child process of this tool, ended by its own id. */
export class Child<T = unknown> {
  private constructor(
    private readonly process: ChildProcess,
    readonly ready: T,
  ) {}

  static async start<T>(role: string, plan: unknown, gc = false): Promise<Child<T>> {
    const child = fork(fileURLToPath(import.meta.url), [role], {
      execArgv: gc ? ['--expose-gc'] : [],
      stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
      env: { ...process.env, DEBUG: 'none' },
    });
    child.send({ plan });
    const ready = await new Promise<T>((resolve, reject) => {
      child.once('message', (message: { ready: T }) => resolve(message.ready));
      child.once('exit', (code) =>
        reject(new Error(`a ${role} process ended with ${code} before it was ready`)),
      );
    });
    return new Child(child, ready);
  }

  get pid(): number {
    return this.process.pid!;
  }

  ask<A>(question: unknown = {}): Promise<Report<A>> {
    return new Promise((resolve) => {
      this.process.once('message', (report: Report<A>) => resolve(report));
      this.process.send({ question });
    });
  }

  end(): Promise<void> {
    return new Promise((resolve) => {
      this.process.removeAllListeners('exit');
      this.process.once('exit', () => resolve());
      this.process.kill('SIGKILL');
    });
  }
}

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

if (process.argv[1] === fileURLToPath(import.meta.url)) await serve(process.argv[2]!);
