/**
 * Changes as functions of the current value: "doorway D is at revision G, make it X", or else the change lost the
 * race. A batch of waiting changes is applied in turn to one committed document and makes at most one new revision.
 * Applied ids are kept, newest last, in a window of bounded size; repeating an id inside it gives the first outcome.
 * A removed name keeps the revision of its removal, so that no old change can ever apply again.
 */
import { checkApart } from '../doorway/shape.js';
import { checkMeaning, mergePatch } from '../route/check.js';
import {
  changeDigest,
  slim,
  type Act,
  type Change,
  type Claim,
  type ConfigureAct,
  type Document,
  type DoorwayAct,
  type Revision,
  type Kept,
} from './document.js';
import { documentDigest } from './document-digest.js';
import { changeVoters, type VoterChange } from './voters.js';

export const WINDOW = 2048;
/** The most orders on the configuration that operators have under way at once. */
const ORDERS_AT_ONCE = 8;
/** For how many times the time that an acknowledgement may take a repeat is known again, at that many orders at once. */
const REPEAT_SPAN = 32;
/** How many versions of the configuration are remembered with the requests that made them. */
export const VERSIONS = ORDERS_AT_ONCE * REPEAT_SPAN;
export const DOORWAY_BOUND = 2048;
export const REMOVED_BOUND = 8192;
export const REGISTERED_BOUND = 256;

export type Verdict =
  | { readonly kind: 'applied'; readonly revision: Revision }
  /** For a configuration, with the operators' version that was in place. */
  | { readonly kind: 'lost'; readonly reason: string; readonly inPlace?: number }
  | { readonly kind: 'declined'; readonly reason: string }
  /** Not applied now; whether it was before, or may be later by another call that carries it, can't be told. */
  | { readonly kind: 'indeterminate'; readonly reason: string };

const lease = (document: Document, name: string): Revision =>
  document.doorways.get(name)?.revision ?? document.removed.get(name) ?? 0;

const lost = (name: string, expects: number, held: number): Verdict => ({
  kind: 'lost',
  reason: `doorway ${name} is at revision ${held}, not ${expects}`,
});
const declined = (reason: string): Verdict => ({ kind: 'declined', reason });

const renewed = (
  claims: ReadonlyMap<string, Claim>,
  name: string,
  firm: string,
  duration?: number,
): Map<string, Claim> => {
  const before = claims.get(name);
  return new Map(claims).set(name, {
    firm,
    renewal: (before?.renewal ?? 0) + 1,
    duration: duration ?? before?.duration ?? 600_000,
  });
};

const withVoters = (document: Document, act: VoterChange): Document | Verdict => {
  const verdict = changeVoters(document.core, act);
  return verdict.kind === 'changed' ? { ...document, core: verdict.core } : verdict;
};

/** Registered routers change one at a time too, each building on the last. */
const registerAgain = (
  document: Document,
  act: Extract<Act, { kind: 'registerRouter' | 'deregister' }>,
  next: Revision,
): Document | Verdict => {
  if (act.expects !== document.registeredAt)
    return {
      kind: 'lost',
      reason: `the registration is at revision ${document.registeredAt}, not ${act.expects}`,
    };
  const registered = new Map(document.registered);
  if (act.kind === 'deregister') {
    if (!registered.delete(act.name)) return declined(`${act.name} is not registered`);
  } else {
    if (registered.has(act.name))
      return declined(`${act.name} is registered already; deregister it first`);
    if (registered.size >= REGISTERED_BOUND)
      return declined(`${REGISTERED_BOUND} routers are registered already`);
    registered.set(act.name, act.registered);
  }
  return { ...document, registered, registeredAt: next };
};

