/**
 * A planned stop at each step of a request: whatever was read whole is answered, also behind another on its connection.
 */
import { expect, test } from 'vitest';
import { eventually, turns } from './clock.js';
import { answerHead, requestText } from './scripted.js';
import { answer, openScene, statuses, type Scene } from './scene.js';
import { expectNoViolation } from './stage.js';

/** The stop as the daemon runs it, without the time that it gives in between. */
const halt = ({ stage }: Scene): void => {
  stage.face.retire();
  stage.face.halt();
};

/** The end of the stop as the daemon runs it. */
const stopped = async ({ stage }: Scene, limit = 60_000): Promise<void> => {
  await stage.forwarder.drain(limit);
  await stage.face.settle(limit);
  await stage.face.close();
};

for (const [when, stop] of [
  ['after its notice began', ({ stage }: Scene) => stage.face.retire()],
  ['after it waits for what was taken', ({ stage }: Scene) => void stage.forwarder.drain(60_000)],
  [
    'after both',
    (scene: Scene) => {
      halt(scene);
      void scene.stage.forwarder.drain(60_000);
    },
  ],
] as const)
  test(`a request sent ahead of the answer under way is answered too, when it comes ${when}`, async () => {
    const scene = await openScene();
    const { stage, line, asked } = scene;
    line.send(requestText('a'));
    await eventually(() => asked.length === 1);
    stop(scene);
    line.send(requestText('b'));
    await eventually(() => stage.forwarder.open === 2);
    answer(asked[0]!);
    await eventually(() => line.closed() || asked.length === 2);
    if (asked[1]) answer(asked[1]);
    await line.over();
    expect(statuses(line)).toEqual([
      [200, true],
      [200, true],
    ]);
    await eventually(() => stage.forwarder.open === 0);
    expectNoViolation(stage.requestEnds);
  });

test('nothing is begun behind an answer that has told its connection of the stop', async () => {
  const scene = await openScene();
  const { stage, line, asked } = scene;
  line.send(requestText('a'));
  await eventually(() => asked.length === 1);
  halt(scene);
  void stage.forwarder.drain(60_000);
  asked[0]!.socket.write(`${answerHead(asked[0]!, 'Content-Length: 6')}abc`);
  await eventually(() => line.received().includes('abc'));
  line.send(requestText('b'));
  await eventually(() => stage.forwarder.open === 2);
  asked[0]!.socket.write('def');
  await line.over();
  expect(statuses(line)).toEqual([[200, true]]);
  expect(line.reader.answers[0]!.fields.get('connection')).toBe('close');
  await eventually(() => stage.forwarder.open === 0);
  expect(asked.length).toBe(1);
  expectNoViolation(stage.requestEnds);
});

test('a stop ends no connection whose header is half in, while there is time', async () => {
  const scene = await openScene();
  const { line, asked, sockets } = scene;
  const text = requestText('a');
  line.send(text.slice(0, 20));
  await eventually(() => sockets.length === 1 && sockets[0]!.bytesRead === 20);
  halt(scene);
  const drained = stopped(scene);
  await turns(50);
  line.send(text.slice(20));
  await eventually(() => line.closed() || asked.length === 1);
  expect(asked.length).toBe(1);
  answer(asked[0]!);
  await drained;
  await line.over();
  expect(statuses(line)).toEqual([[200, true]]);
});

test('a connection that came up and said nothing holds a stop no longer than the others', async () => {
  const scene = await openScene();
  const { stage, line, sockets } = scene;
  await eventually(() => sockets.length === 1);
  halt(scene);
  await stopped(scene);
  await line.over();
  expect(line.reader.answers).toEqual([]);
  expect(stage.taken.count).toBe(0);
});

test('a request that comes while other faces close is not begun and then cut', async () => {
  const scene = await openScene();
  const { stage, line, asked, sockets } = scene;
  await eventually(() => sockets.length === 1);
  halt(scene);
  await stage.forwarder.drain(60_000);
  await stage.face.settle(60_000);
  // The daemon closes its faces one after the other, which takes a while.
  line.send(requestText('a'));
  await turns(50);
  await stage.face.close();
  await line.over();
  expect([stage.taken.count, asked.length]).toEqual([0, 0]);
});

test('a stop waits for a client that still sends behind its refusal', async () => {
  const scene = await openScene();
  const { line } = scene;
  line.socket.pause();
  line.send(requestText('a').replace('/a/', '/nowhere/').replace('Length: 0', 'Length: 400000'));
  await eventually(() => scene.stage.taken.count === 1 && scene.stage.forwarder.open === 0);
  await turns();
  halt(scene);
  const drained = stopped(scene);
  for (let count = 0; count < 10; count++) {
    await new Promise<void>((resolve) => line.socket.write('x'.repeat(4096), () => resolve()));
    await turns(5);
  }
  line.socket.resume();
  await line.over();
  await drained;
  expect(line.error()).toBe('');
  expect(line.reader.answers.map(({ status, complete }) => [status, complete])).toEqual([
    [404, true],
  ]);
});

test('a header that never comes whole holds a stop no longer than its time', async () => {
  const scene = await openScene();
  const { stage, line, clock, sockets } = scene;
  line.send(requestText('a').slice(0, 20));
  await eventually(() => sockets.length === 1 && sockets[0]!.bytesRead === 20);
  halt(scene);
  let isOver = false;
  void stopped(scene, 3000).then(() => (isOver = true));
  await turns(50);
  clock.advance(2900);
  await turns(50);
  expect(isOver).toBe(false);
  clock.advance(200);
  await eventually(() => isOver);
  await line.over();
  expect(stage.taken.count).toBe(0);
});

test('a request whose body is half in at a stop is answered', async () => {
  const scene = await openScene();
  const { stage, line, asked } = scene;
  const text = requestText('a', 'body');
  line.send(text.slice(0, -2));
  await eventually(() => stage.forwarder.open === 1);
  halt(scene);
  const drained = stage.forwarder.drain(60_000);
  await turns();
  line.send(text.slice(-2));
  await eventually(() => asked.length === 1);
  answer(asked[0]!);
  expect(await drained).toBe(0);
  await line.over();
  expect(statuses(line)).toEqual([[200, true]]);
  expectNoViolation(stage.requestEnds);
});

test('a request in the middle of its answer at a stop is answered to its end', async () => {
  const scene = await openScene();
  const { stage, line, asked } = scene;
  line.send(requestText('a'));
  await eventually(() => asked.length === 1);
  asked[0]!.socket.write(`${answerHead(asked[0]!, 'Content-Length: 6')}abc`);
  await eventually(() => line.received().includes('abc'));
  halt(scene);
  const drained = stage.forwarder.drain(60_000);
  await turns();
  asked[0]!.socket.write('def');
  expect(await drained).toBe(0);
  await line.answered(1);
  expect(statuses(line)).toEqual([[200, true]]);
  expectNoViolation(stage.requestEnds);
});
