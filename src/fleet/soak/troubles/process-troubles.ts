/** Processes that are killed, paused, stopped and reloaded, and core machines whose disks are lost. */
import { TIMES } from '../plan.js';
import type { Restart } from '../processes.js';
import type { Trouble, TroubleKind } from '../schedule.js';
import {
  between,
  chosen,
  type TroubleAction,
  type TroubleActions,
  type TroubleContext,
} from './context.js';

type Choose = (context: TroubleContext, trouble: Trouble) => readonly string[];

/** Holds the chosen processes while something is done to those that are free. */
const holding =
  (
    choose: Choose,
    act: (context: TroubleContext, names: readonly string[], trouble: Trouble) => Promise<void>,
  ): TroubleAction =>
  async (context, trouble) => {
    const names = context.processes.hold(choose(context, trouble));
    try {
      if (names.length > 0) await act(context, names, trouble);
    } finally {
      context.processes.release(names);
    }
    return names;
  };

const restartAll = async (restarts: readonly Restart[]): Promise<void> => {
  await Promise.all(restarts.map((restart) => restart()));
};

const killed = (choose: Choose): TroubleAction =>
  holding(choose, async ({ processes, wait }, names, { duration }) => {
    const restarts = await Promise.all(names.map((name) => processes.kill(name)));
    await wait(duration);
    await restartAll(restarts);
  });

/** A core machine is down for so long that a learner, where there is one, is given its vote. */
const away: TroubleAction = holding(
  ({ processes }, trouble) => chosen(processes.cores, trouble),
  async ({ processes, wait }, names, { duration }) => {
    const restarts = await Promise.all(names.map((name) => processes.kill(name)));
    await wait(TIMES.replaceAfter + 2 * duration);
    await restartAll(restarts);
  },
);

const paused = (choose: Choose): TroubleAction =>
  holding(choose, async ({ processes, wait }, names, { duration }) => {
    const resumes = names.map((name) => processes.pause(name));
    await wait(duration);
    for (const resume of resumes) resume();
  });

const pausedAndKilled: TroubleAction = holding(
  ({ processes }, trouble) => chosen(processes.cores, trouble),
  async ({ processes, wait }, names, { duration }) => {
    const resumes = names.map((name) => processes.pause(name));
    await wait(duration / 2);
    const restarts = await Promise.all(names.map((name) => processes.kill(name)));
    for (const resume of resumes) resume();
    await wait(duration / 2);
    await restartAll(restarts);
  },
);

const stopped = (choose: Choose): TroubleAction =>
  holding(choose, async ({ processes, wait }, names, { duration }) => {
    const restarts = await Promise.all(names.map((name) => processes.stop(name)));
    await wait(duration / 4);
    await restartAll(restarts);
  });

const stoppedAndKilled: TroubleAction = holding(
  ({ processes }, trouble) => chosen(processes.routers, trouble),
  async ({ processes, wait }, names, { duration }) => {
    const restarts = await Promise.all(
      names.map((name) => processes.stopAndKill(name, wait(duration / 3))),
    );
    await wait(duration / 3);
    await restartAll(restarts);
  },
);

/** No second disk is lost before all voters hold the newest configuration again. */
const diskLost: TroubleAction = async (context, trouble) => {
  const { redundancy } = context;
  if (!(await redundancy.take())) return [];
  const names = await loseDisks(context, trouble);
  redundancy.give();
  return names;
};

const loseDisks: TroubleAction = holding(
  ({ processes }, trouble) => chosen(processes.cores, trouble),
  async ({ processes, wait }, names, { duration }) => {
    const restarts = await Promise.all(names.map((name) => processes.kill(name)));
    await Promise.all(names.map((name) => processes.loseDisk(name)));
    await wait(duration);
    await restartAll(restarts);
  },
);

/** A process that begins to run can't take a signal yet, so only those that are up are told. */
const reloaded: TroubleAction = holding(
  ({ processes: { all } }, trouble) => chosen(all, trouble, between(trouble, 1, all.length)),
  async ({ processes }, names) => {
    await Promise.all(names.map((name) => processes.reload(name)));
  },
);

/** How often a trouble in series comes. */
const timesOf = (trouble: Trouble): number => between(trouble, 2, 4);

/** All core machines are killed again as soon as they are up. */
const killedAgain: TroubleAction = holding(
  ({ processes }) => processes.cores,
  async (context, names, trouble) => {
    const { processes, wait } = context;
    for (let times = timesOf(trouble); times > 0; times--) {
      const restarts = await Promise.all(names.map((name) => processes.kill(name)));
      await wait(trouble.duration / 3);
      await restartAll(restarts);
    }
  },
);

/** Routers are ended one after the other, each while the one before it starts. */
const inTurn =
  (end: (context: TroubleContext, name: string) => Promise<Restart>): TroubleAction =>
  async (context, trouble) => {
    const { processes, wait } = context;
    const names = processes.hold(chosen(processes.routers, trouble, timesOf(trouble)));
    const restarting: Array<Promise<void>> = [];
    for (const name of names) {
      const restart = await end(context, name);
      restarting.push(restart());
      await wait(trouble.duration / 10);
    }
    await Promise.all(restarting);
    processes.release(names);
    return names;
  };

const reloadedAgain: TroubleAction = holding(
  ({ processes: { all } }, trouble) => chosen(all, trouble, between(trouble, 1, all.length)),
  async ({ processes, wait }, names, trouble) => {
    for (let times = timesOf(trouble); times > 0; times--) {
      await Promise.all(names.map((name) => processes.reload(name)));
      await wait(trouble.duration / 10);
    }
  },
);

const oneCore: Choose = ({ processes }, trouble) => chosen(processes.cores, trouble);
const oneRouter: Choose = ({ processes }, trouble) => chosen(processes.routers, trouble);
const allCores: Choose = ({ processes }) => processes.cores;
const severalCores: Choose = ({ processes: { cores } }, trouble) =>
  chosen(cores, trouble, between(trouble, 2, cores.length - 1));
const someRouters: Choose = ({ processes: { routers } }, trouble) =>
  chosen(routers, trouble, between(trouble, 1, routers.length));
const someCores: Choose = ({ processes: { cores } }, trouble) =>
  chosen(cores, trouble, between(trouble, 1, Math.ceil(cores.length / 2)));

/** The troubles of processes. */
export const processTroubles: TroubleActions = new Map<TroubleKind, TroubleAction>([
  ['core-killed', killed(oneCore)],
  ['cores-killed', killed(severalCores)],
  ['all-cores-killed', killed(allCores)],
  ['router-killed', killed(someRouters)],
  ['core-paused', paused(someCores)],
  ['router-paused', paused(someRouters)],
  ['core-disk-lost', diskLost],
  ['core-away', away],
  ['core-paused-and-killed', pausedAndKilled],
  ['router-stopped', stopped(oneRouter)],
  ['router-stopped-and-killed', stoppedAndKilled],
  ['core-stopped', stopped(oneCore)],
  ['reloaded', reloaded],
  ['all-cores-killed-again', killedAgain],
  ['routers-killed-in-turn', inTurn(({ processes }, name) => processes.kill(name))],
  ['routers-rolled', inTurn(({ processes }, name) => processes.stop(name))],
  ['reloaded-again', reloadedAgain],
]);
