/** The judge of opaque requests: each planted violation is found under its own name, and clean evidence is left alone. */
import { expect, test } from 'vitest';
import type { Configuration, Route } from '../../src/route/shape.js';
import {
  judgeOpaque,
  type OpaqueBreach,
  type OpaqueEvidence,
  type SentConfiguration,
} from '../../src/stand/opaque/judge.js';
import type { Arrival, Asked, Try } from '../../src/stand/opaque/record.js';

const route = (over: Partial<Route> = {}): Route => ({
  name: 'r',
  host: 'h.example',
  prefix: '/a/',
  kind: 'streaming',
  timeout: 1000,
  service: 's',
  ...over,
});
const configured = (
  version: number,
  routes: readonly Route[],
  over: Partial<SentConfiguration> = {},
): SentConfiguration => ({
  configuration: {
    version,
    routes,
    services: [{ name: 's' }, { name: 't' }],
  } satisfies Configuration,
  sentAt: 0,
  acceptedAt: 0,
  refused: false,
  ...over,
});
const piece = (seal: string, id: number): string => `id: ${id}\ndata: ${seal}\n\n`;
const told = (over: Partial<Try> = {}): Try => ({
  id: 'q',
  router: 'r',
  at: 10_000,
  after: 0,
  ended: 10_100,
  connected: true,
  status: 200,
  answeredId: 'q',
  seal: 'S',
  encoding: '',
  retryAfter: undefined,
  body: 'abc',
  events: [],
  stream: false,
  complete: true,
  malformed: '',
  surplus: 0,
  reason: '',
  firstAt: 1,
  ...over,
});
const streamed = (events: readonly string[], over: Partial<Try> = {}): Try =>
  told({ body: events.join(''), events: [...events], stream: true, ...over });
const asked = (tries: Try[] = [told()], over: Partial<Asked> = {}): Asked => ({
  name: 'n',
  host: 'h.example',
  target: '/a/b',
  method: 'POST',
  digest: 'd',
  repeatable: false,
  resume: false,
  began: 10_000,
  tries,
  outcome: 'served',
  ...over,
});
const arrival = (over: Partial<Arrival> = {}): Arrival => ({
  engine: 'e',
  service: 's',
  id: 'q',
  digest: 'd',
  method: 'POST',
  target: '/a/b',
  host: 'h.example',
  fields: [],
  bytes: 0,
  at: 10_010,
  connection: 1,
  probe: false,
  after: 0,
  urgency: 5,
  ran: 10_010,
  read: 0,
  hits: 0,
  status: 200,
  seal: 'S',
  made: ['abc'],
  stream: false,
  total: 1,
  ended: 'whole',
  ...over,
});
const pieces = (seal: string, ...ids: number[]): string[] => ids.map((id) => piece(seal, id));
const run = (over: Partial<Arrival> = {}): Arrival =>
  arrival({ stream: true, total: 4, made: pieces('S', 1, 2, 3, 4), ...over });
const evidence = (over: Partial<OpaqueEvidence> = {}): OpaqueEvidence => ({
  asked: [asked()],
  arrivals: [arrival()],
  configurations: [configured(1, [route()])],
  leaving: new Map(),
  bounds: { drain: 3000, apply: 2000, ratio: 0.2, window: 1000, slack: 1 },
  ...over,
});

const resumed = (...joined: string[]): Partial<OpaqueEvidence> => ({
  asked: [asked([streamed(joined)], { resume: true, repeatable: true })],
  arrivals: [
    run({ made: pieces('S', 1, 2), ended: 'cut' }),
    run({ engine: 'f', seal: 'T', after: 2, made: pieces('T', 3, 4) }),
  ],
});

