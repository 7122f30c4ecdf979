/**
 * Scenarios at process level: a fleet under traffic while something fails, then the judge over what callers were told
 * and what engines ran. Each returns its findings and figures; none asserts a wall time.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { Schemas } from '../api/schema.js';
import { judge, type Finding } from '../stand/judge/judge.js';
import type { RunRecord } from '../stand/engine/engine.js';
import { Fleet, type FleetPlan } from './fleet.js';
import { drive, summary, type Called, type TrafficPlan } from './traffic.js';

/** What fails while traffic runs. */
export type Fault = (
  fleet: Fleet,
  left: Map<string, number>,
  note: (fact: string, value: unknown) => void,
) => Promise<void>;

/** What came of a scenario. */
export interface Result {
  readonly scenario: string;
  readonly findings: readonly Finding[];
  readonly figures: object;
}

/** The firms whose callers and operators take part. */
export const firms = ['sahel', 'aconcagua'] as const;

/** Sahel may use only the engines of even number; the other firm may use all. */
export const doorways = (): Schemas['Doorway'][] =>
  firms.flatMap((firm) =>
    (['short', 'long'] as const).map((tag) => ({
      name: `${firm}-${tag}`,
      firm,
      match: { model: 'family', tag },
      engines:
        firm === 'sahel'
          ? [{ label: 'group', value: 'even' }]
          : [{ label: 'pool', value: 'shared' }],
      repeatable: tag === 'long',
      resume: tag === 'long' && firm === 'sahel',
      limits: { firstToken: tag === 'short' ? 4000 : 10_000, total: 30_000 },
      line: 200,
      share: tag === 'short' ? 4 : 1,
    })),
  );

/** Sets the doorways of all firms. */
export const openDoorways = async (fleet: Fleet): Promise<void> => {
  await fleet.ready(['core-1', 'core-2', 'core-3'].filter((name) => fleet.operators.has(name)));
  for (const doorway of doorways())
    await fleet.until(
      `doorway ${doorway.name}`,
      async () =>
        (await fleet.setDoorway('core-1', doorway, 0, `open-${doorway.name}`))?.outcome ===
        'accepted',
    );
  await fleet.ready([...fleet.callers.keys()]);
  await fleet.claiming(fleet.callers.keys());
};

/** Takes engines' records every so often, since a killed engine takes its own along. */
class Recorder {
  private readonly runs = new Map<string, RunRecord>();
  overreach = 0;
  claims = 0;

  constructor(private readonly fleet: Fleet) {}

  async collect(): Promise<void> {
    const { runs, overreach, claims } = await this.fleet.runs();
    for (const run of runs) this.runs.set(`${run.engine}/${run.passage}`, run);
    this.overreach = Math.max(this.overreach, overreach);
    this.claims = Math.max(this.claims, claims);
  }

  get all(): RunRecord[] {
    return [...this.runs.values()];
  }
}

/** Plays one scenario and judges it. */
export const play = async (
  scenario: string,
  plan: FleetPlan,
  traffic: Omit<TrafficPlan, 'firms' | 'routers'>,
  fault: Fault,
): Promise<Result> => {
  const fleet = new Fleet(plan);
  const left = new Map<string, number>();
  const facts = new Map<string, unknown>();
  try {
    await fleet.start();
    await openDoorways(fleet);
    const recorder = new Recorder(fleet);
    const driving = drive({ ...traffic, firms, routers: () => [...fleet.callers.values()] });
    await fault(fleet, left, (fact, value) => facts.set(fact, value));
    const calls: Called[] = await driving;
    await pause(1000);
    await recorder.collect();
    const evens = new Set([...fleet.engines.keys()].filter((_, at) => at % 2 === 1));
    const allowed = (request: string, engine: string): boolean => {
      const firm = calls.find(({ id }) => id === request)?.firm;
      return firm !== 'sahel' || evens.has(engine.split('+')[0]!);
    };
    const findings = judge({
      callers: calls,
      runs: recorder.all,
      resumes: (request) =>
        calls.some(({ id, firm, kind }) => id === request && firm === 'sahel' && kind === 'long'),
      allowed,
      left,
      overreach: recorder.overreach,
    });
    const retries = await Promise.all(
      [...fleet.callers.keys()].map((name) => fleet.metric(name, 'retries_spent').catch(() => 0)),
    );
    const blocks = recorder.all.reduce((sum, run) => sum + run.blocks, 0);
    const hits = recorder.all.reduce((sum, run) => sum + run.hits, 0);
    const perEngine = [...fleet.engines.keys()].map(
      (name) => recorder.all.filter(({ engine }) => engine.split('+')[0] === name).length,
    );
    const lastAfterLeaving = [...left].map(([engine, since]) =>
      Math.max(
        0,
        ...recorder.all.filter((run) => run.engine === engine).map(({ at }) => at - since),
      ),
    );
    return {
      scenario,
      findings,
      figures: {
        ...summary(calls),
        runs: recorder.all.length,
        hitShare: Number((hits / blocks).toFixed(3)),
        claimedShareOfHits: Number((recorder.claims / hits).toFixed(3)),
        perEngine,
        ...(lastAfterLeaving.length ? { lastAfterLeavingMs: lastAfterLeaving } : {}),
        claimedBlocks: recorder.claims,
        overreach: recorder.overreach,
        retries: retries.reduce((sum, each) => sum + each, 0),
        ...Object.fromEntries(facts),
      },
    };
  } finally {
    await fleet.stop();
  }
};

