/** From the sums of each node at two moments to rates a second, spread over the nodes of one role. */
import type { Count } from '../../wire/traffic.js';
import { spreadOf } from './numbers.js';
import type { RoleRates } from './shape.js';

/** The counts of each node. */
export type Sums = ReadonlyMap<string, readonly Count[]>;

const keyOf = ({ way, call, peer }: Count): string => `${way} ${call} ${peer}`;

const difference = (before: readonly Count[], after: readonly Count[]): Count[] => {
  const known = new Map(before.map((count) => [keyOf(count), count]));
  return after.map((count) => {
    const old = known.get(keyOf(count));
    return {
      ...count,
      messages: count.messages - (old?.messages ?? 0),
      bytes: count.bytes - (old?.bytes ?? 0),
    };
  });
};

/** The rates between two moments, spread over the nodes. */
export const ratesOf = (
  nodes: readonly string[],
  before: Sums,
  after: Sums,
  seconds: number,
): RoleRates => {
  const counted = nodes.map((node) => difference(before.get(node) ?? [], after.get(node) ?? []));
  const total = (way: string, unit: 'messages' | 'bytes') =>
    spreadOf(
      counted.map(
        (counts) =>
          counts.filter((count) => count.way === way).reduce((sum, count) => sum + count[unit], 0) /
          seconds,
      ),
    );
  const kinds = new Map(
    counted
      .flat()
      .filter(({ messages }) => messages > 0)
      .map((count) => [keyOf(count), count]),
  );
  const byCall = [...kinds]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([key, { call, peer, way }]) => {
      const of = (unit: 'messages' | 'bytes') =>
        spreadOf(
          counted.map(
            (counts) => (counts.find((count) => keyOf(count) === key)?.[unit] ?? 0) / seconds,
          ),
        );
      return { call, peer, way, messages: of('messages'), bytes: of('bytes') };
    });
  return {
    all: {
      sentMessages: total('sent', 'messages'),
      sentBytes: total('sent', 'bytes'),
      receivedMessages: total('received', 'messages'),
      receivedBytes: total('received', 'bytes'),
    },
    byCall,
  };
};
