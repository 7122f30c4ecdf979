/**
 * Prompts as runs of block hashes. The local hash is over a block's own bytes; the external hash chains every block to
 * the one before and begins with the namespace (model or adapter, weight generation, firm), so that prefixes of
 * different namespaces can't meet. Both are 128 bits. The last, partial block never counts.
 */
import { createHash, hash as hashOnce } from 'node:crypto';

/** A block of a prompt: its own hash, and the hash chained over all blocks before it. */
export interface Block {
  readonly local: string;
  readonly external: string;
}

const short = (parts: readonly (string | Uint8Array)[]): string => {
  const hash = createHash('sha256');
  for (const part of parts) hash.update(part);
  return hash.digest('base64url').slice(0, 22);
};

/** What keeps prefixes apart: caches are never shared over its borders. */
export interface Namespace {
  readonly model: string;
  readonly weightGeneration: string;
  readonly firm: string;
}

/** A namespace as one text. */
export const namespaceKey = ({ model, weightGeneration, firm }: Namespace): string =>
  JSON.stringify([model, weightGeneration, firm]);

/** The hash that the chain of a namespace begins with. */
export const rootHash = (namespace: Namespace): string =>
  short(['namespace\u0000', namespaceKey(namespace)]);

/** Cuts bytes into whole blocks and chains their hashes. */
export const blocksOf = (bytes: Uint8Array, size: number, parent: string): Block[] => {
  const blocks: Block[] = [];
  let external = parent;
  for (let at = 0; at + size <= bytes.length; at += size) {
    const local = short([bytes.subarray(at, at + size)]);
    external = short([external, local]);
    blocks.push({ local, external });
  }
  return blocks;
};

/** The bytes an engine's cache is keyed by: the ordered parts of the prompt, each led by its role. */
export const promptBytes = (
  messages: ReadonlyArray<{ role: string; content: string }>,
): Uint8Array =>
  Buffer.from(
    messages.map(({ role, content }) => `<${role}>\n${content}\n`).join('') + '<assistant>\n',
    'utf8',
  );

/** A part of a prompt that is named rather than shown: what the prompt tells stands for its bytes. */
export interface NamedPart {
  readonly id: string;
  readonly tokens: number;
}

/** A block of any size, as parts of a prompt are. */
export interface SizedBlock extends Block {
  readonly tokens: number;
}

/**
 * One block for each part, each external hash chained from the one before. The id stands for the part's bytes as a hash
 * does, so that it is the local hash, together with the size.
 */
export const blocksOfParts = (parts: readonly NamedPart[], parent: string): SizedBlock[] => {
  let external = parent;
  return parts.map(({ id, tokens }) => {
    const local = `${id}:${tokens}`;
    external = hashOnce('sha256', `${external}\u0000${local}`, 'base64url').slice(0, 22);
    return { local, external, tokens };
  });
};
