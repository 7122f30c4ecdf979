/** What the placer is told from outside, and how its estimates weigh in the choice. */
export interface PrefixPlacerParams {
  readonly zone: string;
  /** Milliseconds that an engine of another zone counts as worse, besides the share of the target that the weights tell. */
  readonly zoneCost: number;
  /** How many routers are thought to send to the engines, this one counted. */
  readonly routers: () => number;
  /** Requests one engine works on at once, where neither its listing nor its service says so. */
  readonly slots: number;
  /** Tokens an engine keeps, where its service does not say so. */
  readonly cacheTokens: number;
}

/** The params of the placer where nothing else is set. */
export const prefixPlacerDefaults: PrefixPlacerParams = {
  zone: '',
  zoneCost: 0,
  routers: () => 1,
  slots: 64,
  cacheTokens: 262_144,
};

/** How the estimates weigh in the choice. */
export interface Weights {
  /** Shared parts of at least this many tokens bind a request to the engines that are preferred for them. */
  readonly binding: number;
  /** How many engines a request without binding parts looks at. */
  readonly choices: number;
  /** Reading takes from all that run at an engine, so a token read counts for more than its own time. */
  readonly read: number;
  /** For binding requests: own tokens ahead, and first tokens that were late. */
  readonly wait: number;
  readonly late: number;
  /** What of the target may pass before the first token without harm, and how much each ms beyond counts. */
  readonly comfort: number;
  readonly beyond: number;
  /** How much more a token of long prompts counts in the split of engines; 0 for no split. */
  readonly favour: number;
  /** From which share of blocking on engines are split. */
  readonly splitFrom: number;
  /** What it costs to go to an engine left to the other kind, as a share of the target. */
  readonly foreignShort: number;
  readonly foreignLong: number;
  /** What it costs to go to another zone, as a share of the target. */
  readonly foreignZone: number;
  /** The shares of places thought taken from which on a request that would be late is refused: of the highest priority, of others. */
  readonly fullHigh: number;
  readonly fullLow: number;
}

/** The weights that the program runs with. */
export const defaultWeights: Weights = {
  binding: 1024,
  choices: 3,
  read: 4,
  wait: 0.5,
  late: 0.3,
  comfort: 0.5,
  beyond: 0,
  favour: 1.6,
  splitFrom: 0.45,
  foreignShort: 0.2,
  foreignLong: 0.3,
  foreignZone: 0.1,
  fullHigh: 0.9,
  fullLow: 0.6,
};
