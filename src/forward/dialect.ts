/**
 * The words in which callers and engines speak of a request: names of header fields, and how a prompt is told. A
 * deployment on a platform gives its own; the default stands below. Field names are in lower case.
 */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request tells of its prompt; `parts` in order, the shared ones first. */
export interface Prompt {
  readonly model: string;
  readonly tokens: number;
  /** The most tokens put out. */
  readonly output: number;
  readonly parts: readonly PromptPart[];
}

export interface Dialect {
  /** The caller's id of this try; engines answer with it. */
  readonly requestId: string;
  /** What is left of the caller's patience, in milliseconds. */
  readonly deadline: string;
  /** Names the one engine that may run the request; every other answers 421. */
  readonly expectInstance: string;
  /** The engine's mark on a whole answer. */
  readonly seal: string;
  /** The engine's word that it did not run the request. */
  readonly notRun: string;
  /** 0 to 9, 0 first. */
  readonly urgency: string;
  prompt(header: (name: string) => string | undefined): Prompt | undefined;
}

const count = (text: string | undefined): number => {
  const value = Number(text);
  return Number.isFinite(value) && value > 0 ? value : 0;
};

/** Reads `ID:TOKENS,ID:TOKENS`; what is not such a pair is left out. */
export const readParts = (text: string | undefined): PromptPart[] =>
  (text ?? '').split(',').flatMap((pair) => {
    const at = pair.lastIndexOf(':');
    const tokens = count(pair.slice(at + 1));
    return at > 0 && tokens > 0 ? [{ id: pair.slice(0, at).trim(), tokens }] : [];
  });

export const readPrompt = (
  model: string | undefined,
  counts: string | undefined,
  parts: string | undefined,
): Prompt | undefined => {
  if (model === undefined) return undefined;
  const [tokens, output] = (counts ?? '').split(',');
  const read = readParts(parts);
  return {
    model,
    tokens: count(tokens) || read.reduce((sum, part) => sum + part.tokens, 0),
    output: count(output),
    parts: read,
  };
};

export const ownDialect: Dialect = {
  requestId: 'x-request-id',
  deadline: 'x-deadline-ms',
  expectInstance: 'x-expect-engine',
  seal: 'x-answer-seal',
  notRun: 'x-not-run',
  urgency: 'x-urgency',
  prompt: (header) =>
    readPrompt(header('x-model'), header('x-token-counts'), header('x-prompt-parts')),
};
