/** What core nodes and routers answer operators with: changes, their acknowledgement, and the configuration. */
import type { Provider } from '@nestjs/common';
import { Configurator } from '../api/configurator.js';
import { Operations } from '../api/operations.js';
import type { InForce } from '../doorway/match.js';
import type { Clock } from '../kernel/clock/clock.js';
import { Acceptance } from '../lease/acceptance.js';
import { names } from './names.js';
import type { Params } from '../params/shape.js';
import { Newsroom } from '../pool/news.js';
import type { Proposer } from '../register/proposer.js';
import type { RegisterInvariants } from '../register/register-invariants.js';
import type { VoterDirectory } from '../register/voter-directory.js';
import type { View } from '../view/view.js';
import type { Peers } from '../wire/peers.js';

/** The operators' calls; a core node has no list of engines. */
export const controlProviders = (params: Params): Provider[] => [
  {
    provide: names.operations,
    inject: [
      names.peers,
      names.voterDirectory,
      names.proposer,
      names.inForce,
      names.view,
      { token: names.news, optional: true },
      names.clock,
      names.acceptance,
      names.registerInvariants,
    ],
    useFactory: (
      peers: Peers,
      voterDirectory: VoterDirectory,
      proposer: Proposer,
      inForce: InForce,
      view: View,
      news: Newsroom | undefined,
      clock: Clock,
      acceptance: Acceptance,
      invariants: RegisterInvariants,
    ) =>
      new Operations(
        peers,
        voterDirectory,
        proposer,
        inForce,
        view,
        news,
        clock,
        acceptance,
        invariants,
      ),
  },
  {
    provide: names.acceptance,
    inject: [names.peers, names.voterDirectory, names.clock],
    useFactory: (peers: Peers, voterDirectory: VoterDirectory, clock: Clock) =>
      new Acceptance(peers, voterDirectory, clock, params.lease),
  },
  {
    provide: names.configurator,
    inject: [
      names.peers,
      names.voterDirectory,
      names.proposer,
      names.acceptance,
      names.inForce,
      names.clock,
      names.registerInvariants,
    ],
    useFactory: (
      peers: Peers,
      voterDirectory: VoterDirectory,
      proposer: Proposer,
      acceptance: Acceptance,
      inForce: InForce,
      clock: Clock,
      invariants: RegisterInvariants,
    ) => new Configurator(peers, voterDirectory, proposer, acceptance, inForce, clock, invariants),
  },
];
