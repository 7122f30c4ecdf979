/**
 * The index of this node over all engines: one tree for each namespace, one ledger for each engine, and each engine's
 * events in one numbered order. A store comes from a routed prompt or the stream it carries; removes come from the
 * ledger, from an engine that reports fewer cached tokens than claimed, and from an identifier that is gone.
 */
import { later, SLACK, type Clock, type Moment } from '../kernel/clock/clock.js';
import type { Engine } from '../pool/engine.js';
import { lawFor, othersBound, type LawParams } from '../place/law.js';
import { namespaceKey, type Block, type Namespace } from './hash.js';
import { Ledger } from './ledger.js';
import { finish, Tree } from './tree.js';

const TREES_BOUND = 1024;

/** Blocks that an engine has stored, as one of its numbered events. */
export interface Store {
  readonly namespace: Namespace;
  readonly parent: string | undefined;
  readonly depth: number;
  readonly blocks: readonly Block[];
  readonly touched: Moment;
}

interface Held {
  readonly ledger: Ledger;
  readonly weightGeneration: string;
  next: number;
  broken: boolean;
  flying: number;
}

/** Which engine holds how long a prefix of a prompt. */
export class Prefixes {
  private readonly trees = new Map<string, Tree>();
  private readonly engines = new Map<string, Held>();
  duplicates = 0;
  gaps = 0;
  /** Whether the law that bounds the others' touches is kept by all; while it isn't, nothing is claimed. */
  lawful = true;

  constructor(
    private readonly clock: Clock,
    private readonly law: LawParams,
    private readonly blockTokens: number,
  ) {}

  /** How many leading blocks each engine surely holds now. */
  find(namespace: Namespace, blocks: readonly Block[]): Map<string, number> {
    const tree = this.trees.get(namespaceKey(namespace));
    if (!tree || !this.lawful) return new Map();
    for (const [identifier, held] of this.engines) this.lapse(identifier, held);
    return finish(tree.find(blocks));
  }

  /** The number the engine's next event must carry. */
  nextEvent(engine: Engine): number {
    return this.held(engine).next;
  }

  /** Applies one store event of an engine. Duplicates are dropped; after a gap nothing more is claimed until it restarts. */
  store(engine: Engine, number: number, event: Store): void {
    const held = this.held(engine);
    if (number < held.next) {
      this.duplicates += 1;
      return;
    }
    if (number > held.next) {
      this.gaps += 1;
      held.broken = true;
    }
    held.next = number + 1;
    if (held.broken) return;
    const tree = this.tree(event.namespace);
    const verdict = finish(tree.store(engine.identifier, event.parent, event.blocks));
    if (verdict === 'rejected')
      return held.ledger.lostSight(event.touched, event.blocks.length * this.blockTokens);
    event.blocks.forEach(({ external }, at) =>
      held.ledger.touch({ external, tree, touched: event.touched, depth: event.depth + at }),
    );
    this.lapse(engine.identifier, held);
  }

  /** Tokens on their way to the engine, touched at any time from now. */
  fly(engine: Engine, tokens: number): void {
    this.held(engine).flying += tokens;
  }

  /** A request is over; what it may have put into the cache beyond its stores is kept in mind. */
  land(engine: Engine, tokens: number, unclaimed: number): void {
    const held = this.engines.get(engine.identifier);
    if (!held) return;
    held.flying -= tokens;
    held.ledger.lostSight(this.clock.strict(), unclaimed);
  }

  /** The engine said that it found fewer blocks than claimed: everything from there on is no longer claimed. */
  shorten(engine: Engine, namespace: Namespace, blocks: readonly Block[], from: number): void {
    const held = this.engines.get(engine.identifier);
    const tree = this.trees.get(namespaceKey(namespace));
    if (!held || !tree) return;
    for (const { external } of blocks.slice(from).reverse()) {
      held.ledger.drop(external);
      finish(tree.remove(engine.identifier, external));
    }
  }

  /** Takes in the platform's list: an identifier or weight generation that is gone loses every claim. */
  listed(engines: ReadonlyMap<string, Engine>): void {
    for (const [identifier, held] of this.engines) {
      if (engines.get(identifier)?.weightGeneration === held.weightGeneration) continue;
      for (const tree of this.trees.values()) tree.forget(identifier);
      this.engines.delete(identifier);
    }
  }

  get counts(): ReadonlyMap<string, number> {
    const sum = (of: (tree: Tree) => number): number =>
      [...this.trees.values()].reduce((total, tree) => total + of(tree), 0);
    return new Map([
      ['claims', [...this.engines.values()].reduce((total, { ledger }) => total + ledger.size, 0)],
      ['rejected', sum((tree) => tree.rejected)],
      ['repairs', sum((tree) => tree.repairs)],
      ['retries', sum((tree) => tree.retries)],
      ['trees', this.trees.size],
      ['duplicates', this.duplicates],
      ['gaps', this.gaps],
    ]);
  }

  private lapse(identifier: string, held: Held): void {
    for (const claim of held.ledger.lapse(later(this.clock.strict(), SLACK), held.flying))
      finish(claim.tree.remove(identifier, claim.external));
  }

  private held(engine: Engine): Held {
    const known = this.engines.get(engine.identifier);
    if (known) return known;
    const law = lawFor(engine, this.law);
    const ledger = new Ledger(engine.cacheCapacity, this.blockTokens, (span) =>
      othersBound(law, span),
    );
    const made: Held = {
      ledger,
      weightGeneration: engine.weightGeneration,
      next: 1,
      broken: false,
      flying: 0,
    };
    this.engines.set(engine.identifier, made);
    return made;
  }

  private tree(namespace: Namespace): Tree {
    const key = namespaceKey(namespace);
    const known = this.trees.get(key);
    if (known) return known;
    if (this.trees.size >= TREES_BOUND) {
      const oldest = this.trees.keys().next().value as string;
      this.trees.delete(oldest);
    }
    const made = new Tree();
    this.trees.set(key, made);
    return made;
  }
}
