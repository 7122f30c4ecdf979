/**
 * What a caller asks, checked: the body in the published chat format and the headers that say who asks and how. What
 * is wrong is told in one message and never forwarded.
 */
import { Right } from 'purify-ts';
import { failed, type Outcome } from '../kernel/fault/fault.js';

/** One message of a chat. */
export interface Message {
  readonly role: string;
  readonly content: string;
}

/** A chat request that passed its check. */
export interface CallerRequest {
  readonly id: string;
  readonly firm: string;
  readonly model: string;
  readonly path: string;
  readonly tag: string;
  readonly repeatable: boolean | undefined;
  readonly limit: number | undefined;
  readonly stream: boolean;
  readonly messages: readonly Message[];
  readonly maxTokens: number | undefined;
  readonly body: ReadonlyMap<string, unknown>;
}

/** A request as it came in, with the firm that its key belongs to. */
export interface Asking {
  readonly firm: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: unknown;
  readonly freshId: string;
}

const bad = (reason: string): Outcome<never> => failed('request.check', 'caller', reason);

const textOf = (content: unknown): string | undefined => {
  if (typeof content === 'string') return content;
  if (!Array.isArray(content)) return undefined;
  const parts = content.map((part: { type?: unknown; text?: unknown }) =>
    part && part.type === 'text' && typeof part.text === 'string' ? part.text : undefined,
  );
  return parts.includes(undefined) ? undefined : parts.join('');
};

/** Checks a chat request. */
export const readRequest = ({
  firm,
  path,
  headers,
  body,
  freshId,
}: Asking): Outcome<CallerRequest> => {
  if (body === null || typeof body !== 'object' || Array.isArray(body))
    return bad('the body is not a JSON object');
  const fields = new Map<string, unknown>(Object.entries(body));
  const model = fields.get('model');
  const raw = fields.get('messages');
  if (typeof model !== 'string' || !model || model.length > 200)
    return bad('model is missing or not a name');
  if (!Array.isArray(raw) || raw.length === 0 || raw.length > 4096)
    return bad('messages must hold 1 to 4096 parts');
  const messages: Message[] = [];
  for (const [at, each] of raw.entries()) {
    const { role, content } = (each ?? {}) as { role?: unknown; content?: unknown };
    const text = textOf(content);
    if (typeof role !== 'string' || !/^[a-z]{1,32}$/.test(role) || text === undefined)
      return bad(`messages[${at}] needs a role and text content`);
    messages.push({ role, content: text });
  }
  const maxTokens = fields.get('max_completion_tokens') ?? fields.get('max_tokens');
  if (maxTokens !== undefined && (!Number.isInteger(maxTokens) || (maxTokens as number) < 1))
    return bad('max_tokens must be a whole number above 0');
  const stream = fields.get('stream') ?? false;
  if (typeof stream !== 'boolean') return bad('stream must be true or false');
  if ((fields.get('n') ?? 1) !== 1) return bad('n must be 1');
  const id = headers.get('x-request-id') ?? freshId;
  if (!/^[\w.:-]{1,128}$/.test(id))
    return bad('x-request-id must be 1 to 128 of letters, digits and . : _ -');
  const repeat = headers.get('x-repeatable');
  if (repeat !== undefined && repeat !== 'yes' && repeat !== 'no')
    return bad('x-repeatable must be yes or no');
  const limit = headers.get('x-limit-ms');
  if (limit !== undefined && !/^\d{1,8}$/.test(limit))
    return bad('x-limit-ms must be whole milliseconds');
  if (limit !== undefined && Number(limit) === 0) return bad('the limit has already passed');
  return Right({
    id,
    firm,
    model,
    path,
    tag: headers.get('x-tag') ?? '',
    repeatable: repeat === undefined ? undefined : repeat === 'yes',
    limit: limit === undefined ? undefined : Number(limit),
    stream,
    messages,
    maxTokens: maxTokens as number | undefined,
    body: fields,
  });
};
