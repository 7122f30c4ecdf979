/** A caller may rest on its connection as long as its newest answer told it, whatever limit is in force by then. */
import { expect, test } from 'vitest';
import type { Limits } from '../../src/route/shape.js';
import { eventually, HandClock, turns } from './clock.js';
import {
  callerLine,
  openScripted,
  requestText,
  sized,
  type CallerLine,
  type Exchange,
  type ScriptedStage,
} from './scripted.js';

/** What a caller rests at most, of what it was told. */
const REST = 0.8;
const HIGH: Limits = { idleTimeout: 5000 };
const LOW: Limits = { idleTimeout: 1000 };

const rest = async (clock: HandClock, ms: number): Promise<void> => {
  for (let left = ms; left > 0; left -= 100) {
    clock.advance(Math.min(100, left));
    await turns(3);
  }
};

/** ms that the newest answer on the connection told. */
const told = ({ reader }: CallerLine): number =>
  Number(/timeout=(\d+)/.exec(reader.answers.at(-1)!.fields.get('keep-alive')!)![1]) * 1000;

const open = async (
  script: (exchange: Exchange) => void,
): Promise<{ clock: HandClock; stage: ScriptedStage; line: CallerLine }> => {
  const clock = new HandClock();
  const stage = await openScripted({
    scripts: [script],
    route: { kind: 'non_idempotent' },
    clock,
    limits: HIGH,
  });
  return { clock, stage, line: callerLine(stage.address) };
};

const answer = (exchange: Exchange): void => void exchange.socket.write(sized(exchange));

const ask = async (line: CallerLine, count: number): Promise<void> => {
  line.send(requestText(`r${count}`));
  await line.answered(count);
};

test('a limit that fell between two requests of a connection', async () => {
  const { clock, stage, line } = await open(answer);
  await ask(line, 1);
  stage.limits = LOW;
  await ask(line, 2);
  await rest(clock, told(line) * REST);
  await ask(line, 3);
  expect(line.reader.answers.map(({ status }) => status)).toEqual([200, 200, 200]);
});

test('a limit that fell while a request was under way', async () => {
  let lower = (): void => undefined;
  const { clock, stage, line } = await open((exchange) => {
    if (exchange.id === 'r2') lower();
    answer(exchange);
  });
  lower = () => (stage.limits = LOW);
  await ask(line, 1);
  await ask(line, 2);
  await rest(clock, told(line) * REST);
  await ask(line, 3);
  expect(line.reader.answers.map(({ status }) => status)).toEqual([200, 200, 200]);
});

test('a header that was begun under a longer limit has that time, though the limit fell meanwhile', async () => {
  const stage = await openScripted({
    scripts: [answer],
    route: { kind: 'non_idempotent' },
    limits: { headerTimeout: 10_000 },
  });
  const text = requestText('r1');
  const early = callerLine(stage.address);
  early.send(text.slice(0, 20));
  await eventually(() => stage.face['connections']['open'].size === 1);
  await turns();
  stage.limits = { headerTimeout: 100 };
  // Begun under the lower limit: its end shows that the server has looked through headers that are late.
  const late = callerLine(stage.address);
  late.send(text.slice(0, 20));
  await late.over();
  await turns();
  expect(early.closed()).toBe(false);
  early.send(text.slice(20));
  await early.answered(1);
  expect(early.reader.answers.map(({ status }) => status)).toEqual([200]);
});
