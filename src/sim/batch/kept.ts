/** The parts an engine keeps: the unused give way, longest unused first; those of running requests stay. */
export class KeptParts {
  private readonly parts = new Map<string, { readonly tokens: number; pins: number }>();
  tokens = 0;
  pinned = 0;

  /** How many leading keys of a chain are kept. */
  leading(keys: readonly string[]): number {
    let at = 0;
    while (at < keys.length && this.parts.has(keys[at]!)) at += 1;
    return at;
  }

  pin(key: string): void {
    const part = this.parts.get(key);
    if (!part) return;
    this.parts.delete(key);
    this.parts.set(key, part);
    if (part.pins++ === 0) this.pinned += part.tokens;
  }

  /** Puts a part in, or finds it there; says whether it is new. */
  put(key: string, tokens: number): boolean {
    if (this.parts.has(key)) return false;
    this.parts.set(key, { tokens, pins: 0 });
    this.tokens += tokens;
    return true;
  }

  release(key: string): void {
    const part = this.parts.get(key);
    if (!part || part.pins === 0) return;
    if (--part.pins === 0) this.pinned -= part.tokens;
  }

  /** Lets unused parts give way until at most `room` tokens are kept, or nothing unused is left. */
  shrink(room: number): void {
    if (this.tokens <= room) return;
    for (const [key, { tokens, pins }] of this.parts) {
      if (this.tokens <= room) return;
      if (pins > 0) continue;
      this.parts.delete(key);
      this.tokens -= tokens;
    }
  }
}
