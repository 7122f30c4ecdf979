/** The services that every node has, core and router alike, by name. */
import type { Provider } from '@nestjs/common';
import { InForce } from '../doorway/match.js';
import { ownDialect } from '../forward/dialect.js';
import { SystemClock, type Clock } from '../kernel/clock/clock.js';
import { openLog, type Log } from '../kernel/log/log.js';
import { TcpNet, type Net } from '../kernel/net/net.js';
import { SystemRandom, type Random } from '../kernel/random/random.js';
import { PlannedWork } from '../monitor/planned-work.js';
import { advertisedAddress, type Params } from '../params/shape.js';
import { Proposer } from '../register/proposer.js';
import { VoterDirectory } from '../register/voter-directory.js';
import { Tracing } from '../trace/tracing.js';
import { View } from '../view/view.js';
import type { Hello } from '../wire/call.js';
import { Peers } from '../wire/peers.js';
import { SchemaCheck } from '../api/schema.js';
import { Keys } from './keys.js';
import { names } from './names.js';

/** The services that core nodes and routers have in common. */
export const nodeProviders = (params: Params, role: 'core' | 'router'): Provider[] => [
  { provide: names.params, useValue: params },
  { provide: names.clock, useClass: SystemClock },
  { provide: names.net, useClass: TcpNet },
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
