/** How operator commands end. Exit codes: 0 done, 2 bad use, 3 declined or lost, 4 unknown. */
import type { Fault, Outcome } from '../kernel/fault/fault.js';

const EXIT_DONE = 0;
const EXIT_BAD_USE = 2;
const EXIT_DECLINED = 3;
const EXIT_UNKNOWN = 4;

/** The exit code for each outcome of a change. */
const exitCodes: ReadonlyMap<string, number> = new Map([
  ['accepted', EXIT_DONE],
  ['declined', EXIT_DECLINED],
  ['lost', EXIT_DECLINED],
  ['conflict', EXIT_DECLINED],
  ['invalid', EXIT_DECLINED],
  ['unknown', EXIT_UNKNOWN],
]);

/** Prints a value as JSON. */
export const printJson = (value: unknown): void => {
  process.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
};

/** Prints an outcome and sets the exit code. */
export const finish = (outcome: Outcome<unknown>): void => {
  outcome.caseOf({
    Right: (value) => {
      printJson(value);
      const told = (value as { outcome?: string } | undefined)?.outcome;
      if (told !== undefined) process.exitCode = exitCodes.get(told) ?? EXIT_DONE;
    },
    Left: ({ step, peer, reason, certainty }: Fault) => {
      process.stderr.write(`${certainty} step=${step} peer=${peer}: ${reason}\n`);
      process.exitCode = certainty === 'declined' ? EXIT_DECLINED : EXIT_UNKNOWN;
    },
  });
};

/** Prints the fault of an input that can't be used, and sets the exit code for bad use. */
export const finishBadUse = (fault: Outcome<unknown>): void => {
  finish(fault);
  process.exitCode = EXIT_BAD_USE;
};
