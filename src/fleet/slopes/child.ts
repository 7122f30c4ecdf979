/** A child process of a run of slopes, as its parent sees it. */
import { fork, type ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { Report } from './role.js';

const PROCESS = fileURLToPath(new URL('./role-process.js', import.meta.url));

/** One child process of this tool, ended by its own id. */
export class Child<T = unknown> {
  private constructor(
    private readonly process: ChildProcess,
    readonly ready: T,
  ) {}

  static async start<T>(role: string, plan: unknown, gc = false): Promise<Child<T>> {
    const child = fork(PROCESS, [role], {
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