const clean: ReadonlyArray<readonly [string, Partial<OpaqueEvidence>]> = [
  ['a whole answer', {}],
  ['a whole stream', { asked: [asked([streamed(pieces('S', 1, 2, 3, 4))])], arrivals: [run()] }],
  [
    'a stream visibly broken',
    { asked: [asked([streamed(pieces('S', 1, 2), { complete: false })])], arrivals: [run()] },
  ],
  ['a stream taken up again', resumed(...pieces('S', 1, 2), ...pieces('T', 3, 4))],
  [
    'a stream taken up by its caller',
    {
      asked: [
        asked(
          [
            streamed(pieces('S', 1, 2), { complete: false }),
            streamed(pieces('T', 3, 4), { id: 'q2', answeredId: 'q2', seal: 'T', after: 2 }),
          ],
          { resume: true, repeatable: true },
        ),
      ],
      arrivals: [
        run({ ended: 'cut' }),
        run({ id: 'q2', seal: 'T', after: 2, made: pieces('T', 3, 4) }),
      ],
    },
  ],
  [
    'a refusal that never ran',
    {
      asked: [asked([told({ status: 503, seal: '', body: '', answeredId: '' })])],
      arrivals: [arrival({ ran: 0, ended: 'refused', status: 503 })],
    },
  ],
  [
    'an unknown end of what ran',
    {
      asked: [asked([told({ status: 502, seal: '', body: '', answeredId: '' })])],
      arrivals: [arrival({ ended: 'cut' })],
    },
  ],
  [
    'an engine broke off with bytes that are no answer',
    {
      asked: [asked([told({ complete: false, body: 'ab', malformed: 'x' })])],
      arrivals: [arrival({ ended: 'cut' })],
    },
  ],
  [
    'a repeatable request run twice',
    {
      asked: [asked([told()], { repeatable: true })],
      arrivals: [arrival({ engine: 'f', seal: 'R', ended: 'cut' }), arrival()],
    },
  ],
  [
    'a failure handed on',
    {
      asked: [asked([told({ status: 500, body: 'bad' })])],
      arrivals: [arrival({ status: 500, made: ['bad'], ended: 'failed' })],
    },
  ],
  ['an engine that leaves and still may get requests', { leaving: new Map([['e', 8000]]) }],
  [
    'an older version soon after a newer was accepted',
    {
      configurations: [
        configured(1, [route()]),
        configured(2, [route({ service: 't' })], { acceptedAt: 9000 }),
      ],
    },
  ],
];
for (const [name, over] of clean)
  test(`no finding: ${name}`, () => expect(judgeOpaque(evidence(over))).toEqual([]));

