/**
 * Cuts a stream of bytes into whole server-sent events, each with its id where it has one, so that a broken stream can
 * go on elsewhere behind the last event that was handed on whole.
 */
const LF = 10;
const CR = 13;
const BOUND = 1024 * 1024;

export interface WholeEvent {
  readonly raw: Uint8Array;
  readonly id: string | undefined;
}

export class EventCutter {
  private held: Buffer = Buffer.alloc(0);

  /** The events that are whole now; undefined when one grows over the bound of 1 MiB. */
  push(chunk: Uint8Array): WholeEvent[] | undefined {
    this.held = this.held.length
      ? Buffer.concat([this.held, chunk])
      : Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
    const events: WholeEvent[] = [];
    let start = 0;
    for (let end = this.blank(start); end > 0; end = this.blank(start)) {
      const raw = this.held.subarray(start, end);
      events.push({ raw, id: idOf(raw) });
      start = end;
    }
    this.held = this.held.subarray(start);
    return this.held.length > BOUND ? undefined : events;
  }

  /** Bytes of an event that is not whole yet. */
  get rest(): Uint8Array {
    return this.held;
  }

  /** The end of the blank line that follows `from`, or 0. */
  private blank(from: number): number {
    for (let at = this.held.indexOf(LF, from); at >= 0; at = this.held.indexOf(LF, at + 1)) {
      if (this.held[at + 1] === LF) return at + 2;
      if (this.held[at + 1] === CR && this.held[at + 2] === LF) return at + 3;
    }
    return 0;
  }
}

const idOf = (raw: Buffer): string | undefined =>
  /(?:^|\n)id:[ ]?([^\r\n]*)/.exec(raw.toString('latin1'))?.[1];
