/** Sweeps on the simulator: messages and bytes of each node by the number of routers and of engines. */
import { loadavg } from 'node:os';
import type { Role } from './child.js';
import { ControlPlane } from './plane.js';
import type { ControlPlan, Point } from './shape.js';

const rounded = (value: number): number => Math.round(value * 10) / 10;

export interface CountAsk {
  readonly sweep: string;
  readonly at: number;
  readonly plan: ControlPlan;
  /** Virtual seconds that are counted. */
  readonly seconds: number;
}

/** One control plane brought to rest, then counted over some virtual seconds. */
export const countPoint = async ({ sweep, at, plan, seconds }: CountAsk): Promise<Point> => {
  const plane = new ControlPlane(plan);
  const settled = await plane.start();
  const startedAfter = plane.world.now;
  const { polls } = plane;
  void plane.pollers;
  const roles = await plane.quiet(seconds);
  const { cores, routers, engines, items, seed } = plan;
  const figures = { settled: Number(settled), settledAfterMs: rounded(startedAfter), pollsPerSecond: rounded((plane.polls - polls) / seconds), pollers: plane.pollers, knownRouters: plane.knownRouters };
  return { sweep, at, plan: { cores, routers, engines, items, seed }, seconds, roles, figures, load: loadavg().map(rounded) };
};

export const count = ((ask: CountAsk) => countPoint(ask).then((ready) => ({ ready, answer: () => undefined }))) satisfies (plan: CountAsk) => unknown as Role;
