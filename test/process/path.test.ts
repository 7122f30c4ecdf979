/** The complete path at process level: a fleet of real processes, a doorway set by an operator, a result streamed. */
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { connect } from 'node:net';
import { request } from 'undici';
import { operate } from '../../src/client/operate.js';
import { callerKey, Fleet, operatorKey } from '../../src/fleet/fleet.js';
import { parseAddress } from '../../src/kernel/net/net.js';
import { digestOf } from '../../src/register/hash.js';
import { State } from '../../src/register/calls.js';
import { encodeFrame, HELLO, helloField, Stage } from '../../src/wire/call.js';
import { encode } from '../../src/wire/field.js';
import { callOnce } from '../../src/stand/caller/caller.js';

const fleet = new Fleet({
  folder: mkdtempSync(join(tmpdir(), 'rr-')),
  cores: 1,
  routers: 2,
  engines: 2,
  zones: ['a', 'b'],
  firms: ['sahel'],
});

const doorway = {
  name: 'quotes',
  firm: 'sahel',
  match: { model: 'family' },
  engines: [{ label: 'pool', value: 'shared' }],
  repeatable: false,
  resume: false,
  limits: { firstToken: 5000, total: 20_000 },
  line: 100,
  share: 1,
};

beforeAll(() => fleet.start());
afterAll(() => fleet.stop());

test('a doorway is set, carried to every router, and a request is streamed through it', async () => {
  await fleet.until(
    'the core',
    async () => (await fleet.setDoorway('core-1', doorway, 0, 'first'))?.outcome === 'accepted',
  );
  await fleet.setDoorway(
    'core-1',
    { ...doorway, name: 'again', match: { tag: 'again' }, repeatable: true },
    0,
    'again',
  );
  await fleet.ready(['router-1', 'router-2']);
  await fleet.claiming(['router-1', 'router-2']);
  const long = 'the timetable of the yard, '.repeat(40);
  for (const [at, router] of [...fleet.callers.values()].entries()) {
    const record = await callOnce({
      router,
      key: callerKey('sahel'),
      id: `call-${at}`,
      model: 'family',
      messages: [
        { role: 'system', content: long },
        { role: 'user', content: 'when does wagon 7 leave?' },
      ],
      maxTokens: 16,
      repeatable: false,
    });
    expect(record).toMatchObject({ outcome: 'result', status: 200 });
    const { runs } = await fleet.runs();
    const run = runs.filter(({ request }) => request === `call-${at}`);
    expect(run).toHaveLength(1);
    expect(run[0]!.text).toBe(record.text);
  }
  for (const [router, operators] of [...fleet.operators].filter(([name]) =>
    name.startsWith('router'),
  ))
    expect(await fleet.metric(router, 'requests_fresh'), operators).toBe(1);
  const wrong = await callOnce({
    router: fleet.callers.get('router-1')!,
    key: 'nobody',
    id: 'call-x',
    model: 'family',
    messages: [{ role: 'user', content: 'hello' }],
    maxTokens: 4,
    repeatable: true,
  });
  expect(wrong).toMatchObject({ outcome: 'declined', status: 401 });
});

