/** An engine as the platform's list names it, and the check of that list; what the engine says of itself adds nothing. */
import {
  Array as List,
  Boolean as Flag,
  Number as Numeric,
  Object as Shape,
  Record as Table,
  String as Text,
  type Static,
} from 'runtypes';
import { bounded, explain } from '../doorway/shape.js';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import { Right } from 'purify-ts';

const Positive = Numeric.withConstraint(
  (n) => (Number.isFinite(n) && n > 0) || 'expected a number above 0',
);
const Address = Text.withConstraint(
  (value) =>
    /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-fA-F:]+\]:\d{1,5}$/.test(value) || 'expected IP:PORT',
);

/** The shape of an engine in the platform's list. */
export const EngineShape = Shape({
  identifier: Text.withConstraint(
    (value) => (value.length > 0 && value.length <= 200) || 'expected 1 to 200 characters',
  ),
  address: Address,
  model: Text,
  adapters: List(Text),
  weight_generation: Text,
  zone: Text,
  labels: Table(Text, Text),
  cache_capacity_tokens: Positive.optional(),
  prefill_rate: Positive.optional(),
  leaving: Flag,
  service: Text.optional(),
  slots: Positive.optional(),
  cold_ms: Numeric.optional(),
});

/** An entry of the list as a platform, or who speaks for it, writes it. */
export type Listed = Static<typeof EngineShape>;

/** The shape of the platform's list. */
export const ListShape = Shape({
  engines: bounded(
    List(EngineShape),
    (engines) => engines.length <= 4096 || 'expected at most 4096 engines',
  ),
});

/** An engine that the platform lists. */
export interface Engine {
  readonly identifier: string;
  readonly address: string;
  readonly model: string;
  readonly adapters: ReadonlySet<string>;
  readonly weightGeneration: string;
  readonly zone: string;
  readonly labels: ReadonlyMap<string, string>;
  /** Tokens its cache holds, and prompt tokens it reads in a second; 0 where the list doesn't say. */
  readonly cacheCapacity: number;
  readonly prefillRate: number;
  readonly leaving: boolean;
  /** The service it belongs to, where engines come in named services. */
  readonly service?: string;
  /** Requests it works on at once, where the list says so. */
  readonly slots?: number;
  /** Milliseconds for which it is still slow after its start, as the list had it. */
  readonly cold?: number;
}

const fromListed = (listed: Listed): Engine => ({
  identifier: listed.identifier,
  address: listed.address,
  model: listed.model,
  adapters: new Set(listed.adapters),
  weightGeneration: listed.weight_generation,
  zone: listed.zone,
  labels: new Map(Object.entries(listed.labels)),
  cacheCapacity: listed.cache_capacity_tokens ?? 0,
  prefillRate: listed.prefill_rate ?? 0,
  leaving: listed.leaving,
  ...(listed.service !== undefined && { service: listed.service }),
  ...(listed.slots !== undefined && { slots: listed.slots }),
  ...(listed.cold_ms !== undefined && { cold: listed.cold_ms }),
});

/** Reads and checks the platform's list. */
export const parseList = (text: string, peer: string): Outcome<Engine[]> => {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch (thrown) {
    return failed('pool.list', peer, String(thrown));
  }
  const checked = ListShape.inspect(raw);
  if (!checked.success) return failed('pool.list', peer, explain(checked as never, raw));
  const engines = checked.value.engines.map(fromListed);
  const twice = engines.length !== new Set(engines.map((engine) => engine.identifier)).size;
  return twice ? failed('pool.list', peer, 'an identifier is listed twice') : Right(engines);
};

/** Whether a doorway's labels and a request's model let this engine serve it; the law needs to know its cache and rate. */
export const allows = (
  labels: ReadonlyArray<{ label: string; value: string }>,
  model: string,
  engine: Engine,
): boolean =>
  engine.cacheCapacity > 0 &&
  engine.prefillRate > 0 &&
  (engine.model === model || engine.adapters.has(model)) &&
  labels.every(({ label, value }) => engine.labels.get(label) === value);
