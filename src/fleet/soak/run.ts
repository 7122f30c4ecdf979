/**
 * One soak: a fleet of real processes under traffic and changes of the configuration while troubles overlap; then
 * everything heals, the configuration is read back, and all that is on record is judged.
 */
import { SeededRandom } from '../../kernel/random/random.js';
import { Fleet } from '../fleet.js';
import { RecordedOperators } from '../history.js';
import { OpaqueScene } from '../opaque.js';
import { Closing } from './closing.js';
import { firstConfiguration, SERVICES, TIMEOUTS } from './configurations.js';
import { EngineSlots, slotOf } from './engine-slots.js';
import { FinalLoss } from './final-loss.js';
import type { ReadBack } from './judge/configuration.js';
import { judgeSoak, type SoakEvidence } from './judge/judge.js';
import { Timeline } from './judge/timeline.js';
import { SoakNetwork } from './network.js';
import { SentOrders, SoakOperator, type SentOrder } from './operators.js';
import { paramsFor, RETRIES, TIMES, toleratedLosses, type SoakPlan } from './plan.js';
import { Processes } from './processes.js';
import { Incidents, type SoakFinding } from './record.js';
import { Redundancy } from './redundancy.js';
import { reportOf, writeRecords, type SoakReport } from './report.js';
import { drawSchedule } from './schedule.js';
import { DEADLINE, SoakTraffic } from './traffic.js';
import { TroubleRunner } from './troubles/runner.js';
import { Vigil } from './vigil.js';

/** ms that a call on the configuration is given, and after which its caller goes on. */
const CALL_WAIT = 2000;
const CALL_LIMIT = 3000;
/** Far above what a start takes; a busy machine is no verdict. */
const START_LIMIT = 240_000;

const OPERATORS = ['a', 'b'] as const;

class Soak {
  private readonly network = new SoakNetwork();
  private readonly fleet: Fleet;
  private readonly scene: OpaqueScene;
  private readonly engines: EngineSlots;
  private readonly incidents = new Incidents();
  private readonly processes: Processes;
  private readonly operators: RecordedOperators;
  private readonly orders = new SentOrders();
  private readonly traffic: SoakTraffic;
  private readonly vigil: Vigil;
  private readonly runner: TroubleRunner;
  private readonly stopOperators = new AbortController();
  private readonly closing: Closing;
  private readonly finalLoss: FinalLoss;

  constructor(private readonly plan: SoakPlan) {
    const { network, incidents } = this;
    const { seed } = plan;
    this.fleet = new Fleet({
      folder: plan.folder,
      cores: plan.cores,
      seeds: plan.voters,
      routers: plan.routers,
      engines: 0,
      zones: ['a'],
      firms: ['sahel'],
      opaque: true,
      params: paramsFor(plan),
      notice: TIMES.notice,
      advertise: (name, address) => network.peers.add(name, address),
    });
    const reach = (router: string): string => network.requests.addresses.get(router)!;
    this.scene = new OpaqueScene(
      this.fleet,
      seed,
      { stepBase: 4, plainTokens: 25, readRate: 400 },
      {
        engine: (identifier, bound) => network.engines.add(slotOf(identifier), bound),
        requests: reach,
      },
    );
    this.engines = new EngineSlots(this.scene, SERVICES);
    this.processes = new Processes(this.fleet, incidents);
    this.operators = new RecordedOperators(this.fleet, CALL_WAIT, CALL_LIMIT, (node) =>
      network.operators.addresses.get(node)!,
    );
    this.traffic = new SoakTraffic(this.scene, reach, this.orders, seed + 2);
    this.closing = new Closing(
      this.fleet,
      this.processes,
      this.scene,
      this.operators,
      this.orders,
      new SeededRandom(seed + 5),
      plan.voters,
    );
    const redundancy = new Redundancy(this.fleet, () => this.processes.cores, plan.voters);
    this.finalLoss = new FinalLoss(
      this.fleet,
      this.processes,
      this.orders,
      redundancy,
      new SeededRandom(seed + 6),
    );
    this.vigil = new Vigil(this.fleet, incidents);
    this.runner = new TroubleRunner({
      processes: this.processes,
      network,
      scene: this.scene,
      engines: this.engines,
      incidents,
      redundancy,
    });
  }

  async run(): Promise<SoakReport> {
    try {
      await this.start();
      await this.play();
      const readBacks = await this.end();
      this.processes.finish();
      await this.fleet.endAll();
      return await this.report(readBacks);
    } finally {
      this.processes.finish();
      await this.scene.close();
      await this.fleet.endAll();
      await this.network.close();
    }
  }

