/**
 * The pieces of a result: what one event of an engine holds, the blocks that decoded text makes for the index, and the
 * piece of a resumed stream under the name it began with.
 */
import { blocksOf, type Block } from '../index/hash.js';
import type { SseEvent } from './sse.js';

/** What the index learns from a result as it comes. */
export interface Notes {
  prompt(): void;
  decoded(blocks: readonly Block[], parent: string | undefined, depth: number): void;
  cached(tokens: number): void;
}

/** Cuts the decoded text into further blocks; a block counts once something follows it. */
export class Decoding {
  private pending: Buffer;
  private last: string;
  private depth: number;

  constructor(
    prompt: Uint8Array,
    blocks: readonly Block[],
    private readonly size: number,
    root: string,
    private readonly note: Notes,
  ) {
    this.pending = Buffer.from(prompt.subarray(blocks.length * size));
    this.last = blocks[blocks.length - 1]?.external ?? root;
    this.depth = blocks.length;
  }

  push(content: string): void {
    if (!content) return;
    this.pending = Buffer.concat([this.pending, Buffer.from(content, 'utf8')]);
    const whole = Math.floor((this.pending.length - 1) / this.size);
    if (whole < 1) return;
    const blocks = blocksOf(this.pending.subarray(0, whole * this.size), this.size, this.last);
    this.pending = this.pending.subarray(whole * this.size);
    this.note.decoded(blocks, this.depth === 0 ? undefined : this.last, this.depth);
    this.last = blocks.at(-1)?.external ?? this.last;
    this.depth += blocks.length;
  }
}

/** A piece of the rest, under the name the stream began with. */
export const renamed = (event: SseEvent, id: string, content: string): SseEvent => {
  const piece = JSON.parse(event.data) as {
    id: string;
    choices?: Array<{ delta?: { content?: string } }>;
  };
  const delta = piece.choices?.[0]?.delta;
  if (delta?.content !== undefined) delta.content = content;
  const data = JSON.stringify({ ...piece, id });
  return { data, raw: `data: ${data}\n\n` };
};

interface Chunk {
  readonly id: string;
  readonly plain: boolean;
  readonly content: string;
  readonly finished: boolean;
  readonly cached: number | undefined;
}

/** Reads one event of a stream; undefined where it is not of the published format. */
export const readChunk = (data: string): Chunk | undefined => {
  try {
    const raw = JSON.parse(data) as {
      id?: unknown;
      choices?: Array<{ delta?: { content?: unknown }; finish_reason?: unknown }>;
      usage?: { prompt_tokens_details?: { cached_tokens?: unknown } };
    };
    if (typeof raw.id !== 'string') return undefined;
    const first = raw.choices?.[0];
    const content = typeof first?.delta?.content === 'string' ? first.delta.content : '';
    const cached = raw.usage?.prompt_tokens_details?.cached_tokens;
    const plain = Object.keys(first?.delta ?? {}).every(
      (key) => key === 'role' || key === 'content',
    );
    return {
      id: raw.id,
      plain,
      content,
      finished: typeof first?.finish_reason === 'string',
      cached: typeof cached === 'number' ? cached : undefined,
    };
  } catch {
    return undefined;
  }
};
