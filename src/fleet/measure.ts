/**
 * Measurements in one run of a fleet: what a router adds against a direct call to the same engine, taken in turn; how
 * long a change takes until it is told accepted, and how many of them; each as count, median and spread.
 */
import { request } from 'undici';
import { callOnce } from '../stand/caller/caller.js';
import { callerKey, type Fleet } from './fleet.js';
import { doorways } from './scenario.js';
import { median } from './traffic.js';

const spread = (values: readonly number[]): object => {
  const round = (value: number): number => Math.round(value * 100) / 100;
  return {
    count: values.length,
    p10: round(median(values, 0.1)),
    p50: round(median(values)),
    p90: round(median(values, 0.9)),
  };
};

const directly = async (engine: string, at: number): Promise<number> => {
  const began = performance.now();
  const reply = await request(`http://${engine}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      'x-request-id': `direct-${at}`,
      'x-caller-request-id': `direct-${at}`,
      'x-firm': 'direct',
    },
    body: JSON.stringify({
      model: 'family',
      messages: [{ role: 'user', content: `direct ${at}` }],
      max_tokens: 2,
    }),
  });
  let first = 0;
  for await (const piece of reply.body) first ||= (piece as Buffer).length ? performance.now() : 0;
  return first - began;
};

/** Measures what a router adds to a direct call of an engine. */
export const measureOverhead = async (fleet: Fleet, count: number): Promise<object> => {
  const direct: number[] = [];
  const routed: number[] = [];
  const engines = [...fleet.engines.values()];
  const routers = [...fleet.callers.values()];
  for (let at = 0; at < count; at++) {
    direct.push(await directly(engines[at % engines.length]!, at));
    const call = await callOnce({
      router: routers[at % routers.length]!,
      key: callerKey('aconcagua'),
      id: `routed-${at}`,
      model: 'family',
      messages: [{ role: 'user', content: `routed ${at}` }],
      maxTokens: 2,
      repeatable: false,
      tag: 'short',
    });
    if (call.outcome === 'result') routed.push(call.firstPiece - call.began);
  }
  return { directMs: spread(direct), routedMs: spread(routed) };
};

/** Measures how long changes take until they are acknowledged. */
export const measureChanges = async (fleet: Fleet, count: number): Promise<object> => {
  const times: number[] = [];
  const nodes = [...fleet.operators.keys()];
  const base = doorways()[0]!;
  let expects = 0;
  for (let at = 0; at < count; at++) {
    const began = performance.now();
    const told = await fleet.setDoorway(
      nodes[at % nodes.length]!,
      { ...base, name: 'measured', match: { tag: 'measured' }, line: 1 + (at % 50) },
      expects,
      `measured-${at}`,
    );
    if (told?.outcome !== 'accepted') continue;
    times.push(performance.now() - began);
    expects = told.revision;
  }
  return { acceptedMs: spread(times) };
};
