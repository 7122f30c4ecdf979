/** A request's prompt as the index and the preferences see it. */
import type { Prompt } from '../../forward/dialect.js';
import { blocksOfParts, type SizedBlock } from '../../index/hash.js';
import type { PartIndex } from '../../index/parts.js';
import type { Engine } from '../../pool/engine.js';
import { hashOf } from './order.js';

/** The prompt's blocks for engines of one set of weights, and how many of them each is thought to hold. */
interface Chain {
  readonly root: string;
  readonly blocks: readonly SizedBlock[];
  /** Read once for all engines where all will be asked about. */
  held?: ReadonlyMap<string, number>;
}

/** The prefixes of one request's prompt. */
export class PromptPrefixes {
  /** Tokens of all parts but the last, which belongs to the request or its session. */
  readonly shared: number;
  private readonly chains = new Map<string, Chain>();

  constructor(
    private readonly index: PartIndex,
    private readonly service: string,
    readonly prompt: Prompt,
  ) {
    this.shared = Math.min(
      prompt.tokens,
      prompt.parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0),
    );
  }

  /** The first parts that hold at least half of what is shared stand for the prefix. */
  get key(): number {
    let text = `${this.service}\u0000${this.prompt.model}`;
    let sum = 0;
    for (const { id, tokens } of this.prompt.parts) {
      if (sum * 2 >= this.shared) break;
      text += `\u0000${id}`;
      sum += tokens;
    }
    return hashOf(text);
  }

  /** Tokens that the index has as kept at an engine. */
  keptAt(engine: Engine): number {
    const { root, blocks, held } = this.chain(engine.weightGeneration);
    let sum = 0;
    for (
      let at = held
        ? (held.get(engine.identifier) ?? 0)
        : this.index.depth(engine.identifier, root, blocks);
      at > 0;
      at--
    )
      sum += blocks[at - 1]!.tokens;
    return Math.min(sum, this.prompt.tokens);
  }

  /** The engines that the index has as keeping some of it, for one set of weights. */
  holders(weights: string): ReadonlyMap<string, number> {
    const chain = this.chain(weights);
    chain.held ??= this.index.find(chain.root, chain.blocks);
    return chain.held;
  }

  /** The engine has read the prompt, or found it kept. */
  store(engine: Engine, capacity: number): void {
    const { root, blocks } = this.chain(engine.weightGeneration);
    this.index.store(engine.identifier, engine.weightGeneration, root, blocks, 1, capacity);
  }

  private chain(weights: string): Chain {
    const known = this.chains.get(weights);
    if (known) return known;
    const root = this.index.root({
      model: this.prompt.model,
      weightGeneration: weights,
      firm: this.service,
    });
    const blocks = blocksOfParts(this.prompt.parts, root);
    const made: Chain = { root, blocks };
    this.chains.set(weights, made);
    return made;
  }
}
