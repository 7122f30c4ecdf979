/**
 * Logs: one line of key=value pairs for each event, through `debug` to standard error. Values are quoted when they
 * hold blanks; prompt text and keys are never handed in. The DEBUG variable narrows or
 * silences them as usual; `DEBUG=rudderridge:*` shows the steps of each change too.
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

/**
 * Steps that every node takes for each change. They are written at the level `detail`, which is off unless DEBUG asks for
 * it: hundreds of changes would fill the log, and each line costs a write. The tracer remembers them at any level.
 */
const DETAILS: ReadonlySet<string> = new Set([
  'promised',
  'accepted',
  'committed',
  'fed',
  'reported',
]);

/** Events of every change that are written once in a while; the one written tells how far the node is. */
const SPARSE: ReadonlySet<string> = new Set(['in-force']);
const SPARSE_EVERY = 1000;

const openLevel = (level: 'event' | 'detail'): debug.Debugger => {
  const print = debug(`rudderridge:${level}`);
  print.log = (...args: unknown[]): void => void process.stderr.write(`${format(...args)}\n`);
  return print;
};

/** Opens the log of a node, which writes key=value lines. */
export const openLog = (node: string): Log => {
  if (!process.env['DEBUG']) debug.enable('rudderridge:event');
  const events = openLevel('event');
  const details = openLevel('detail');
  (debug as unknown as { formatArgs: (args: unknown[]) => void }).formatArgs = (): void =>
    undefined;
  const written = new Map<string, number>();
  const isTooSoon = (event: string): boolean => {
    if (!SPARSE.has(event) || details.enabled) return false;
    const now = performance.now();
    if (now - (written.get(event) ?? -Infinity) < SPARSE_EVERY) return true;
    written.set(event, now);
    return false;
  };
  return (event, fields = []) => {
    const print = DETAILS.has(event) ? details : events;
    if (!print.enabled || isTooSoon(event)) return;
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
