/**
 * The judge: compares what callers were told with what engines know they ran. Each finding names a line of what must
 * never happen. It is given plain records and believes neither side's conclusions, only their facts.
 */
import type { CallerRecord } from '../caller/caller.js';
import type { RunRecord } from '../engine/engine.js';

/** What must never happen. */
export type Breach =
  | 'ran-twice'
  | 'declined-but-ran'
  | 'partial-as-complete'
  | 'foreign-text'
  | 'spliced'
  | 'disallowed-engine'
  | 'after-leaving'
  | 'retry-share'
  | 'overreach';

/** A breach that was found. */
export interface Finding {
  readonly breach: Breach;
  readonly request: string;
  readonly detail: string;
}

/** The records that are judged. */
export interface Evidence {
  readonly callers: readonly CallerRecord[];
  readonly runs: readonly RunRecord[];
  /** Whether a request's doorway allows that its stream goes on elsewhere. */
  readonly resumes: (request: string) => boolean;
  readonly allowed: (request: string, engine: string) => boolean;
  /** When each engine was marked as leaving, wall time of this machine. */
  readonly left: ReadonlyMap<string, number>;
  readonly overreach: number;
}

/** For how long after it was marked as leaving an engine may still get requests, in ms. */
export const LEAVE_GRACE = 3000;

/** Compares what callers were answered with what engines ran. */
export const judge = ({
  callers,
  runs,
  resumes,
  allowed,
  left,
  overreach,
}: Evidence): Finding[] => {
  const findings: Finding[] = [];
  const find = (breach: Breach, request: string, detail: string): void =>
    void findings.push({ breach, request, detail });
  const byRequest = new Map<string, RunRecord[]>();
  for (const run of runs) byRequest.set(run.request, [...(byRequest.get(run.request) ?? []), run]);
  for (const run of runs) {
    if (!allowed(run.request, run.engine)) find('disallowed-engine', run.request, run.engine);
    const since = left.get(run.engine);
    if (since !== undefined && run.at > since + LEAVE_GRACE)
      find('after-leaving', run.request, `${run.engine} ${run.at - since} ms after`);
  }
  let extra = 0;
  for (const call of callers) {
    const its = byRequest.get(call.id) ?? [];
    /** A run that goes on from another must go on from words which that other one made. */
    const sound = its.filter(
      ({ continues }) =>
        continues === '' ||
        (resumes(call.id) &&
          its.some(({ text, continues: before }) => before === '' && text.startsWith(continues))),
    );
    if (sound.length < its.length)
      find('spliced', call.id, 'went on where it may not, or from words that no engine made');
    extra += Math.max(0, its.length - 1);
    if (!call.repeatable && its.length > 1)
      find('ran-twice', call.id, its.map(({ engine }) => engine).join(' '));
    if (call.outcome === 'declined' && its.length > 0)
      find('declined-but-ran', call.id, call.reason);
    if (call.outcome === 'result') {
      const done = sound
        .filter(({ ended }) => ended === 'done')
        .map(({ continues, text }) => continues + text);
      if (done.includes(call.text)) continue;
      if (done.some((text) => text.startsWith(call.text)))
        find('partial-as-complete', call.id, `${call.text.length} characters`);
      else find('foreign-text', call.id, call.text.slice(0, 40));
    } else if (
      call.text &&
      !sound.some(({ continues, text }) => (continues + text).startsWith(call.text))
    )
      find('spliced', call.id, call.text.slice(0, 40));
  }
  if (extra > callers.length * 0.05) find('retry-share', '', `${extra} of ${callers.length}`);
  if (overreach > 0) find('overreach', '', `${overreach} claims`);
  return findings;
};
