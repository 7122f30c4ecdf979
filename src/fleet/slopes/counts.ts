/**
 * Sweeps on the simulator: messages and bytes of each node by the number of routers, of engines and of routes; how long
 * changes take until they are in force everywhere, one by one, in a storm, and after two regions were cut apart.
 */
import { loadavg } from 'node:os';
import type { Role } from './role.js';
import { configurationOf, patchOf } from './items.js';
import { spreadOf } from './numbers.js';
import { ControlPlane } from './plane.js';
import type { ControlPlan, Point, RoleRates } from './shape.js';

const rounded = (value: number): number => Math.round(value * 10) / 10;
const CHANGES = 8;
const STORM = 30;
const CUT = 24_000;

/** One point of a sweep on the simulator. */
export interface CountAsk {
  readonly sweep: string;
  readonly at: number;
  readonly plan: ControlPlan;
  /** Virtual seconds that are counted. */
  readonly seconds: number;
  /** Also a storm of changes, and a cut between two regions. */
  readonly trials: boolean;
}

const received = ({ all }: RoleRates): number => all.receivedBytes.median;

/** Changes one by one, two virtual seconds apart, against the rates at rest. */
const changesOf = async (plane: ControlPlane, rest: RoleRates): Promise<Record<string, number>> => {
  let version = 1;
  if (!(await plane.configure(configurationOf(Math.max(1, plane.plan.items), 1), 0)))
    return { configured: 0 };
  const configureMs = await plane.inForce(1);
  await plane.world.run(plane.world.now + 3000);
  const everywhere: number[] = [];
  const accepted: number[] = [];
  const began = plane.world.now;
  const counted = await plane.during(async () => {
    for (let change = 0; change < CHANGES; change++) {
      const told = await plane.change(
        patchOf(change % Math.max(1, plane.plan.items), version + 1),
        version,
      );
      version += 1;
      everywhere.push(told.everywhere);
      accepted.push(told.accepted);
      await plane.world.run(plane.world.now + 2000);
    }
  });
  const seconds = (plane.world.now - began) / 1000;
  const extra = (role: RoleRates): number =>
    ((received(role) - received(rest)) * seconds) / CHANGES;
  return {
    configured: 1,
    firstMs: rounded(configureMs),
    changeMs: rounded(spreadOf(everywhere).median),
    changeMsMost: rounded(Math.max(...everywhere)),
    acceptedMs: rounded(spreadOf(accepted).median),
    bytesPerChange: rounded(extra(counted.router)),
    coreBytesSentPerChange: rounded((counted.core.all.sentBytes.sum * seconds) / CHANGES),
    documentBytes: plane.documentBytes,
  };
};

/** Changes as quickly as each is accepted, and the ms from the last one's acceptance until it is in force everywhere. */
const stormOf = async (plane: ControlPlane): Promise<Record<string, number>> => {
  const began = plane.world.now;
  const first = plane.version;
  for (let version = first; version < first + STORM; version++)
    if (
      (await plane.patched(
        patchOf(version % Math.max(1, plane.plan.items), version + 1),
        version,
      )) !== 'accepted'
    )
      return { stormed: 0 };
  const acceptedMs = plane.world.now - began;
  return {
    stormed: STORM,
    stormAcceptedMs: rounded(acceptedMs),
    stormLagMs: rounded(await plane.inForce(first + STORM)),
  };
};

/** A change while two regions are cut apart: in force at once in the region that has the majority, everywhere after healing. */
const cutOf = async (plane: ControlPlane): Promise<Record<string, number>> => {
  const version = plane.version;
  const { heal, near } = plane.partRegions();
  await plane.world.run(plane.world.now + CUT / 2);
  const { everywhere } = await plane.change(patchOf(0, version + 1), version, near);
  await plane.world.run(plane.world.now + CUT / 2);
  heal();
  return { cutNearMs: rounded(everywhere), healedMs: rounded(await plane.inForce(version + 1)) };
};

/** Entries of the engine list that change one by one, and what a router receives for each. */
const listChangesOf = async (
  plane: ControlPlane,
  rest: RoleRates,
): Promise<Record<string, number>> => {
  const began = plane.world.now;
  const counted = await plane.during(async () => {
    for (let change = 0; change < CHANGES; change++) {
      plane.changeEngine(change, `engine-changed-${change}`);
      await plane.world.run(plane.world.now + 2000);
    }
  });
  const seconds = (plane.world.now - began) / 1000;
  return {
    bytesPerListChange: rounded(((received(counted.router) - received(rest)) * seconds) / CHANGES),
    bytesPerListChangeMostSent: rounded(
      ((counted.router.all.sentBytes.most - rest.all.sentBytes.most) * seconds) / CHANGES,
    ),
  };
};

/** Takes one point of a sweep on the simulator. */
export const countPoint = async ({
  sweep,
  at,
  plan,
  seconds,
  trials,
}: CountAsk): Promise<Point> => {
  const plane = new ControlPlane(plan);
  const settled = await plane.start();
  const startedAfter = plane.world.now;
  const { polls } = plane;
  void plane.pollers;
  const roles = await plane.quiet(seconds);
  const { cores, routers, engines, items, seed } = plan;
  const figures = {
    settled: Number(settled),
    settledAfterMs: rounded(startedAfter),
    pollsPerSecond: rounded((plane.polls - polls) / seconds),
    pollers: plane.pollers,
    knownRouters: plane.knownRouters,
    countedRouters: plane.countedRouters,
  };
  const listChanges = engines > 0 ? await listChangesOf(plane, roles.router) : {};
  const changes = await changesOf(plane, roles.router);
  const more =
    trials && changes['configured'] === 1
      ? { ...(await stormOf(plane)), ...(await cutOf(plane)) }
      : {};
  return {
    sweep,
    at,
    plan: { cores, routers, engines, items, seed },
    seconds,
    roles,
    figures: { ...figures, ...listChanges, ...changes, ...more },
    load: loadavg().map(rounded),
  };
};

/** The role that takes a point in a process of its own. */
export const count = ((ask: CountAsk) =>
  countPoint(ask).then((ready) => ({ ready, answer: () => undefined }))) satisfies (
  plan: CountAsk,
) => unknown as Role;
