/**
 * When a committed revision may be called accepted: once a majority of the core has confirmed that no node stands on an
 * older one, and a majority of the registered routers have reported it in force. A node's lease needs a majority of the
 * core's grants, so it would meet one of those who confirmed, or of the routers' leases, so it would meet one of those who
 * reported.
 */
import type { Clock } from '../kernel/clock/clock.js';
import { gather, majority, sound } from '../register/gather.js';
import type { VoterDirectory } from '../register/voter-directory.js';
import type { Peers } from '../wire/peers.js';
import { Confirm } from './calls.js';

export interface ApplicationStatus {
  readonly everywhere: boolean;
  readonly silent: readonly string[];
  readonly reasons: readonly string[];
}

export const awaitApplication = async (
  revision: number,
  duration: number,
  peers: Peers,
  voterDirectory: VoterDirectory,
  clock: Clock,
): Promise<ApplicationStatus> => {
  const limit = clock.now() + duration;
  const confirmers = new Set<string>();
  const reported = new Set<string>();
  let registered: readonly string[] | undefined;
  const done = (members: readonly { id: string }[]): boolean => {
    const core =
      members.length > 0 &&
      members.filter(({ id }) => confirmers.has(id)).length >= majority(members.length);
    if (!core || !registered) return false;
    return (
      registered.length === 0 ||
      registered.filter((name) => reported.has(name)).length >= majority(registered.length)
    );
  };
  for (let pause = 50; ; pause = 100) {
    const { members } = voterDirectory.core;
    const left = limit - clock.now();
    const confirmed =
      members.filter(({ id }) => confirmers.has(id)).length >= majority(members.length);
    const open = members.filter(({ id }) => confirmed || !confirmers.has(id));
    const replies = await gather(
      open.map(({ address }) => address),
      async (address) => {
        const reply = await peers.ask(
          address,
          Confirm,
          { revision, wait: Math.max(0, Math.min(left, 1000)) },
          Math.max(50, Math.min(left, 1000)) + 200,
        );
        reply.ifRight((told) => {
          if (told.refusal === 'behind') return;
          registered = told.registered;
          for (const { node, revision: at } of told.reports) if (at >= revision) reported.add(node);
          const voter = open.find((each) => each.address === address);
          if (told.confirmed && voter) confirmers.add(voter.id);
        });
        return reply;
      },
      () => done(members),
    );
    if (done(members)) return { everywhere: true, silent: [], reasons: [] };
    if (clock.now() >= limit) {
      const silent = new Set([
        ...sound(replies).flatMap((reply) => reply.silent),
        ...(registered ?? []).filter((name) => !reported.has(name)),
      ]);
      const reasons = replies
        .map(([address, reply]) =>
          reply.caseOf({
            Left: ({ reason }) => `${address}: ${reason}`,
            Right: ({ reason }) => (reason ? `${address}: ${reason}` : ''),
          }),
        )
        .filter(Boolean);
      return { everywhere: false, silent: [...silent], reasons };
    }
    await clock.sleep(pause);
  }
};
