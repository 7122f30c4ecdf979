/** What `doorway apply` is to do: the doorways a file wants, compared with those in place. */
import { isDeepStrictEqual } from 'node:util';
import type { Schemas } from '../api/schema.js';
import { checkDoorway } from '../doorway/shape.js';
import { attempt, type Outcome } from '../kernel/fault/fault.js';
import { readDocument } from './document.js';

type Doorway = Schemas['Doorway'];

/** The doorways that a file sets and the names that it removes. */
export interface WantedDoorways {
  readonly doorways: readonly Doorway[];
  readonly remove: readonly string[];
}

/** The changes that bring about what a file wants, each with the revision expected, and a summary for people. */
export interface DoorwayPlan {
  readonly sets: Schemas['DoorwayApplyAsk']['sets'];
  readonly removes: Schemas['DoorwayApplyAsk']['removes'];
  readonly summary: DoorwaySummary;
}

interface DoorwaySummary {
  readonly added: readonly string[];
  readonly changed: readonly {
    readonly name: string;
    readonly revision: number;
    readonly fields: readonly string[];
  }[];
  readonly removed: readonly string[];
  readonly unchanged: readonly string[];
}

const READ_STEP = 'doorway.read';

/** Reads what a file wants; a file of another shape is a fault. */
export const readWantedDoorways = async (path: string): Promise<Outcome<WantedDoorways>> => {
  const read = await readDocument<Partial<WantedDoorways> | null>(READ_STEP, path);
  if (read.isLeft()) return read;
  return attempt(READ_STEP, path, () => checkWanted(read.unsafeCoerce() ?? {}));
};

const checkWanted = ({
  doorways = [],
  remove = [],
  ...rest
}: Partial<WantedDoorways>): WantedDoorways => {
  if (!Array.isArray(doorways) || !Array.isArray(remove) || Object.keys(rest).length)
    throw new Error('expected doorways: [...] and remove: [names], and nothing else');
  doorways.forEach((doorway, at) => {
    const checked = checkDoorway(doorway);
    if (checked.isLeft()) throw new Error(`doorways[${at}]: ${checked.extract().reason}`);
  });
  remove.forEach((name: unknown, at) => {
    if (typeof name !== 'string') throw new Error(`remove[${at}] is not a name`);
  });
  return { doorways, remove };
};

/** Compares what a file wants with what is in place. */
export const planDoorways = (
  { doorways, remove }: WantedDoorways,
  list: Schemas['DoorwayListReply'],
): DoorwayPlan => {
  const present = new Map(list.doorways.map((placed) => [placed.doorway.name, placed]));
  const removed = new Map(list.removed.map(({ name, revision }) => [name, revision]));
  const revisionOf = (name: string): number =>
    present.get(name)?.revision ?? removed.get(name) ?? 0;
  const isPresent = ({ name }: Doorway): boolean => present.has(name);
  const fieldsOf = (doorway: Doorway): readonly string[] =>
    changedFields(doorway, present.get(doorway.name)?.doorway);

  const changed = doorways.filter((doorway) => fieldsOf(doorway).length > 0);
  return {
    sets: changed.map((doorway) => ({ doorway, expects: revisionOf(doorway.name) })),
    removes: remove.map((name) => ({ name, expects: revisionOf(name) })),
    summary: {
      added: changed.filter((doorway) => !isPresent(doorway)).map(({ name }) => name),
      changed: changed.filter(isPresent).map((doorway) => ({
        name: doorway.name,
        revision: revisionOf(doorway.name),
        fields: fieldsOf(doorway),
      })),
      removed: remove,
      unchanged: doorways.filter((doorway) => !changed.includes(doorway)).map(({ name }) => name),
    },
  };
};

const changedFields = (wanted: Doorway, present: Doorway | undefined): readonly string[] => {
  const before = new Map(Object.entries(present ?? {}));
  return Object.entries(wanted)
    .filter(([field, value]) => !isDeepStrictEqual(before.get(field), value))
    .map(([field]) => field);
};
