/**
 * The state of one link between two processes, as a set of faults that may overlap: a fault that ends takes away only
 * what it brought. A link without faults passes everything on at once.
 */

/** What a fault does to a link, seen from the side that opened the connection. */
export interface LinkFault {
  /** Bytes from the opener are kept back until the fault ends, as packets that are lost and sent again. */
  readonly holdForward?: boolean;
  /** Bytes to the opener are kept back until the fault ends. */
  readonly holdBackward?: boolean;
  /** The connection is reset as soon as anything comes back on it: the request went through, its answer is lost. */
  readonly loseAnswers?: boolean;
  /** New connections are reset. */
  readonly refuse?: boolean;
  /** ms that everything is late by, in both directions. */
  readonly delay?: number;
  /** Bytes that each connection carries in a ms, in each direction. */
  readonly rate?: number;
}

/** Everything that the faults of a link do together. */
export type LinkEffect = Required<LinkFault>;

const combine = (faults: Iterable<LinkFault>): LinkEffect => {
  const all = [...faults];
  return {
    holdForward: all.some(({ holdForward }) => holdForward),
    holdBackward: all.some(({ holdBackward }) => holdBackward),
    loseAnswers: all.some(({ loseAnswers }) => loseAnswers),
    refuse: all.some(({ refuse }) => refuse),
    delay: Math.max(0, ...all.map(({ delay = 0 }) => delay)),
    rate: Math.min(Infinity, ...all.map(({ rate = Infinity }) => rate)),
  };
};

/** One link, and who is told when its faults change. */
export class Link {
  private readonly faults = new Set<LinkFault>();
  private readonly watchers = new Set<(effect: LinkEffect) => void>();
  private readonly resets = new Set<() => void>();
  effect: LinkEffect = combine([]);

  /** Brings a fault about and gives the way to end it. */
  apply(fault: LinkFault): () => void {
    const own = { ...fault };
    this.faults.add(own);
    this.update();
    return () => {
      this.faults.delete(own);
      this.update();
    };
  }

  /** Resets the connections that are open on the link. */
  reset(): void {
    for (const reset of [...this.resets]) reset();
  }

  /** Tells a connection of the effects, now and at each change, until the returned function is called. */
  watch(changed: (effect: LinkEffect) => void, reset: () => void): () => void {
    this.watchers.add(changed);
    this.resets.add(reset);
    changed(this.effect);
    return () => {
      this.watchers.delete(changed);
      this.resets.delete(reset);
    };
  }

  private update(): void {
    this.effect = combine(this.faults);
    for (const changed of [...this.watchers]) changed(this.effect);
  }
}
