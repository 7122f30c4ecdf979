/**
 * What a stand-in engine can be told to do wrong. Each trouble strikes the next `times` requests that reach the point
 * where it shows; what strikes "after run" has run the request.
 */
export type TroubleKind =
  /** Turned away, with the word that it did not run: 503 and 429. */
  | 'full'
  | 'busy'
  /** After run, before the head: the connection is reset, closed, or nothing comes. */
  | 'reset'
  | 'closed'
  | 'silent'
  /** After run: 500; 503 without the word that it did not run; bytes that are no answer. */
  | 'failure'
  | 'unmarked-full'
  | 'garbled'
  /** A whole answer that should not be taken: under another id, without seal, encoded, without a told end. */
  | 'foreign'
  | 'unsealed'
  | 'encoded'
  | 'unframed'
  /** In the middle: the connection ends, is reset, goes silent, or carries bytes that are no chunk. */
  | 'cut'
  | 'cut-reset'
  | 'stalled'
  | 'garbled-midway'
  /** A stream ends within an event; or behind its last one, without its end. */
  | 'cut-inside'
  | 'cut-end'
  /** The answer a second time, at once or in the place of the next one on the connection; or a refusal there. */
  | 'surplus'
  | 'late'
  | 'late-refusal'
  /** A stream taken up at the wrong place: from its beginning, one event too late, one event again. */
  | 'anew'
  | 'skips'
  | 'repeats';

/** The troubles that a stand-in engine was told to make. */
export class Troubles {
  private readonly told = new Map<TroubleKind, number>();
  /** Events (or, for one body, quarters) that come before a trouble in the middle. */
  after = 2;

  tell(kind: TroubleKind, times = Infinity): void {
    this.told.set(kind, times);
  }

  clear(): void {
    this.told.clear();
  }

  /** The first of these troubles that is due, if any; it counts as having struck. */
  strikes<K extends TroubleKind>(...kinds: readonly K[]): K | undefined {
    const kind = kinds.find((each) => (this.told.get(each) ?? 0) > 0);
    if (kind) this.told.set(kind, this.told.get(kind)! - 1);
    return kind;
  }
}
