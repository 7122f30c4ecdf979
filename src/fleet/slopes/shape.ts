/** The shapes of a run of slopes: what was planned, what was counted, and the file that a run leaves. */

/** Spread of one quantity over the nodes of one kind. */
export interface Spread {
  readonly count: number;
  readonly p10: number;
  readonly median: number;
  readonly p90: number;
  readonly most: number;
  readonly sum: number;
}

/** A second of one node: messages and bytes, in all and by call. */
export interface Rates {
  readonly sentMessages: number;
  readonly sentBytes: number;
  readonly receivedMessages: number;
  readonly receivedBytes: number;
}

/** The rates of the nodes of one role. */
export interface RoleRates {
  readonly all: { readonly [K in keyof Rates]: Spread };
  /** By call and by the kind of the other end; medians over the nodes, with the most of any node. */
  readonly byCall: ReadonlyArray<{
    readonly call: string;
    readonly peer: string;
    readonly way: string;
    readonly messages: Spread;
    readonly bytes: Spread;
  }>;
}

/** A control plane that is to be counted. */
export interface ControlPlan {
  readonly cores: number;
  readonly routers: number;
  readonly engines: number;
  /** Routes in the configuration in force. */
  readonly items: number;
  readonly seed: number;
  /** Laid over the params of each node. */
  readonly over: object;
}

/** One point of a sweep. */
export interface Point {
  readonly sweep: string;
  readonly at: number;
  readonly plan: Omit<ControlPlan, 'over'>;
  /** Seconds of the quiet span, virtual or real. */
  readonly seconds: number;
  readonly roles: { readonly core?: RoleRates; readonly router?: RoleRates };
  /** Whatever else the sweep measures: times in ms, bytes, shares of a core. */
  readonly figures: Readonly<Record<string, number>>;
  /** Load averages of the machine over 1, 5 and 15 minutes when the point was taken. */
  readonly load: readonly number[];
  readonly taken?: { readonly at: string; readonly command: string; readonly commit: string };
}

/** The fits through one quantity of a sweep. */
export interface Fit {
  readonly sweep: string;
  readonly quantity: string;
  readonly range: readonly [number, number];
  readonly points: ReadonlyArray<readonly [number, number]>;
  /** Coefficients from the constant on. */
  readonly linear: readonly number[];
  readonly quadratic: readonly number[];
  /** Root of the mean square of what the fit leaves over, in the quantity's unit. */
  readonly linearResidual: number;
  readonly quadraticResidual: number;
  readonly target?: { readonly at: number; readonly linear: number; readonly quadratic: number };
}

/** What a fit foretold, and what was measured. */
export interface Prediction {
  readonly quantity: string;
  readonly at: number;
  readonly fitted: readonly number[];
  readonly predicted: number;
  readonly measured: number;
  /** Predicted against measured, as a share of measured. */
  readonly error: number;
}

/** The file that a run leaves. */
export interface RunFile {
  readonly machine: {
    readonly processors: number;
    readonly memoryBytes: number;
    readonly node: string;
  };
  readonly points: readonly Point[];
  readonly fits: readonly Fit[];
  readonly predictions: readonly Prediction[];
}
