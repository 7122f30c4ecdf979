/** Duties are cut by key over live nodes: each key goes to the node whose hash with it is highest. */
import { createHash } from 'node:crypto';

/** The weight of a node for a key, as text that sorts. */
export const weight = (key: string, node: string): string =>
  createHash('sha256').update(`${key}\u0000${node}`).digest('hex');

/** The nodes in the order of their weight for a key, heaviest first. */
export const holders = (key: string, nodes: readonly string[]): string[] =>
  nodes
    .map((node) => [weight(key, node), node] as const)
    .sort(([a], [b]) => (a < b ? 1 : -1))
    .map(([, node]) => node);
