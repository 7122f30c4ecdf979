/** How long callers may rest on a connection and use it again, on the test's own time. */
import type { Socket } from 'node:net';
import { expect, test } from 'vitest';
import type { Limits } from '../../src/route/shape.js';
import { eventually, HandClock, turns } from './clock.js';
import {
  callerLine,
  openScripted,
  requestText,
  sized,
  type CallerLine,
  type ScriptedStage,
} from './scripted.js';

/** What callers rest at most, of the limit. */
const REST = 0.8;

const open = async (limits: Limits): Promise<{ clock: HandClock; stage: ScriptedStage }> => {
  const clock = new HandClock();
  const stage = await openScripted({
    scripts: [(exchange) => void exchange.socket.write(sized(exchange))],
    route: { kind: 'non_idempotent' },
    clock,
    limits,
  });
  return { clock, stage };
};

/** Lets time pass in the steps in which the server looks for idle connections. */
const rest = async (clock: HandClock, ms: number): Promise<void> => {
  for (let left = ms; left > 0; left -= 100) {
    clock.advance(Math.min(100, left));
    await turns(3);
  }
};

const served = async (line: CallerLine, count: number): Promise<void> => {
  line.send(requestText(`r${count}`));
  await line.answered(count);
  expect(line.reader.answers.map(({ status }) => status)).toEqual(
    Array.from({ length: count }, () => 200),
  );
};

for (const idleTimeout of [400, 1000, 1500, 1999, 7000, 15_000])
  test(`a connection that rested four fifths of ${idleTimeout} ms serves again, each time`, async () => {
    const { clock, stage } = await open({ idleTimeout });
    const line = callerLine(stage.address);
    for (let count = 1; count <= 4; count++) {
      await served(line, count);
      await rest(clock, idleTimeout * REST);
    }
    await served(line, 5);
    const told = Number(
      /timeout=(\d+)/.exec(line.reader.answers[0]!.fields.get('keep-alive')!)![1],
    );
    expect(told).toBeGreaterThanOrEqual(1);
    await rest(clock, Math.max(idleTimeout, told * 1000) + 1200);
    await line.over();
  });

test('a limit that is raised holds for connections that rest already', async () => {
  const { clock, stage } = await open({ idleTimeout: 5000 });
  const line = callerLine(stage.address);
  await served(line, 1);
  await rest(clock, 2000);
  stage.limits = { idleTimeout: 15_000 };
  await rest(clock, 15_000 * REST - 2000);
  await served(line, 2);
});

test('a limit that is lowered holds for connections that become idle from then on', async () => {
  const { clock, stage } = await open({ idleTimeout: 15_000 });
  const [early, late] = [callerLine(stage.address), callerLine(stage.address)];
  await served(early, 1);
  await rest(clock, 1000);
  stage.limits = { idleTimeout: 5000 };
  await served(late, 1);
  await rest(clock, 6500);
  await late.over();
  await rest(clock, 15_000 * REST - 7500);
  await served(early, 2);
});

test('what arrived while the process stood still is read before its connection is called idle', async () => {
  const { clock, stage } = await open({ idleTimeout: 5000 });
  const line = callerLine(stage.address);
  await served(line, 1);
  await turns();
  // Sent and time passed in one turn of the event loop, as after a standstill.
  await new Promise<void>((resolve) => line.socket.write(requestText('r2'), () => resolve()));
  clock.advance(60_000);
  await line.answered(2);
  expect(line.reader.answers.map(({ status }) => status)).toEqual([200, 200]);
});

test('a header that is under way is not idle', async () => {
  const { clock, stage } = await open({ idleTimeout: 1000, headerTimeout: 600_000 });
  const line = callerLine(stage.address);
  await served(line, 1);
  const text = requestText('r2');
  line.send(text.slice(0, 20));
  await turns();
  await rest(clock, 5000);
  line.send(text.slice(20));
  await line.answered(2);
  expect(line.reader.answers.map(({ status }) => status)).toEqual([200, 200]);
  await eventually(() => stage.forwarder.open === 0);
});

test("the HTTP server's own idle timer closes nothing", async () => {
  const { stage } = await open({ idleTimeout: 1000 });
  const sockets: Socket[] = [];
  stage.face['server'].on('connection', (socket: Socket) => sockets.push(socket));
  const line = callerLine(stage.address);
  await served(line, 1);
  sockets[0]!.emit('timeout');
  await turns();
  await served(line, 2);
});

test('the first answer after the limit changed tells the one in force', async () => {
  const { stage } = await open({ idleTimeout: 15_000 });
  const line = callerLine(stage.address);
  for (const [at, seconds] of [15, 5, 9].entries()) {
    stage.limits = { idleTimeout: seconds * 1000 };
    await served(line, at + 1);
    expect(line.reader.answers[at]!.fields.get('keep-alive')).toBe(`timeout=${seconds}`);
    expect(line.reader.answers[at]!.fields.get('connection')).toBe('keep-alive');
  }
});
