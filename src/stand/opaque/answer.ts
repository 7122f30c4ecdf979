/**
 * Reads what comes back on one connection as a suspicious caller would: whole answers in order, the one under way, and
 * whether bytes came that are no answer. It is made apart from the HTTP libraries that the program uses.
 */
export interface ReadAnswer {
  readonly status: number;
  readonly fields: ReadonlyMap<string, string>;
  body: Buffer;
  complete: boolean;
}

const HEAD_END = '\r\n\r\n';

/** Reads the answers on one connection. */
export class AnswerReader {
  readonly answers: ReadAnswer[] = [];
  malformed = '';
  private pending: Buffer = Buffer.alloc(0);
  private current: ReadAnswer | undefined;
  private framing: 'length' | 'chunked' | 'close' | 'none' = 'none';
  private left = 0;

  constructor(private readonly method = 'GET') {}

  /** Bytes that came behind the last whole answer. */
  get rest(): number {
    return this.current ? 0 : this.pending.length;
  }

  push(chunk: Buffer): void {
    this.pending = this.pending.length ? Buffer.concat([this.pending, chunk]) : chunk;
    while (!this.malformed && this.step());
  }

  /** The connection closed. */
  end(): void {
    if (this.current && this.framing === 'close') this.finish();
  }

  private step(): boolean {
    if (!this.current) return this.head();
    if (this.framing === 'chunked') return this.chunk();
    const piece = this.framing === 'close' ? this.pending : this.pending.subarray(0, this.left);
    this.take(piece.length, piece);
    this.left -= piece.length;
    if (this.framing === 'length' && this.left === 0) this.finish();
    return this.pending.length > 0 && piece.length > 0;
  }

  private head(): boolean {
    const end = this.pending.indexOf(HEAD_END);
    const begin = this.pending.subarray(0, 9).toString('latin1');
    if (!'HTTP/1.1 '.startsWith(begin)) return this.bad(`no answer: ${JSON.stringify(begin)}`);
    if (end < 0) return false;
    const [first = '', ...lines] = this.pending.subarray(0, end).toString('latin1').split('\r\n');
    const status = Number(/^HTTP\/1\.1 (\d{3})(?: |$)/.exec(first)?.[1]);
    if (!status) return this.bad(`no status: ${first}`);
    const fields = new Map<string, string>();
    for (const line of lines) {
      const [, name, value] = /^([^\s:]+):[ \t]*(.*?)[ \t]*$/.exec(line) ?? [];
      if (name === undefined) return this.bad(`no field: ${JSON.stringify(line)}`);
      const lower = name.toLowerCase();
      fields.set(lower, fields.has(lower) ? `${fields.get(lower)!}, ${value!}` : value!);
    }
    this.pending = this.pending.subarray(end + HEAD_END.length);
    if (status < 200) return true;
    this.current = { status, fields, body: Buffer.alloc(0), complete: false };
    this.answers.push(this.current);
    const length = fields.get('content-length');
    const coding = fields.get('transfer-encoding');
    if (length !== undefined && coding !== undefined) return this.bad('both a length and a coding');
    this.framing =
      this.method === 'HEAD' || status === 204 || status === 304
        ? 'none'
        : coding !== undefined
          ? 'chunked'
          : length !== undefined
            ? 'length'
            : 'close';
    this.left = Number(length ?? 0);
    if (this.framing === 'none' || (this.framing === 'length' && this.left === 0)) this.finish();
    return true;
  }

  private chunk(): boolean {
    const end = this.pending.indexOf('\r\n');
    if (end < 0) return this.pending.length > 64 ? this.bad('no size of a chunk') : false;
    const told = /^([0-9a-fA-F]+)(?:;.*)?$/.exec(this.pending.subarray(0, end).toString('latin1'));
    if (!told) return this.bad('no size of a chunk');
    const size = parseInt(told[1]!, 16);
    const whole = end + 2 + size + 2;
    if (this.pending.length < whole) return false;
    if (this.pending.subarray(whole - 2, whole).toString('latin1') !== '\r\n')
      return this.bad('no end of a chunk');
    this.take(whole, this.pending.subarray(end + 2, whole - 2));
    if (size === 0) this.finish();
    return true;
  }

  private take(count: number, piece: Buffer): void {
    if (piece.length) this.current!.body = Buffer.concat([this.current!.body, piece]);
    this.pending = this.pending.subarray(count);
  }

  private finish(): void {
    this.current!.complete = true;
    this.current = undefined;
  }

  private bad(reason: string): false {
    this.malformed = reason;
    return false;
  }
}
