/** Reads params from a JSON or YAML file and lays flags over them; flags win. */
import { readFile } from 'node:fs/promises';
import { parse } from 'yaml';
import { attempt, type Outcome } from '../kernel/fault/fault.js';
import { checkParams, type Params } from './shape.js';

/** Reads the params of a node; flags win over the file. */
export const readParams = async (
  file: string | undefined,
  flags: unknown,
): Promise<Outcome<Params>> => {
  if (!file) return checkParams(flags);
  const held = await attempt(
    'params.read',
    file,
    async () => (parse(await readFile(file, 'utf8')) ?? {}) as unknown,
  );
  return held.chain((value) => checkParams(value, flags));
};

/** Whose key a caller or operator showed: SHA-256 of the key to the firm's name. */
export const keyTable = (
  params: Params,
  kind: 'callerKeys' | 'operatorKeys',
): Map<string, string> =>
  new Map(params.firms.flatMap((firm) => firm[kind].map((hash) => [hash, firm.name] as const)));
