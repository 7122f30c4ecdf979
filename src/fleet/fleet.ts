/**
 * A whole fleet on one machine, for developing and testing: real processes on loopback, each with its params file, its
 * log and its id. Processes are signalled only by the ids this tool started.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { createServer, type Server } from 'node:net';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { digestOf } from '../register/hash.js';
import type { Schemas } from '../api/schema.js';
import { operate } from '../client/operate.js';
import type { Listed } from '../pool/engine.js';
import type { RunRecord } from '../stand/engine/engine.js';

/** The nodes of a fleet and where their files go. */
export interface FleetPlan {
  readonly folder: string;
  readonly cores: number;
  /** How many of the core machines are seeds, and so the first voters: all by default. */
  readonly seeds?: number;
  readonly routers: number;
  readonly engines: number;
  readonly zones: readonly string[];
  readonly firms: readonly string[];
  readonly engineFlags?: readonly string[];
  readonly params?: object;
  readonly lag?: number;
  readonly perSecond?: number;
  /** Routers take opaque requests too. */
  readonly opaque?: boolean;
  /** Flags of the runtime for core nodes and routers. */
  readonly nodeFlags?: readonly string[];
  /** ms in which a process that is told to stop still takes what comes. */
  readonly notice?: number;
  /** Gives the address by which the others reach a process that listens for peers at `address`: the same by default. */
  readonly advertise?: (name: string, address: string) => Promise<string>;
}

interface Running {
  readonly args: readonly string[];
  child: ChildProcess;
  /** Its log is written whole. */
  logged: Promise<unknown>;
}

/** What nodes log of an invariant that did not hold (src/monitor/violations.ts). */
const VIOLATION = /^at=\S+ node=\S+ event=[a-z]+-violation /;

const program = fileURLToPath(new URL('../../bin/rudderridge.js', import.meta.url));

/** The key of a firm's callers. */
export const callerKey = (firm: string): string => `${firm}-caller`;

/** The key of a firm's operators. */
export const operatorKey = (firm: string): string => `${firm}-operator`;

/** Below the ports that systems give to outgoing connections, which could take one before a process listens on it. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 22_000;
/** Fleets of processes whose ids follow each other begin this far apart. */
const PORT_STRIDE = 61;

const listenOn = (port: number): Promise<Server | undefined> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(undefined);
    });
    server.listen(port, '127.0.0.1', () => {
      resolve(server);
    });
  });

let lastPort = process.pid * PORT_STRIDE;

/** Ports that are free on loopback now, and that no other call of this process is given. */
export const freePorts = async (count: number): Promise<number[]> => {
  const servers = new Map<number, Server>();
  for (let tries = 0; servers.size < count && tries < PORT_COUNT; tries++) {
    const port = FIRST_PORT + (++lastPort % PORT_COUNT);
    const server = await listenOn(port);
    if (server) servers.set(port, server);
  }
  const closing = [...servers.values()].map(
    (server) => new Promise((resolve) => server.close(resolve)),
  );
  await Promise.all(closing);
  return [...servers.keys()];
};

/** A fleet of processes that this tool started. */
export class Fleet {
  private readonly running = new Map<string, Running>();
  readonly callers = new Map<string, string>();
  /** Where routers take opaque requests. */
  readonly requests = new Map<string, string>();
  readonly operators = new Map<string, string>();
  readonly engines = new Map<string, string>();
  readonly peers = new Map<string, string>();
  /** By which address each process is known to its peers. */
  readonly advertised = new Map<string, string>();
  platform = '';

  constructor(readonly plan: FleetPlan) {
    mkdirSync(plan.folder, { recursive: true });
  }

