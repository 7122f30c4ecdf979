/**
 * The client of the operator calls, typed from the schema file alone: a call's name gives what is asked and replied.
 * Our own operator commands use it, and so may others. A type check fails when it is out of step with the schema.
 */
import createClient from 'openapi-fetch';
import { Right } from 'purify-ts';
import type { paths } from '../api/generated.js';
import { attempt, failed, type Outcome } from '../kernel/fault/fault.js';

type Json<T> = T extends { content: { 'application/json': infer V } } ? V : never;
type Named<P> = P extends `/rpc/${infer N}` ? N : never;

/** The name of an operator call. */
export type CallName = Named<keyof paths>;

/** What a call is asked with. */
export type Ask<N extends CallName> = Json<paths[`/rpc/${N}`]['post']['requestBody']>;

/** What a call replies. */
export type Reply<N extends CallName> = Json<paths[`/rpc/${N}`]['post']['responses'][200]>;

/** The node that is asked, and the operator's key. */
export interface Target {
  readonly node: string;
  readonly key: string;
}

interface Told {
  readonly step?: string;
  readonly peer?: string;
  readonly reason?: string;
  readonly outcome?: string;
}

/** Calls a node as an operator. */
export const operate = async <N extends CallName>(
  { node, key }: Target,
  call: N,
  body: Ask<N>,
  limit = 65_000,
): Promise<Outcome<Reply<N>>> => {
  const client = createClient<paths>({
    baseUrl: `http://${node}`,
    headers: { 'x-operator-key': key },
  });
  const got = await attempt(
    call,
    node,
    () =>
      client.POST(
        `/rpc/${call}` as never,
        { body, signal: AbortSignal.timeout(limit) } as never,
      ) as unknown as Promise<{ data?: Reply<N>; error?: Told; response: { status: number } }>,
    'unknown',
  );
  return got.chain(({ data, error, response }) => {
    if (data !== undefined) return Right(data);
    return failed(
      error?.step ?? call,
      error?.peer ?? node,
      error?.reason ?? `status ${response.status}`,
      error?.outcome === 'declined' ? 'declined' : 'unknown',
    );
  });
};
