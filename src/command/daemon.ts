/**
 * Runs a node as a daemon: services, peers, the two HTTP faces, signals. SIGTERM and SIGINT drain and stop: not ready at
 * first, which those who send callers here take a while to notice, then nothing new is taken and what was is ended.
 * SIGHUP reads the params again, as is done now and then besides where `reread` is set, and says which of them a running
 * node can take in. Exit codes: 0 stopped as asked, 1 could not start or broke, 2 bad params.
 */
import 'reflect-metadata';
import { isDeepStrictEqual } from 'node:util';
import type { INestApplicationContext } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import { Registry } from 'prom-client';
import type { Claims } from '../claim/claims.js';
import type { Keeper } from '../claim/keeper.js';
import { CoreModule, CoreNode } from '../core/module.js';
import { CallersController } from '../faces/callers/controller.js';
import { OnDemandFace, type MakeApplication } from '../faces/common/on-demand-face.js';
import type { Answers } from '../faces/common/plain-face.js';
import { statusAnswers } from '../faces/common/status-answers.js';
import { StatusController, type ReadyQuestion } from '../faces/common/status.js';
import { BYTE_BOUND } from '../route/check.js';
import { RequestsFace } from '../faces/requests/face.js';
import { OperatorsController } from '../faces/operators/controller.js';
import type { InForce } from '../doorway/match.js';
import type { RequestHandler } from '../forward/face.js';
import type { RequestEnds } from '../forward/request-ends.js';
import type { Prefixes } from '../index/prefixes.js';
import type { Fault, Outcome } from '../kernel/fault/fault.js';
import type { Journal } from '../kernel/journal/journal.js';
import type { Clock } from '../kernel/clock/clock.js';
import type { Log } from '../kernel/log/log.js';
import type { RouterLease } from '../lease/router-lease.js';
import type { Keys } from '../node/keys.js';
import type { NodeWork } from '../monitor/node-work.js';
import type { PlannedWork } from '../monitor/planned-work.js';
import type { Stalls } from '../monitor/stalls.js';
import { costMetrics } from '../node/cost-metrics.js';
import {
  countPassages,
  countRequestEnds,
  countViolations,
  feedMetrics,
  gauge,
  voterMetrics,
} from '../node/metrics.js';
import { names } from '../node/names.js';
import type { Params } from '../params/shape.js';
import type { PassageEvent } from '../passage/chart.js';
import type { Passage } from '../passage/passage.js';
import type { Newsroom } from '../pool/news.js';
import type { Proposer } from '../register/proposer.js';
import type { RegisterInvariants } from '../register/register-invariants.js';
import type { VoterDirectory } from '../register/voter-directory.js';
import { RouterModule } from '../router/module.js';
import { RouterNode } from '../router/node.js';
import type { Tracing } from '../trace/tracing.js';
import type { View } from '../view/view.js';
import type { Peers } from '../wire/peers.js';
import type { Traffic } from '../wire/traffic.js';
import { noExtension, type Extension, type Face } from '../node/extension.js';
import { logDefects } from './defects.js';

type Reread = () => Promise<Outcome<Params>>;

/** The share of `drain` for which a planned stop at most goes on accepting connections that wait. */
const ACCEPT_SHARE = 0.25;
/** The longest that a voter which stops waits for a learner to take over. */
const LEAVE_LIMIT = 2000;

/** Bytes of an operator call around the largest configuration. */
const OPERATOR_CALL_ROOM = 65_536;

const RELOADABLE = new Set(['firms', 'seeds']);

const routerMetrics = (registry: Registry, context: INestApplicationContext): void => {
  const passage = context.get<Passage>(names.passage);
  const prefixes = context.get<Prefixes>(names.prefixes);
  const news = context.get<Newsroom>(names.news);
  const lease = context.get<RouterLease>(names.lease);
  countPassages(registry, context.get<Journal<PassageEvent>>(names.journal));
  countRequestEnds(registry, context.get<RequestEnds>(names.requestEnds));
  gauge(registry, 'requests_open', 'Requests taken and not ended', () => passage.open);
  gauge(registry, 'requests_in_flight', 'Requests placed at an engine', () => passage.inFlight);
  gauge(registry, 'requests_waiting', 'Requests in lines', () => passage.lines.waiting);
  gauge(registry, 'requests_fresh', 'Requests let in since the start', () => passage.budget.fresh);
  gauge(registry, 'retries_spent', 'Retries spent since the start', () => passage.budget.spent);
  const claims = context.get<Claims>(names.claims);
  gauge(registry, 'claims_open', 'Whether this router grants claims on ids', () =>
    Number(claims.open),
  );
  gauge(registry, 'claims_held', 'Ids remembered here', () => claims.size);
  gauge(
    registry,
    'claims_unkept',
    'Ids that no majority of disks is known to hold',
    () => claims.unkeptSize,
  );
  gauge(registry, 'list_age_ms', 'Age of the engine list', () => Math.min(news.age, 1e9));
  gauge(registry, 'list_polls', 'Polls of the platform by this node', () => news.polls);
  gauge(registry, 'engines_placed', 'Engines with a confirmed place', () => news.placed().size);
  gauge(registry, 'lease_ms', 'How long standing still holds', () => lease.remaining);
  gauge(
    registry,
    'law_kept',
    'Whether all enrolled routers keep the law that claims rest on; while not, none are made',
    () => Number(prefixes.lawful),
  );
  for (const name of prefixes.counts.keys())
    gauge(registry, `index_${name}`, `Index: ${name}`, () => prefixes.counts.get(name) ?? 0);
};

