/**
 * The shape of a doorway as an operator gives it, checked with runtypes; and the check that a whole set of doorways
 * can be told apart. Matching goes by firm, then tag, path and model: a doorway that names more of the earlier kinds
 * comes first, so that two doorways tie only when they name the very same things, and that is declined here.
 */
import {
  Array as List,
  Boolean as Flag,
  Number as Numeric,
  Object as Shape,
  String as Text,
  type Runtype,
  type Static,
} from 'runtypes';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import { Right } from 'purify-ts';

const Name = Text.withConstraint(
  (name) => /^[a-z0-9][a-z0-9-]{0,62}$/.test(name) || 'expected 1 to 63 of a-z, 0-9 and -',
);
const Brief = Text.withConstraint(
  (value) => (value.length > 0 && value.length <= 200) || 'expected 1 to 200 characters',
);
const Millis = Numeric.withConstraint(
  (n) =>
    (Number.isInteger(n) && n >= 1 && n <= 86_400_000) ||
    'expected whole milliseconds, 1 to 86400000',
);
const Count = Numeric.withConstraint(
  (n) => (Number.isInteger(n) && n >= 1 && n <= 10_000) || 'expected a whole number, 1 to 10000',
);

/** A constraint that leaves the type as it is. */
export const bounded = <T extends Runtype.Core<readonly unknown[]>>(
  shape: T,
  check: (value: readonly unknown[]) => true | string,
): T =>
  (shape as unknown as { withConstraint(inner: typeof check): unknown }).withConstraint(check) as T;

/** The shape of a doorway as an operator gives it. */
export const DoorwayShape = Shape({
  name: Name,
  firm: Name,
  match: Shape({ model: Brief.optional(), path: Brief.optional(), tag: Brief.optional() }).exact(),
  engines: bounded(
    List(Shape({ label: Brief, value: Brief }).exact()),
    (labels) => labels.length <= 16 || 'expected at most 16 labels',
  ),
  repeatable: Flag,
  resume: Flag,
  limits: Shape({ firstToken: Millis, total: Millis }).exact(),
  line: Count,
  share: Count,
}).exact();

/** Whose requests go to which engines, and within which limits. */
export type Doorway = Static<typeof DoorwayShape>;

/** A doorway with the number of the document that last changed it. */
export interface Placed {
  readonly doorway: Doorway;
  readonly revision: number;
}

/** Says the first thing that is wrong with a value, naming the field, what it holds and what was expected. */
export const checkDoorway = (value: unknown): Outcome<Doorway> => {
  const checked = DoorwayShape.inspect(value);
  if (checked.success) return Right(checked.value);
  return failed('doorway.check', 'operator', explain(checked as never, value));
};

interface Inspection {
  readonly message?: string;
  readonly details?: Record<PropertyKey, Inspection & { success: boolean }>;
}

/** The first thing wrong with a value that failed its check, as a sentence. */
export const explain = (inspection: Inspection, value: unknown, path = ''): string => {
  for (const [key, inner] of Object.entries(inspection.details ?? {})) {
    if (inner.success) continue;
    const inside =
      value !== null && typeof value === 'object'
        ? (value as Record<string, unknown>)[key]
        : undefined;
    return explain(inner, inside, path ? `${path}.${key}` : key);
  }
  const shown = value === undefined ? 'nothing' : JSON.stringify(value).slice(0, 80);
  return `${path || 'the value'} is ${shown}: ${(inspection.message ?? 'unexpected').replace(/^Constraint failed: /, '').replace(/^Expected/, 'expected')}`;
};

const signature = ({ firm, match }: Doorway): string =>
  JSON.stringify([firm, match.tag ?? null, match.path ?? null, match.model ?? null]);

/** Checks that no two doorways match the very same requests. */
export const checkApart = (doorways: Iterable<Doorway>): Outcome<void> => {
  const seen = new Map<string, string>();
  for (const doorway of doorways) {
    const twin = seen.get(signature(doorway));
    if (twin)
      return failed(
        'doorway.apart',
        'operator',
        `doorways ${twin} and ${doorway.name} match the very same requests`,
      );
    seen.set(signature(doorway), doorway.name);
  }
  return Right(undefined);
};
