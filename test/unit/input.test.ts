/**
 * Input that is wrong: frames in every state of a channel, the platform's lists, doorways field by field. Each has one
 * clear outcome and, for channels, one log line; the rest goes on.
 */
import { connect } from 'node:net';
import { expect, test } from 'vitest';
import { checkDoorway } from '../../src/doorway/shape.js';
import { FRAME_BOUND, TcpNet, type Channel } from '../../src/kernel/net/net.js';
import { pick, SeededRandom, type Random } from '../../src/kernel/random/random.js';
import { Right } from 'purify-ts';
import { parseList } from '../../src/pool/engine.js';
import { Host } from '../../src/sim/host.js';
import { World } from '../../src/sim/world.js';
import { call, encodeFrame, HELLO, helloField, Stage } from '../../src/wire/call.js';
import { encode, list, number, struct, text } from '../../src/wire/field.js';
import { Peers } from '../../src/wire/peers.js';

const Sum = call<{ values: number[]; name: string }, { sum: number }>(
  200,
  'test.sum',
  struct({ values: list(number), name: text }),
  struct({ sum: number }),
);

const spoilt = (random: Random, bytes: Uint8Array): Uint8Array => {
  const copy = Buffer.from(bytes);
  const at = Math.floor(random.fraction() * copy.length);
  switch (Math.floor(random.fraction() * 6)) {
    case 0:
      return copy.subarray(0, at);
    case 1:
      return Buffer.concat([copy, Buffer.alloc(1 + at, 7)]);
    case 2:
      copy[at] = copy[at]! ^ (1 << Math.floor(random.fraction() * 8));
      return copy;
    case 3:
      copy.fill(0xff, at, Math.min(copy.length, at + 4));
      return copy;
    case 4:
      return Buffer.from(Array.from({ length: at }, () => Math.floor(random.fraction() * 256)));
    default:
      return Buffer.alloc(0);
  }
};

test('wrong frames in every state of a channel end that one channel with at most one line, and nothing else', async () => {
  const random = new SeededRandom(3);
  const world = new World(3);
  const logged: string[] = [];
  const serverHost = new Host(world, 'server', '127.0.0.1:1');
  const server = new Peers(serverHost.net, serverHost.clock, (event) => void logged.push(event), {
    fleet: 'f',
    name: 'server',
    incarnation: 'i',
  });
  let handled = 0;
  server.handle(Sum, ({ values }) => {
    handled += 1;
    return Right({ sum: values.reduce((sum, value) => sum + value, 0) });
  });
  await world.until(server.serve('127.0.0.1:1'));
  const friend = new Host(world, 'friend', '127.0.0.1:2');
  const good = new Peers(friend.net, friend.clock, () => undefined, {
    fleet: 'f',
    name: 'friend',
    incarnation: 'i',
  });
  const sum = async (): Promise<number> =>
    (await world.until(good.ask('127.0.0.1:1', Sum, { values: [1, 2], name: 'n' }, 500)))
      .map((reply) => reply.sum)
      .orDefault(-1);
  const hello = encodeFrame(
    Stage.ask,
    HELLO,
    0,
    encode(helloField, { fleet: 'f', name: 'x', incarnation: 'i' }),
  );
  const ask = encodeFrame(Stage.ask, Sum.code, 1, encode(Sum.ask, { values: [3, 4], name: 'n' }));
  let closed = 0;
  for (let round = 0; round < 400; round++) {
    const host = new Host(world, `stranger-${round}`, '127.0.0.1:3');
    const channel = (
      await world.until(host.net.dial('127.0.0.1:1', 500))
    ).unsafeCoerce() as Channel;
    const before = logged.length;
    const state = round % 3;
    if (state > 0) channel.send(hello);
    if (state > 1) channel.send(ask);
    channel.send(
      state === 0
        ? spoilt(random, hello)
        : pick(random, [
            spoilt(random, ask),
            encodeFrame(Stage.reply, 99, 5, ask),
            encodeFrame(Stage.ask, 251, 5, ask),
            hello,
          ])!,
    );
    let ended = false;
    void (async () => {
      while (await channel.receive());
      ended = true;
    })();
    await world.run(world.now + 2500);
    if (ended) closed += 1;
    else channel.close();
    expect(logged.length - before).toBeLessThanOrEqual(1);
    if (round % 40 === 0) expect(await sum()).toBe(3);
  }
  expect(closed).toBeGreaterThan(200);
  expect(handled).toBeGreaterThan(100);
  expect(await sum()).toBe(3);
});

