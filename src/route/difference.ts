/** What differs between two lists whose items are never changed in place, as those of revisions that follow each other. */

/** The parts of two lists that differ. */
export interface Difference<T> {
  readonly before: readonly T[];
  readonly after: readonly T[];
}

/** Leaves out what two lists begin and end with alike; items are the same only where they are the same object. */
export const differenceOf = <T>(before: readonly T[], after: readonly T[]): Difference<T> => {
  if (before === after) return { before: [], after: [] };
  const least = Math.min(before.length, after.length);
  let from = 0;
  while (from < least && before[from] === after[from]) from++;
  let alike = 0;
  while (
    alike < least - from &&
    before[before.length - 1 - alike] === after[after.length - 1 - alike]
  )
    alike++;
  return {
    before: before.slice(from, before.length - alike),
    after: after.slice(from, after.length - alike),
  };
};