const ask = async (over: {
  body?: unknown;
  headers?: Record<string, string>;
  path?: string;
}): Promise<{
  status: number;
  value: Record<string, unknown>;
  headers: Record<string, unknown>;
}> => {
  const reply = await request(
    `http://${fleet.callers.get('router-1')!}${over.path ?? '/v1/chat/completions'}`,
    {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${callerKey('sahel')}`,
        ...over.headers,
      },
      body:
        typeof over.body === 'string'
          ? over.body
          : JSON.stringify(
              over.body ?? {
                model: 'family',
                messages: [{ role: 'user', content: 'hello' }],
                max_tokens: 8,
              },
            ),
    },
  );
  const text = await reply.body.text();
  return {
    status: reply.statusCode,
    value: JSON.parse(text) as Record<string, unknown>,
    headers: reply.headers,
  };
};
const ran = async (): Promise<number> => (await fleet.runs()).runs.length;

test('a collected result is one whole answer, and an id that may not be repeated is taken once', async () => {
  const first = await ask({ headers: { 'x-request-id': 'once' } });
  expect(first.status).toBe(200);
  expect(
    (first.value['choices'] as Array<{ message: { content: string } }>)[0]!.message.content,
  ).toMatch(/^w00-\w+ w01-/);
  const before = await ran();
  const again = await ask({ headers: { 'x-request-id': 'once' } });
  expect(again).toMatchObject({ status: 409, value: { outcome: 'unknown' } });
  expect(await ran()).toBe(before);
});

test('bad requests get a clear 4xx and are never forwarded', async () => {
  const before = await ran();
  const messages = [{ role: 'user', content: 'x' }];
  for (const [status, over] of [
    [400, { body: '{"model":' }],
    [400, { body: { model: 'family', messages: [] } }],
    [400, { body: { model: 'family', messages, max_tokens: 100_000 } }],
    [400, { headers: { 'x-limit-ms': '0' } }],
    [400, { headers: { 'x-repeatable': 'perhaps' } }],
    [404, { body: { model: 'other', messages } }],
    [
      413,
      { body: { model: 'family', messages: [{ role: 'user', content: 'long '.repeat(20_000) }] } },
    ],
    [401, { headers: { authorization: 'Bearer nobody' } }],
  ] as const) {
    const told = await ask(over);
    expect([status, told.status]).toEqual([status, status]);
  }
  expect(await ran()).toBe(before);
});

test('an engine that says it did not run leads to "declined" with a time to come back, or to another engine', async () => {
  const busy = async (names: readonly string[], behaviour: string): Promise<void> => {
    for (const name of names)
      await fleet.tell(fleet.engines.get(name)!, '/stand/behave', { behaviour });
  };
  await busy(['engine-1', 'engine-2'], 'busy');
  const before = await ran();
  const told = await ask({});
  expect(told).toMatchObject({ status: 503, value: { outcome: 'declined' } });
  expect(Number(told.headers['retry-after'])).toBeGreaterThan(0);
  expect(await ran()).toBe(before);
  await busy(['engine-1', 'engine-2'], 'well');
});

test('after a request was written, only one that may be repeated goes to a second engine, and only from earned retries', async () => {
  const before = await fleet.metric('router-1', 'requests_fresh');
  for (let at = 0; at < 45 - before; at++)
    await ask({ headers: { 'x-request-id': `fresh-${at}` } });
  for (const name of ['engine-1', 'engine-2'])
    await fleet.tell(fleet.engines.get(name)!, '/stand/behave', { behaviour: 'foreign' });
  const times = async (id: string): Promise<number> =>
    (await fleet.runs()).runs.filter((run) => run.request === id).length;
  const fresh = await callOnce({
    router: fleet.callers.get('router-2')!,
    key: callerKey('sahel'),
    id: 'unearned',
    model: 'family',
    messages: [{ role: 'user', content: 'x' }],
    maxTokens: 4,
    repeatable: true,
    tag: 'again',
  });
  expect([fresh.outcome, await times('unearned')]).toEqual(['unknown', 1]);
  const once = await ask({ headers: { 'x-request-id': 'not-again' } });
  expect([once.status, once.value['outcome'], await times('not-again')]).toEqual([
    502,
    'unknown',
    1,
  ]);
  const twice = await ask({ headers: { 'x-request-id': 'again', 'x-tag': 'again' } });
  expect([twice.status, twice.value['outcome'], await times('again')]).toEqual([502, 'unknown', 2]);
  for (const name of ['engine-1', 'engine-2'])
    await fleet.tell(fleet.engines.get(name)!, '/stand/behave', { behaviour: 'well' });
});

test('a stream that broke goes on at another engine where its doorway allows it, word for word', async () => {
  await fleet.until(
    'a doorway that allows it',
    async () =>
      (
        await fleet.setDoorway(
          'core-1',
          {
            ...doorway,
            name: 'goes-on',
            match: { tag: 'goes-on' },
            repeatable: true,
            resume: true,
          },
          0,
          'goes-on',
        )
      )?.outcome === 'accepted',
  );
  const earn = async (name: string): Promise<void> => {
    for (let at = 0; at < 25; at++) await ask({ headers: { 'x-request-id': `${name}-${at}` } });
  };
  const behave = async (behaviour: string): Promise<void> => {
    for (const address of fleet.engines.values())
      await fleet.tell(address, '/stand/behave', { behaviour });
  };
  const send = (id: string, tag: string): ReturnType<typeof callOnce> =>
    callOnce({
      router: fleet.callers.get('router-1')!,
      key: callerKey('sahel'),
      id,
      model: 'family',
      messages: [{ role: 'user', content: id }],
      maxTokens: 12,
      repeatable: true,
      tag,
    });
  await earn('for');
  await behave('cut-first');
  const { outcome, text } = await send('goes-on', 'goes-on');
  const runs = (await fleet.runs()).runs.filter((run) => run.request === 'goes-on');
  const rest = runs.find(({ continues }) => continues)!;
  const first = runs.find((run) => run !== rest)!;
  expect([outcome, runs.length, rest.engine === first.engine]).toEqual(['result', 2, false]);
  expect(first.text.startsWith(rest.continues)).toBe(true);
  expect(text).toBe(rest.continues + rest.text);
  expect(
    text
      .trim()
      .split(' ')
      .map((word) => word.slice(0, 3)),
  ).toEqual(Array.from({ length: 12 }, (_, word) => `w${String(word).padStart(2, '0')}`));
  await behave('well');
  await earn('for-more');
  await behave('cut-first');
  for (let at = 0; at < 4; at++)
    expect((await send(`stays-${at}`, 'again')).outcome).toBe('broken');
  const stayed = (await fleet.runs()).runs.filter(({ request: id }) => id.startsWith('stays-'));
  expect(stayed.map(({ continues }) => continues)).toEqual(['', '', '', '']);
  await behave('well');
});

test('a repeatable request whose second try finds no time left is unknown, not declined', async () => {
  for (const name of ['engine-1', 'engine-2'])
    await fleet.tell(fleet.engines.get(name)!, '/stand/behave', { behaviour: 'stall' });
  for (let at = 0; at < 45; at++)
    await ask({ headers: { 'x-request-id': `earn-${at}`, 'x-limit-ms': '20' } });
  const told = await ask({
    headers: { 'x-request-id': 'no-time', 'x-tag': 'again', 'x-limit-ms': '400' },
  });
  expect(
    (await fleet.runs()).runs.filter((run) => run.request === 'no-time').length,
  ).toBeGreaterThan(0);
  expect([told.status, told.value['outcome']]).toEqual([502, 'unknown']);
  for (const name of ['engine-1', 'engine-2'])
    await fleet.tell(fleet.engines.get(name)!, '/stand/behave', { behaviour: 'well' });
});

test('an id that may not be repeated runs once, whichever routers it is sent to', async () => {
  const routers = [...fleet.callers.values()];
  const send = (id: string, at: number): ReturnType<typeof callOnce> =>
    callOnce({
      router: routers[at % 2]!,
      key: callerKey('sahel'),
      id,
      model: 'family',
      messages: [{ role: 'user', content: 'x' }],
      maxTokens: 4,
      repeatable: false,
    });
  for (let round = 0; round < 10; round++) {
    const told = await Promise.all([send(`fleet-${round}`, 0), send(`fleet-${round}`, 1)]);
    const later = await send(`fleet-${round}`, round);
    const ran = (await fleet.runs()).runs.filter((run) => run.request === `fleet-${round}`).length;
    expect(ran).toBeLessThanOrEqual(1);
    expect(
      told.filter(({ outcome }) => outcome === 'result').length +
        Number(later.outcome === 'result'),
    ).toBe(ran);
  }
});

test('a caller that leaves cancels the work at the engine', async () => {
  const reply = await request(`http://${fleet.callers.get('router-1')!}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${callerKey('sahel')}`,
      'x-request-id': 'leaver',
    },
    body: JSON.stringify({
      model: 'family',
      stream: true,
      max_tokens: 16,
      messages: [{ role: 'user', content: 'x' }],
    }),
  });
  await reply.body[Symbol.asyncIterator]().next();
  reply.body.destroy();
  await fleet.until('the engine to stop', async () =>
    (await fleet.runs()).runs.some((run) => run.request === 'leaver' && run.ended === 'cut'),
  );
});

