/**
 * The judge of opaque requests: holds what callers were told against what engines did, by their records alone. Each
 * breach is a sentence of what must never happen.
 */
import type { Configuration } from '../../route/shape.js';
import { sharesOf } from '../../route/shape.js';
import { RouteTable } from '../../route/table.js';
import { answerBreaches } from './answers.js';
import { budgetBreaches, type BudgetBounds } from './budget.js';
import type { Arrival, Asked, Try } from './record.js';

/** What must never happen to an opaque request. */
export type OpaqueBreach =
  /** A caller was told what is no engine's whole answer to this very request. */
  | 'mixed'
  /** A stream lacks a piece, holds one twice, joins runs that do not follow on, or ends as complete too soon. */
  | 'order'
  /** An engine ran what no caller sent, or not as it was sent. */
  | 'unasked'
  | 'ran-twice'
  /** Told that it did not run and never will, and it ran. */
  | 'refused-but-ran'
  /** A service ran what no configuration ever sent allows to go to it. */
  | 'route'
  /** Handled as only a version allows that is older than one accepted long enough before. */
  | 'stale-configuration'
  /** An engine got a request long after the list showed it as leaving. */
  | 'after-leaving'
  | 'retry-share';

/** A breach that was found. */
export interface OpaqueFinding {
  readonly breach: OpaqueBreach;
  readonly request: string;
  readonly detail: string;
}

/** A configuration with when it was sent and acknowledged. */
export interface SentConfiguration {
  readonly configuration: Configuration;
  readonly sentAt: number;
  /** undefined when it was not told accepted. */
  readonly acceptedAt: number | undefined;
  /** Told that it is not in force: invalid, or lost. */
  readonly refused: boolean;
}

/** The times and shares that the judge allows. */
export interface OpaqueBounds extends BudgetBounds {
  /** ms after an engine is shown as leaving until it may get no request. */
  readonly drain: number;
  /** ms from a version's acceptance until it is in force everywhere. */
  readonly apply: number;
}

/** The records that are judged. */
export interface OpaqueEvidence {
  readonly asked: readonly Asked[];
  readonly arrivals: readonly Arrival[];
  readonly configurations: readonly SentConfiguration[];
  /** When the list first showed each engine as leaving. */
  readonly leaving: ReadonlyMap<string, number>;
  readonly bounds: OpaqueBounds;
}

type Find = (breach: OpaqueBreach, request: string, detail: string) => void;

/** Compares what callers were answered with what engines did. */
export const judgeOpaque = (evidence: OpaqueEvidence): OpaqueFinding[] => {
  const findings: OpaqueFinding[] = [];
  const find: Find = (breach, request, detail) => void findings.push({ breach, request, detail });
  const arrivals = evidence.arrivals.filter(({ probe }) => !probe);
  const byId = new Map<string, Arrival[]>();
  for (const arrival of arrivals) byId.set(arrival.id, [...(byId.get(arrival.id) ?? []), arrival]);
  const tries = new Map<string, { asked: Asked; told: Try }>();
  for (const asked of evidence.asked)
    for (const told of asked.tries) tries.set(told.id, { asked, told });
  const tables = evidence.configurations.map((sent) => ({
    ...sent,
    table: new RouteTable(sent.configuration),
  }));
  for (const { asked, told } of tries.values()) {
    const its = byId.get(told.id) ?? [];
    const ran = its.filter((arrival) => arrival.ran > 0);
    if (!asked.repeatable && ran.length > 1)
      find('ran-twice', told.id, ran.map(({ engine }) => engine).join(' '));
    if (told.complete && [408, 421, 429, 503].includes(told.status) && ran.length > 0)
      find(
        'refused-but-ran',
        told.id,
        `${told.status} though ${ran.map(({ engine }) => engine).join(' ')} ran it`,
      );
    for (const [breach, detail] of answerBreaches(asked, told, its)) find(breach, told.id, detail);
    if (
      told.complete &&
      told.status === 404 &&
      ran.length === 0 &&
      tables.some(({ refused }) => !refused)
    ) {
      const current = inForceAt(tables, told.at, evidence.bounds.apply);
      if (current.length > 0 && current.every(({ table }) => table.match(asked.host, asked.target)))
        find(
          'stale-configuration',
          told.id,
          '404 though every version that may be in force has its route',
        );
    }
  }
  for (const arrival of arrivals) {
    const of = tries.get(arrival.id);
    if (arrival.ran > 0) {
      if (!of)
        find('unasked', arrival.id, `${arrival.method} ${arrival.target} at ${arrival.engine}`);
      else if (of.asked.digest !== arrival.digest)
        find(
          'unasked',
          arrival.id,
          `changed on its way to ${arrival.engine}: ${arrival.method} ${arrival.target}, ${arrival.bytes} bytes`,
        );
      const allows = ({ table }: { table: RouteTable }): boolean => {
        const route = table.match(arrival.host, arrival.target);
        return (
          route !== undefined && sharesOf(route).some(({ service }) => service === arrival.service)
        );
      };
      if (!tables.some(allows))
        find('route', arrival.id, `${arrival.service} at ${arrival.engine}`);
      else if (of) {
        const current = inForceAt(tables, of.told.at, evidence.bounds.apply);
        if (current.length > 0 && !current.some(allows))
          find(
            'stale-configuration',
            arrival.id,
            `${arrival.service} by an older version than ${Math.min(...current.map(({ configuration }) => configuration.version))}`,
          );
      }
    }
    const since = evidence.leaving.get(arrival.engine);
    if (since !== undefined && arrival.at > since + evidence.bounds.drain && arrival.status !== 421)
      find(
        'after-leaving',
        arrival.id,
        `${arrival.engine} ${Math.round(arrival.at - since)} ms after`,
      );
  }
  for (const detail of budgetBreaches(
    evidence.asked,
    arrivals,
    (asked) => servicesOf(tables, asked),
    evidence.bounds,
  ))
    find('retry-share', '', detail);
  return findings;
};

interface Tabled extends SentConfiguration {
  readonly table: RouteTable;
}

/** The versions that may be in force for a request sent at a moment: the newest accepted long enough before, and newer ones. */
const inForceAt = (tables: readonly Tabled[], at: number, apply: number): Tabled[] => {
  const accepted = tables.filter(
    ({ acceptedAt }) => acceptedAt !== undefined && acceptedAt + apply < at,
  );
  if (accepted.length === 0) return [];
  const least = Math.max(...accepted.map(({ configuration }) => configuration.version));
  return tables.filter(({ configuration, refused }) => !refused && configuration.version >= least);
};

const servicesOf = (tables: readonly Tabled[], { host, target }: Asked): ReadonlySet<string> =>
  new Set(
    tables.flatMap(({ table }) => {
      const route = table.match(host, target);
      return route ? sharesOf(route).map(({ service }) => service) : [];
    }),
  );
