/**
 * The end of a connection reaches its client behind the whole answer, also where the client still sends: a socket that is
 * closed over unread bytes is reset, and a client takes that for the end before it has read.
 */
import { expect, test } from 'vitest';
import { eventually, turns } from './clock.js';
import { requestText, type CallerLine } from './scripted.js';
import { answer, openScene, statuses, written } from './scene.js';
import { expectNoViolation } from './stage.js';

/** A client that takes a failed write for the end of its connection, and reads only once it has sent all. */
const readsAfterSending = (line: CallerLine): void => void line.socket.pause();

for (const [what, target, head] of [
  ['a body over the bound', '/a/', 'Content-Length: 40000000'],
  ['an unknown route', '/nowhere/', 'Content-Length: 400000'],
  ['an unknown route, in chunks', '/nowhere/', 'Transfer-Encoding: chunked'],
] as const)
  test(`a refusal reaches a client that still sends: ${what}`, async () => {
    const { stage, line, sockets } = await openScene();
    readsAfterSending(line);
    line.send(requestText('a').replace('/a/', target).replace('Content-Length: 0', head));
    await eventually(() => stage.taken.count === 1 && stage.forwarder.open === 0);
    await turns();
    const piece = head.startsWith('Content') ? 'x'.repeat(4096) : `1000\r\n${'x'.repeat(4096)}\r\n`;
    for (let count = 0; count < 20; count++) {
      await written(line.socket, piece);
      await turns(5);
    }
    line.socket.resume();
    await line.over();
    expect(line.error()).toBe('');
    expect(line.reader.answers).toHaveLength(1);
    expect(line.reader.answers[0]!.complete).toBe(true);
    await eventually(() => sockets[0]!.destroyed);
    expectNoViolation(stage.requestEnds);
  });

test('an answer that ends its connection reaches a client that has sent more behind it', async () => {
  const { stage, line, asked, sockets } = await openScene();
  readsAfterSending(line);
  line.send(requestText('a', '', ['Connection: close']));
  await eventually(() => asked.length === 1);
  answer(asked[0]!);
  await eventually(() => stage.forwarder.open === 0);
  for (let count = 0; count < 5; count++) {
    await written(line.socket, requestText(`b${count}`));
    await turns(5);
  }
  line.socket.resume();
  await line.over();
  expect(line.error()).toBe('');
  expect(statuses(line)).toEqual([[200, true]]);
  expect(asked.length).toBe(1);
  await eventually(() => sockets[0]!.destroyed);
});

test('an answer ahead of bytes that are no request reaches a client that goes on sending them', async () => {
  const { stage, line, asked } = await openScene();
  readsAfterSending(line);
  line.send(requestText('a'));
  await eventually(() => asked.length === 1);
  line.send('\u0001 nonsense \r\n\r\n');
  await turns();
  answer(asked[0]!);
  await eventually(() => stage.forwarder.open === 0);
  for (let count = 0; count < 5; count++) {
    await written(line.socket, '\u0001 nonsense \r\n\r\n');
    await turns(5);
  }
  line.socket.resume();
  await line.over();
  expect(line.error()).toBe('');
  expect(statuses(line)[0]).toEqual([200, true]);
});

test('a client that neither reads to the end nor leaves does not hold a closed connection for good', async () => {
  const { line, asked, sockets, clock } = await openScene();
  line.socket.allowHalfOpen = true;
  line.send(requestText('a', '', ['Connection: close']));
  await eventually(() => asked.length === 1);
  answer(asked[0]!);
  await line.answered(1);
  for (let count = 0; count < 40 && !sockets[0]!.destroyed; count++) {
    clock.advance(1000);
    await turns(5);
  }
  expect(sockets[0]!.destroyed).toBe(true);
});
