/**
 * What must hold of a history beyond linearizability, since a request is more than one call: at most one request is
 * acknowledged on top of each version; one that was acknowledged is never refused, whenever it is repeated, and one
 * that was refused is never in force; what is invalid is never acknowledged, and what is valid is never called invalid.
 */
import { describeCall, fingerprint, type Call, type ReadCall } from './call.js';
import { fatesOf, type RequestFate } from './requests.js';

export type ViolationKind =
  | 'two-winners'
  | 'refused-repeat'
  | 'refused-in-force'
  | 'invalid-acknowledged'
  | 'valid-called-invalid'
  | 'content-never-sent'
  | 'stale-read'
  | 'not-linearizable';

export interface Violation {
  readonly kind: ViolationKind;
  readonly explanation: string;
}

const violation = (kind: ViolationKind, calls: readonly Call[]): Violation => ({
  kind,
  explanation: calls.map(describeCall).join('; '),
});

const twoWinners = (fates: readonly RequestFate[]): Violation[] => {
  const winners = new Map<number, RequestFate>();
  const found: Violation[] = [];
  for (const fate of fates) {
    if (fate.acknowledged.length === 0) continue;
    const other = winners.get(fate.request.expects);
    if (other)
      found.push(violation('two-winners', [other.acknowledged[0]!, fate.acknowledged[0]!]));
    else winners.set(fate.request.expects, fate);
  }
  return found;
};

const contradictions = ({ acknowledged, refused }: RequestFate): Violation[] => {
  const [taken] = acknowledged;
  const [declined] = refused;
  if (!taken || !declined) return [];
  const kind = declined.end <= taken.start ? 'refused-in-force' : 'refused-repeat';
  return [violation(kind, [taken, declined])];
};

const misjudged = ({ request, acknowledged, refused }: RequestFate): Violation[] => {
  if (!request.valid)
    return acknowledged.slice(0, 1).map((call) => violation('invalid-acknowledged', [call]));
  return refused
    .filter(({ answer }) => answer === 'invalid')
    .slice(0, 1)
    .map((call) => violation('valid-called-invalid', [call]));
};

/** Whether a request can have made what was read; of a patch only its number is known without what it built on. */
const mayHaveMade = ({ request }: RequestFate, version: number, content: string): boolean =>
  request.version === version &&
  (request.kind === 'patch' || fingerprint(request.content) === content);

const unexplained = (read: ReadCall, fates: readonly RequestFate[]): Violation[] => {
  if (read.answer.kind !== 'found') return [];
  const { version } = read.answer;
  const content = fingerprint(read.answer.content);
  const makers = fates.filter((fate) => mayHaveMade(fate, version, content));
  if (makers.length === 0) return [violation('content-never-sent', [read])];
  const refusals = makers.map(({ refused }) => refused[0]).filter((call) => call !== undefined);
  if (refusals.length < makers.length) return [];
  return [violation('refused-in-force', [read, ...refusals])];
};

interface KnownVersion {
  readonly call: Call;
  readonly version: number;
}

/** The version that an answer showed to be in force, or to have been so. */
const shownBy = (call: Call): number | undefined => {
  if (call.kind === 'change')
    return call.answer === 'acknowledged' ? call.request.version : undefined;
  if (call.answer.kind === 'unclear') return undefined;
  return call.answer.kind === 'found' ? call.answer.version : 0;
};

const isKnown = (known: { call: Call; version: number | undefined }): known is KnownVersion =>
  known.version !== undefined;

/** Reads that show an older version than one acknowledged, or read, before they began. */
const staleReads = (history: readonly Call[]): Violation[] => {
  const known = history.map((call) => ({ call, version: shownBy(call) })).filter(isKnown);
  return known
    .filter(({ call }) => call.kind === 'read')
    .flatMap(({ call: read, version: shown }) => {
      const newer = known.find(({ call, version }) => call.end < read.start && version > shown);
      return newer ? [violation('stale-read', [newer.call, read])] : [];
    });
};

export const brokenRules = (history: readonly Call[]): Violation[] => {
  const fates = fatesOf(history);
  return [
    ...twoWinners(fates),
    ...fates.flatMap(contradictions),
    ...fates.flatMap(misjudged),
    ...history.flatMap((call) => (call.kind === 'read' ? unexplained(call, fates) : [])),
    ...staleReads(history),
  ];
};
