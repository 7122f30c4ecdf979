/** The services that every node has, core and router alike, by name. */
import type { Provider } from '@nestjs/common';
import { InForce } from '../doorway/match.js';
import { ownDialect } from '../forward/dialect.js';
import { SystemClock, type Clock } from '../kernel/clock/clock.js';
import { openLog, type Log } from '../kernel/log/log.js';
import { rateLimited } from '../kernel/log/rate-limit.js';
import { TcpNet, type Net } from '../kernel/net/net.js';
import { SystemRandom, type Random } from '../kernel/random/random.js';
import { NodeWork } from '../monitor/node-work.js';
import { PlannedWork } from '../monitor/planned-work.js';
import { advertisedAddress, type Params } from '../params/shape.js';
import { Stalls } from '../monitor/stalls.js';
import { Proposer } from '../register/proposer.js';
import { RegisterInvariants } from '../register/register-invariants.js';
import { VoterDirectory } from '../register/voter-directory.js';
import { Tracing } from '../trace/tracing.js';
import { View } from '../view/view.js';
import type { Hello } from '../wire/call.js';
import { Peers } from '../wire/peers.js';
import { CountedNet, Traffic } from '../wire/traffic.js';
import { SchemaCheck } from '../api/schema.js';
import { Keys } from './keys.js';
import { names } from './names.js';

/** Lines of stalls are bounded: a process that is short of time has none for them. */
const STALL_RATE = { lines: 1, window: 1000 };

/** Has the clock tell of late timers, and logs the stalls that they show. */
const watchStalls = (clock: Clock, log: Log, plannedWork: PlannedWork): Stalls => {
  const bounded = rateLimited(log, clock, STALL_RATE);
  const stalls = new Stalls((length) => {
    const age = plannedWork.age('configuration');
    bounded('event-loop-stalled', [
      ['ms', Math.round(length)],
      ['configurationAge', age === undefined ? undefined : Math.round(age)],
    ]);
  });
  if (clock instanceof SystemClock) clock.onTimer = (now, late) => stalls.note(now, late);
  return stalls;
};

/** The services that core nodes and routers have in common. */
export const nodeProviders = (params: Params, role: 'core' | 'router'): Provider[] => [
  { provide: names.params, useValue: params },
  { provide: names.clock, useClass: SystemClock },
  { provide: names.traffic, useClass: Traffic },
  {
    provide: names.net,
    inject: [names.traffic],
    useFactory: (traffic: Traffic): Net => new CountedNet(new TcpNet(), traffic),
  },
  { provide: names.random, useClass: SystemRandom },
  {
    provide: names.tracing,
    inject: [names.clock],
    useFactory: (clock: Clock) => new Tracing(params.name, clock),
  },
  {
    provide: names.log,
    inject: [names.tracing],
    useFactory: (tracing: Tracing) => tracing.tap(openLog(params.name)),
  },
  { provide: names.stop, useValue: new AbortController() },
  {
    provide: names.plannedWork,
    inject: [names.clock],
    useFactory: (clock: Clock) => new PlannedWork(clock),
  },
  { provide: names.keys, useFactory: () => new Keys(params) },
  { provide: names.dialect, useValue: ownDialect },
  { provide: names.schema, useClass: SchemaCheck },
  { provide: names.inForce, useClass: InForce },
  {
    provide: names.self,
    inject: [names.random],
    useFactory: (random: Random): Hello => ({
      fleet: params.fleet,
      name: params.name,
      incarnation: random.identity(),
    }),
  },
  {
    provide: names.peers,
    inject: [names.net, names.clock, names.log, names.self],
    useFactory: (net: Net, clock: Clock, log: Log, self: Hello) => new Peers(net, clock, log, self),
  },
  {
    provide: names.stalls,
    inject: [names.clock, names.log, names.plannedWork],
    useFactory: watchStalls,
  },
  { provide: names.nodeWork, useClass: NodeWork },
  {
    provide: names.registerInvariants,
    inject: [names.log],
    useFactory: (log: Log) => new RegisterInvariants(log),
  },
  { provide: names.voterDirectory, useFactory: () => new VoterDirectory(params.seeds) },
  {
    provide: names.view,
    inject: [names.peers, names.clock, names.random, names.self],
    useFactory: (peers: Peers, clock: Clock, random: Random, self: Hello) =>
      new View(
        {
          name: self.name,
          incarnation: self.incarnation,
          address: advertisedAddress(params),
          zone: params.zone,
          role,
          age: 0,
          beat: 0,
          suspect: false,
        },
        params.seeds,
        peers,
        clock,
        random,
        params.view.every,
      ),
  },
  {
    provide: names.proposer,
    inject: [names.peers, names.voterDirectory, names.clock, names.random, names.log],
    useFactory: (
      peers: Peers,
      voterDirectory: VoterDirectory,
      clock: Clock,
      random: Random,
      log: Log,
    ) => new Proposer(peers, voterDirectory, clock, random, log),
  },
];
