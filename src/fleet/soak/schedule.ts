/**
 * The troubles of a soak, drawn from its seed: waves in which two or three overlap, and calm spans between them with
 * planned work alone. What a trouble strikes is told by a number, since which processes there are is not known here.
 */
import { SeededRandom, pick, type Random } from '../../kernel/random/random.js';

/** The kinds of trouble, by what is struck. */
export const TROUBLES = {
  /** Processes that end or stand still without warning. */
  process: [
    'core-killed',
    'cores-killed',
    'all-cores-killed',
    'router-killed',
    'core-paused',
    'router-paused',
    'core-disk-lost',
    'core-away',
    'core-paused-and-killed',
    'router-stopped-and-killed',
  ],
  /** Links between our own processes. */
  link: [
    'node-cut-off',
    'core-halved',
    'link-cut',
    'link-cut-one-way',
    'links-reset',
    'links-delayed',
  ],
  /** What reaches operators and callers. */
  edge: ['answers-lost', 'operators-held', 'callers-held', 'callers-reset'],
  /** Engines and the platform's list. */
  engine: [
    'engine-crashed',
    'engine-breaks',
    'engine-held',
    'engine-reset',
    'engine-swapped',
    'platform-paused',
  ],
  /** Planned work. */
  planned: ['router-stopped', 'core-stopped', 'reloaded'],
  /** The same again and again, without a calm time between. */
  series: ['all-cores-killed-again', 'routers-killed-in-turn', 'routers-rolled', 'reloaded-again'],
} as const;

/** A kind of trouble. */
export type TroubleKind = (typeof TROUBLES)[keyof typeof TROUBLES][number];

/** Every kind of trouble. */
export const TROUBLE_KINDS: readonly TroubleKind[] = Object.values(TROUBLES).flat();

/** The kinds that come once at a time; those in series are drawn only where they are asked for. */
const SINGLE_KINDS = TROUBLE_KINDS.filter(
  (kind) => !(TROUBLES.series as readonly TroubleKind[]).includes(kind),
);

/** One trouble: when it begins, how long it lasts, in ms, and numbers that say whom it strikes and how. */
export interface Trouble {
  readonly at: number;
  readonly kind: TroubleKind;
  readonly duration: number;
  readonly target: number;
  readonly choice: number;
}

const WAVE_SPREAD = 800;
const SHORTEST = 300;
const LONGEST = 3500;
const CALM_LEAST = 3500;
const CALM_MORE = 2500;
/** No trouble begins in so many ms before the end. */
const LAST_CALM = 2000;

const CHOICES = 1_000_000;

const WEIGHTED: ReadonlyArray<readonly [readonly TroubleKind[], number]> = [
  [TROUBLES.process, 5],
  [TROUBLES.link, 4],
  [TROUBLES.edge, 3],
  [TROUBLES.engine, 2],
  [TROUBLES.planned, 2],
  [TROUBLES.series, 5],
];

const drawKind = (random: Random, allowed: ReadonlySet<TroubleKind>): TroubleKind | undefined => {
  const groups = WEIGHTED.map(
    ([kinds, weight]) => [kinds.filter((kind) => allowed.has(kind)), weight] as const,
  ).filter(([kinds]) => kinds.length > 0);
  let at = random.fraction() * groups.reduce((sum, [, weight]) => sum + weight, 0);
  const group = groups.find(([, weight]) => (at -= weight) < 0);
  return pick(random, group?.[0] ?? []);
};

const whole = (random: Random, below: number): number => Math.floor(random.fraction() * below);

const drawTrouble = (random: Random, at: number, kind: TroubleKind): Trouble => ({
  at: Math.round(at),
  kind,
  duration: SHORTEST + whole(random, LONGEST - SHORTEST),
  target: whole(random, CHOICES),
  choice: whole(random, CHOICES),
});

const drawWave = (random: Random, at: number, allowed: ReadonlySet<TroubleKind>): Trouble[] =>
  Array.from({ length: 2 + whole(random, 2) }, () => {
    const kind = drawKind(random, allowed);
    return kind && drawTrouble(random, at + random.fraction() * WAVE_SPREAD, kind);
  }).filter((trouble) => trouble !== undefined);

const drawPlanned = (
  random: Random,
  from: number,
  till: number,
  allowed: ReadonlySet<TroubleKind>,
): Trouble[] => {
  const kind = pick(
    random,
    TROUBLES.planned.filter((each) => allowed.has(each)),
  );
  return kind ? [drawTrouble(random, from + random.fraction() * (till - from) * 0.5, kind)] : [];
};

/** Draws the troubles of a run of so many seconds, in the order in which they begin. */
export const drawSchedule = (
  seed: number,
  seconds: number,
  only: readonly TroubleKind[] = [],
  series = false,
): Trouble[] => {
  const random = new SeededRandom(seed);
  const drawn = series ? TROUBLE_KINDS : SINGLE_KINDS;
  const allowed = new Set(only.length > 0 ? only : drawn);
  const end = seconds * 1000 - LAST_CALM;
  const troubles: Trouble[] = [];
  let at = 1000;
  while (at < end) {
    const wave = drawWave(random, at, allowed);
    const waveEnd = Math.max(at, ...wave.map((each) => each.at + each.duration));
    const next = waveEnd + CALM_LEAST + random.fraction() * CALM_MORE;
    troubles.push(...wave, ...drawPlanned(random, waveEnd + 500, next, allowed));
    at = next;
  }
  return troubles.filter((each) => each.at < end).sort((one, other) => one.at - other.at);
};
