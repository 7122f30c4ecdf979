/**
 * A day of a whole fleet in one process: both firms' sizes and traffic shape, doorway changes by operators that race,
 * and failures drawn from the seed; then the judge. Every line of what must never happen is looked at, either here as
 * the day goes or by the judge at its end. One seed replays exactly.
 */
import { decodeDocument, type Document } from '../../register/document.js';
import { judge, type Finding } from '../../stand/judge/judge.js';
import { simBase } from '../nodes.js';
import { FaultInjector } from './faults/injector.js';
import { Operators } from './operators.js';
import { AFTER, type DayPlan, type DayResult } from './plan.js';
import { Stage } from './stage.js';
import { Tally } from './tally.js';
import { Traffic } from './traffic.js';

const FINDINGS = 20;
const BACK = 12_000;
const WINDOW = 10_000;

class Day {
  private readonly tally = new Tally();
  private readonly stage: Stage;
  private readonly operators: Operators;
  private readonly traffic: Traffic;
  private readonly faults: FaultInjector;
  private readonly lapsed = new Set<string>();

  constructor(
    private readonly plan: DayPlan,
    private readonly seed: number,
  ) {
    this.stage = new Stage(plan, seed, this.tally);
    this.operators = new Operators(this.stage);
    this.traffic = new Traffic(this.stage);
    this.faults = new FaultInjector(this.stage, this.traffic, this.operators);
  }

  async run(): Promise<DayResult> {
    const { plan, stage } = this;
    const { world } = stage;
    const span = plan.seconds * 1000;
    stage.start();
    world.at(20, () => this.watch());
    await world.until(this.operators.open(), 60_000);
    await world.run(world.now + 2000);
    const from = world.now;
    this.traffic.flow(from, span + AFTER, plan.shortPerSecond, plan.longPerSecond);
    this.operators.work(from, span);
    this.faults.draw(from, span);
    await world.run(from + span);
    this.faults.mend();
    await world.run(world.now + 16_000);
    const final = await this.close();
    return this.result(final);
  }

  /** Looks, at every turn, that no node which holds a lease is behind what was told accepted. */
  private watch(): void {
    const { routers, world } = this.stage;
    const { accepted } = this.operators;
    for (const { host, lease, inForce } of routers.values()) {
      if (host.dead) continue;
      const holds = lease.holds();
      if (holds && inForce.revision < accepted)
        this.tally.find(
          'accepted-not-in-force',
          `${host.name} stands on ${inForce.revision}, accepted is ${accepted}, at ${Math.round(world.now)}`,
        );
      if (!holds && inForce.revision > 0 && !this.lapsed.has(host.name))
        this.tally.note('lapsedLeases');
      if (holds) this.lapsed.delete(host.name);
      else this.lapsed.add(host.name);
    }
    world.at(20, () => this.watch());
  }

  /** The end of the day: the newest configuration and the whole history are read and held against what was told. */
  private async close(): Promise<Document | undefined> {
    const { stage, operators, tally } = this;
    const { world } = stage;
    const reader = simBase(world, 'reader', '127.0.0.1:9999', 'z', 'router', stage.site);
    const read = await world.until(reader.proposer.read(20_000), 60_000);
    if (read.isLeft()) {
      tally.find('unreadable', read.extract().reason);
      return undefined;
    }
    const final = read.unsafeCoerce();
    for (const { host, inForce } of stage.routers.values())
      if (!host.dead && inForce.revision < operators.accepted)
        tally.find(
          'slid-back',
          `${host.name} at ${inForce.revision}, accepted ${operators.accepted}`,
        );
    const core = [...stage.cores.values()].find(
      ({ host, member }) => !host.dead && member.state().voting,
    );
    if (!core) {
      tally.find('unreadable', 'no member votes');
      return final;
    }
    const history = await world.until(core.operations.history({ from: 1, count: 2000 }), 120_000);
    history.caseOf({
      Left: ({ reason }) => tally.find('history-not-whole', reason),
      Right: ({ revisions, committed }) => {
        if (revisions.length !== committed)
          tally.find('history-not-whole', `${revisions.length} of ${committed}`);
        tally.note('historyRead', revisions.length);
        operators.check(
          final,
          new Set(revisions.flatMap(({ changes }) => changes.map(({ id }) => id))),
        );
      },
    });
    this.checkVoters(final);
    for (const name of stage.lostFor)
      if (!stage.cores.get(name)?.member.state().voting) tally.find('not-replaced', name);
    const wholes = new Set(
      [...stage.cores.values()]
        .filter(({ host, member }) => !host.dead && member.state().voting)
        .map(({ member }) => member.wholeDigest),
    );
    if (wholes.size !== 1 || wholes.has('')) tally.find('histories-differ', [...wholes].join(' '));
    const kept = (await world.until(core.operations.at(0))).chain(({ document }) =>
      decodeDocument(Buffer.from(document), 'core'),
    );
    if (kept.isLeft()) tally.find('unreadable', 'the newest revision');
    return final;
  }