test('a process of another fleet, one of another wire generation, and one that answers nonsense are each told apart', async () => {
  const world = new World(4);
  const host = new Host(world, 'h', '127.0.0.1:1');
  const asker = new Peers(host.net, host.clock, () => undefined, {
    fleet: 'f',
    name: 'h',
    incarnation: 'i',
  });
  const replies = new Map<string, Uint8Array>([
    [
      '127.0.0.1:11',
      encodeFrame(
        Stage.reply,
        HELLO,
        0,
        encode(helloField, { fleet: 'g', name: 'x', incarnation: 'i' }),
      ),
    ],
    ['127.0.0.1:12', Buffer.from('HTTP/1.1 400 Bad Request\r\n\r\n')],
    ['127.0.0.1:13', Buffer.alloc(0)],
  ]);
  for (const [address, reply] of replies) {
    const stranger = new Host(world, address, address);
    await world.until(
      stranger.net.listen(
        address,
        (channel) => void channel.receive().then(() => channel.send(reply)),
      ),
    );
  }
  for (const address of [...replies.keys(), '127.0.0.1:14']) {
    const told = await world.until(asker.ask(address, Sum, { values: [], name: '' }, 500));
    expect(
      told
        .swap()
        .map(({ peer, certainty }) => [peer, certainty])
        .extract(),
    ).toEqual([address, 'declined']);
  }
});

test('a frame over the bound ends the channel before it is read', async () => {
  const net = new TcpNet();
  const received: Array<Uint8Array | undefined> = [];
  let ended: () => void = () => undefined;
  const over = new Promise<void>((resolve) => (ended = resolve));
  const listener = (
    await net.listen(
      '127.0.0.1:0',
      (channel) =>
        void channel.receive().then((frame) => {
          received.push(frame);
          ended();
        }),
    )
  ).unsafeCoerce();
  const socket = connect({ host: '127.0.0.1', port: Number(listener.address.split(':')[1]) });
  socket.on('error', () => undefined);
  const head = Buffer.alloc(4);
  head.writeUInt32BE(FRAME_BOUND + 1);
  socket.write(Buffer.concat([head, Buffer.alloc(100)]));
  await over;
  expect(received).toEqual([undefined]);
  socket.destroy();
  listener.close();
});

const engine = {
  identifier: 'e',
  address: '127.0.0.1:1',
  model: 'm',
  adapters: [],
  weight_generation: 'w',
  zone: 'z',
  labels: {},
  cache_capacity_tokens: 1,
  prefill_rate: 1,
  leaving: false,
};

test('lists of the platform that are broken, empty, huge or doubled', () => {
  const verdict = (value: unknown): string =>
    parseList(typeof value === 'string' ? value : JSON.stringify(value), 'platform').caseOf({
      Left: ({ reason }) => reason,
      Right: (engines) => `${engines.length} engines`,
    });
  expect(verdict({ engines: [] })).toBe('0 engines');
  expect(verdict({ engines: [engine] })).toBe('1 engines');
  expect(verdict({ engines: [engine, engine] })).toBe('an identifier is listed twice');
  expect(
    verdict({
      engines: Array.from({ length: 4097 }, (_, at) => ({ ...engine, identifier: `e${at}` })),
    }),
  ).toContain('at most 4096');
  for (const text of ['', 'null', '[]', '{}', '{"engines":', '{"engines":{}}', '7', '<html>'])
    expect(verdict(text)).not.toMatch(/^\d+ engines$/);
  for (const [field, wrong] of Object.entries({
    identifier: '',
    address: 'here',
    adapters: 'a',
    cache_capacity_tokens: 0,
    prefill_rate: '8',
    leaving: 'no',
    labels: { a: 1 },
    zone: null,
  }))
    expect(
      verdict({ engines: [engine, { ...engine, identifier: 'f', [field]: wrong }] }),
    ).toContain(`engines.1.${field}`);
});

test('a doorway with any one field wrong is declined by the name of that field', () => {
  const doorway = {
    name: 'd',
    firm: 's',
    match: { tag: 't' },
    engines: [{ label: 'a', value: 'b' }],
    repeatable: false,
    limits: { firstToken: 1, total: 2 },
    line: 1,
    share: 1,
    resume: false,
  };
  expect(checkDoorway(doorway).isRight()).toBe(true);
  const wrongs = new Map<string, unknown>([
    ['name', 'Not A Name'],
    ['firm', 7],
    ['match', { host: 'x' }],
    ['engines', [{ label: 'a' }]],
    ['repeatable', 'no'],
    ['limits', { firstToken: 0, total: 1 }],
    ['line', 0],
    ['share', 1.5],
    ['extra', 1],
  ]);
  for (const [field, wrong] of wrongs)
    expect(
      checkDoorway({ ...doorway, [field]: wrong })
        .swap()
        .map(({ reason }) => reason.split(/[ .]/)[0])
        .extract(),
    ).toBe(field);
  for (const value of [null, 7, 'x', [], undefined])
    expect(checkDoorway(value).isLeft()).toBe(true);
});