test('a stream that is cut, or ends without its end marker, is never shown as complete', async () => {
  for (const behaviour of ['cut', 'no-marker']) {
    for (const name of ['engine-1', 'engine-2'])
      await fleet.tell(fleet.engines.get(name)!, '/stand/behave', { behaviour });
    const call = await callOnce({
      router: fleet.callers.get('router-1')!,
      key: callerKey('sahel'),
      id: `ends-${behaviour}`,
      model: 'family',
      messages: [{ role: 'user', content: 'x' }],
      maxTokens: 16,
      repeatable: true,
      tag: 'again',
    });
    expect([
      call.outcome,
      call.text.length > 0,
      (await fleet.runs()).runs.filter((run) => run.request === `ends-${behaviour}`).length,
    ]).toEqual(['broken', true, 1]);
    const collected = await ask({ headers: { 'x-request-id': `collected-${behaviour}` } });
    expect(collected).toMatchObject({ status: 502, value: { outcome: 'unknown' } });
    expect(collected.value['choices']).toBeUndefined();
  }
  for (const name of ['engine-1', 'engine-2'])
    await fleet.tell(fleet.engines.get(name)!, '/stand/behave', { behaviour: 'well' });
});

test('bad frames and foreign fleets close their own channel and harm nothing else', async () => {
  const { host, port } = parseAddress(fleet.peers.get('core-1')!);
  const closed = (bytes: Uint8Array): Promise<void> =>
    new Promise((resolve) => {
      const socket = connect(port, host, () => socket.write(bytes));
      socket.once('close', () => resolve());
      socket.once('error', () => undefined);
      socket.resume();
    });
  const framed = (frame: Uint8Array): Buffer =>
    Buffer.concat([Buffer.from([0, 0, 0, frame.length]), frame]);
  await closed(Buffer.from('GET / HTTP/1.1\r\n\r\n'));
  await closed(Buffer.from([0xff, 0xff, 0xff, 0xff, 1]));
  await closed(framed(Buffer.from('not a frame')));
  await closed(framed(encodeFrame(Stage.ask, 4, 1, encode(State.ask, { from: 'no hello' }))));
  await closed(
    framed(
      encodeFrame(
        Stage.ask,
        HELLO,
        0,
        encode(helloField, { fleet: 'another', name: 'x', incarnation: 'y' }),
      ),
    ),
  );
  const late = framed(
    encodeFrame(
      Stage.ask,
      HELLO,
      0,
      encode(helloField, { fleet: 'local', name: 'x', incarnation: 'y' }),
    ),
  );
  late[4 + 4] = 9;
  await closed(late);
  expect((await ask({})).status).toBe(200);
});