const seconds = (count: number): Promise<void> => pause(count * 1000);

/** The scenarios, by name. */
export const faults = new Map<string, Fault>([
  ['calm', async () => undefined],
  [
    'router-killed',
    async (fleet) => {
      await seconds(2);
      await fleet.kill('router-1');
      await seconds(2);
      fleet.again('router-1');
    },
  ],
  [
    'core-killed',
    async (fleet) => {
      await seconds(2);
      await fleet.kill('core-2');
      await seconds(2);
      fleet.again('core-2');
    },
  ],
  [
    'router-frozen',
    async (fleet) => {
      await seconds(2);
      fleet.signal('router-2', 'SIGSTOP');
      await seconds(7);
      fleet.signal('router-2', 'SIGCONT');
    },
  ],
  [
    'herd-killed',
    async (fleet, _, note) => {
      await seconds(2);
      const names = [...fleet.callers.keys()];
      await Promise.all(names.map((name) => fleet.kill(name)));
      const from = performance.now();
      for (const name of names) fleet.again(name);
      await fleet.ready(names);
      note('backAfterMs', Math.round(performance.now() - from));
      await fleet.claiming(names);
      note('claimsBackAfterMs', Math.round(performance.now() - from));
    },
  ],
  [
    'all-killed',
    async (fleet, _, note) => {
      await seconds(2);
      const names = [...fleet.operators.keys()];
      await Promise.all(names.map((name) => fleet.kill(name)));
      const from = performance.now();
      for (const name of names) fleet.again(name);
      await fleet.ready([...fleet.callers.keys()]);
      note('backAfterMs', Math.round(performance.now() - from));
      await fleet.claiming(fleet.callers.keys());
      note('claimsBackAfterMs', Math.round(performance.now() - from));
    },
  ],
  [
    'engine-leaves',
    async (fleet, left) => {
      await seconds(2);
      left.set('engine-2', Date.now());
      await fleet.tell(fleet.platform, '/stand/leave', { identifier: 'engine-2' });
      await seconds(4);
    },
  ],
  [
    'engine-replaced',
    async (fleet) => {
      await seconds(2);
      await fleet.tell(fleet.engines.get('engine-4')!, '/stand/behave', {
        identifier: 'engine-4+new',
      });
      await seconds(2);
      await fleet.tell(fleet.platform, '/stand/drop', { identifier: 'engine-4' });
      await fleet.list({
        ...fleet.listed('engine-4', 'a', 'engine-4+new'),
        labels: { pool: 'shared', group: 'even' },
      });
      await seconds(2);
    },
  ],
  [
    'address-reused',
    async (fleet) => {
      await seconds(2);
      await fleet.tell(fleet.engines.get('engine-2')!, '/stand/behave', { identifier: 'engine-9' });
      await seconds(3);
    },
  ],
  [
    'engine-cuts',
    async (fleet) => {
      await seconds(2);
      await fleet.tell(fleet.engines.get('engine-2')!, '/stand/behave', { behaviour: 'cut' });
      await seconds(2);
      await fleet.tell(fleet.engines.get('engine-2')!, '/stand/behave', { behaviour: 'no-marker' });
      await seconds(2);
      await fleet.tell(fleet.engines.get('engine-2')!, '/stand/behave', { behaviour: 'foreign' });
      await seconds(2);
      await fleet.tell(fleet.engines.get('engine-2')!, '/stand/behave', { behaviour: 'well' });
    },
  ],
  [
    'engine-dark',
    async (fleet) => {
      await seconds(2);
      fleet.signal('engine-2', 'SIGSTOP');
      await seconds(5);
      fleet.signal('engine-2', 'SIGCONT');
    },
  ],
  [
    'router-drains',
    async (fleet, _, note) => {
      await seconds(2);
      const from = performance.now();
      fleet.signal('router-1', 'SIGTERM');
      note('exitCode', await fleet.exited('router-1'));
      note('drainedAfterMs', Math.round(performance.now() - from));
      fleet.again('router-1');
    },
  ],
  [
    'doorway-storm',
    async (fleet, _, note) => {
      await seconds(1);
      const from = performance.now();
      const base = doorways()[0]!;
      const told = await Promise.all(
        Array.from({ length: 200 }, (__, at) =>
          fleet.setDoorway(
            ['core-1', 'core-2', 'router-1', 'router-2'][at % 4]!,
            { ...base, name: `storm-${at}`, match: { tag: `storm-${at}` } },
            0,
            `storm-${at}`,
            20_000,
          ),
        ),
      );
      const outcomes = new Map<string, number>();
      for (const each of told)
        outcomes.set(each?.outcome ?? 'fault', (outcomes.get(each?.outcome ?? 'fault') ?? 0) + 1);
      note('stormMs', Math.round(performance.now() - from));
      note('storm', Object.fromEntries(outcomes));
    },
  ],
]);
