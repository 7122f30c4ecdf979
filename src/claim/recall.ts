/** Reads all that a core member keeps of a router's duties, page by page, and whether the member is whole; nothing when it breaks off. */
import type { Peers } from '../wire/peers.js';
import { Recall, type HeldClaim } from './calls.js';

const LIMIT = 1000;

/** What a core member gave back, and whether it has all of it. */
export interface Recalled {
  readonly whole: boolean;
  readonly claims: readonly HeldClaim[];
}

/** Reads all claims of a router's duties from one core member. */
export const recallFrom = async (
  peers: Peers,
  address: string,
  set: number,
  node: string,
): Promise<Recalled | undefined> => {
  const claims: HeldClaim[] = [];
  for (let after = 0; ;) {
    const reply = (await peers.ask(address, Recall, { set, node, after }, LIMIT))
      .toMaybe()
      .extract();
    if (!reply) return undefined;
    claims.push(...reply.claims);
    if (!reply.more) return { whole: reply.whole, claims };
    after = reply.next;
  }
};
