/**
 * The kept prompt parts of a stand-in engine: a part is named by its model and all parts before it, those of running
 * requests are pinned, and the ones unused longest give way. Running requests share the memory.
 */
import type { PromptPart } from '../../forward/dialect.js';

interface Kept {
  readonly tokens: number;
  pins: number;
}

/** The prompt parts that an engine keeps. */
export class PartCache {
  private readonly kept = new Map<string, Kept>();
  private keptTokens = 0;
  private pinnedTokens = 0;
  private own = 0;

  constructor(private readonly capacity: number) {}

  static names(model: string, parts: readonly PromptPart[]): Array<readonly [string, number]> {
    let name = model;
    return parts.map(({ id, tokens }) => [(name += `/${id}:${tokens}`), tokens] as const);
  }

  /** Tokens that need not be read. */
  hits(names: ReadonlyArray<readonly [string, number]>): number {
    let tokens = 0;
    for (const [name, size] of names) {
      if (!this.kept.has(name)) break;
      tokens += size;
    }
    return tokens;
  }

  /** Tokens that can not give way. */
  get used(): number {
    return this.pinnedTokens + this.own;
  }

  /** Whether the parts and so many tokens besides fit now. */
  fits(names: ReadonlyArray<readonly [string, number]>, besides: number): boolean {
    const fresh = names.reduce(
      (sum, [name, tokens]) => sum + ((this.kept.get(name)?.pins ?? 0) > 0 ? 0 : tokens),
      0,
    );
    return this.used + fresh + besides <= this.capacity;
  }

  take(names: ReadonlyArray<readonly [string, number]>): void {
    for (const [name, tokens] of names) {
      const known = this.kept.get(name);
      if (known) this.kept.delete(name);
      else this.keptTokens += tokens;
      const kept = known ?? { tokens, pins: 0 };
      if (kept.pins === 0) this.pinnedTokens += tokens;
      kept.pins += 1;
      this.kept.set(name, kept);
    }
    this.giveWay();
  }

  release(names: ReadonlyArray<readonly [string, number]>): void {
    for (const [name] of names) {
      const kept = this.kept.get(name);
      if (!kept || kept.pins === 0) continue;
      kept.pins -= 1;
      if (kept.pins === 0) this.pinnedTokens -= kept.tokens;
    }
    this.giveWay();
  }

  /** Tokens a running request holds besides its parts; negative to give them back. */
  hold(tokens: number): void {
    this.own += tokens;
    this.giveWay();
  }

  private giveWay(): void {
    for (const [name, { tokens, pins }] of this.kept) {
      if (this.keptTokens + this.own <= this.capacity) break;
      if (pins > 0) continue;
      this.kept.delete(name);
      this.keptTokens -= tokens;
    }
  }
}