  async start(): Promise<void> {
    const { cores, routers, engines, zones, firms, folder } = this.plan;
    const ports = await freePorts(1 + cores * 2 + routers * 4 + engines);
    const next = (): string => `127.0.0.1:${ports.shift()!}`;
    this.platform = next();
    const coreNames = Array.from({ length: cores }, (_, at) => `core-${at + 1}`);
    const routerNames = Array.from({ length: routers }, (_, at) => `router-${at + 1}`);
    const engineNames = Array.from({ length: engines }, (_, at) => `engine-${at + 1}`);
    for (const name of [...coreNames, ...routerNames]) {
      this.peers.set(name, next());
      this.operators.set(name, next());
    }
    for (const name of routerNames) {
      this.callers.set(name, next());
      if (this.plan.opaque) this.requests.set(name, next());
    }
    for (const name of engineNames) this.engines.set(name, next());
    for (const name of [...coreNames, ...routerNames]) {
      const own = this.peers.get(name)!;
      this.advertised.set(name, (await this.plan.advertise?.(name, own)) ?? own);
    }
    const seeds = coreNames
      .slice(0, this.plan.seeds ?? cores)
      .map((name) => this.advertised.get(name)!);
    const keyed = firms.map((name) => ({
      name,
      callerKeys: [digestOf(callerKey(name))],
      operatorKeys: [digestOf(operatorKey(name))],
    }));
    [...coreNames, ...routerNames].forEach((name, at) => {
      const core = coreNames.includes(name);
      const listen = {
        callers: this.callers.get(name) ?? '127.0.0.1:1',
        operators: this.operators.get(name)!,
        peers: this.peers.get(name)!,
        advertise: this.advertised.get(name)!,
        notice: this.plan.notice ?? 0,
        requests: this.requests.get(name) ?? '',
      };
      const params = {
        fleet: 'local',
        name,
        zone: zones[at % zones.length],
        listen,
        seeds,
        firms: keyed,
        platform: { url: `http://${this.platform}/engines` },
        ...(core ? { folder: join(folder, name), form: true } : {}),
        ...this.plan.params,
      };
      writeFileSync(join(folder, `${name}.json`), JSON.stringify(params, null, 2));
    });
    this.run('platform', [
      'stand',
      'platform',
      '--address',
      this.platform,
      '--lag',
      String(this.plan.lag ?? 100),
      '--per-second',
      String(this.plan.perSecond ?? 10),
    ]);
    for (const name of engineNames)
      this.run(name, [
        'stand',
        'engine',
        '--identifier',
        name,
        '--address',
        this.engines.get(name)!,
        ...(this.plan.engineFlags ?? []),
      ]);
    for (const name of coreNames)
      this.run(name, ['core', '--params', join(folder, `${name}.json`)]);
    for (const name of routerNames)
      this.run(name, ['router', '--params', join(folder, `${name}.json`)]);
    await this.until(
      'the platform',
      async () => (await this.tell(this.platform, '/stand/counts')).answered !== undefined,
    );
    for (const [at, name] of engineNames.entries())
      await this.list(this.listed(name, zones[at % zones.length]!));
  }

  listed(name: string, zone: string, identifier = name): Listed {
    const flag = (key: string, otherwise: number): number => {
      const at = this.plan.engineFlags?.indexOf(key) ?? -1;
      return at >= 0 ? Number(this.plan.engineFlags![at + 1]) : otherwise;
    };
    return {
      identifier,
      address: this.engines.get(name)!,
      model: 'family',
      adapters: [],
      weight_generation: 'w1',
      zone,
      labels: { pool: 'shared', group: Number(name.split('-')[1]) % 2 === 0 ? 'even' : 'odd' },
      cache_capacity_tokens: flag('--capacity', 524_288),
      prefill_rate: flag('--prefill-rate', 8000),
      leaving: false,
    };
  }

  list(entry: Listed): Promise<unknown> {
    return this.tell(this.platform, '/stand/put', entry);
  }

  async tell(address: string, path: string, body: unknown = {}): Promise<Record<string, unknown>> {
    const reply = await request(`http://${address}${path}`, {
      method: 'POST',
      body: JSON.stringify(body),
      headersTimeout: 2000,
      bodyTimeout: 2000,
    });
    return (await reply.body.json()) as Record<string, unknown>;
  }

  async runs(): Promise<{ runs: RunRecord[]; overreach: number; claims: number }> {
    const all = (await Promise.all(
      [...this.engines.values()].map(
        (address) => this.tell(address, '/stand/records') as Promise<unknown>,
      ),
    )) as Array<{ records: RunRecord[]; judged: { claims: number; overreach: number } }>;
    return {
      runs: all.flatMap(({ records }) => records),
      overreach: all.reduce((sum, { judged }) => sum + judged.overreach, 0),
      claims: all.reduce((sum, { judged }) => sum + judged.claims, 0),
    };
  }

