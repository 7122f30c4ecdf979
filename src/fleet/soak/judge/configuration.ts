/**
 * Judges the configuration: what is read back at the end is the newest acknowledged order or a later unclear one, whole;
 * no order that was told lost or invalid ever shows in what engines ran; no router goes back within one life.
 */
import { fingerprint } from '../../../history/call.js';
import { contentOf } from '../../../history/order.js';
import type { Configuration } from '../../../route/shape.js';
import { RouteTable } from '../../../route/table.js';
import type { Arrival, Asked, Try } from '../../../stand/opaque/record.js';
import type { SentOrder } from '../operators.js';
import type { IncidentKind, SoakFinding } from '../record.js';
import type { Timeline } from './timeline.js';

/** What a node showed at the end; `shown` is undefined where it never answered clearly. */
export interface ReadBack {
  readonly node: string;
  readonly configuration: Configuration | undefined;
  readonly isClear: boolean;
}

const textOf = (configuration: Configuration): string =>
  `${configuration.version} ${fingerprint(contentOf(configuration))} ${JSON.stringify(configuration.limits)}`;

const mayBeInForce = ({ isValid, refusedAt }: SentOrder): boolean =>
  isValid && refusedAt === undefined;

/** Compares what nodes show at the end with what was acknowledged. */
export const judgeReadBack = (
  orders: readonly SentOrder[],
  readBacks: readonly ReadBack[],
): SoakFinding[] => {
  const acknowledged = orders.filter(({ acknowledgedAt }) => acknowledgedAt !== undefined);
  const newest = Math.max(0, ...acknowledged.map(({ whole }) => whole?.version ?? 0));
  const possible = new Set(
    orders.filter(mayBeInForce).flatMap(({ whole }) => (whole ? [textOf(whole)] : [])),
  );
  return readBacks.flatMap(({ node, configuration, isClear }) => {
    const version = configuration?.version ?? 0;
    const find = (rule: string, detail: string): SoakFinding[] => [{ rule, subject: node, detail }];
    if (!isClear) return find('no-read-back', `version ${newest} was acknowledged`);
    if (version < newest) return find('lost-change', `version ${version}, ${newest} acknowledged`);
    if (configuration && !possible.has(textOf(configuration)))
      return find('altered-configuration', `version ${version} is not what was sent under it`);
    return [];
  });
};

/** Orders told lost or invalid whose marks an engine served. */
export const judgeRefused = (
  orders: readonly SentOrder[],
  arrivals: readonly Arrival[],
): SoakFinding[] => {
  const refused = orders.filter(({ isValid, refusedAt }) => !isValid || refusedAt !== undefined);
  return refused.flatMap(({ mark, order }) =>
    arrivals
      .filter(({ target, ran }) => ran > 0 && target.startsWith(mark))
      .slice(0, 1)
      .map(({ engine, id }) => ({
        rule: 'refused-in-force',
        subject: mark,
        detail: `version ${order.body.version} on ${order.expects} was refused, and ${engine} ran ${id}`,
      })),
  );
};

const LIVES_END: ReadonlySet<IncidentKind> = new Set(['down', 'stopping']);

interface Seen {
  readonly told: Try;
  readonly router: string;
  /** The oldest and the newest version by which this could be handled as it was. */
  readonly least: number;
  readonly most: number;
}

/** Requests on marks: served only by versions that have the mark, refused with 404 only by the others. */
const versionsOf = (asked: Asked, told: Try, tables: readonly RouteTable[]): readonly number[] => {
  if (!told.complete) return [];
  const isServed = told.status >= 200 && told.status < 300;
  if (!isServed && told.status !== 404) return [];
  return tables
    .filter((table) => (table.match(asked.host, asked.target) !== undefined) === isServed)
    .map(({ version }) => version);
};

/** Requests that a router handled by an older version than one it had handled a request by before. */
export const judgeReverts = (
  orders: readonly SentOrder[],
  asked: readonly Asked[],
  routerAt: (address: string) => string,
  timeline: Timeline,
): SoakFinding[] => {
  const tables = orders
    .filter(mayBeInForce)
    .flatMap(({ whole }) => (whole ? [new RouteTable(whole)] : []));
  const seen = asked
    .filter(({ name }) => name === 'mark')
    .flatMap((each) =>
      each.tries.flatMap((told): Seen[] => {
        const versions = versionsOf(each, told, tables);
        if (versions.length === 0) return [];
        const router = routerAt(told.router);
        return [{ told, router, least: Math.min(...versions), most: Math.max(...versions) }];
      }),
    )
    .sort((one, other) => one.told.at - other.told.at);
  return seen.flatMap((late) => {
    const earlier = seen.find(
      (early) =>
        early.router === late.router &&
        early.told.ended < late.told.at &&
        early.least > late.most &&
        !timeline.struck(late.router, LIVES_END, {
          from: early.told.at,
          till: late.told.ended,
        }),
    );
    if (!earlier) return [];
    const detail = `${late.told.id} by version ${late.most} at most, after ${earlier.told.id} by ${earlier.least} at least`;
    return [{ rule: 'went-back', subject: late.router, detail }];
  });
};
