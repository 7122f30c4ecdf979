/**
 * A planned stop at each step of a request: whatever was read whole is answered, also behind another on its connection.
 */
import type { Socket } from 'node:net';
import { expect, test } from 'vitest';
import { eventually, HandClock, turns } from './clock.js';
import {
  answerHead,
  callerLine,
  openScripted,
  requestText,
  sized,
  type CallerLine,
  type Exchange,
  type ScriptedStage,
} from './scripted.js';
import { expectNoViolation } from './stage.js';

const once = { kind: 'non_idempotent', timeout: 20_000 } as const;

interface Scene {
  readonly stage: ScriptedStage;
  readonly clock: HandClock;
  readonly line: CallerLine;
  /** Requests that the engine was asked, which the test answers. */
  readonly asked: readonly Exchange[];
  /** The server's ends of the connections. */
  readonly sockets: readonly Socket[];
}

const open = async (): Promise<Scene> => {
  const clock = new HandClock();
  const asked: Exchange[] = [];
  const stage = await openScripted({
    scripts: [(exchange) => void asked.push(exchange)],
    route: once,
    clock,
  });
  const sockets: Socket[] = [];
  stage.face['server'].on('connection', (socket: Socket) => sockets.push(socket));
  return { stage, clock, line: callerLine(stage.address), asked, sockets };
};

const answer = (exchange: Exchange): void => void exchange.socket.write(sized(exchange));

const statuses = ({ reader }: CallerLine): Array<readonly [number, boolean]> =>
  reader.answers.map(({ status, complete }) => [status, complete]);

/** The stop as the daemon runs it, without the time that it gives in between. */
const halt = ({ stage }: Scene): void => {
  stage.face.retire();
  stage.face.halt();
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
    const scene = await open();
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
  const scene = await open();
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

test('a request whose body is half in at a stop is answered', async () => {
  const scene = await open();
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
  const scene = await open();
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