test('operators: wrong keys, bad bodies and races each get one certain answer', async () => {
  const to = { node: fleet.operators.get('router-2')!, key: operatorKey('sahel') };
  const reason = async (call: string, body: unknown, key = to.key): Promise<string> =>
    (await operate({ ...to, key }, call as 'doorway.list', body as Record<string, never>)).caseOf({
      Left: ({ certainty, reason: why }) => `${certainty}: ${why}`,
      Right: () => 'done',
    });
  expect(await reason('doorway.list', {}, 'wrong')).toMatch(/^declined: the key/);
  expect(await reason('doorway.list', { extra: 1 })).toMatch(/^declined: .*additional properties/);
  expect(
    await reason('doorway.set', { change: 'c', doorway: { name: 'x' }, expects: 0, wait: 1000 }),
  ).toMatch(/^declined: .*required property/);
  expect(await reason('nothing.here', {})).toMatch(/^declined: there is no call/);
  const opened = (await operate(to, 'doorway.get', { name: doorway.name })).unsafeCoerce().revision;
  const rivals = await Promise.all(
    ['r1', 'r2', 'r3'].map((id, at) =>
      fleet.setDoorway(
        ['router-1', 'router-2', 'core-1'][at]!,
        { ...doorway, line: at + 1 },
        opened,
        id,
      ),
    ),
  );
  expect(rivals.map((told) => told?.outcome).sort()).toEqual(['accepted', 'lost', 'lost']);
  const winner = rivals.findIndex((told) => told?.outcome === 'accepted');
  expect(
    await fleet.setDoorway('core-1', { ...doorway, line: winner + 1 }, opened, `r${winner + 1}`),
  ).toEqual(rivals[winner]);
});

