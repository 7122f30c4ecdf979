/** What a seed makes of a soak: how many processes there are, and under which terms the routers serve. */
import { SeededRandom, pick } from '../../kernel/random/random.js';
import type { TroubleKind } from './schedule.js';

/** How a run is to be, as told by its command; what isn't told is drawn from the seed. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly folder: string;
  readonly cores?: number;
  readonly routers?: number;
  readonly lapse?: 'serve' | 'stop';
  /** Only these troubles; all by default. */
  readonly only?: readonly TroubleKind[];
  /** Whether disks are lost at the end while every process is killed; so by default. */
  readonly lossAtEnd?: boolean;
  /** Whether troubles that come in series are drawn too; not by default. */
  readonly series?: boolean;
  /** Routes that the configuration has besides those that are asked for; none by default. */
  readonly bulkRoutes?: number;
  /** Bytes that each connection of a router with its peers carries in a ms; no bound by default. */
  readonly linkRate?: number;
  /** Whether the connections between core machines are as narrow; not by default. */
  readonly isCoreNarrow?: boolean;
}

/** A soak as it is run. */
export interface SoakPlan {
  readonly seed: number;
  readonly seconds: number;
  readonly folder: string;
  readonly cores: number;
  /** How many of the core machines vote. */
  readonly voters: number;
  readonly routers: number;
  /** Whether a router without a lease serves on or stops. */
  readonly lapse: 'serve' | 'stop';
  readonly only: readonly TroubleKind[];
  readonly lossAtEnd: boolean;
  readonly series: boolean;
  readonly bulkRoutes: number;
  /** Bytes in a ms; undefined where there is no bound. */
  readonly linkRate: number | undefined;
  readonly isCoreNarrow: boolean;
}

/** How many voters may lose their disks at once: a majority keeps theirs. */
export const toleratedLosses = ({ voters }: Pick<SoakPlan, 'voters'>): number =>
  Math.floor((voters - 1) / 2);

interface CoreSize {
  readonly cores: number;
  readonly voters: number;
}

const SIZES: readonly CoreSize[] = [
  { cores: 3, voters: 3 },
  { cores: 5, voters: 5 },
  { cores: 5, voters: 3 },
];
const ROUTERS: readonly number[] = [2, 3, 4];
const LAPSES = ['serve', 'stop'] as const;

/** Draws what the options leave open. */
export const planFor = (options: SoakOptions): SoakPlan => {
  const random = new SeededRandom(options.seed * 7919 + 17);
  const sizes = SIZES.filter(({ cores }) => cores === (options.cores ?? cores));
  const cores = options.cores ?? 3;
  const size = pick(random, sizes) ?? { cores, voters: cores };
  const routers = pick(random, ROUTERS)!;
  const lapse = pick(random, LAPSES)!;
  return {
    seed: options.seed,
    seconds: options.seconds,
    folder: options.folder,
    ...size,
    routers: options.routers ?? routers,
    lapse: options.lapse ?? lapse,
    only: options.only ?? [],
    lossAtEnd: options.lossAtEnd ?? true,
    series: options.series ?? false,
    bulkRoutes: options.bulkRoutes ?? 0,
    linkRate: options.linkRate,
    isCoreNarrow: options.isCoreNarrow ?? false,
  };
};

/** Times of the fleet's own settings, in ms. */
export const TIMES = {
  leaseDuration: 1500,
  leaseRenew: 500,
  leasePatience: 300,
  feedWait: 500,
  replaceAfter: 4000,
  notice: 700,
  drain: 6000,
} as const;

/** Repeats that a router may spend, as a share of its own requests, and over which window in ms. */
export const RETRIES = { share: 0.2, window: 10_000 } as const;

/** The params of each process. */
export const paramsFor = ({ lapse, voters }: SoakPlan): object => ({
  forward: { retryShare: RETRIES.share, retryWindow: RETRIES.window },
  claims: { enabled: lapse === 'stop' },
  lease: {
    lapse,
    duration: TIMES.leaseDuration,
    renew: TIMES.leaseRenew,
    patience: TIMES.leasePatience,
  },
  feed: { wait: TIMES.feedWait },
  core: { replaceAfter: TIMES.replaceAfter, wanted: voters, keep: 2 },
  drain: TIMES.drain,
});
