/** A planned stop: what was taken is answered whole, to the last byte that its caller still has to read. */
import { createServer, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect, test } from 'vitest';
import { RequestsFace } from '../../src/faces/requests/face.js';
import type { RequestHandler } from '../../src/forward/face.js';
import { eventually, HandClock, turns } from './clock.js';
import {
  answerHead,
  callerLine,
  openScripted,
  requestText,
  sized,
  type Exchange,
} from './scripted.js';

/** More than the sockets' buffers take. */
const SIZE = 16 << 20;

test('an answer that is whole here but not yet read by its caller is not cut by a planned stop', async () => {
  const stage = await openScripted({
    clock: new HandClock(),
    scripts: [(exchange) => void exchange.socket.write(sized(exchange, 'x'.repeat(SIZE)))],
    route: { kind: 'non_idempotent' },
  });
  const line = callerLine(stage.address);
  line.socket.pause();
  line.send(requestText('first'));
  await eventually(() => stage.forwarder.open === 1);
  await eventually(() => line.socket.bytesRead > 0);
  await turns(500);
  stage.face.retire();
  stage.face.halt();
  const drained = stage.forwarder.drain(600_000);
  await turns(100);
  line.socket.resume();
  await drained;
  await stage.face.close();
  await line.over();
  expect(line.reader.answers[0]).toMatchObject({ status: 200, complete: true });
  expect(line.reader.answers[0]!.body.length).toBe(SIZE);
});

test('an answer that is ended but not flushed outlives the close of idle connections', async () => {
  const body = Buffer.alloc(SIZE, 'x');
  const handler: RequestHandler = {
    open: 0,
    drain: () => Promise.resolve(0),
    handle: (_, response) => void response.writeHead(200, { 'x-request-id': 'a' }).end(body),
  };
  const face = new RequestsFace(handler, () => ({}), new HandClock());
  (await face.listen('127.0.0.1:0')).unsafeCoerce();
  const line = callerLine(face.address);
  line.socket.pause();
  line.send(requestText('first'));
  await eventually(() => line.socket.bytesRead > 0);
  await turns(50);
  face.retire();
  face.halt();
  await turns(50);
  line.socket.resume();
  await line.answered(1);
  await face.close();
  expect(line.reader.answers[0]).toMatchObject({ status: 200, complete: true });
});

test('a request stays open until the last byte of its answer is written', async () => {
  const exchanges: Exchange[] = [];
  const stage = await openScripted({
    clock: new HandClock(),
    scripts: [(exchange) => void exchanges.push(exchange)],
    route: { kind: 'non_idempotent' },
  });
  const responses: ServerResponse[] = [];
  const server = createServer((request, response) => {
    responses.push(response);
    stage.forwarder.handle(request, response);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const line = callerLine(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  line.socket.pause();
  line.send(requestText('first'));
  await eventually(() => exchanges.length === 1);
  const { socket } = exchanges[0]!;
  socket.write(answerHead(exchanges[0]!, 'Transfer-Encoding: chunked'));
  const piece = `1000\r\n${'x'.repeat(4096)}\r\n`;
  while (!responses[0]!.writableLength) {
    socket.write(piece);
    await turns(3);
  }
  socket.write('0\r\n\r\n');
  await eventually(() => responses[0]!.writableEnded);
  await turns();
  expect([responses[0]!.writableFinished, stage.forwarder.open]).toEqual([false, 1]);
  line.socket.resume();
  expect(await stage.forwarder.drain(1)).toBe(0);
  expect(responses[0]!.writableFinished).toBe(true);
  server.closeAllConnections();
  server.close();
});