const coreMetrics = (registry: Registry, context: INestApplicationContext): void => {
  const keeper = context.get<Keeper>(names.keeper);
  const { replacement } = context.get(CoreNode);
  voterMetrics(registry, () => replacement);
  gauge(registry, 'claims_kept', 'Ids kept on this disk', () => keeper.size);
  gauge(registry, 'claims_whole', 'Whether this member answers for ids of the past', () =>
    Number(keeper.whole),
  );
  gauge(registry, 'claim_writes', 'Synced writes of claims since the start', () => keeper.writes);
  gauge(registry, 'claims_written', 'Claims in those writes', () => keeper.kept);
};

const openServices = (
  context: INestApplicationContext,
  tokens: readonly string[],
): Map<string, unknown> => new Map(tokens.map((token) => [token, context.get<unknown>(token)]));

const common = [
  names.operations,
  names.configurator,
  names.schema,
  names.keys,
  names.random,
  names.log,
];
const routerOnly = [names.passage, names.forwarder, names.inForce];

/** Opens the operators' face, whose application is made now or by the first request that needs it. */
const openOperators = async (
  { listen }: Params,
  services: ReadonlyMap<string, unknown>,
  answers: Answers,
): Promise<Outcome<Face>> => {
  const controllers = [OperatorsController, StatusController];
  const bodyLimit = BYTE_BOUND + OPERATOR_CALL_ROOM;
  if (!listen.operatorsOnDemand) {
    const { openFace } = await import('../faces/common/face.js');
    return openFace(listen.operators, bodyLimit, controllers, services);
  }
  const make: MakeApplication = async () => {
    const { makeApplication } = await import('../faces/common/face.js');
    return makeApplication(bodyLimit, controllers, services);
  };
  return new OnDemandFace(answers, make).listen(listen.operators);
};

const openCallers = async (
  { listen, passage }: Params,
  services: ReadonlyMap<string, unknown>,
): Promise<Outcome<Face>> => {
  const { openFace } = await import('../faces/common/face.js');
  return openFace(
    listen.callers,
    passage.bodyBytes,
    [CallersController, StatusController],
    services,
  );
};

