/** The stand-in engine and caller by themselves, over real sockets, with the judge between them. */
import { afterEach, expect, test } from 'vitest';
import { SystemClock } from '../../src/kernel/clock/clock.js';
import { SeededRandom } from '../../src/kernel/random/random.js';
import { OpaqueCaller, type Asking } from '../../src/stand/opaque/caller.js';
import { OpaqueEngine, type OpaqueEngineParams } from '../../src/stand/opaque/engine.js';
import { judgeOpaque } from '../../src/stand/opaque/judge.js';
import type { Asked } from '../../src/stand/opaque/record.js';
import type { TroubleKind } from '../../src/stand/opaque/trouble.js';

const clock = new SystemClock();
const opened: OpaqueEngine[] = [];
afterEach(async () => void (await Promise.all(opened.splice(0).map((engine) => engine.close()))));

const start = async (
  over: Partial<OpaqueEngineParams> = {},
): Promise<{ engine: OpaqueEngine; address: string; caller: OpaqueCaller }> => {
  const engine = new OpaqueEngine({ service: 's', ...over }, clock);
  opened.push(engine);
  return {
    engine,
    address: await engine.listen(),
    caller: new OpaqueCaller(clock, new SeededRandom(3)),
  };
};
const prompt = [
  ['X-Model', 'm'],
  ['X-Token-Counts', '100,24'],
  ['X-Prompt-Parts', 'aa:60,bb:40'],
] as const;
const asking = (over: Partial<Asking> = {}): Asking => ({
  name: 'n',
  host: 'h.example',
  target: '/a/b?c=d',
  method: 'POST',
  body: Buffer.from('body'),
  repeatable: false,
  deadline: 5000,
  silence: 3000,
  furtherTries: 0,
  ...over,
});
const judged = (engine: OpaqueEngine, caller: OpaqueCaller): string[] =>
  judgeOpaque({
    asked: caller.asked,
    arrivals: engine.arrivals,
    configurations: [
      {
        configuration: {
          version: 1,
          routes: [
            {
              name: 'r',
              host: 'h.example',
              prefix: '/a/',
              kind: 'streaming',
              timeout: 1000,
              service: 's',
            },
          ],
          services: [],
        },
        sentAt: 0,
        acceptedAt: 0,
        refused: false,
      },
    ],
    leaving: new Map(),
    bounds: { drain: 3000, apply: 2000, ratio: 0, window: 1000, slack: 100 },
  }).map(({ breach }) => breach);

test('any method, path and body gets its one answer, and a prompt a stream with rising ids', async () => {
  const { engine, address, caller } = await start();
  for (const method of ['GET', 'POST', 'PUT', 'DELETE'])
    expect(
      (
        await caller.ask(
          asking({
            method,
            body: Buffer.from(method === 'GET' ? '' : 'some'),
            chunked: method === 'PUT' ? 2 : 0,
          }),
          () => address,
        )
      ).outcome,
    ).toBe('served');
  const large = await caller.ask(asking({ target: '/a/?bytes=200000' }), () => address);
  expect(large.tries[0]).toMatchObject({ complete: true, status: 200 });
  expect(large.tries[0]!.body).toHaveLength(200_000);
  const stream = await caller.ask(asking({ fields: prompt }), () => address);
  expect(stream.tries[0]!.events).toHaveLength(6);
  expect(engine.requests.map(({ method, bytes }) => [method, bytes])).toEqual([
    ['GET', 0],
    ['POST', 4],
    ['PUT', 4],
    ['DELETE', 4],
    ['POST', 4],
    ['POST', 4],
  ]);
  expect(judged(engine, caller)).toEqual([]);
});

test('it turns away what is meant for another, has no id or finds no room, and says that it did not run', async () => {
  const { engine, address, caller } = await start({ slots: 1, queue: 0 });
  const away = await caller.ask(
    asking({ fields: [['X-Expect-Engine', 'engine-7']] }),
    () => address,
  );
  expect([away.outcome, away.tries[0]!.status]).toEqual(['refused', 421]);
  const mine = await caller.ask(
    asking({ fields: [['X-Expect-Engine', 'engine-1']] }),
    () => address,
  );
  expect(mine.outcome).toBe('served');
  const both = await Promise.all([
    caller.ask(asking({ fields: prompt }), () => address),
    caller.ask(asking({ fields: prompt }), () => address),
  ]);
  expect(both.map(({ outcome }) => outcome).sort()).toEqual(['refused', 'served']);
  expect(both.find(({ outcome }) => outcome === 'refused')!.tries[0]).toMatchObject({
    status: 503,
    retryAfter: 500,
  });
  expect(engine.requests.filter(({ ran }) => ran > 0)).toHaveLength(2);
  expect(judged(engine, caller)).toEqual([]);
});

