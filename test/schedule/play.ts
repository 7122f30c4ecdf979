/**
 * Plays a schedule on a simulated core, then ends all faults and has every order sent once more, and the configuration
 * read at every member. What comes back is the whole history, with what was still unanswered in the calm at the end.
 */
import type { Call } from '../../src/history/call.js';
import { Cluster } from './cluster.js';
import { GIVEN_UP_AFTER, Operators } from './operators.js';
import { orderFor } from './requests.js';
import type { Action, Schedule } from './steps.js';

/** How long leases, disks and connections may take to be well again, and calls at members that are gone to be given up. */
const RECOVERY = GIVEN_UP_AFTER + 1000;
/** Tries in the calm until a call must have had a clear answer. */
const CLOSING_TRIES = 5;

export interface Played {
  readonly history: readonly Call[];
  /** Calls that had no clear answer in the calm at the end. */
  readonly unanswered: readonly string[];
}

const act = (cluster: Cluster, operators: Operators, action: Action): void => {
  const numberOf = (member: number): number => member % cluster.size;
  switch (action.kind) {
    case 'change':
      return operators.change(action);
    case 'repeat':
      return operators.repeat(action);
    case 'read':
      return void operators.read(action.node);
    case 'kill':
      return cluster.kill(numberOf(action.member), action.downtime);
    case 'power-loss':
      return cluster.losePower(numberOf(action.member), action);
    case 'lose-disk':
      return cluster.loseDisk(numberOf(action.member), action);
    case 'crash-at-message':
      return cluster.crashAtMessage(action);
    case 'isolate':
      return cluster.isolate(numberOf(action.member), action);
    case 'cut-link':
      return cluster.cutLink(numberOf(action.member), numberOf(action.other), action);
    case 'disk':
      return cluster.troubleDisk(numberOf(action.member), action);
    case 'freeze':
      return cluster.freeze(numberOf(action.member), action.duration);
    case 'messages':
      return cluster.disturbMessages(action);
    case 'heal':
      return cluster.heal();
  }
};

/** Repeats a call at one member after the other until it has a clear answer. */
const untilClear = async <Answer>(
  cluster: Cluster,
  call: (node: number) => Promise<Answer | undefined>,
  isClear: (answer: Answer) => boolean,
): Promise<Answer | undefined> => {
  for (let node = 0; node < CLOSING_TRIES; node++) {
    const answer = await cluster.world.until(call(node));
    if (answer !== undefined && isClear(answer)) return answer;
  }
  return undefined;
};

/** The newest version whose order is no longer remembered. */
const forgottenVersion = ({ members }: Cluster): number =>
  Math.max(...members.map(({ member }) => member.newest?.forgottenVersion ?? 0));

/** Sends every order once more. One that is no longer remembered may stay unclear; the history shows whether it is refused. */
const sendAllAgain = async (cluster: Cluster, operators: Operators): Promise<string[]> => {
  const unanswered: string[] = [];
  const forgotten = forgottenVersion(cluster);
  for (const order of operators.orders) {
    const { expects, version } = order.request;
    if (expects > operators.newestKnown) continue;
    const answer = await untilClear(
      cluster,
      (node) => operators.send(order, { node, answerLost: false }),
      (each) => each !== 'unclear' || version <= forgotten,
    );
    if (answer === undefined) unanswered.push(order.request.id);
  }
  return unanswered;
};

/** Makes changes one after the other, in calm. */
const makeChanges = async (
  cluster: Cluster,
  operators: Operators,
  count: number,
): Promise<void> => {
  for (let at = 0; at < count; at++) {
    const form = at % 2 === 0 ? 'replace' : 'patch';
    const shape = { kind: 'change', form, defect: 'none', base: 'newest', rise: 1 } as const;
    const order = orderFor({ ...shape, variant: at % 4 }, operators.newestKnown);
    operators.orders.push(order);
    await cluster.world.until(operators.send(order, { node: at, answerLost: false }));
  }
};

const readEverywhere = async (cluster: Cluster, operators: Operators): Promise<string[]> => {
  const unanswered: string[] = [];
  for (let node = 0; node < cluster.size; node++) {
    const answer = await cluster.world.until(operators.read(node));
    if (!answer || answer.kind === 'unclear') unanswered.push(`read at core-${node}`);
  }
  return unanswered;
};

const changeOnceMore = async (cluster: Cluster, operators: Operators): Promise<string[]> => {
  const shape = { kind: 'change', form: 'replace', defect: 'none', base: 'newest' } as const;
  const order = orderFor({ ...shape, rise: 1, variant: 9 }, operators.newestKnown);
  const answer = await untilClear(
    cluster,
    (node) => operators.send(order, { node, answerLost: false }),
    (each) => each === 'acknowledged',
  );
  return answer === undefined ? ['a new order on top of the newest'] : [];
};

export const play = async ({
  members,
  worldSeed,
  changesBefore = 0,
  steps,
}: Schedule): Promise<Played> => {
  const cluster = new Cluster(members, worldSeed);
  const { world } = cluster;
  if (!(await cluster.formed())) throw new Error('the core was not formed');
  const operators = new Operators(cluster);
  await makeChanges(cluster, operators, changesBefore);
  for (const { action, pause } of steps) {
    act(cluster, operators, action);
    await world.run(world.now + pause);
  }
  cluster.heal();
  await world.run(world.now + RECOVERY);
  const unanswered = [
    ...(await readEverywhere(cluster, operators)),
    ...(await sendAllAgain(cluster, operators)),
    ...(await changeOnceMore(cluster, operators)),
    ...(await readEverywhere(cluster, operators)),
  ];
  return { history: operators.history.calls, unanswered };
};
