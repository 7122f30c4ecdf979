/**
 * Whole server-sent events out of a byte stream. An event is handed on only once its closing blank line was read; one
 * that outgrows the bound, and bytes left over at the end, are faults.
 */
import { failed, type Outcome } from '../kernel/fault/fault.js';
import { Right } from 'purify-ts';

const EVENT_BOUND = 1024 * 1024;

/** One server-sent event, as it came and by its data alone. */
export interface SseEvent {
  readonly raw: string;
  readonly data: string;
}

/** Cuts a byte stream into whole events. */
export class SseReader {
  private pending = '';
  private readonly decoder = new TextDecoder('utf-8', { fatal: true });

  push(bytes: Uint8Array, peer: string): Outcome<SseEvent[]> {
    try {
      this.pending += this.decoder.decode(bytes, { stream: true });
    } catch {
      return failed('stream.decode', peer, 'not UTF-8', 'unknown');
    }
    const events: SseEvent[] = [];
    for (let end = /\r?\n\r?\n/.exec(this.pending); end; end = /\r?\n\r?\n/.exec(this.pending)) {
      const raw = this.pending.slice(0, end.index);
      this.pending = this.pending.slice(end.index + end[0].length);
      const data = raw
        .split(/\r?\n/)
        .filter((line) => line.startsWith('data:'))
        .map((line) => line.slice(5).replace(/^ /, ''))
        .join('\n');
      if (data) events.push({ raw: `${raw}\n\n`, data });
    }
    if (this.pending.length > EVENT_BOUND)
      return failed('stream.decode', peer, 'an event outgrew its bound', 'unknown');
    return Right(events);
  }

  get empty(): boolean {
    return this.pending.trim() === '';
  }
}
