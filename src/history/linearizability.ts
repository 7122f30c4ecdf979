/**
 * Whether a history of calls on the configuration is linearizable: whether some order of the calls, in which each comes
 * between its start and its end, is one that a single register of versions could have given.
 *
 * The search is that of Wing and Gong ("Testing and Verifying Concurrent Objects", 1993), with the memory of states
 * already tried that Lowe added ("Testing for Linearizability", 2017), and pruned by what this register allows:
 *  - A call that changes nothing (a read, a refusal, a repeat of what is applied) is taken as soon as it fits; to take
 *    it later could not help.
 *  - A request is applied only on top of the version that it names, and versions only rise. So at each point the one
 *    choice is which request comes next, and where one of those that build on the present version is acknowledged
 *    anywhere in the history, there is none.
 *  - A request without a clear answer may be applied at any time after its first start, or never; one that was refused
 *    is never applied.
 */
import {
  applyRequest,
  describeCall,
  fingerprint,
  type Call,
  type ChangeCall,
  type Content,
  type ReadCall,
} from './call.js';
import { fatesOf, type RequestFate } from './requests.js';

export type Linearizability =
  { readonly linearizable: true } | { readonly linearizable: false; readonly explanation: string };

/** The register between two applied requests. */
interface RegisterState {
  readonly version: number;
  readonly content: Content;
  readonly text: string;
}

const EMPTY: RegisterState = { version: 0, content: new Map(), text: fingerprint(new Map()) };

const isClear = (call: Call): boolean =>
  call.kind === 'change' ? call.answer !== 'unclear' : call.answer.kind !== 'unclear';

/** How far the best attempt got, to explain what could not be placed. */
interface Attempt {
  readonly placed: number;
  readonly state: RegisterState;
  readonly blocked: Call;
}

class Search {
  /** The calls that must be placed, by their start. */
  private readonly calls: readonly Call[];
  private readonly placed: boolean[];
  private readonly applied = new Set<string>();
  private readonly tried = new Set<string>();
  private readonly successors = new Map<number, RequestFate[]>();
  private readonly bases: readonly number[];
  private state = EMPTY;
  private first = 0;
  private count = 0;
  private best: Attempt | undefined;

  constructor(history: readonly Call[]) {
    this.calls = history.filter(isClear).sort((one, other) => one.start - other.start);
    this.placed = this.calls.map(() => false);
    const fates = fatesOf(history).filter(mayApply);
    const winners = fates.filter(({ acknowledged }) => acknowledged.length > 0);
    const pinned = new Set(winners.map(({ request }) => request.expects));
    for (const fate of fates) {
      const { expects } = fate.request;
      if (pinned.has(expects) && fate.acknowledged.length === 0) continue;
      this.successors.set(expects, [...(this.successors.get(expects) ?? []), fate]);
    }
    this.bases = [...pinned].sort((one, other) => one - other);
  }

  run(): Linearizability {
    if (this.explore()) return { linearizable: true };
    const { state, blocked, placed } = this.best!;
    return {
      linearizable: false,
      explanation: `with ${placed} of ${this.calls.length} clear calls in order and version ${state.version} in place, no order has room for ${describeCall(blocked)}`,
    };
  }

  private explore(): boolean {
    const taken = this.takeWhatFits();
    if (this.count === this.calls.length) return true;
    this.noteAttempt();
    const found = this.isNew() && this.applyNext();
    if (!found) this.undo(taken);
    return found;
  }

  private applyNext(): boolean {
    const { state } = this;
    const horizon = this.horizon();
    for (const { request, firstStart } of this.successors.get(state.version) ?? []) {
      if (firstStart > horizon || this.skipsWinner(request.version)) continue;
      const content = applyRequest(state.content, request);
      this.state = { version: request.version, content, text: fingerprint(content) };
      this.applied.add(request.id);
      if (this.explore()) return true;
      this.applied.delete(request.id);
      this.state = state;
    }
    return false;
  }

  /** Whether an acknowledged request builds on a version that would be passed over. */
  private skipsWinner(next: number): boolean {
    return this.bases.some((base) => base > this.state.version && base < next);
  }

  /** Before this moment one of the calls that are left must have its place. */
  private horizon(): number {
    let horizon = Infinity;
    for (let at = this.first; at < this.calls.length; at++) {
      const { start, end } = this.calls[at]!;
      if (start > horizon) break;
      if (!this.placed[at]) horizon = Math.min(horizon, end);
    }
    return horizon;
  }

  private takeWhatFits(): number[] {
    const taken: number[] = [];
    for (let before = -1; before < taken.length;) {
      before = taken.length;
      const horizon = this.horizon();
      for (let at = this.first; at < this.calls.length; at++) {
        const call = this.calls[at]!;
        if (call.start > horizon) break;
        if (this.placed[at] || !this.fits(call)) continue;
        this.placed[at] = true;
        this.count += 1;
        taken.push(at);
      }
      while (this.placed[this.first]) this.first += 1;
    }
    return taken;
  }

  private undo(taken: readonly number[]): void {
    for (const at of taken) this.placed[at] = false;
    this.count -= taken.length;
    this.first = Math.min(this.first, ...taken);
  }

  private fits(call: Call): boolean {
    return call.kind === 'read' ? this.readFits(call) : this.changeFits(call);
  }

  private readFits({ answer }: ReadCall): boolean {
    const { version, text } = this.state;
    if (answer.kind !== 'found') return version === 0;
    return answer.version === version && fingerprint(answer.content) === text;
  }

  private changeFits({ request, answer }: ChangeCall): boolean {
    if (answer === 'acknowledged') return this.applied.has(request.id);
    return !request.valid || this.state.version !== request.expects;
  }

  private isNew(): boolean {
    const beyond: number[] = [];
    for (let at = this.first; at < this.calls.length; at++) if (this.placed[at]) beyond.push(at);
    const key = `${this.first}|${beyond.join(',')}|${this.state.version}|${this.state.text}`;
    if (this.tried.has(key)) return false;
    this.tried.add(key);
    return true;
  }

  private noteAttempt(): void {
    if (this.best && this.best.placed >= this.count) return;
    const left = this.calls.filter((_, at) => !this.placed[at]);
    const blocked = left.reduce((one, other) => (other.end < one.end ? other : one));
    this.best = { placed: this.count, state: this.state, blocked };
  }
}

const mayApply = ({ request, refused }: RequestFate): boolean =>
  request.valid && refused.length === 0 && request.version > request.expects;

export const checkLinearizability = (history: readonly Call[]): Linearizability =>
  new Search(history).run();
