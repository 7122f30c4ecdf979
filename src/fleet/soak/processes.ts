/**
 * The processes of a soak under its troubles: who is up, who was ended or stopped and by what, and what ended by itself.
 * One trouble at a time holds a process, so that two of them never undo each other's work.
 */
import { readFile, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { request } from 'undici';
import type { Fleet } from '../fleet.js';
import type { Incidents, SoakFinding } from './record.js';

/** How long a process may take to end after SIGTERM before that is a finding; far above its `drain`. */
const STOP_LIMIT = 60_000;

/** What a core machine without a vote says when it is asked whether it is ready. */
const NO_VOTE = 'not in the core set';

/** What a process says when it is asked whether it is ready, until all its faces are open. */
const STARTING = 'starting';

/** Whether a process says that it is ready, and if not, why. */
export interface Readiness {
  readonly isReady: boolean;
  /** It is up and has no vote, as a learner. */
  readonly isLearner: boolean;
  readonly reason: string;
}

/** Starts a process again; fulfilled once it answers. */
export type Restart = () => Promise<void>;

/** The core and router processes of a fleet. */
export class Processes {
  readonly findings: SoakFinding[] = [];
  private readonly held = new Set<string>();
  /** Processes whose end is expected. */
  private readonly ending = new Set<string>();
  private isOver = false;

  constructor(
    private readonly fleet: Fleet,
    private readonly incidents: Incidents,
  ) {}

  get cores(): string[] {
    return [...this.fleet.operators.keys()].filter((name) => !this.fleet.requests.has(name));
  }

  get routers(): string[] {
    return [...this.fleet.requests.keys()];
  }

  get all(): string[] {
    return [...this.fleet.operators.keys()];
  }

  /** Watches the processes for ends that nobody brought about. */
  watchAll(): void {
    for (const name of this.all) this.watch(name);
  }

  /** Takes processes for a trouble; those that another one holds are left out. */
  hold(names: readonly string[]): string[] {
    const free = names.filter((name) => !this.held.has(name));
    for (const name of free) this.held.add(name);
    return free;
  }

  release(names: readonly string[]): void {
    for (const name of names) this.held.delete(name);
  }

  /** Ends a process at once and gives the way to start it again. */
  async kill(name: string): Promise<Restart> {
    const isUp = this.incidents.begin('down', name);
    this.ending.add(name);
    await this.fleet.kill(name);
    return () => this.start(name, isUp);
  }

  /** Freezes a process and gives the way to let it go on. */
  pause(name: string): () => void {
    const over = this.incidents.begin('paused', name);
    this.fleet.signal(name, 'SIGSTOP');
    return () => {
      this.fleet.signal(name, 'SIGCONT');
      over();
    };
  }

  /** Asks a process to stop in order; it has ended when this is fulfilled. Gives the way to start it again. */
  async stop(name: string): Promise<Restart> {
    const isUp = this.incidents.begin('stopping', name);
    this.ending.add(name);
    this.fleet.signal(name, 'SIGTERM');
    const code = await this.exitWithin(name, STOP_LIMIT);
    if (code !== 0)
      this.find('stop', name, code === undefined ? 'never ended' : `ended with ${code}`);
    if (code === undefined) await this.fleet.kill(name);
    const isThere = this.incidents.begin('down', name);
    return async () => {
      await this.start(name, isUp);
      isThere();
    };
  }

  /** Asks a process to stop in order and ends it before it has. */
  async stopAndKill(name: string, between: Promise<void>): Promise<Restart> {
    const isUp = this.incidents.begin('down', name);
    this.ending.add(name);
    this.fleet.signal(name, 'SIGTERM');
    await between;
    await this.fleet.kill(name);
    return () => this.start(name, isUp);
  }

  /** Gives a process its seeds in another order and has it read its params again. */
  async reload(name: string): Promise<void> {
    const file = join(this.fleet.plan.folder, `${name}.json`);
    const params = JSON.parse(await readFile(file, 'utf8')) as { seeds: string[] };
    const [first, ...rest] = params.seeds;
    await writeFile(file, JSON.stringify({ ...params, seeds: [...rest, first] }, null, 2));
    this.incidents.note('reloading', name);
    this.fleet.signal(name, 'SIGHUP');
  }

  /** Takes the data of a core machine that is down away. */
  async loseDisk(name: string): Promise<void> {
    await rm(join(this.fleet.plan.folder, name), { recursive: true, force: true });
  }

  async readiness(name: string): Promise<Readiness> {
    try {
      const reply = await request(`http://${this.fleet.operators.get(name)!}/ready`, {
        headersTimeout: 2000,
        bodyTimeout: 2000,
      });
      const reason = await reply.body.text();
      const isReady = reply.statusCode === 200;
      return { isReady, isLearner: !isReady && reason.includes(NO_VOTE), reason };
    } catch (thrown) {
      return { isReady: false, isLearner: false, reason: String(thrown) };
    }
  }

  /** Whether every router is ready, and among the core machines so many voters, with learners alone beside them. */
  async allReady(voters: number): Promise<Readiness> {
    const told = await Promise.all(
      this.all.map(async (name) => ({ name, ...(await this.readiness(name)) })),
    );
    const cores = told.filter(({ name }) => !this.fleet.requests.has(name));
    const isEnough = cores.filter(({ isReady }) => isReady).length >= voters;
    const missing = told.filter(
      ({ name, isReady, isLearner }) =>
        !isReady && (!isEnough || !isLearner || this.fleet.requests.has(name)),
    );
    const reason = missing.map((each) => `${each.name}: ${each.reason}`).join('; ');
    return { isReady: missing.length === 0, isLearner: false, reason };
  }

  /** Ends are no longer watched. */
  finish(): void {
    this.isOver = true;
  }

  private async start(name: string, isUp: () => void): Promise<void> {
    this.ending.delete(name);
    this.fleet.again(name);
    this.watch(name);
    await this.awaitUp(name, isUp);
  }

  /** It is up again once all its faces are open, ready or not; its operators' address answers before the others do. */
  private async awaitUp(name: string, isUp: () => void): Promise<void> {
    const isOpen = async (): Promise<boolean> => {
      const reply = await request(`http://${this.fleet.operators.get(name)!}/ready`);
      return !(await reply.body.text()).includes(STARTING);
    };
    await this.fleet.until(`${name} to be up`, isOpen, STOP_LIMIT).catch(() => undefined);
    isUp();
  }

  private watch(name: string): void {
    void this.fleet.exited(name).then((code) => {
      if (this.isOver || this.ending.has(name)) return;
      this.find('own-end', name, `ended by itself with ${code}`);
    });
  }

  private exitWithin(name: string, limit: number): Promise<number | null | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<undefined>((resolve) => {
      timer = setTimeout(() => resolve(undefined), limit);
    });
    return Promise.race([this.fleet.exited(name), late]).finally(() => clearTimeout(timer));
  }

  private find(rule: string, subject: string, detail: string): void {
    this.findings.push({ rule, subject, detail });
  }
}
