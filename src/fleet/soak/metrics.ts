/** Reads what processes count of themselves, and the counters of broken invariants among it. */
import { request } from 'undici';

/** Values by metric name; those of several labels are added up. */
export type Metrics = ReadonlyMap<string, number>;

const LINE = /^([A-Za-z_:][\w:]*)(?:\{.*\})? (\S+)/;

/** Reads the text form of metrics. */
export const parseMetrics = (text: string): Metrics => {
  const values = new Map<string, number>();
  for (const line of text.split('\n')) {
    const [, name, value] = LINE.exec(line) ?? [];
    if (name === undefined) continue;
    values.set(name, (values.get(name) ?? 0) + Number(value));
  }
  return values;
};

/** The metrics of a process; undefined while it doesn't answer. */
export const readMetrics = async (operators: string): Promise<Metrics | undefined> => {
  try {
    const reply = await request(`http://${operators}/metrics`, {
      headersTimeout: 1500,
      bodyTimeout: 1500,
    });
    return parseMetrics(await reply.body.text());
  } catch {
    return undefined;
  }
};

/** The counters of broken invariants that are above 0. */
export const violationsIn = (metrics: Metrics): ReadonlyArray<readonly [string, number]> =>
  [...metrics].filter(([name, value]) => /violations(_total)?$/.test(name) && value > 0);
