/** What the answers of a whole history say of each request, whichever of its calls got them. */
import type { Call, ChangeCall, ChangeRequest } from './call.js';

/** One request with all the calls that carried it. */
export interface RequestFate {
  readonly request: ChangeRequest;
  readonly firstStart: number;
  readonly acknowledged: readonly ChangeCall[];
  readonly refused: readonly ChangeCall[];
}

const isRefusal = ({ answer }: ChangeCall): boolean =>
  answer === 'conflict' || answer === 'invalid';

const fateOf = (calls: readonly ChangeCall[]): RequestFate => ({
  request: calls[0]!.request,
  firstStart: Math.min(...calls.map(({ start }) => start)),
  acknowledged: calls.filter(({ answer }) => answer === 'acknowledged'),
  refused: calls.filter(isRefusal),
});

export const fatesOf = (history: readonly Call[]): readonly RequestFate[] => {
  const byRequest = new Map<string, ChangeCall[]>();
  for (const call of history) {
    if (call.kind !== 'change') continue;
    const calls = byRequest.get(call.request.id);
    if (calls) calls.push(call);
    else byRequest.set(call.request.id, [call]);
  }
  return [...byRequest.values()].map(fateOf);
};
