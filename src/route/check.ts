/**
 * Whether a configuration may be put in place: readable whole (runtypes), within bounds, and meaningful: every service
 * named exists, names and pairs of host and prefix are there once, weights add up, times are positive. The one message
 * names the item and the field. A value is first taken through its JSON text, so that what is judged, digested and kept
 * is the same everywhere. Fields we do not know pass.
 */
import {
  Array as List,
  Boolean as Flag,
  Number as Numeric,
  Object as Shape,
  String as Text,
} from 'runtypes';
import { Right } from 'purify-ts';
import { bounded, explain } from '../doorway/shape.js';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import { ChunkCache } from './chunks.js';
import type { Configuration, Patch, RequestKind, Route, Service } from './shape.js';

/** The most routes, and the most services, that a configuration may hold. */
export const ITEM_BOUND = 16_384;
/** The most bytes of text that a configuration or a patch may have. */
export const BYTE_BOUND = 4 * 1024 * 1024;

/** The bytes of the brackets around a list. */
const BRACKETS = 2;

const Name = Text.withConstraint(
  (value) => (value.length >= 1 && value.length <= 256) || 'expected 1 to 256 characters',
);
const Prefix = Text.withConstraint(
  (value) =>
    (value.startsWith('/') && value.endsWith('/') && value.length <= 4096) ||
    'expected a path that begins and ends with a slash',
);
const Amount = Numeric.withConstraint(
  (value) => (Number.isFinite(value) && value >= 0) || 'expected a number of 0 or more',
);
const Positive = Numeric.withConstraint(
  (value) => (Number.isFinite(value) && value > 0) || 'expected a number above 0',
);
const Version = Numeric.withConstraint(
  (value) => (Number.isSafeInteger(value) && value >= 1) || 'expected a whole number of 1 or more',
);

/** A union of literals is checked at five times the cost, which counts with thousands of routes. */
const KINDS: ReadonlySet<string> = new Set<RequestKind>([
  'idempotent',
  'non_idempotent',
  'streaming',
]);
const Kind = Text.withConstraint(
  (value) => KINDS.has(value) || `expected one of ${[...KINDS].join(', ')}`,
);

const RouteShape = Shape({
  name: Name,
  host: Name,
  prefix: Prefix,
  kind: Kind,
  timeout: Positive,
  target: Amount.optional(),
  gap: Amount.optional(),
  priority: Amount.optional(),
  attempts: Amount.optional(),
  affinity: Flag.optional(),
  resume: Flag.optional(),
  service: Name.optional(),
  split: List(Shape({ service: Name, weight: Amount })).optional(),
});
const ServiceShape = Shape({
  name: Name,
  probePath: Text.optional(),
  connections: Amount.optional(),
  engine: Shape({
    slots: Amount.optional(),
    cacheTokens: Amount.optional(),
    stride: Amount.optional(),
  }).optional(),
});
const LimitsShape = Shape({
  headerBytes: Amount.optional(),
  bodyBytes: Amount.optional(),
  headerTimeout: Amount.optional(),
  idleTimeout: Amount.optional(),
});

const Routes = bounded(
  List(RouteShape),
  (items) => items.length <= ITEM_BOUND || `expected at most ${ITEM_BOUND} routes`,
);
const Services = bounded(
  List(ServiceShape),
  (items) => items.length <= ITEM_BOUND || `expected at most ${ITEM_BOUND} services`,
);
const Names = bounded(
  List(Name),
  (items) => items.length <= ITEM_BOUND || `expected at most ${ITEM_BOUND} names`,
);

const ConfigurationShape = Shape({
  version: Version,
  routes: Routes,
  services: Services,
  limits: LimitsShape.optional(),
});
const PatchShape = Shape({
  version: Version,
  set: Shape({
    routes: Routes.optional(),
    services: Services.optional(),
    limits: LimitsShape.optional(),
  }),
  remove: Shape({ routes: Names.optional(), services: Names.optional() }),
});

/** A value as its JSON text says it, with that text. */
interface Spelt<T> {
  readonly value: T;
  readonly text: string;
}

/** The JSON text of a value; undefined when it is nested deeper than can be written. */
const textOf = (value: unknown): string | undefined => {
  try {
    return JSON.stringify(value) ?? '';
  } catch {
    return undefined;
  }
};

const spell = <T>(
  step: string,
  shape: { inspect(value: unknown): { success: boolean } },
  value: unknown,
): Outcome<Spelt<T>> => {
  const text = textOf(value);
  if (text === undefined) return failed(step, 'operator', 'is nested too deep');
  if (Buffer.byteLength(text) > BYTE_BOUND)
    return failed(step, 'operator', `has more than ${BYTE_BOUND} bytes`);
  const plain = text === '' ? undefined : (JSON.parse(text) as unknown);
  const checked = shape.inspect(plain);
  return checked.success
    ? Right({ value: plain as T, text })
    : failed(step, 'operator', explain(checked as never, plain));
};

