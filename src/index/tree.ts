/**
 * The concurrent radix tree, compressed: which engine holds how long a prefix. Every write is a plan, made without any
 * gate, and a commit that checks the shape versions of what it planned on; a stale plan is made anew. Between the two,
 * and between the vertices a reader visits, other tasks may run: writes and reads are generators that yield there.
 * Reads take no gate; they may undercount next to a change of shape and never overreach, because each step is checked
 * by external hash, which fixes a block's whole prefix, and an engine counts only while it covers every edge before.
 */
import type { Block } from './hash.js';
import { Vertex } from './vertex.js';

/** Work that other work may come in between of, at each yield. */
export type Steps<T> = Generator<undefined, T, undefined>;

/** Runs steps to their end without a pause. */
export const finish = <T>(steps: Steps<T>): T => {
  for (;;) {
    const step = steps.next();
    if (step.done) return step.value;
  }
};

/** Whether the tree took what was to be stored. */
export type StoreVerdict = 'stored' | 'rejected';

type Plan =
  | { readonly kind: 'extend'; readonly vertex: Vertex; readonly blocks: readonly Block[] }
  | { readonly kind: 'attach'; readonly vertex: Vertex; readonly blocks: readonly Block[] }
  | {
      readonly kind: 'cover';
      readonly vertex: Vertex;
      readonly cutoff: number;
      readonly rest: readonly Block[];
    }
  | { readonly kind: 'split'; readonly vertex: Vertex; readonly at: number };

/** A compressed radix tree over block hashes, for one namespace. */
export class Tree {
  readonly root = new Vertex([], undefined);
  private readonly lookups = new Map<string, Map<string, Vertex>>();
  rejected = 0;
  repairs = 0;
  retries = 0;

  /** Stores a run of blocks for an engine behind a parent block that it covers, or at the root. */
  *store(
    engine: string,
    parent: string | undefined,
    blocks: readonly Block[],
  ): Steps<StoreVerdict> {
    let rest = blocks;
    let behind = parent;
    while (rest.length > 0) {
      const at = this.locate(engine, behind);
      if (!at) {
        this.rejected += 1;
        return 'rejected';
      }
      const plan = this.plan(engine, at.vertex, at.place, rest);
      if (plan.kind === 'split' && plan.at === 0) {
        this.rejected += 1;
        return 'rejected';
      }
      const version = plan.vertex.version;
      yield;
      if (
        plan.vertex.version !== version ||
        plan.vertex.detached ||
        !this.commit(engine, plan, at.vertex, at.place)
      ) {
        this.retries += 1;
        continue;
      }
      if (plan.kind === 'split') continue;
      const taken = plan.kind === 'cover' ? rest.length - plan.rest.length : rest.length;
      behind = rest[taken - 1]!.external;
      rest = rest.slice(taken);
    }
    return 'stored';
  }

  /** Lowers one engine's cutoff to the position of a block; edges are never split, and a cutoff of 0 drops the engine. */
  *remove(engine: string, external: string): Steps<boolean> {
    const vertex = this.resolve(engine, external, 'head');
    if (!vertex) return false;
    yield;
    const place = vertex.places.get(external);
    if (place === undefined) return yield* this.remove(engine, external);
    const before = vertex.coverage(engine);
    if (place >= before) return false;
    const lookup = this.lookups.get(engine);
    for (let each = place; each < before; each++) lookup?.delete(vertex.edge[each]!.external);
    vertex.cover(engine, place);
    if (before === vertex.edge.length) this.strip(engine, vertex);
    this.tidy(vertex);
    return true;
  }

  /** Drops an engine below a vertex whose whole edge it no longer holds, so that a later store can't revive old claims. */
  private strip(engine: string, above: Vertex): void {
    const walk = [...above.children.values()].filter((child) => child.coverage(engine) > 0);
    for (let vertex = walk.pop(); vertex; vertex = walk.pop()) {
      walk.push(...[...vertex.children.values()].filter((child) => child.coverage(engine) > 0));
      vertex.cover(engine, 0);
      for (const { external } of vertex.edge) this.lookups.get(engine)?.delete(external);
    }
  }

  /** How many leading blocks of the run each engine holds. */
  *find(blocks: readonly Block[]): Steps<Map<string, number>> {
    const held = new Map<string, number>();
    let active: Set<string> | undefined;
    let vertex = this.root;
    let depth = 0;
    while (depth < blocks.length) {
      const child = vertex.children.get(blocks[depth]!.local);
      if (!child) break;
      yield;
      const { edge } = child;
      let same = 0;
      while (
        same < edge.length &&
        depth + same < blocks.length &&
        edge[same]!.external === blocks[depth + same]!.external
      )
        same += 1;
      if (same === 0) break;
      const whole = same === edge.length;
      const still = new Set<string>();
      const candidates: Iterable<string> = active ?? [...child.full, ...child.cutoffs.keys()];
      for (const engine of candidates) {
        const cutoff = Math.min(child.coverage(engine), same);
        if (cutoff > 0) held.set(engine, depth + cutoff);
        if (whole && cutoff === edge.length) still.add(engine);
      }
      if (!whole || still.size === 0) break;
      active = still;
      vertex = child;
      depth += same;
    }
    return held;
  }

  /** How many leading blocks of the run one engine holds. */
  *depth(engine: string, blocks: readonly Block[]): Steps<number> {
    let vertex = this.root;
    let depth = 0;
    while (depth < blocks.length) {
      const child = vertex.children.get(blocks[depth]!.local);
      if (!child) break;
      yield;
      const { edge } = child;
      const cutoff = child.coverage(engine);
      let same = 0;
      while (
        same < cutoff &&
        depth + same < blocks.length &&
        edge[same]!.external === blocks[depth + same]!.external
      )
        same += 1;
      depth += same;
      if (same < edge.length) break;
      vertex = child;
    }
    return depth;
  }