/** Runs the node until it is told to stop, and says with which code to exit. */
export const runDaemon = async (
  role: 'core' | 'router',
  params: Params,
  reread: Reread,
  extension: Extension = noExtension,
): Promise<number> => {
  // A SIGHUP during the start must not end the process; it is heeded once that is over.
  const askedEarly: NodeJS.Signals[] = [];
  let onReload = (): void => void askedEarly.push('SIGHUP');
  process.on('SIGHUP', () => onReload());
  const context = await NestFactory.createApplicationContext(
    role === 'core' ? CoreModule.with(params, extension) : RouterModule.with(params, extension),
    { logger: false, abortOnError: false },
  );
  const log = context.get<Log>(names.log);
  logDefects(role, log, context.get<Clock>(names.clock));
  const node = role === 'core' ? context.get(CoreNode) : context.get(RouterNode);
  const stop = context.get<AbortController>(names.stop);
  const refuse = ({ step, peer, reason }: Fault): number => {
    log('start-failed', [
      ['step', step],
      ['peer', peer],
      ['reason', reason],
    ]);
    return 1;
  };
  context.get<Tracing>(names.tracing).serve(context.get<Peers>(names.peers));
  const started = await node.start();
  if (started.isLeft()) return refuse(started.extract());
  const registry = new Registry();
  gauge(
    registry,
    'revision_in_force',
    'The revision in force here',
    () => context.get<InForce>(names.inForce).revision,
  );
  countViolations(
    registry,
    'register_invariant_violations',
    'What must never be about the register, by invariant',
    context.get<RegisterInvariants>(names.registerInvariants).violations,
  );
  costMetrics(registry, {
    work: context.get<NodeWork>(names.nodeWork),
    stalls: context.get<Stalls>(names.stalls),
    traffic: context.get<Traffic>(names.traffic),
    clock: context.get<Clock>(names.clock),
  });
  feedMetrics(registry, () => node.feed);
  const { contact } = context.get<Proposer>(names.proposer);
  gauge(registry, 'core_contact', 'Whether a majority of the voters may be in contact', () =>
    Number(contact.holds),
  );
  gauge(
    registry,
    'core_silent_voters',
    'Voters that left the last question of this node unanswered',
    () => contact.silentVoters.length,
  );
  gauge(registry, 'resident_bytes', 'Resident memory', () => process.memoryUsage().rss);
  if (role === 'router') routerMetrics(registry, context);
  else coreMetrics(registry, context);
  let stopping = false;
  let open = false;
  const status: ReadyQuestion = () => (stopping ? 'stopping' : open ? node.ready() : 'starting');
  const services = openServices(context, [...common, ...(role === 'router' ? routerOnly : [])]);
  services.set(names.status, status).set(names.metrics, registry);
  const opening: Array<() => Promise<Outcome<Face>>> = [
    () => openOperators(params, services, statusAnswers(status, registry)),
  ];
  if (role === 'router' && params.listen.callers) opening.push(() => openCallers(params, services));
  if (role === 'router' && params.listen.requests) {
    const inForce = context.get<InForce>(names.inForce);
    opening.push(() =>
      new RequestsFace(
        context.get<RequestHandler>(names.forwarder),
        () => inForce.routes.limits,
        context.get<Clock>(names.clock),
      ).listen(params.listen.requests),
    );
  }
  opening.push(...extension.faces.map((open) => () => open(services)));
  // From the first face on requests may be taken, so that a stop asked for during the rest of the start is in order too.
  let stopAsked: NodeJS.Signals | undefined;
  let onStop = (signal: NodeJS.Signals): void => {
    stopAsked ??= signal;
  };
  process.on('SIGTERM', () => onStop('SIGTERM'));
  process.once('SIGINT', () => onStop('SIGINT'));
  const faces: Face[] = [];
  for (const open of opening) {
    const face = await open();
    if (face.isLeft()) return refuse(face.extract());
    faces.push(face.unsafeCoerce());
  }
  open = true;
  log('started', [
    ['role', role],
    ['peers', params.listen.peers],
    ['operators', params.listen.operators],
    ['callers', (role === 'router' && params.listen.callers) || undefined],
    ['requests', (role === 'router' && params.listen.requests) || undefined],
  ]);

  let taken = params;
  const reload = async (asked: boolean): Promise<void> => {
    (await reread()).caseOf({
      Left: ({ reason }) => log('reload-declined', [['reason', reason]]),
      Right: (next) => {
        const before = new Map<string, unknown>(Object.entries(taken));
        const changed = Object.entries(next)
          .filter(([key, value]) => !isDeepStrictEqual(value, before.get(key)))
          .map(([key]) => key);
        if (changed.length === 0 && !asked) return;
        taken = next;
        context.get<Keys>(names.keys).reload(next);
        context.get<VoterDirectory>(names.voterDirectory).reseed(next.seeds);
        context.get<View>(names.view).reseed(next.seeds);
        log('reloaded', [
          ['taken', changed.filter((key) => RELOADABLE.has(key)).join(',')],
          ['needsRestart', changed.filter((key) => !RELOADABLE.has(key)).join(',')],
        ]);
      },
    });
  };
  const plannedWork = context.get<PlannedWork>(names.plannedWork);
  onReload = (): void => {
    plannedWork.note('reload');
    void reload(true);
  };
  // What changed while this process started, also where the signal came before anybody could note it.
  if (askedEarly.length > 0) onReload();
  else void reload(false);
  const rereading =
    params.reread > 0 ? setInterval(() => void reload(false), params.reread) : undefined;

  return new Promise((resolve) => {
    const end = (signal: string): void => {
      if (stopping) return;
      stopping = true;
      plannedWork.note('stop');
      log('stopping', [['signal', signal]]);
      clearInterval(rereading);
      void (async () => {
        const clock = context.get<Clock>(names.clock);
        const limit = clock.now() + params.drain;
        for (const face of faces) face.retire?.();
        await clock.sleep(params.listen.notice);
        for (const face of faces) await face.acceptWaiting?.(params.drain * ACCEPT_SHARE);
        for (const face of faces) face.halt?.();
        let left = 0;
        if (node instanceof RouterNode) {
          const forwarder = context.get<RequestHandler>(names.forwarder);
          await forwarder.drain(Math.max(0, limit - clock.now()));
          for (const face of faces) await face.settle?.(Math.max(0, limit - clock.now()));
          left += await node.drain();
          left += await forwarder.drain(Math.max(0, limit - clock.now()));
        } else await node.leave(Math.min(LEAVE_LIMIT, Math.max(0, limit - clock.now())));
        stop.abort();
        for (const face of faces) await face.close().catch(() => undefined);
        context.get<Peers>(names.peers).close();
        log('stopped', [['brokenOff', left]]);
        resolve(0);
      })();
    };
    onStop = end;
    if (stopAsked) end(stopAsked);
  });
};