/** Reads a whole configuration and says the first thing wrong with it, save what depends on the one in place. */
export const readConfiguration = (value: unknown): Outcome<Spelt<Configuration>> =>
  spell<Configuration>('configuration.read', ConfigurationShape, value).chain((spelt) =>
    checkMeaning(spelt.value).map(() => spelt),
  );

export const readPatch = (value: unknown): Outcome<Spelt<Patch>> =>
  spell<Patch>('configuration.read', PatchShape, value);

const twice = (what: string, names: readonly string[]): string | undefined => {
  const seen = new Set<string>();
  for (const name of names) {
    if (seen.has(name)) return `${what} ${name} is there twice`;
    seen.add(name);
  }
  return undefined;
};

const routeFault = (
  { name, service, split }: Route,
  services: ReadonlySet<string>,
): string | undefined => {
  const named = [
    ...(split ?? []).map((share) => share.service),
    ...(service === undefined ? [] : [service]),
  ];
  if (named.length === 0) return `route ${name}: service is nothing: expected a service or a split`;
  const unknown = named.find((each) => !services.has(each));
  if (unknown !== undefined)
    return `route ${name}: ${split ? 'split' : 'service'} names ${unknown}, which is no service`;
  if (split && split.reduce((sum, { weight }) => sum + weight, 0) <= 0)
    return `route ${name}: split has weights that sum to 0`;
  return undefined;
};

const meaningFault = ({ routes, services }: Configuration): string | undefined => {
  if (routes.length > ITEM_BOUND)
    return `routes: expected at most ${ITEM_BOUND}, there are ${routes.length}`;
  if (services.length > ITEM_BOUND)
    return `services: expected at most ${ITEM_BOUND}, there are ${services.length}`;
  const known = new Set(services.map(({ name }) => name));
  const fault =
    twice(
      'service',
      services.map(({ name }) => name),
    ) ??
    twice(
      'route',
      routes.map(({ name }) => name),
    );
  if (fault) return fault;
  const places = new Map<string, string>();
  for (const route of routes) {
    const place = `${route.host.toLowerCase()} ${route.prefix}`;
    const other = places.get(place);
    if (other !== undefined)
      return `route ${route.name}: host and prefix are those of route ${other}`;
    places.set(place, route.name);
    const wrong = routeFault(route, known);
    if (wrong) return wrong;
  }
  return undefined;
};

/** Whether a configuration of the right shape makes sense as a whole. */
export const checkMeaning = (configuration: Configuration): Outcome<void> => {
  const fault = meaningFault(configuration);
  return fault ? failed('configuration.check', 'operator', fault) : Right(undefined);
};

const mergeNamed = <T extends Route | Service>(
  before: readonly T[],
  set: readonly T[] | undefined,
  remove: readonly string[] | undefined,
): T[] => {
  const merged = new Map(before.map((item) => [item.name, item]));
  for (const name of remove ?? []) merged.delete(name);
  for (const item of set ?? []) merged.set(item.name, item);
  return [...merged.values()];
};

const itemsLength = new ChunkCache((items) => Buffer.byteLength(JSON.stringify(items)) - BRACKETS);

/** The bytes of the items of a list, with the commas between them. */
const listLength = (items: readonly object[]): number => {
  const lengths = itemsLength.valuesOf(items);
  return lengths.reduce((sum, length) => sum + length, Math.max(0, lengths.length - 1));
};

/** The bytes of the text of a configuration. */
const byteLengthOf = (configuration: Configuration): number =>
  Buffer.byteLength(JSON.stringify({ ...configuration, routes: [], services: [] })) +
  listLength(configuration.routes) +
  listLength(configuration.services);

/** A patch on top of what is in place: what is removed goes first, then what is set replaces by name or is added. */
export const mergePatch = (
  before: Configuration | undefined,
  { version, set, remove }: Patch,
): Outcome<Configuration> => {
  const fault =
    twice(
      'set: service',
      (set.services ?? []).map(({ name }) => name),
    ) ??
    twice(
      'set: route',
      (set.routes ?? []).map(({ name }) => name),
    );
  if (fault) return failed('configuration.patch', 'operator', fault);
  const merged: Configuration = {
    ...(before ?? {}),
    version,
    routes: mergeNamed(before?.routes ?? [], set.routes, remove.routes),
    services: mergeNamed(before?.services ?? [], set.services, remove.services),
    ...(set.limits ? { limits: set.limits } : {}),
  };
  if (byteLengthOf(merged) > BYTE_BOUND)
    return failed(
      'configuration.patch',
      'operator',
      `the whole would have more than ${BYTE_BOUND} bytes`,
    );
  return checkMeaning(merged).map(() => merged);
};
