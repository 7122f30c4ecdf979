/** The leases of a router, and its claims on ids that may not be repeated. */
import type { Provider } from '@nestjs/common';
import type { InForce } from '../doorway/match.js';
import type { Clock } from '../kernel/clock/clock.js';
import type { Log } from '../kernel/log/log.js';
import type { Random } from '../kernel/random/random.js';
import { RouterLease } from '../lease/router-lease.js';
import { PeerLeases } from '../lease/peer-leases.js';
import { names } from '../node/names.js';
import { advertisedAddress, type Params } from '../params/shape.js';
import { Claims } from '../claim/claims.js';
import type { VoterDirectory } from '../register/voter-directory.js';
import type { Hello } from '../wire/call.js';
import type { Peers } from '../wire/peers.js';

/** The providers of this module, by name. */
export const leaseProviders = (params: Params): Provider[] => [
  {
    provide: names.peerLeases,
    inject: [names.inForce, names.peers, names.clock],
    useFactory: (inForce: InForce, peers: Peers, clock: Clock) =>
      new PeerLeases(params.name, inForce, peers, clock, params.lease),
  },
  {
    provide: names.lease,
    inject: [
      names.self,
      names.inForce,
      names.peerLeases,
      names.peers,
      names.voterDirectory,
      names.clock,
      names.log,
    ],
    useFactory: (
      self: Hello,
      inForce: InForce,
      peerLeases: PeerLeases,
      peers: Peers,
      voterDirectory: VoterDirectory,
      clock: Clock,
      log: Log,
    ) =>
      new RouterLease(
        {
          node: self.name,
          incarnation: self.incarnation,
          address: advertisedAddress(params),
          zone: params.zone,
        },
        inForce,
        peerLeases,
        peers,
        voterDirectory,
        clock,
        log,
        params.lease,
      ),
  },
  {
    provide: names.claims,
    inject: [
      names.inForce,
      names.peers,
      names.voterDirectory,
      names.clock,
      names.random,
      names.log,
    ],
    useFactory: (
      inForce: InForce,
      peers: Peers,
      voterDirectory: VoterDirectory,
      clock: Clock,
      random: Random,
      log: Log,
    ) =>
      new Claims(
        params.name,
        inForce,
        peers,
        voterDirectory,
        clock,
        random,
        log,
        params.claims.enabled,
      ),
  },
];