/** Sets or removes one doorway; whether all doorways can be told apart is looked at by the caller. */
const place = (
  document: Document,
  act: DoorwayAct,
  firm: string,
  next: Revision,
): Document | Verdict => {
  const name = act.kind === 'set' ? act.doorway.name : act.name;
  const owner = document.doorways.get(name)?.doorway.firm;
  if (owner && owner !== firm) return declined(`doorway ${name} belongs to ${owner}`);
  const held = lease(document, name);
  if (act.kind === 'remove') {
    if (!owner && held === act.expects) return declined(`there is no doorway ${name}`);
    if (held !== act.expects) return lost(name, act.expects, held);
    if (document.removed.size >= REMOVED_BOUND)
      return declined(`${REMOVED_BOUND} removed names are kept already`);
    const doorways = new Map(document.doorways);
    doorways.delete(name);
    return { ...document, doorways, removed: new Map(document.removed).set(name, next) };
  }
  const claim = document.claims.get(name);
  if (act.doorway.firm !== firm)
    return declined(`${firm} may not set a doorway of ${act.doorway.firm}`);
  if (claim && claim.firm !== firm) return declined(`${name} is claimed by ${claim.firm}`);
  if (held !== act.expects) return lost(name, act.expects, held);
  if (!owner && document.doorways.size >= DOORWAY_BOUND)
    return declined(`there are ${DOORWAY_BOUND} doorways already`);
  const doorways = new Map(document.doorways).set(name, { doorway: act.doorway, revision: next });
  const removed = new Map(document.removed);
  removed.delete(name);
  return { ...document, doorways, removed, claims: renewed(document.claims, name, firm) };
};

/** All of the items, each on what is there before any of them, or nothing; what stands in the way is named by its place. */
const placeAll = (
  document: Document,
  items: readonly DoorwayAct[],
  firm: string,
  next: Revision,
): Document | Verdict => {
  const seen = new Set<string>();
  let draft = document;
  for (const [at, item] of items.entries()) {
    const where = items.length > 1 ? `items[${at}]: ` : '';
    const name = item.kind === 'set' ? item.doorway.name : item.name;
    if (seen.has(name)) return declined(`${where}${name} is named twice`);
    seen.add(name);
    const placed = place(draft, item, firm, next);
    if ('kind' in placed)
      return 'reason' in placed ? { ...placed, reason: `${where}${placed.reason}` } : placed;
    draft = placed;
  }
  const apart = checkApart([...draft.doorways.values()].map(({ doorway }) => doorway));
  return apart.isLeft() ? declined(apart.extract().reason) : draft;
};

/**
 * Why a request doesn't build on the version in place. It has lost for good where a later version is in place, since
 * versions only rise, and where it is still known which request made its version. Before its base is in place, another
 * call with the same request may come to be applied on top of that yet.
 */
const misplaced = (document: Document, act: ConfigureAct, version: number): Verdict => {
  const reason = `version ${version} is in place, not ${act.expects}`;
  if (act.expects > version)
    return { kind: 'indeterminate', reason: `${reason}, which may come yet` };
  if (act.version <= (document.forgottenVersion ?? 0))
    return {
      kind: 'indeterminate',
      reason: `${reason}; which request made version ${act.version} is no longer remembered`,
    };
  return { kind: 'lost', reason, inPlace: version };
};

/** The versions remembered with their requests, the newest among them, and the newest one that is forgotten. */
const rememberVersion = (
  { versions: before, forgottenVersion }: Document,
  version: number,
  kept: Kept,
): Pick<Document, 'versions' | 'forgottenVersion'> => {
  const versions = new Map(before).set(version, kept);
  let forgotten = forgottenVersion;
  for (const oldest of versions.keys()) {
    if (versions.size <= VERSIONS) break;
    versions.delete(oldest);
    forgotten = oldest;
  }
  return { versions, forgottenVersion: forgotten };
};