test('SIGHUP takes in new keys, and bad params on reload change nothing', async () => {
  const file = join(fleet.plan.folder, 'router-1.json');
  const before = readFileSync(file, 'utf8');
  const params = JSON.parse(before) as { firms: Array<{ callerKeys: string[] }> };
  /** What a key is told; "come back later" says nothing of the key, so it comes back. */
  const status = async (key: string): Promise<number> => {
    for (;;) {
      const told = await ask({ headers: { authorization: `Bearer ${key}` } });
      if (told.status !== 503) return told.status;
      await pause(Number(told.headers['retry-after']) * 1000);
    }
  };
  params.firms[0]!.callerKeys.push(digestOf('new-key'));
  writeFileSync(file, JSON.stringify(params));
  expect(await status('new-key')).toBe(401);
  fleet.signal('router-1', 'SIGHUP');
  await fleet.until('the new key', async () => (await status('new-key')) === 200);
  writeFileSync(file, '{"name": 5}');
  fleet.signal('router-1', 'SIGHUP');
  await fleet.until('the log line', () =>
    Promise.resolve(
      readFileSync(join(fleet.plan.folder, 'router-1.log'), 'utf8').includes(
        'event=reload-declined',
      ),
    ),
  );
  expect(await status('new-key')).toBe(200);
  writeFileSync(file, before);
});

test('the log has one key=value line for each event, and never a prompt or a key', () => {
  const log = readFileSync(join(fleet.plan.folder, 'router-1.log'), 'utf8').trim().split('\n');
  expect(log.length).toBeGreaterThan(5);
  for (const line of log)
    expect(line).toMatch(/^at=\S+ node=router-1 event=[\w-]+( [\w]+=("([^"\\]|\\.)*"|\S*))*$/);
  for (const secret of ['timetable of the yard', 'sahel-caller', 'new-key', 'when does wagon'])
    expect(log.join('\n')).not.toContain(secret);
});

test('the tracer follows one change through all nodes, and names those that are silent', async () => {
  const to = { node: fleet.operators.get('core-1')!, key: operatorKey('sahel') };
  expect(
    (
      await fleet.setDoorway(
        'core-1',
        { ...doorway, name: 'traced', match: { tag: 'traced' } },
        0,
        'traced',
      )
    )?.outcome,
  ).toBe('accepted');
  const traced = (await operate(to, 'change.trace', { change: 'traced' })).unsafeCoerce();
  const steps = (name: string): string[] =>
    traced.nodes.find((node) => node.name === name)!.steps.map(({ step }) => step);
  expect(traced.changes).toEqual(['traced']);
  expect(steps('core-1').slice(0, 4)).toEqual(['promised', 'proposed', 'accepted', 'committed']);
  expect(steps('router-1')).toEqual(['fed', 'in-force', 'reported']);
  await fleet.kill('router-2');
  expect(
    (await operate(to, 'change.trace', { revision: traced.revision })).unsafeCoerce().silent,
  ).toContain('router-2');
});
