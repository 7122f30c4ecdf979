/**
 * Logs: one line of key=value pairs for each event, through `debug` to standard error. Values are quoted when they
 * hold blanks; prompt text and keys are never handed in. The DEBUG variable narrows or silences them as usual.
 */
import debug from 'debug';
import { format } from 'node:util';

/** The fields of a log line; one whose value is undefined is left out. */
export type Fields = ReadonlyArray<readonly [string, string | number | boolean | undefined]>;

/** Writes one line: an event's name and its fields. */
export type Log = (event: string, fields?: Fields) => void;

const quoted = (value: string | number | boolean): string => {
  const text = String(value).slice(0, 400);
  return /^[\w.:/+@-]+$/.test(text) ? text : JSON.stringify(text);
};

/** Opens the log of a node, which writes key=value lines. */
export const openLog = (node: string): Log => {
  if (!process.env['DEBUG']) debug.enable('rudderridge:*');
  const print = debug('rudderridge:event');
  print.log = (...args: unknown[]): void => void process.stderr.write(`${format(...args)}\n`);
  (debug as unknown as { formatArgs: (args: unknown[]) => void }).formatArgs = (): void =>
    undefined;
  return (event, fields = []) => {
    const pairs = fields.flatMap(([key, value]) =>
      value === undefined ? [] : [`${key}=${quoted(value)}`],
    );
    print(
      '%s',
      [`at=${new Date().toISOString()}`, `node=${quoted(node)}`, `event=${event}`, ...pairs].join(
        ' ',
      ),
    );
  };
};

/** A log that writes nothing. */
export const silentLog: Log = () => undefined;