  /** Sets a doorway through a node and returns what the operator was told. */
  async setDoorway(
    node: string,
    doorway: Schemas['Doorway'],
    expects: number,
    change: string,
    wait = 10_000,
  ): Promise<Schemas['ChangedReply'] | undefined> {
    const told = await operate(
      { node: this.operators.get(node)!, key: operatorKey(doorway.firm) },
      'doorway.set',
      { change, doorway, expects, wait },
    );
    return told.toMaybe().extract();
  }

  async ready(names: Iterable<string>, limit = 30_000): Promise<void> {
    for (const name of names)
      await this.until(
        `${name} to be ready`,
        async () => (await request(`http://${this.operators.get(name)!}/ready`)).statusCode === 200,
        limit,
      );
  }

  /** Until each router is registered and grants claims on ids, so that what may not be repeated is let in too. */
  async claiming(names: Iterable<string>): Promise<void> {
    for (const name of names)
      await this.until(
        `${name} to grant claims`,
        async () => (await this.metric(name, 'claims_open')) === 1,
      );
  }

  async metric(name: string, metric: string): Promise<number> {
    const text = await (await request(`http://${this.operators.get(name)!}/metrics`)).body.text();
    return text
      .split('\n')
      .filter((line) => line.startsWith(`rudderridge_${metric}`))
      .reduce((sum, line) => sum + Number(line.split(' ').pop()), 0);
  }

  pid(name: string): number {
    return this.running.get(name)!.child.pid!;
  }

  signal(name: string, signal: NodeJS.Signals): void {
    this.running.get(name)?.child.kill(signal);
  }

  exited(name: string): Promise<number | null> {
    const child = this.running.get(name)!.child;
    if (child.exitCode !== null || child.signalCode !== null)
      return Promise.resolve(child.exitCode);
    return new Promise((resolve) => child.once('exit', (code) => resolve(code)));
  }

  async kill(name: string): Promise<void> {
    this.signal(name, 'SIGKILL');
    await this.exited(name);
  }

  again(name: string): void {
    this.run(name, this.running.get(name)!.args);
  }

  /** Ends all processes, and throws where one of them told of a violated invariant. */
  async stop(): Promise<void> {
    await this.endAll();
    const found = this.violations();
    if (found.length > 0) throw new Error(`nodes found violated invariants:\n${found.join('\n')}`);
  }

  /** Ends all processes; their logs are whole then. */
  async endAll(): Promise<void> {
    for (const name of this.running.keys()) {
      this.signal(name, 'SIGCONT');
      this.signal(name, 'SIGKILL');
    }
    await Promise.all([...this.running.keys()].map((name) => this.exited(name)));
    await Promise.all([...this.running.values()].map(({ logged }) => logged));
  }

  /** The lines in which nodes, in any of their lives, told of an invariant that did not hold. */
  violations(): string[] {
    return [...this.running.keys()]
      .map((name) => join(this.plan.folder, `${name}.log`))
      .filter((file) => existsSync(file))
      .flatMap((file) => readFileSync(file, 'utf8').split('\n'))
      .filter((line) => VIOLATION.test(line));
  }

  /** Ends all nodes as a planned stop does, and waits until they are gone. */
  async retire(): Promise<void> {
    const nodes = [...this.peers.keys()];
    for (const name of nodes) this.signal(name, 'SIGTERM');
    await Promise.all(nodes.map((name) => this.exited(name)));
  }

  async until(what: string, question: () => Promise<boolean>, limit = 30_000): Promise<void> {
    const end = performance.now() + limit;
    while (performance.now() < end) {
      if (await question().catch(() => false)) return;
      await pause(25);
    }
    throw new Error(`waited ${limit} ms for ${what}`);
  }

  private run(name: string, args: readonly string[]): void {
    const log = createWriteStream(join(this.plan.folder, `${name}.log`), { flags: 'a' });
    const flags = args[0] === 'stand' ? [] : (this.plan.nodeFlags ?? []);
    const child = spawn(process.execPath, [...flags, program, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    const logged = new Promise<void>((resolve) => {
      child.once('close', () => log.end(resolve));
    });
    this.running.set(name, { args, child, logged });
  }
}