  /** Drops all of one engine's coverage, as when it restarts empty. */
  forget(engine: string): void {
    const touched = new Set(this.lookups.get(engine)?.values());
    this.lookups.delete(engine);
    const walk = [this.root];
    for (let vertex = walk.pop(); vertex; vertex = walk.pop()) {
      walk.push(...vertex.children.values());
      if (vertex.coverage(engine) > 0) touched.add(vertex);
    }
    for (const vertex of touched) {
      vertex.full.delete(engine);
      vertex.cutoffs.delete(engine);
    }
    for (const vertex of touched) this.tidy(vertex);
  }

  private locate(
    engine: string,
    parent: string | undefined,
  ): { vertex: Vertex; place: number } | undefined {
    if (parent === undefined) return { vertex: this.root, place: -1 };
    const vertex = this.resolve(engine, parent, 'tail');
    const place = vertex?.places.get(parent);
    if (!vertex || place === undefined || place >= vertex.coverage(engine)) return undefined;
    return { vertex, place };
  }

  /** The vertex that holds a block for an engine; a stale entry is repaired by a scan of the old vertex's descendants. */
  private resolve(engine: string, external: string, toward: 'head' | 'tail'): Vertex | undefined {
    const lookup = this.lookups.get(engine);
    const noted = lookup?.get(external);
    if (!noted || !lookup) return undefined;
    if (noted.detached) {
      lookup.delete(external);
      return undefined;
    }
    if (noted.places.has(external)) return noted;
    const walk = [...noted.children.values()];
    for (let vertex = walk.pop(); vertex; vertex = walk.pop()) {
      const place = vertex.places.get(external);
      if (place === undefined) {
        walk.push(...vertex.children.values());
        continue;
      }
      this.repairs += 1;
      const cutoff = vertex.coverage(engine);
      const [from, to] = toward === 'tail' ? [place, cutoff] : [0, Math.min(place + 1, cutoff)];
      for (let each = from; each < to; each++) lookup.set(vertex.edge[each]!.external, vertex);
      lookup.set(external, vertex);
      return vertex;
    }
    return undefined;
  }

  private plan(engine: string, vertex: Vertex, place: number, blocks: readonly Block[]): Plan {
    if (place < vertex.edge.length - 1) return this.planAlong(vertex, place + 1, blocks);
    const child = vertex.children.get(blocks[0]!.local);
    if (child) return this.planAlong(child, 0, blocks);
    const tail = vertex !== this.root && !vertex.internal && vertex.full.has(engine);
    return { kind: tail ? 'extend' : 'attach', vertex, blocks };
  }

  private planAlong(vertex: Vertex, from: number, blocks: readonly Block[]): Plan {
    let same = 0;
    while (
      from + same < vertex.edge.length &&
      same < blocks.length &&
      vertex.edge[from + same]!.external === blocks[same]!.external
    )
      same += 1;
    if (same > 0) return { kind: 'cover', vertex, cutoff: from + same, rest: blocks.slice(same) };
    return { kind: 'split', vertex, at: from };
  }

  private commit(engine: string, plan: Plan, parent: Vertex, place: number): boolean {
    if (parent.detached || (parent !== this.root && parent.coverage(engine) <= place)) return false;
    const { vertex } = plan;
    switch (plan.kind) {
      case 'extend': {
        if (vertex.internal || vertex.children.size > 0 || !vertex.full.has(engine)) return false;
        vertex.extend(plan.blocks);
        vertex.cover(engine, vertex.edge.length);
        this.note(engine, vertex, plan.blocks);
        return true;
      }
      case 'attach': {
        if (vertex.children.has(plan.blocks[0]!.local)) return false;
        const child = new Vertex(plan.blocks, vertex);
        child.full.add(engine);
        vertex.attach(child);
        this.note(engine, child, plan.blocks);
        return true;
      }
      case 'cover': {
        const from = vertex === parent ? place + 1 : 0;
        if (vertex !== parent && vertex.parent !== parent) return false;
        const before = vertex.coverage(engine);
        if (plan.cutoff > before) vertex.cover(engine, plan.cutoff);
        this.note(engine, vertex, vertex.edge.slice(from, plan.cutoff));
        return true;
      }
      case 'split': {
        vertex.split(plan.at);
        return true;
      }
    }
  }

  private note(engine: string, vertex: Vertex, blocks: readonly Block[]): void {
    const lookup = this.lookups.get(engine) ?? new Map<string, Vertex>();
    this.lookups.set(engine, lookup);
    for (const { external } of blocks) lookup.set(external, vertex);
  }

  /** Clears children that nobody can reach any more and takes bare leaves off; marks what goes as detached. */
  private tidy(vertex: Vertex): void {
    if (vertex === this.root || vertex.detached) return;
    if (vertex.full.size === 0 && vertex.children.size > 0) {
      const walk = [...vertex.children.values()];
      vertex.children.clear();
      vertex.version += 1;
      for (let gone = walk.pop(); gone; gone = walk.pop()) {
        walk.push(...gone.children.values());
        gone.detached = true;
        gone.full.clear();
        gone.cutoffs.clear();
        gone.children.clear();
      }
    }
    const { parent } = vertex;
    if (!vertex.bare || !parent) return;
    const local = vertex.edge[0]!.local;
    if (parent.children.get(local) === vertex) parent.children.delete(local);
    vertex.detached = true;
    this.tidy(parent);
  }
}