test('a stream is taken up behind the last event the caller holds', async () => {
  const { engine, address, caller } = await start();
  engine.troubles.tell('cut', 1);
  const { outcome, tries } = await caller.ask(
    asking({ fields: prompt, repeatable: true, resume: true, furtherTries: 2 }),
    () => address,
  );
  expect(outcome).toBe('served');
  expect(tries.map(({ after, events, complete }) => [after, events.length, complete])).toEqual([
    [0, 2, false],
    [2, 4, true],
  ]);
  expect(judged(engine, caller)).toEqual([]);
});

test('it leaves in order, and answers the probe by its name', async () => {
  const { engine, address, caller } = await start();
  const probe = async (): Promise<[number, string]> => {
    const { tries } = await caller.ask(
      asking({ method: 'GET', target: '/health', body: Buffer.alloc(0) }),
      () => address,
    );
    return [tries[0]!.status, tries[0]!.answeredId === '' ? 'none' : 'same'];
  };
  expect((await probe())[0]).toBe(200);
  engine.draining = true;
  expect((await probe())[0]).toBe(503);
  expect((await caller.ask(asking(), () => address)).outcome).toBe('served');
  expect(engine.requests).toHaveLength(1);
});

/** What a caller that asks the engine without any router between is told of each trouble, and what the judge says of it. */
const shown: ReadonlyArray<readonly [TroubleKind, Partial<Asked['tries'][0]>, readonly string[]]> =
  [
    ['full', { status: 503, complete: true, retryAfter: 500 }, []],
    ['busy', { status: 429, complete: true }, []],
    ['reset', { status: 0, complete: false }, []],
    ['closed', { status: 0, complete: false, reason: 'closed' }, []],
    ['silent', { status: 0, complete: false, reason: 'silent' }, []],
    ['failure', { status: 500, complete: true }, []],
    ['unmarked-full', { status: 503, complete: true }, ['refused-but-ran']],
    ['garbled', { status: 0 }, []],
    ['foreign', { status: 200, complete: true }, ['mixed']],
    ['unsealed', { status: 200, complete: true, seal: '' }, ['mixed', 'mixed']],
    ['encoded', { status: 200, encoding: 'br' }, ['mixed']],
    ['unframed', { status: 200, complete: true }, []],
    ['cut', { status: 200, complete: false }, []],
    ['cut-reset', { status: 200, complete: false }, []],
    ['cut-inside', { status: 200, complete: false }, []],
    ['stalled', { status: 200, complete: false, reason: 'silent' }, []],
    ['garbled-midway', { status: 200, complete: false }, []],
    ['surplus', { status: 200, complete: true, surplus: 1 }, ['mixed']],
  ];
for (const [kind, seen, breaches] of shown) {
  test(`told to: ${kind}`, async () => {
    const { engine, address, caller } = await start();
    engine.troubles.tell(kind, 1);
    const { tries } = await caller.ask(asking({ fields: prompt, silence: 300 }), () => address);
    expect(tries[0]).toMatchObject(seen);
    expect(judged(engine, caller)).toEqual(breaches);
    expect((await caller.ask(asking({ fields: prompt }), () => address)).outcome).toBe('served');
  });
}

test('an answer whose length was told is whole at its last byte; one in chunks is cut without its end', async () => {
  const { engine, address, caller } = await start();
  engine.troubles.tell('cut-end');
  for (const bytes of [3000, 100_000])
    await caller.ask(asking({ target: `/a/x?bytes=${bytes}` }), () => address);
  expect(caller.asked.map(({ tries }) => tries[0]!.complete)).toEqual([true, false]);
  expect(engine.requests.map(({ ended }) => ended)).toEqual(['whole', 'cut']);
  expect(judged(engine, caller)).toEqual([]);
});

test('a caller tries again as its kind allows, with an id of its own each time', async () => {
  const { engine, address, caller } = await start();
  const tries = async (kind: TroubleKind, repeatable: boolean): Promise<number> => {
    engine.troubles.tell(kind, 1);
    const asked = await caller.ask(asking({ repeatable, furtherTries: 1 }), () => address);
    expect(new Set(asked.tries.map(({ id }) => id)).size).toBe(asked.tries.length);
    return asked.tries.length;
  };
  expect([
    await tries('reset', true),
    await tries('reset', false),
    await tries('full', false),
    await tries('failure', false),
    await tries('failure', true),
  ]).toEqual([2, 1, 2, 1, 2]);
  expect((await caller.ask(asking({ furtherTries: 2 }), () => '127.0.0.1:1')).tries).toHaveLength(
    3,
  );
});
