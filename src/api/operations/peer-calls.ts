/** Calls to many peers, for the operators' calls: every peer is waited for, and the silent ones are named. */
import { gather, type Replies } from '../../register/gather.js';
import { State, type StateReply } from '../../register/calls.js';
import type { Call } from '../../wire/call.js';
import type { Peers } from '../../wire/peers.js';

/** How long one peer is waited for. */
export const PEER_TIMEOUT_MS = 1500;

/** Asks all of these peers, and gives what each replied. */
export const askAll = <A, R>(
  peers: Peers,
  addresses: readonly string[],
  call: Call<A, R>,
  ask: A,
): Promise<Replies<R>> =>
  gather(
    addresses,
    (address) => peers.ask(address, call, ask, PEER_TIMEOUT_MS),
    () => false,
  );

/** The state of each of these core members. */
export const askStates = (
  peers: Peers,
  addresses: readonly string[],
): Promise<Replies<StateReply>> => askAll(peers, addresses, State, { from: peers.self.name });
