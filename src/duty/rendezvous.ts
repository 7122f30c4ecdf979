/** Duties are cut by key over live nodes: each key goes to the node whose hash with it is highest. */
import { createHash } from 'node:crypto';

export const weight = (key: string, node: string): string =>
  createHash('sha256').update(`${key}\u0000${node}`).digest('hex');

export const holders = (key: string, nodes: readonly string[]): string[] =>
  nodes
    .map((node) => [weight(key, node), node] as const)
    .sort(([a], [b]) => (a < b ? 1 : -1))
    .map(([, node]) => node);