  private async start(): Promise<void> {
    const { fleet, network, processes } = this;
    await fleet.start();
    this.narrowLinks();
    for (const name of processes.all) await network.operators.add(name, fleet.operators.get(name)!);
    for (const name of processes.routers)
      await network.requests.add(name, fleet.requests.get(name)!);
    await this.engines.startAll();
    await this.putFirst();
    await fleet.until(
      'all to be ready',
      async () => (await processes.allReady(this.plan.voters)).isReady,
      START_LIMIT,
    );
    processes.watchAll();
  }

  private narrowLinks(): void {
    const { linkRate, isCoreNarrow } = this.plan;
    const { all, routers } = this.processes;
    if (linkRate !== undefined) this.network.narrow(isCoreNarrow ? all : routers, linkRate);
  }

  private async putFirst(): Promise<void> {
    const configuration = firstConfiguration(this.plan.bulkRoutes);
    const sent: SentOrder = {
      order: { body: configuration, expects: 0 },
      isValid: true,
      whole: configuration,
      mark: '/first/',
      operator: 'first',
      sentAt: Date.now(),
      acknowledgedAt: undefined,
      refusedAt: undefined,
    };
    this.orders.all.push(sent);
    const put = async (): Promise<boolean> => {
      this.orders.note(sent, await this.operators.send('core-1', sent.order));
      return sent.acknowledgedAt !== undefined;
    };
    await this.fleet.until('the first configuration', put, START_LIMIT);
  }

  private async play(): Promise<void> {
    const { plan, processes } = this;
    this.vigil.start();
    this.traffic.start(processes.routers);
    const { signal } = this.stopOperators;
    const operators = OPERATORS.map(
      (name, at) =>
        new SoakOperator(
          name,
          plan.seed * 31 + at,
          this.operators,
          this.orders,
          processes.cores,
          processes.routers,
          signal,
          plan.bulkRoutes > 0,
        ),
    );
    const running = operators.flatMap((operator, at) =>
      at === 0 ? [operator.run(), operator.watch()] : [operator.run()],
    );
    const schedule = drawSchedule(plan.seed, plan.seconds, plan.only, plan.series);
    await this.runner.play(schedule, plan.seconds * 1000);
    await this.runner.heal();
    await this.closing.awaitRecovery();
    if (plan.lossAtEnd) {
      await this.finalLoss.strike(toleratedLosses(plan));
      await this.closing.awaitRecovery();
    }
    this.stopOperators.abort();
    await Promise.all(running);
  }

  private async end(): Promise<ReadBack[]> {
    await this.closing.repeatOrders();
    const readBacks = await this.closing.readBackAll();
    await this.traffic.finish();
    await this.closing.awaitEnds();
    await this.vigil.finish();
    return readBacks;
  }

  private evidence(readBacks: readonly ReadBack[]): SoakEvidence {
    const routers = new Map(
      [...this.network.requests.addresses].map(([name, address]) => [address, name]),
    );
    const { connections } = this.traffic;
    return {
      asked: this.scene.caller.asked,
      arrivals: this.scene.arrivals,
      notes: connections.notes,
      earlyCloses: connections.earlyCloses,
      unaskedBytes: connections.unaskedBytes,
      timeline: new Timeline(this.incidents.all),
      routerAt: (address) => routers.get(address) ?? address,
      deadline: DEADLINE,
      timeouts: TIMEOUTS,
      orders: this.orders.all,
      calls: this.operators.history.calls,
      readBacks,
      cores: this.processes.cores,
      lapse: this.plan.lapse,
      retries: RETRIES,
    };
  }

  /** Invariants that a process, in any of its lives, logged as violated. */
  private violationFindings(): SoakFinding[] {
    return this.fleet
      .violations()
      .map((line) => ({ rule: 'invariant-violated', subject: 'log', detail: line }));
  }

  private async report(readBacks: readonly ReadBack[]): Promise<SoakReport> {
    const evidence = this.evidence(readBacks);
    const findings = [
      ...this.closing.findings,
      ...this.finalLoss.findings,
      ...this.processes.findings,
      ...this.vigil.findings(),
      ...this.violationFindings(),
      ...judgeSoak(evidence),
    ];
    const run = {
      plan: this.plan,
      evidence,
      incidents: this.incidents.all,
      played: this.runner.played,
      finalLoss: this.finalLoss.loss,
      standstills: this.vigil.standstills,
      findings,
    };
    if (findings.length > 0) await writeRecords(run);
    return reportOf(run);
  }
}

/** Runs one soak and judges it. */
export const soak = (plan: SoakPlan): Promise<SoakReport> => new Soak(plan).run();
