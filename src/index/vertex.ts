/**
 * A vertex of the compressed tree. It owns an edge, a run of block pairs with a reverse map; the engines that hold the
 * whole edge; for others a cutoff k, 0 < k < length, meaning edge[0..k]; its children by the first local hash of their
 * edge; a shape version that every change of shape raises; and the sticky mark of having had children.
 */
import type { Block } from './hash.js';

/** One vertex of the tree, with the edge that leads to it. */
export class Vertex {
  edge: Block[];
  readonly places = new Map<string, number>();
  readonly full = new Set<string>();
  readonly cutoffs = new Map<string, number>();
  readonly children = new Map<string, Vertex>();
  version = 0;
  internal = false;
  detached = false;

  constructor(
    edge: readonly Block[],
    public parent: Vertex | undefined,
  ) {
    this.edge = [...edge];
    this.edge.forEach(({ external }, place) => this.places.set(external, place));
  }

  coverage(engine: string): number {
    return this.full.has(engine) ? this.edge.length : (this.cutoffs.get(engine) ?? 0);
  }

  cover(engine: string, cutoff: number): void {
    this.full.delete(engine);
    this.cutoffs.delete(engine);
    if (cutoff >= this.edge.length) this.full.add(engine);
    else if (cutoff > 0) this.cutoffs.set(engine, cutoff);
  }

  /** Appends to the edge of a childless tail; whoever held the whole edge before now holds up to its old end. */
  extend(blocks: readonly Block[]): void {
    const before = this.edge.length;
    for (const engine of [...this.full]) {
      this.full.delete(engine);
      this.cutoffs.set(engine, before);
    }
    blocks.forEach((block, at) => {
      this.edge.push(block);
      this.places.set(block.external, before + at);
    });
    this.version += 1;
  }

  /** Cuts the edge at a position; the suffix becomes the one child and keeps the original children. */
  split(at: number): Vertex {
    const suffix = new Vertex(this.edge.slice(at), this);
    for (const [local, child] of this.children) {
      child.parent = suffix;
      suffix.children.set(local, child);
    }
    suffix.internal = this.internal;
    for (const engine of this.full) suffix.full.add(engine);
    for (const [engine, cutoff] of [...this.cutoffs]) {
      if (cutoff > at) suffix.cover(engine, cutoff - at);
      if (cutoff >= at) {
        this.cutoffs.delete(engine);
        this.full.add(engine);
      }
    }
    for (const { external } of suffix.edge) this.places.delete(external);
    this.edge = this.edge.slice(0, at);
    this.children.clear();
    this.children.set(suffix.edge[0]!.local, suffix);
    this.internal = true;
    this.version += 1;
    return suffix;
  }

  attach(child: Vertex): void {
    child.parent = this;
    this.children.set(child.edge[0]!.local, child);
    this.internal = true;
  }

  get bare(): boolean {
    return this.full.size === 0 && this.cutoffs.size === 0 && this.children.size === 0;
  }
}
