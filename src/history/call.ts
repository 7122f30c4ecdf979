/**
 * Calls on the configuration as a client saw them: what was asked of which node, when the call began and ended, and
 * what was answered. A call without a clear answer has no end that binds it: it may take effect at any time after its
 * start, or never.
 */

/** The named items of a configuration, each with its value as text. */
export type Content = ReadonlyMap<string, string>;

interface VersionedRequest {
  /** Calls that carry the very same request have the same id; other requests have others. */
  readonly id: string;
  readonly version: number;
  /** The version that the request builds on; 0 for the first. */
  readonly expects: number;
  /** Whether the request may be applied on top of the version that it builds on. */
  readonly valid: boolean;
}

/** Puts a whole configuration in place. */
export interface ReplaceRequest extends VersionedRequest {
  readonly kind: 'replace';
  readonly content: Content;
}

/** Alters named items of the configuration in place. */
export interface PatchRequest extends VersionedRequest {
  readonly kind: 'patch';
  readonly set: Content;
  readonly remove: readonly string[];
}

export type ChangeRequest = ReplaceRequest | PatchRequest;

/** `unclear` stands for a lost answer, for silence, and for an answer that leaves open what became of the call. */
export type ChangeAnswer = 'acknowledged' | 'conflict' | 'invalid' | 'unclear';

export type ReadAnswer =
  | { readonly kind: 'found'; readonly version: number; readonly content: Content }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unclear' };

interface Timed {
  readonly number: number;
  readonly node: string;
  readonly start: number;
  /** Infinity while there is no answer. */
  readonly end: number;
}

export interface ChangeCall extends Timed {
  readonly kind: 'change';
  readonly request: ChangeRequest;
  readonly answer: ChangeAnswer;
}

export interface ReadCall extends Timed {
  readonly kind: 'read';
  readonly answer: ReadAnswer;
}

export type Call = ChangeCall | ReadCall;

/** The content that a request makes of the one in place. */
export const applyRequest = (before: Content, request: ChangeRequest): Content => {
  if (request.kind === 'replace') return request.content;
  const after = new Map(before);
  for (const name of request.remove) after.delete(name);
  for (const [name, value] of request.set) after.set(name, value);
  return after;
};

/** One text for equal contents, whatever the order of their items. */
export const fingerprint = (content: Content): string =>
  JSON.stringify([...content].sort(([first], [second]) => (first < second ? -1 : 1)));

const describeRequest = ({ kind, id, version, expects, valid }: ChangeRequest): string =>
  `${kind} ${id}: version ${version} on ${expects}${valid ? '' : ', invalid'}`;

const describeAnswer = ({ answer }: ReadCall): string =>
  answer.kind === 'found' ? `version ${answer.version}` : answer.kind;

/** A call in one line, for people. */
export const describeCall = (call: Call): string => {
  const span = `#${call.number} at ${call.node}, ${call.start.toFixed(0)} to ${call.end.toFixed(0)}`;
  return call.kind === 'change'
    ? `${span}: ${describeRequest(call.request)}: ${call.answer}`
    : `${span}: read: ${describeAnswer(call)}`;
};
