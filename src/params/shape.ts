/** The params of a node: their shape, their defaults, and the check, whose one message names field, value and what was expected. */
import {
  Array as List,
  Boolean as Flag,
  Literal,
  Number as Numeric,
  Object as Shape,
  Record as Dictionary,
  String as Text,
  Union,
  type Static,
} from 'runtypes';
import { Right } from 'purify-ts';
import { bounded, explain } from '../doorway/shape.js';
import { failed, type Outcome } from '../kernel/fault/fault.js';

const Name = Text.withConstraint(
  (value) =>
    /^[A-Za-z0-9][\w.-]{0,62}$/.test(value) || 'expected 1 to 63 letters, digits and . _ -',
);
const Address = Text.withConstraint(
  (value) =>
    /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-fA-F:]+\]:\d{1,5}$/.test(value) || 'expected IP:PORT',
);
const AddressOrNone = Text.withConstraint(
  (value) => value === '' || Address.guard(value) || 'expected IP:PORT, or nothing for none',
);
const Hash = Text.withConstraint(
  (value) => /^[0-9a-f]{64}$/.test(value) || 'expected a SHA-256 in 64 hex digits',
);
const between = (least: number, most: number): typeof Numeric =>
  Numeric.withConstraint(
    (n) =>
      (Number.isFinite(n) && n >= least && n <= most) ||
      `expected a number from ${least} to ${most}`,
  ) as unknown as typeof Numeric;
const Share = between(0.01, 100);

const whole = (least: number, most: number): typeof Numeric =>
  Numeric.withConstraint(
    (n) =>
      (Number.isSafeInteger(n) && n >= least && n <= most) ||
      `expected a whole number from ${least} to ${most}`,
  ) as unknown as typeof Numeric;

/** More losses than any sheet could ask for. */
const MOST_LOSSES = 1000;

const LAPSES: readonly string[] = ['stop', 'serve'];
const Lapse = Text.withConstraint<'stop' | 'serve'>(
  (value) => LAPSES.includes(value) || `expected one of ${LAPSES.join(', ')}`,
);
const LeaseShape = Shape({
  duration: between(200, 60_000),
  renew: between(50, 30_000),
  lapse: Lapse,
  patience: between(0, 30_000),
}).exact();
const Lease = LeaseShape.withConstraint(
  ({ duration, renew }) => renew * 2 <= duration || 'expected renew to be at most half of duration',
) as unknown as typeof LeaseShape;

/** The shape of a node's params. */
export const ParamsShape = Shape({
  fleet: Name,
  name: Name,
  zone: Name,
  region: Name,
  /** The region of each zone of the deployment, as far as that is told. */
  layout: Dictionary(Text, Name),
  listen: Shape({
    callers: AddressOrNone,
    operators: Address,
    operatorsOnDemand: Flag,
    peers: Address,
    requests: AddressOrNone,
    advertise: AddressOrNone,
    notice: between(0, 60_000),
  }).exact(),
  seeds: bounded(
    List(Address),
    (seeds) => (seeds.length >= 1 && seeds.length <= 9) || 'expected 1 to 9 addresses',
  ),
  folder: Text,
  form: Flag,
  /** Whether this is the first start of the whole system, with empty disks, as far as that is told. */
  firstStart: Union(Literal('unknown'), Literal('yes'), Literal('no')),
  firms: bounded(
    List(Shape({ name: Name, callerKeys: List(Hash), operatorKeys: List(Hash) }).exact()),
    (firms) => firms.length <= 64 || 'expected at most 64 firms',
  ),
  platform: Shape({
    url: Text.withConstraint(
      (url) => url === '' || /^https?:\/\//.test(url) || 'expected an http URL',
    ),
    every: between(50, 60_000),
    slice: between(100, 600_000),
    place: between(0, 600_000),
  }).exact(),
  index: Shape({ blockBytes: between(8, 65_536), blockTokens: between(1, 256) }).exact(),
  place: Shape({
    perEngine: between(1, 10_000),
    zoneCost: between(0, 60_000),
    policy: Union(Literal('index'), Literal('least-busy'), Literal('round-robin')),
  }).exact(),
  law: Shape({
    routers: between(1, 10_000),
    largestPrompt: between(16, 10_000_000),
    largestReply: between(1, 1_000_000),
    rateShare: Share,
  }).exact(),
  passage: Shape({
    inFlight: between(1, 100_000),
    silence: between(10, 600_000),
    bodyBytes: between(1024, 67_108_864),
    retryShare: between(0, 0.05),
  }).exact(),
  forward: Shape({
    retryShare: between(0, 1),
    retryWindow: between(1000, 600_000),
    connect: between(10, 60_000),
    keepLinks: between(0, 600_000),
    timeout: between(10, 3_600_000),
    impatience: between(0.1, 100),
    surprise: between(1, 1000),
    hedgeTokens: between(0, 10_000_000),
    gapShare: between(1, 100),
    gapLeast: between(10, 600_000),
    bodyBytes: between(1024, 67_108_864),
    heldBytes: between(1024, 2 ** 40),
  }).exact(),
  lease: Lease,
  feed: Shape({ wait: between(50, 10_000) }).exact(),
  claims: Shape({ enabled: Flag }).exact(),
  view: Shape({ every: between(100, 60_000) }).exact(),
  core: Shape({
    replaceAfter: between(0, 86_400_000),
    wanted: whole(0, 9),
    tolerates: Shape({
      machines: whole(0, MOST_LOSSES),
      zones: whole(0, MOST_LOSSES),
      regions: whole(0, MOST_LOSSES),
    }).exact(),
    keep: whole(0, 1_000_000),
    keepBytes: whole(0, Number.MAX_SAFE_INTEGER),
    stall: between(50, 60_000),
  }).exact(),
  drain: between(0, 60_000),
  reread: between(0, 3_600_000),
}).exact();