const planted: ReadonlyArray<readonly [OpaqueBreach, string, Partial<OpaqueEvidence>]> = [
  ['mixed', 'no seal', { asked: [asked([told({ seal: '' })])] }],
  ['mixed', 'another seal', { asked: [asked([told({ seal: 'X' })])] }],
  ['mixed', "a body that is not the engine's", { asked: [asked([told({ body: 'abx' })])] }],
  ['mixed', 'a part shown as complete', { asked: [asked([told({ body: 'ab' })])] }],
  ['mixed', 'an answer under another id', { asked: [asked([told({ answeredId: 'p' })])] }],
  [
    'mixed',
    'the answer of another request',
    {
      asked: [
        asked(
          [
            told({ body: 'xyz', seal: 'Y' }),
            told({ id: 'p', answeredId: 'p', body: 'xyz', seal: 'Y' }),
          ],
          { repeatable: true },
        ),
      ],
      arrivals: [arrival(), arrival({ id: 'p', seal: 'Y', made: ['xyz'] })],
    },
  ],
  [
    'mixed',
    'a success where the engine failed',
    { arrivals: [arrival({ status: 500, ended: 'failed' })] },
  ],
  ['mixed', 'bytes behind the answer', { asked: [asked([told({ surplus: 1 })])] }],
  ['mixed', 'bytes that are no answer', { asked: [asked([told({ malformed: 'no status' })])] }],
  ['mixed', 'an encoded body', { asked: [asked([told({ encoding: 'br' })])] }],
  [
    'mixed',
    'a changed failure',
    {
      asked: [asked([told({ status: 500, body: 'good' })])],
      arrivals: [arrival({ status: 500, made: ['bad'], ended: 'failed' })],
    },
  ],
  [
    'order',
    'a piece missing',
    { asked: [asked([streamed(pieces('S', 1, 3, 4))])], arrivals: [run()] },
  ],
  [
    'order',
    'a piece twice',
    { asked: [asked([streamed(pieces('S', 1, 2, 2, 3, 4))])], arrivals: [run()] },
  ],
  [
    'order',
    'complete before its last piece',
    {
      asked: [asked([streamed(pieces('S', 1, 2))])],
      arrivals: [run({ ended: 'cut', made: pieces('S', 1, 2) })],
    },
  ],
  [
    'order',
    'two runs joined where it may not',
    {
      ...resumed(...pieces('S', 1, 2), ...pieces('T', 3, 4)),
      asked: [
        asked([streamed([...pieces('S', 1, 2), ...pieces('T', 3, 4)])], { repeatable: true }),
      ],
    },
  ],
  [
    'order',
    'a run joined that did not go on there',
    {
      ...resumed(...pieces('S', 1, 2), ...pieces('T', 3, 4)),
      arrivals: [
        run({ made: pieces('S', 1, 2), ended: 'cut' }),
        run({ engine: 'f', seal: 'T', after: 0, made: pieces('T', 1, 2, 3, 4) }),
      ],
    },
  ],
  [
    'mixed',
    'a piece that nobody made',
    { asked: [asked([streamed([...pieces('S', 1, 2, 3), piece('X', 4)])])], arrivals: [run()] },
  ],
  ['unasked', 'an id that nobody sent', { arrivals: [arrival(), arrival({ id: 'smuggled' })] }],
  ['unasked', 'a changed body', { arrivals: [arrival({ digest: 'other' })] }],
  ['ran-twice', 'at two engines', { arrivals: [arrival(), arrival({ engine: 'f', seal: 'R' })] }],
  [
    'refused-but-ran',
    'told 503',
    { asked: [asked([told({ status: 503, seal: '', body: '', answeredId: '' })])] },
  ],
  [
    'refused-but-ran',
    'told 503 though another engine ran it',
    {
      asked: [
        asked([told({ status: 429, seal: '', body: '', answeredId: '' })], { repeatable: true }),
      ],
      arrivals: [
        arrival({ ended: 'cut' }),
        arrival({ engine: 'f', ran: 0, ended: 'refused', status: 503 }),
      ],
    },
  ],
  ['route', 'a service that no route names', { arrivals: [arrival({ service: 'u' })] }],
  [
    'route',
    'a path without route',
    { asked: [asked([told()], { target: '/z/' })], arrivals: [arrival({ target: '/z/' })] },
  ],
  [
    'stale-configuration',
    'the old service',
    {
      configurations: [
        configured(1, [route()]),
        configured(2, [route({ service: 't' })], { acceptedAt: 7000 }),
      ],
    },
  ],
  [
    'stale-configuration',
    '404 on a route that is there',
    { asked: [asked([told({ status: 404, seal: '', body: '', answeredId: '' })])], arrivals: [] },
  ],
  [
    'stale-configuration',
    'a version that was refused',
    {
      configurations: [
        configured(1, [route({ service: 't' })]),
        configured(2, [route()], { acceptedAt: undefined, refused: true }),
      ],
    },
  ],
  ['after-leaving', 'long after', { leaving: new Map([['e', 7000]]) }],
];
for (const [breach, name, over] of planted)
  test(`found as ${breach}: ${name}`, () =>
    expect([...new Set(judgeOpaque(evidence(over)).map((finding) => finding.breach))]).toEqual([
      breach,
    ]));

test('further arrivals are counted in every sliding window', () => {
  const many = (
    moments: readonly number[],
    further: readonly number[],
  ): Partial<OpaqueEvidence> => ({
    asked: moments.map((at, each) =>
      asked([told({ id: `q${each}`, answeredId: `q${each}`, at, seal: `S${each}` })], {
        repeatable: true,
      }),
    ),
    arrivals: [
      ...moments.map((at, each) => arrival({ id: `q${each}`, at, seal: `S${each}` })),
      ...further.map((at, each) => arrival({ id: `q${each}`, at, seal: `T${each}`, ended: 'cut' })),
    ],
  });
  const steady = Array.from({ length: 100 }, (_, at) => 10_000 + at * 100);
  const found = (further: readonly number[]): string[] =>
    judgeOpaque(evidence(many(steady, further))).map(({ breach }) => breach);
  expect(found([15_000, 15_010, 15_020])).toEqual([]);
  expect(found([15_000, 15_010, 15_020, 15_900])).toEqual(['retry-share']);
  expect(found([15_000, 15_010, 15_020, 16_100, 16_110, 16_120])).toEqual([]);
});
