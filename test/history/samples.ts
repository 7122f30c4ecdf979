/** Short ways to write down calls and requests for the tests of the history checker. */
import type {
  Call,
  ChangeAnswer,
  ChangeRequest,
  Content,
  PatchRequest,
  ReadAnswer,
  ReplaceRequest,
} from '../../src/history/call.js';

export const contentOf = (...items: readonly string[]): Content =>
  new Map(items.map((item) => [item, item]));

export const replaceRequest = (
  version: number,
  expects: number,
  item = `item-${version}`,
  valid = true,
): ReplaceRequest => ({
  kind: 'replace',
  id: `replace-${version}-${expects}-${item}`,
  version,
  expects,
  valid,
  content: contentOf(item),
});

export const patchRequest = (version: number, expects: number, item: string): PatchRequest => ({
  kind: 'patch',
  id: `patch-${version}-${expects}-${item}`,
  version,
  expects,
  valid: true,
  set: contentOf(item),
  remove: [],
});

export type Span = readonly [start: number, end: number];

/** A history whose calls are numbered as they are written down. */
export class HistoryWriter {
  readonly calls: Call[] = [];

  change([start, end]: Span, request: ChangeRequest, answer: ChangeAnswer): this {
    this.calls.push({
      kind: 'change',
      number: this.calls.length,
      node: 'n',
      start,
      end,
      request,
      answer,
    });
    return this;
  }

  read([start, end]: Span, version: number, ...items: readonly string[]): this {
    const found: ReadAnswer = { kind: 'found', version, content: contentOf(...items) };
    return this.answerRead([start, end], version === 0 ? { kind: 'absent' } : found);
  }

  answerRead([start, end]: Span, answer: ReadAnswer): this {
    this.calls.push({ kind: 'read', number: this.calls.length, node: 'n', start, end, answer });
    return this;
  }
}
