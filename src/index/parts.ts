/**
 * The index over prompts that come as named parts: the same tree, one block for each part, of the part's own size. Here
 * a read is a hint: it may undercount, and it may overreach since nobody reports what other routers' traffic pushed out.
 * Stores come from a routed prompt once its first piece came; removes from a bounded list of recent touches for each
 * engine, and from an identifier that is gone. Each engine's events are applied one after the other as they arise.
 */
import { namespaceKey, rootHash, type Namespace, type SizedBlock } from './hash.js';
import { finish, Tree } from './tree.js';

const TREES_BOUND = 256;
const ROOTS_BOUND = 1024;
/** Blocks claimed for all engines at most, so that tiny parts can't fill the memory; each engine has an equal share. */
const BLOCKS_BOUND = 16_384;
const LEAST_SHARE = 16;

interface Touch {
  readonly tree: Tree;
  readonly weight: number;
}

/** The most recent touches of one engine's cache, oldest first, up to its capacity in tokens. */
class Recency {
  private readonly touches = new Map<string, Touch>();
  private weight = 0;

  touch(external: string, touch: Touch): void {
    this.drop(external);
    this.touches.set(external, touch);
    this.weight += touch.weight;
  }

  drop(external: string): void {
    const known = this.touches.get(external);
    if (!known) return;
    this.touches.delete(external);
    this.weight -= known.weight;
  }

  /** Takes out what gives way within the capacity, oldest first. */
  lapse(capacity: number, most: number): Array<readonly [string, Tree]> {
    const gone: Array<readonly [string, Tree]> = [];
    for (const [external, { tree }] of this.touches) {
      if (this.weight <= capacity && this.touches.size <= most) break;
      this.drop(external);
      gone.push([external, tree]);
    }
    return gone;
  }

  get size(): number {
    return this.touches.size;
  }
}

/** Which engine holds which parts of prompts. */
export class PartIndex {
  private readonly trees = new Map<string, Tree>();
  private readonly roots = new Map<string, string>();
  private readonly held = new Map<
    string,
    { readonly recency: Recency; readonly weights: string }
  >();

  /** `routers` tells how many routers are thought to send to the engines, this one counted. */
  constructor(private readonly routers: () => number) {}

  /** The hash that the first block of a namespace is chained from. */
  root(namespace: Namespace): string {
    const key = namespaceKey(namespace);
    const known = this.roots.get(key);
    if (known !== undefined) return known;
    if (this.roots.size >= ROOTS_BOUND) this.roots.clear();
    const made = rootHash(namespace);
    this.roots.set(key, made);
    return made;
  }

  /** How many leading blocks each engine is thought to hold. */
  find(root: string, blocks: readonly SizedBlock[]): ReadonlyMap<string, number> {
    const tree = this.trees.get(root);
    return tree ? finish(tree.find(blocks)) : new Map();
  }

  /** The same for one engine alone. */
  depth(engine: string, root: string, blocks: readonly SizedBlock[]): number {
    const tree = this.trees.get(root);
    return tree ? finish(tree.depth(engine, blocks)) : 0;
  }

  /**
   * The engine has read these blocks, or found them kept. The last `own` of them belong to the request or its session:
   * every router sends as many of such, so they weigh for all routers; shared ones are the same for all.
   */
  store(
    engine: string,
    weights: string,
    root: string,
    blocks: readonly SizedBlock[],
    own: number,
    capacity: number,
  ): void {
    const tree = this.tree(root);
    const { recency } = this.holding(engine, weights);
    if (finish(tree.store(engine, undefined, blocks)) === 'rejected') return;
    const others = Math.max(1, this.routers());
    for (let at = blocks.length - 1; at >= 0; at--) {
      const { external, tokens } = blocks[at]!;
      recency.touch(external, {
        tree,
        weight: at >= blocks.length - own ? tokens * others : tokens,
      });
    }
    for (const [external, of] of recency.lapse(
      capacity,
      Math.max(LEAST_SHARE, Math.floor(BLOCKS_BOUND / this.held.size)),
    ))
      finish(of.remove(engine, external));
  }

  /** What was claimed for an engine turned out not to be there. */
  shorten(engine: string, root: string, blocks: readonly SizedBlock[]): void {
    const tree = this.trees.get(root);
    const recency = this.held.get(engine)?.recency;
    if (!tree || !recency) return;
    for (let at = blocks.length - 1; at >= 0; at--) {
      recency.drop(blocks[at]!.external);
      finish(tree.remove(engine, blocks[at]!.external));
    }
  }

  /** An identifier that is gone, or whose weights changed, holds nothing any more. */
  listed(engines: ReadonlyMap<string, { readonly weightGeneration: string }>): void {
    for (const [engine, { weights }] of this.held)
      if (engines.get(engine)?.weightGeneration !== weights) this.forget(engine);
  }

  get counts(): ReadonlyMap<string, number> {
    const sum = (of: (tree: Tree) => number): number =>
      [...this.trees.values()].reduce((total, tree) => total + of(tree), 0);
    return new Map([
      ['claims', [...this.held.values()].reduce((total, { recency }) => total + recency.size, 0)],
      ['rejected', sum((tree) => tree.rejected)],
      ['repairs', sum((tree) => tree.repairs)],
      ['retries', sum((tree) => tree.retries)],
      ['trees', this.trees.size],
    ]);
  }

  private forget(engine: string): void {
    for (const tree of this.trees.values()) tree.forget(engine);
    this.held.delete(engine);
  }

  private holding(
    engine: string,
    weights: string,
  ): { readonly recency: Recency; readonly weights: string } {
    const known = this.held.get(engine);
    if (known && known.weights === weights) return known;
    if (known) this.forget(engine);
    const made = { recency: new Recency(), weights };
    this.held.set(engine, made);
    return made;
  }

  private tree(root: string): Tree {
    const known = this.trees.get(root);
    if (known) return known;
    if (this.trees.size >= TREES_BOUND) this.trees.delete(this.trees.keys().next().value as string);
    const made = new Tree();
    this.trees.set(root, made);
    return made;
  }
}
