/** What the parent of a run of slopes and its child processes say to each other, and what a role offers. */

/** Processor time and memory of a process. */
export interface Usage {
  /** Seconds of processor time since the start. */
  readonly processor: number;
  readonly rss: number;
  readonly heap: number;
}

/** What a child process answers, with its usage. */
export interface Report<T> {
  readonly usage: Usage;
  readonly told: T;
}

/** Answers a question to a role. */
export type Answer = (question: unknown) => unknown;

/** What a role module offers: it starts with the plan given and answers questions from then on. */
export type Role = (plan: never) => Promise<{ readonly ready: unknown; readonly answer: Answer }>;
