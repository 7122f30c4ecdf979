/** Keys of callers and operators, known only by their hashes; swapped whole on reload. */
import { digestOf } from '../register/hash.js';
import type { Params } from '../params/shape.js';
import { keyTable } from '../params/read.js';

/** The keys of callers and operators, by their hashes. */
export class Keys {
  private callers: ReadonlyMap<string, string>;
  private operators: ReadonlyMap<string, string>;

  constructor(params: Params) {
    this.callers = keyTable(params, 'callerKeys');
    this.operators = keyTable(params, 'operatorKeys');
  }

  reload(params: Params): void {
    this.callers = keyTable(params, 'callerKeys');
    this.operators = keyTable(params, 'operatorKeys');
  }

  caller(key: string): string | undefined {
    return this.callers.get(digestOf(key));
  }

  /** The operator's firm, and a short name for the key that is fit to be kept in the history. */
  operator(key: string): { firm: string; who: string } | undefined {
    const hash = digestOf(key);
    const firm = this.operators.get(hash);
    return firm === undefined ? undefined : { firm, who: `${firm}/${hash.slice(0, 8)}` };
  }
}
