/** Targets are matched against routes and handed on as they came; contradictory answers are not taken for a word. */
import { connect } from 'node:net';
import { expect, test } from 'vitest';
import { parseAddress } from '../../src/kernel/net/net.js';
import { answerHead, callerLine, openScripted, requestText, sized } from './scripted.js';

const once = { kind: 'non_idempotent' } as const;

/** Each target, and whether the route "/a/" has it. */
const targets: ReadonlyArray<readonly [string, boolean]> = [
  ['/a/', true],
  ['/a//b', true],
  ['/a/../b/', true],
  ['/a/./b', true],
  ['/a/%2e%2e/b', true],
  ['/a/b?c=/d/&e=%00', true],
  ['/a/b#c', true],
  ['/a', false],
  ['//a/', false],
  ['/./a/', false],
  ['/b/../a/', false],
  ['/%61/', false],
  ['/A/', false],
  ['http://h.example/a/', false],
  ['*', false],
];

for (const [target, known] of targets)
  test(`${target} ${known ? 'is handed on as it is' : 'has no route'}`, async () => {
    const stage = await openScripted({
      scripts: [(exchange) => void exchange.socket.write(sized(exchange))],
      route: once,
    });
    const line = callerLine(stage.address);
    line.send(requestText('r').replace('/a/', target));
    await line.answered(1);
    expect(line.reader.answers.map(({ status }) => status)).toEqual([known ? 200 : 404]);
    expect(stage.engines[0]!.exchanges.map(({ head }) => head.split('\r\n')[0])).toEqual(
      known ? [`POST ${target} HTTP/1.1`] : [],
    );
  });

test('two lengths that agree are declined, and what follows them runs nowhere', async () => {
  const stage = await openScripted({
    scripts: [(exchange) => void exchange.socket.write(sized(exchange))],
    route: once,
  });
  const socket = connect(parseAddress(stage.address));
  socket.write(requestText('one', 'abc', ['Content-Length: 3']) + requestText('two'));
  socket.resume();
  await new Promise((resolve) => socket.once('close', resolve));
  expect(stage.engines[0]!.exchanges).toEqual([]);
});

test('a success that bears the word "not run" is no word that it did not run', async () => {
  const stage = await openScripted({
    scripts: [
      (exchange) =>
        void exchange.socket.write(answerHead(exchange, 'X-Not-Run: 1\r\nContent-Length: 0')),
      (exchange) => void exchange.socket.write(sized(exchange)),
    ],
    route: { ...once, attempts: 2 },
  });
  const line = callerLine(stage.address);
  line.send(requestText('r'));
  await line.answered(1);
  expect(line.reader.answers.map(({ status }) => status)).toEqual([502]);
  expect(stage.engines[1]!.exchanges).toEqual([]);
});