/** The next configuration, as a function of the one in place. */
const configure = (document: Document, act: ConfigureAct, next: Revision): Document | Verdict => {
  const { version = 0 } = document.configuration ?? {};
  if (!Number.isSafeInteger(act.version) || act.version <= act.expects)
    return declined(`version ${act.version} is not above ${act.expects}, which it builds on`);
  if (act.expects !== version) return misplaced(document, act, version);
  const made = act.whole
    ? checkMeaning(act.whole).map(() => act.whole!)
    : mergePatch(
        document.configuration,
        act.patch ?? { version: act.version, set: {}, remove: {} },
      );
  if (made.isLeft()) return declined(made.extract().reason);
  const kept = { revision: next, digest: act.digest };
  return {
    ...document,
    configuration: { ...made.unsafeCoerce(), version: act.version },
    ...rememberVersion(document, act.version, kept),
  };
};

const alter = (document: Document, change: Change, next: Revision): Document | Verdict => {
  const { act, firm } = change;
  switch (act.kind) {
    case 'addVoter':
    case 'removeVoter':
      return withVoters(document, act);
    case 'registerRouter':
    case 'deregister':
      return registerAgain(document, act, next);
    case 'set':
    case 'remove':
      return placeAll(document, [act], firm, next);
    case 'apply':
      return placeAll(document, act.items, firm, next);
    case 'configure':
      return configure(document, act, next);
    case 'claim': {
      const owner = document.doorways.get(act.name)?.doorway.firm;
      if (owner && owner !== firm) return declined(`doorway ${act.name} belongs to ${owner}`);
      const claim = document.claims.get(act.name);
      if ((claim?.renewal ?? 0) !== act.expects)
        return {
          kind: 'lost',
          reason: `the claim on ${act.name} is at renewal ${claim?.renewal ?? 0}, not ${act.expects}`,
        };
      if (claim && claim.firm !== firm && !act.takeover)
        return declined(`${act.name} is claimed by ${claim.firm}`);
      return { ...document, claims: renewed(document.claims, act.name, firm, act.duration) };
    }
  }
};

export interface Applied {
  readonly document: Document;
  readonly verdicts: ReadonlyMap<string, Verdict>;
}

/** What became of this very change before, where it is still remembered; another one under its name differs in its digest. */
const remembered = (
  document: Document,
  change: Change,
): { kept: Kept; same: boolean } | undefined => {
  const { act, id } = change;
  if (act.kind === 'configure') {
    const kept = document.versions.get(act.version);
    return kept?.digest === act.digest ? { kept, same: true } : undefined;
  }
  const kept = document.outcomes.get(id);
  return kept && { kept, same: kept.digest === changeDigest(change) };
};

const remember = (document: Document, change: Change, next: Revision): Document => {
  if (change.act.kind === 'configure') return document;
  const outcomes = new Map(document.outcomes).set(change.id, {
    revision: next,
    digest: changeDigest(change),
  });
  for (const id of outcomes.keys()) {
    if (outcomes.size <= WINDOW) break;
    outcomes.delete(id);
  }
  return { ...document, outcomes };
};

/** Applies changes in turn to a committed document. */
export const applyChanges = (base: Document, changes: readonly Change[]): Applied => {
  const next = base.revision + 1;
  const verdicts = new Map<string, Verdict>();
  const cause: Change[] = [];
  let draft = base;
  for (const change of changes) {
    const before = remembered(draft, change);
    if (before) {
      verdicts.set(
        change.id,
        before.same
          ? { kind: 'applied', revision: before.kept.revision }
          : declined('this change id was used for another change'),
      );
      continue;
    }
    const altered = alter(draft, change, next);
    if (!('kind' in altered) && altered.core.number > base.core.number + 1) {
      verdicts.set(change.id, {
        kind: 'lost',
        reason: 'another change of the core set came first',
      });
      continue;
    }
    if ('kind' in altered) {
      verdicts.set(change.id, altered);
      continue;
    }
    draft = remember(altered, change, next);
    cause.push(slim(change));
    verdicts.set(change.id, { kind: 'applied', revision: next });
  }
  if (cause.length === 0) return { document: base, verdicts };
  return {
    document: { ...draft, revision: next, previous: documentDigest(base), cause },
    verdicts,
  };
};
