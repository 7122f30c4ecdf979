/**
 * Hollow routers: whole router nodes with their very control tasks, on loopback TCP, but without callers; many in one
 * process, so that what one more of them costs can be told from what the runtime costs. Each is counted on its own.
 */
import { NestFactory } from '@nestjs/core';
import { TcpNet } from '../../kernel/net/net.js';
import { silentLog } from '../../kernel/log/log.js';
import type { RouterLease } from '../../lease/router-lease.js';
import { names } from '../../node/names.js';
import { checkParams } from '../../params/shape.js';
import type { InForce } from '../../doorway/match.js';
import type { Newsroom } from '../../pool/news.js';
import { RouterModule } from '../../router/module.js';
import { RouterNode } from '../../router/node.js';
import { CountedNet, Traffic, type Count } from '../../wire/traffic.js';
import type { Role } from './role.js';

/** The routers of one process, and the core nodes they follow. */
export interface HollowPlan {
  readonly params: readonly object[];
  readonly cores: readonly string[];
}

/** How far the routers of one process are. */
export interface HollowTold {
  /** How many have a lease and a list of engines. */
  readonly steady: number;
  /** The least revision in force at any of them, and the least operators' version. */
  readonly revision: number;
  readonly version: number;
  readonly counts: ReadonlyArray<readonly [string, readonly Count[]]>;
}

interface Node {
  readonly name: string;
  readonly lease: RouterLease;
  readonly inForce: InForce;
  readonly news: Newsroom;
  readonly traffic: Traffic;
}

const startOne = async (over: object, cores: ReadonlySet<string>): Promise<Node> => {
  const params = checkParams(over).unsafeCoerce();
  const traffic = new Traffic();
  const net = new CountedNet(new TcpNet(), traffic, (peer) =>
    cores.has(peer) ? 'core' : 'router',
  );
  const services = new Map<string, unknown>([
    [names.net, net],
    [names.log, silentLog],
  ]);
  const context = await NestFactory.createApplicationContext(
    RouterModule.with(params, { services, faces: [] }),
    { logger: false, abortOnError: false },
  );
  (await context.get(RouterNode).start()).ifLeft(({ reason }) =>
    process.stderr.write(`${params.name}: ${reason}\n`),
  );
  return {
    name: params.name,
    lease: context.get(names.lease),
    inForce: context.get(names.inForce),
    news: context.get(names.news),
    traffic,
  };
};

/** The role of a process with many routers that have no callers. */
export const hollow = (async ({ params, cores }: HollowPlan) => {
  const known = new Set(cores);
  const nodes: Node[] = [];
  for (const over of params) nodes.push(await startOne(over, known));
  const answer = (): HollowTold => ({
    steady: nodes.filter(({ lease, news }) => lease.holds() && news.placed().size > 0).length,
    revision: Math.min(...nodes.map(({ inForce }) => inForce.revision)),
    version: Math.min(...nodes.map(({ inForce }) => inForce.routes.version)),
    counts: nodes.map(({ name, traffic }) => [name, traffic.counts]),
  });
  return { ready: nodes.length, answer };
}) satisfies Role as Role;
