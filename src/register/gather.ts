/** Asks many peers at once and returns as soon as enough have replied as wanted, or all have replied. */
import type { Outcome } from '../kernel/fault/fault.js';

export type Replies<R> = ReadonlyArray<readonly [address: string, reply: Outcome<R>]>;

export const gather = <R>(
  addresses: readonly string[],
  ask: (address: string) => Promise<Outcome<R>>,
  enough: (replies: Replies<R>) => boolean,
): Promise<Replies<R>> =>
  new Promise((resolve) => {
    const replies: Array<readonly [string, Outcome<R>]> = [];
    if (addresses.length === 0) return resolve(replies);
    for (const address of addresses) {
      void ask(address).then((reply) => {
        replies.push([address, reply]);
        if (replies.length === addresses.length || enough(replies)) resolve([...replies]);
      });
    }
  });

export const sound = <R>(replies: Replies<R>): R[] =>
  replies.flatMap(([, reply]) => (reply.isRight() ? [reply.extract() as R] : []));

export const majority = (count: number): number => Math.floor(count / 2) + 1;