  /** Every voter is a machine that lives, and there are no more than wanted: a voter that is gone only costs a majority. */
  private checkVoters({ core }: Document): void {
    const { stage, tally } = this;
    const living = new Set(
      [...stage.cores.values()].filter(({ host }) => !host.dead).map(({ host }) => host.address),
    );
    if (core.members.length > core.wanted)
      tally.find('too-many-voters', `${core.members.length} of ${core.wanted}`);
    for (const { address } of core.members)
      if (!living.has(address)) tally.find('voter-gone', address);
  }

  private result(final: Document | undefined): DayResult {
    const { stage, traffic, operators, tally } = this;
    const { facts } = stage;
    const at = new Map(facts.runs.map((run) => [`${run.request}/${run.engine}`, run.at]));
    const doorways = new Map(traffic.calls.map(({ id, doorway }) => [id, doorway]));
    const allowed = (request: string, engine: string): boolean =>
      !final ||
      operators.allows(doorways.get(request) ?? '', engine, at.get(`${request}/${engine}`)!, final);
    const callers = traffic.calls.map((call) =>
      call.outcome === 'declined' && traffic.resent.has(call.id)
        ? { ...call, outcome: 'silent' as const }
        : call,
    );
    const judged = judge({
      callers,
      runs: facts.runs,
      resumes: (request) => doorways.get(request) === 'sahel-long',
      allowed,
      left: stage.left,
      overreach: facts.overreach,
    });
    if (traffic.stillOut) tally.find('not-back', 'no result since the outage');
    for (const back of [...traffic.backAfter, ...traffic.onceBackAfter])
      if (back > BACK) tally.find('late-back', `${back} ms`);
    for (const { host, journal } of stage.routers.values())
      for (const { event } of journal.tail())
        if (event.kind === 'fault')
          tally.find('illegal-step', `${host.name}: ${event.from} to ${event.to}`, event.request);
    const retryShareMost = this.retries();
    tally.note('claimsCompared', facts.claims);
    tally.note('greyFailures', facts.greyFailures);
    tally.note(
      'resumed',
      callers.filter(
        ({ id, outcome }) =>
          outcome === 'result' &&
          facts.runs.some((run) => run.request === id && run.continues && run.ended === 'done'),
      ).length,
    );
    const count = (values: readonly string[]): Map<string, number> =>
      values.reduce(
        (counts, value) => counts.set(value, (counts.get(value) ?? 0) + 1),
        new Map<string, number>(),
      );
    return {
      seed: this.seed,
      findings: [
        ...tally.findings.slice(0, FINDINGS),
        ...judged.slice(0, FINDINGS),
      ] as ReadonlyArray<Finding>,
      faults: tally.faults,
      outcomes: count(traffic.calls.map(({ outcome }) => outcome)),
      changes: count(operators.told.map(({ outcome }) => outcome)),
      situations: tally.situations,
      backAfter: traffic.backAfter,
      onceBackAfter: traffic.onceBackAfter,
      calmAccepted: operators.calmAccepted,
      retryShareMost,
    };
  }

  /**
   * Requests that reached a second engine, over every sliding window: at most a twentieth of the fresh traffic of the
   * window, and one more for each router, since a budget is whole requests.
   */
  private retries(): number {
    const { facts, routers } = this.stage;
    const seen = new Set<string>();
    const again: number[] = [];
    const repeatable = new Set(
      this.traffic.calls.filter((call) => call.repeatable).map(({ id }) => id),
    );
    for (const { request, at } of [...facts.runs].sort((a, b) => a.at - b.at)) {
      if (seen.has(request) && repeatable.has(request)) again.push(at);
      seen.add(request);
    }
    this.tally.note('retries', again.length);
    const began = this.traffic.calls.map((call) => call.began);
    let most = 0;
    for (const end of again) {
      const within = (moment: number): boolean => moment > end - WINDOW && moment <= end;
      const spent = again.filter(within).length;
      const fresh = began.filter(within).length;
      if (spent > fresh * 0.05 + routers.size)
        this.tally.find('retry-share', `${spent} of ${fresh} within 10 s`);
      most = Math.max(most, spent / Math.max(1, fresh));
    }
    return most;
  }
}

export const playDay = (plan: DayPlan, seed: number): Promise<DayResult> =>
  new Day(plan, seed).run();
