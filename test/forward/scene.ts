/** One caller's connection, one engine whose answers the test gives, and time that it moves: what tests of closings begin with. */
import type { Socket } from 'node:net';
import { HandClock } from './clock.js';
import {
  callerLine,
  openScripted,
  sized,
  type CallerLine,
  type Exchange,
  type ScriptedStage,
} from './scripted.js';

const once = { kind: 'non_idempotent', timeout: 20_000 } as const;

export interface Scene {
  readonly stage: ScriptedStage;
  readonly clock: HandClock;
  readonly line: CallerLine;
  /** Requests that the engine was asked, which the test answers. */
  readonly asked: readonly Exchange[];
  /** The server's ends of the connections. */
  readonly sockets: readonly Socket[];
}

export const openScene = async (): Promise<Scene> => {
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

export const answer = (exchange: Exchange): void => void exchange.socket.write(sized(exchange));

/** The status of each answer that a caller got, and whether it was whole. */
export const statuses = ({ reader }: CallerLine): Array<readonly [number, boolean]> =>
  reader.answers.map(({ status, complete }) => [status, complete]);

/** Writes to the system, so that the bytes have arrived though nobody has read them. */
export const written = (socket: Socket, text: string): Promise<void> =>
  new Promise((resolve) => socket.write(text, () => resolve()));
