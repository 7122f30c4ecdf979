/** Reads the JSON and YAML files that operators hand to commands. */
import { readFile } from 'node:fs/promises';
import { parse } from 'yaml';
import { attempt, type Outcome } from '../kernel/fault/fault.js';

/** Reads a file; what it holds has not been checked against the type. */
export const readDocument = <T>(step: string, path: string): Promise<Outcome<T>> =>
  attempt(step, path, async () => parse(await readFile(path, 'utf8')) as T);
