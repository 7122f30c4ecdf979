/**
 * What a change of the configuration costs each node, held by counts: frames, and bytes that are written as text, read and
 * digested. A change costs a router the same whatever the size of the configuration; a core node writes one file with the
 * whole revision and digests it once, and what else it does is the same at any size too.
 */
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { configurationOf, patchOf } from '../../src/fleet/slopes/items.js';
import { ControlPlane } from '../../src/fleet/slopes/plane.js';
import type { RoleRates } from '../../src/fleet/slopes/shape.js';

const counted = vi.hoisted(() => ({ digested: 0 }));

vi.mock('node:crypto', async (original) => {
  const crypto = await original<typeof import('node:crypto')>();
  const hash = (algorithm: string, data: string | Uint8Array, encoding: 'hex'): string => {
    counted.digested += data.length;
    return crypto.hash(algorithm, data, encoding);
  };
  return { ...crypto, hash };
});

/** Bytes of text that were made, read and digested, by all nodes. */
interface Work {
  readonly written: number;
  readonly read: number;
  readonly digested: number;
}

const text = { written: 0, read: 0 };
const { stringify, parse } = JSON;

beforeEach(() => {
  vi.spyOn(JSON, 'stringify').mockImplementation((value: unknown, ...rest: unknown[]) => {
    const made = (stringify as (value: unknown, ...rest: unknown[]) => string | undefined)(
      value,
      ...rest,
    );
    text.written += made?.length ?? 0;
    return made!;
  });
  vi.spyOn(JSON, 'parse').mockImplementation((from: string, ...rest) => {
    text.read += from.length;
    return parse(from, ...rest) as unknown;
  });
});
afterEach(() => {
  vi.restoreAllMocks();
});

const work = (): Work => ({ ...text, digested: counted.digested });

const CHANGES = 24;
/** The ms between changes; no other than the regular work of a node falls due in them. */
const GAP = 120;
const CORES = 3;
const TERMS = { lapse: 'serve', duration: 1500, renew: 500, patience: 500 };

interface Cost extends Work {
  /** Messages that a router and a core node sent for a change, beside what they send at rest. */
  readonly routerSent: number;
  readonly coreSent: number;
  readonly documentBytes: number;
}

const sentBy = (rates: RoleRates): number =>
  rates.all.sentMessages.sum / rates.all.sentMessages.count;

/** What a change costs a control plane, beside what it costs at rest for as long. */
const costOf = async (routers: number, routes: number): Promise<Cost> => {
  const over = { lease: TERMS, claims: { enabled: false }, core: { keep: 2 }, feed: { wait: 500 } };
  const plan = { cores: CORES, routers, engines: 1, items: 0, seed: 5, over };
  const plane = new ControlPlane(plan);
  expect(await plane.start()).toBe(true);
  expect(await plane.configure(configurationOf(routes, 1), 0)).toBe(true);
  expect(await plane.inForce(1)).toBeLessThan(1000);
  const change = async (version: number): Promise<void> => {
    const until = plane.world.now + GAP;
    expect(await plane.patched(patchOf(version, version), version - 1)).toBe('accepted');
    await plane.world.run(until);
  };
  await change(2);
  const began = work();
  const rest = await plane.quiet((CHANGES * GAP) / 1000);
  const middle = work();
  const busy = await plane.during(async () => {
    for (let at = 0; at < CHANGES; at++) await change(3 + at);
  });
  const ended = work();
  expect(plane.routers.every(({ inForce }) => inForce.routes.version === plane.version)).toBe(true);
  const each = (of: keyof Work): number =>
    (ended[of] - middle[of] - (middle[of] - began[of])) / CHANGES;
  const sent = (role: 'core' | 'router'): number =>
    ((sentBy(busy[role]) - sentBy(rest[role])) * GAP) / 1000;
  return {
    written: each('written'),
    read: each('read'),
    digested: each('digested'),
    routerSent: sent('router'),
    coreSent: sent('core'),
    documentBytes: plane.documentBytes,
  };
};

const FEW = 2;
const MANY = 8;
/** Bytes of text that a router makes and reads for a change, and that it digests. */
const ROUTER_WRITTEN = 1600;
const ROUTER_READ = 1400;
const ROUTER_DIGESTED = 9000;
/** Bytes that the core nodes make, read and digest together for a change, beside the file of each. */
const CORE_WRITTEN = 50_000;
const CORE_READ = 9000;
const CORE_DIGESTED = 45_000;
/** A core node digests each file once as it writes it; repair reads what is new back, at most so much of it. */
const FILE_DIGESTS = 1.25;
/** An ask for what follows, and now and then one for the tip of another member. */
const ROUTER_FRAMES = 1.3;

const sizes = [50, 1400] as const;

test.each(sizes)(
  'with %i routes a change costs a router what changed, and few frames',
  async (routes) => {
    const [few, many] = [await costOf(FEW, routes), await costOf(MANY, routes)];
    const forOne = (of: keyof Work): number => (many[of] - few[of]) / (MANY - FEW);
    if (process.env['FIGURES']) console.log(stringify({ routes, few, many }));
    expect(forOne('written')).toBeLessThan(ROUTER_WRITTEN);
    expect(forOne('read')).toBeLessThan(ROUTER_READ);
    expect(forOne('digested')).toBeLessThan(ROUTER_DIGESTED);
    expect(many.routerSent).toBeLessThan(ROUTER_FRAMES);
    expect(few.written).toBeLessThan(CORE_WRITTEN);
    expect(few.read).toBeLessThan(CORE_READ);
    expect(few.digested - FILE_DIGESTS * CORES * few.documentBytes).toBeLessThan(CORE_DIGESTED);
    expect(many.coreSent - few.coreSent).toBeLessThan((ROUTER_FRAMES * (MANY - FEW)) / CORES);
  },
);
