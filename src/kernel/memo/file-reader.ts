/** Reads a file again and again, and works on its text only when that has changed. */
import { readFile } from 'node:fs/promises';
import { attempt, type Outcome } from '../fault/fault.js';
import { lastResult } from './last-result.js';

/** Reads a file and gives what was made of its text; a failure to read is told as one of `step`. */
export const fileReader = <T>(
  step: string,
  file: string,
  make: (text: string) => Promise<Outcome<T>>,
): (() => Promise<Outcome<T>>) => {
  const makeOnce = lastResult(make);
  return async () => {
    const text = await attempt(step, file, () => readFile(file, 'utf8'));
    return text.isLeft() ? text : makeOnce(text.extract() as string);
  };
};
