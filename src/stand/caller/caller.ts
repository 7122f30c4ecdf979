/**
 * The stand-in caller: sends a request and records all it is told, piece by piece, as a caller that takes the stream
 * at its word would.
 */
import { Agent, request } from 'undici';
import { reasonOf } from '../../kernel/fault/fault.js';

/** A chat request that is to be sent. */
export interface CallerAsk {
  readonly router: string;
  readonly key: string;
  readonly id: string;
  readonly model: string;
  readonly messages: ReadonlyArray<{ role: string; content: string }>;
  readonly maxTokens: number;
  readonly repeatable: boolean;
  readonly tag?: string;
  readonly path?: string;
  readonly limit?: number;
}

/** What a caller was answered. */
export interface CallerRecord {
  readonly id: string;
  readonly repeatable: boolean;
  readonly began: number;
  firstPiece: number;
  ended: number;
  status: number;
  outcome: 'result' | 'declined' | 'unknown' | 'broken' | 'silent';
  reason: string;
  retryAfter: string;
  engine: string;
  text: string;
  pieces: number;
}

const agent = new Agent({ connections: 512, pipelining: 1, keepAliveTimeout: 1000 });

/** Sends one chat request and records the answer. */
export const callOnce = async (ask: CallerAsk): Promise<CallerRecord> => {
  const record: CallerRecord = {
    id: ask.id,
    repeatable: ask.repeatable,
    began: performance.now(),
    firstPiece: 0,
    ended: 0,
    status: 0,
    outcome: 'silent',
    reason: '',
    retryAfter: '',
    engine: '',
    text: '',
    pieces: 0,
  };
  const headers = {
    'content-type': 'application/json',
    authorization: `Bearer ${ask.key}`,
    'x-request-id': ask.id,
    'x-repeatable': ask.repeatable ? 'yes' : 'no',
    ...(ask.tag ? { 'x-tag': ask.tag } : {}),
    ...(ask.limit ? { 'x-limit-ms': String(ask.limit) } : {}),
  };
  try {
    const reply = await request(`http://${ask.router}${ask.path ?? '/v1/chat/completions'}`, {
      dispatcher: agent,
      method: 'POST',
      headers,
      body: JSON.stringify({
        model: ask.model,
        stream: true,
        messages: ask.messages,
        max_tokens: ask.maxTokens,
      }),
      headersTimeout: 60_000,
      bodyTimeout: 60_000,
    });
    record.status = reply.statusCode;
    record.retryAfter = String(reply.headers['retry-after'] ?? '');
    record.engine = String(reply.headers['x-engine-id'] ?? '');
    if (reply.statusCode !== 200) {
      const told = (await reply.body.json()) as { outcome?: string; reason?: string };
      record.outcome = told.outcome === 'declined' ? 'declined' : 'unknown';
      record.reason = told.reason ?? '';
    } else {
      let pending = '';
      record.outcome = 'broken';
      for await (const part of reply.body) {
        pending += (part as Buffer).toString('utf8');
        for (let cut = pending.indexOf('\n\n'); cut >= 0; cut = pending.indexOf('\n\n')) {
          take(record, pending.slice(0, cut));
          pending = pending.slice(cut + 2);
        }
      }
    }
  } catch (thrown) {
    record.reason ||= reasonOf(thrown);
  }
  record.ended = performance.now();
  return record;
};

const take = (record: CallerRecord, event: string): void => {
  if (record.firstPiece === 0) record.firstPiece = performance.now();
  const data = event
    .split('\n')
    .filter((line) => line.startsWith('data: '))
    .map((line) => line.slice(6))
    .join('\n');
  if (event.startsWith('event: error')) {
    record.reason = (JSON.parse(data) as { reason?: string }).reason ?? 'broken';
    return;
  }
  if (data === '[DONE]') {
    record.outcome = 'result';
    return;
  }
  const content =
    (JSON.parse(data) as { choices?: Array<{ delta?: { content?: string } }> }).choices?.[0]?.delta
      ?.content ?? '';
  if (content) record.pieces += 1;
  record.text += content;
};