/** The params of a node. */
export type Params = Static<typeof ParamsShape>;

/** The peer address that a node tells others: its own, or the one that is forwarded to it. */
export const advertisedAddress = ({ listen }: Pick<Params, 'listen'>): string =>
  listen.advertise || listen.peers;

const defaults = {
  fleet: 'rudderridge',
  zone: 'zone-1',
  region: 'region-1',
  layout: {},
  listen: {
    callers: '127.0.0.1:7080',
    operators: '127.0.0.1:7081',
    operatorsOnDemand: true,
    peers: '127.0.0.1:7082',
    requests: '',
    advertise: '',
    notice: 0,
  },
  seeds: ['127.0.0.1:7082'],
  folder: './data',
  form: false,
  firstStart: 'unknown',
  firms: [],
  platform: { url: '', every: 500, slice: 4000, place: 2500 },
  index: { blockBytes: 64, blockTokens: 16 },
  place: { perEngine: 16, zoneCost: 5, policy: 'index' },
  law: { routers: 8, largestPrompt: 8192, largestReply: 1024, rateShare: 2 },
  passage: { inFlight: 512, silence: 10_000, bodyBytes: 4_194_304, retryShare: 0.05 },
  forward: {
    retryShare: 0.05,
    retryWindow: 10_000,
    connect: 400,
    keepLinks: 10_000,
    timeout: 60_000,
    impatience: 0.5,
    surprise: 2,
    hedgeTokens: 4096,
    gapShare: 2,
    gapLeast: 300,
    bodyBytes: 4_194_304,
    heldBytes: 67_108_864,
  },
  lease: { duration: 5000, renew: 1000, lapse: 'stop', patience: 500 },
  feed: { wait: 1000 },
  claims: { enabled: true },
  view: { every: 700 },
  core: {
    replaceAfter: 30_000,
    wanted: 0,
    tolerates: { machines: 0, zones: 0, regions: 0 },
    keep: 0,
    keepBytes: 0,
    stall: 1500,
  },
  drain: 7500,
  reread: 0,
};

const plain = (value: unknown): value is object =>
  value !== null && typeof value === 'object' && !Array.isArray(value);

const overlay = (under: unknown, over: unknown): unknown => {
  if (over === undefined) return under;
  if (!plain(under) || !plain(over)) return over;
  const merged = new Map<string, unknown>(Object.entries(under));
  for (const [key, value] of Object.entries(over)) merged.set(key, overlay(merged.get(key), value));
  return Object.fromEntries(merged);
};

/** Lays one layer of params over another, and checks the whole. */
export const checkParams = (...layers: unknown[]): Outcome<Params> => {
  const whole = layers.reduce(overlay, defaults);
  const checked = ParamsShape.inspect(whole);
  if (checked.success && checked.value.claims.enabled && checked.value.lease.lapse === 'serve')
    return failed(
      'params.check',
      'params',
      'claims.enabled is true: expected false where lease.lapse is "serve", since claims rest on registered routers',
    );
  return checked.success
    ? Right(checked.value)
    : failed('params.check', 'params', explain(checked as never, whole));
};
