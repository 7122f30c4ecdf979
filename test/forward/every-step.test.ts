/**
 * One stream that is taken up at a second engine, and a request behind it on its connection, with a disturbance before each
 * step: a change of the configuration, a standstill of the process, a planned stop. Every request that is whole gets one
 * final answer, and where that is a refusal, it tells when to come back.
 */
import { expect, test } from 'vitest';
import { genesis } from '../../src/register/document.js';
import type { Configuration, Limits, Route } from '../../src/route/shape.js';
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
import { written } from './scene.js';
import { expectNoViolation } from './stage.js';

const TIMEOUT = 20_000;
const resumable: Partial<Route> = {
  kind: 'streaming',
  resume: true,
  attempts: 3,
  gap: 200,
  timeout: TIMEOUT,
};
const deadline = [`X-Deadline-Ms: ${TIMEOUT}`];

const eventOf = (id: number): string => `id: ${id}\ndata: ${id}\n\n`;
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const WHOLE = [1, 2, 3, 4].map(eventOf).join('');

interface Scene {
  readonly stage: ScriptedStage;
  readonly clock: HandClock;
  readonly line: CallerLine;
  /** What each engine was asked. */
  readonly asked: ReadonlyArray<readonly Exchange[]>;
}

const open = async (): Promise<Scene> => {
  const clock = new HandClock();
  const asked: Exchange[][] = [[], []];
  const stage = await openScripted({
    scripts: asked.map((each) => (exchange: Exchange) => void each.push(exchange)),
    route: resumable,
    limits: { headerTimeout: 10_000, idleTimeout: 5000, bodyBytes: 1000, headerBytes: 1000 },
    clock,
  });
  return { stage, clock, line: callerLine(stage.address), asked };
};

const first = requestText('a', 'body', deadline);
const HEADER = first.indexOf('\r\n\r\n') + 4;

/** How a step sends: its bytes are written, and what comes of them is awaited unless the process is to stand still first. */
interface Step {
  readonly name: string;
  readonly write: (scene: Scene) => Promise<void>;
  readonly done: (scene: Scene) => boolean;
}

/** The second engine's newest request, where it was not given up. */
const second = ({ asked }: Scene): Exchange | undefined =>
  asked[1]!.findLast(({ closed }) => !closed());

const isAsked = ({ asked, stage }: Scene, engine: number, count: number): boolean =>
  asked[engine]!.length >= count || stage.forwarder.open === 0;

const steps: readonly Step[] = [
  {
    name: 'half the header',
    write: ({ line }) => written(line.socket, first.slice(0, 30)),
    done: () => true,
  },
  {
    name: 'the rest of the header and half the body',
    write: ({ line }) => written(line.socket, first.slice(30, HEADER + 2)),
    done: ({ stage }) => stage.taken.count === 1,
  },
  {
    name: 'the rest of the body',
    write: ({ line }) => written(line.socket, first.slice(HEADER + 2)),
    done: (scene) => isAsked(scene, 0, 1),
  },
  {
    name: 'the head of the answer and its first event',
    write: ({ asked }) =>
      written(
        asked[0]![0]!.socket,
        answerHead(asked[0]![0]!, 'Transfer-Encoding: chunked') + chunk(eventOf(1)),
      ),
    done: ({ line }) => line.received().includes(eventOf(1)),
  },
  {
    name: 'a request behind it',
    write: ({ line }) => written(line.socket, requestText('b', '', deadline)),
    done: ({ stage }) => stage.taken.count === 2,
  },
  {
    name: 'an event and half of the next one',
    write: ({ asked }) =>
      written(asked[0]![0]!.socket, chunk(eventOf(2)) + chunk(eventOf(3).slice(0, 5))),
    done: ({ line }) => line.received().includes(eventOf(2)),
  },
  {
    name: 'the break of the first engine',
    write: ({ asked }) => {
      asked[0]![0]!.socket.resetAndDestroy();
      return Promise.resolve();
    },
    done: (scene) => second(scene) !== undefined,
  },
  {
    name: 'the event behind, from the second engine',
    write: (scene) =>
      written(
        second(scene)!.socket,
        answerHead(second(scene)!, 'Transfer-Encoding: chunked') + chunk(eventOf(3)),
      ),
    done: ({ line }) => line.received().includes(eventOf(3)),
  },
  {
    name: 'the end',
    write: (scene) => written(second(scene)!.socket, `${chunk(eventOf(4))}0\r\n\r\n`),
    done: ({ line }) => line.reader.answers[0]!.complete,
  },
  {
    name: 'the answer of the request behind it',
    write: async (scene) => {
      await eventually(() => isAsked(scene, 0, 2));
      const behind = scene.asked[0]![1];
      if (behind) await written(behind.socket, sized(behind));
    },
    done: ({ line }) => line.closed() || line.reader.answers[1]?.complete === true,
  },
];

let revision = 1;
const change = ({ stage }: Scene, over: Partial<Configuration>): void => {
  const configuration = { ...stage.configuration, ...over, version: ++revision };
  stage.limits = configuration.limits ?? {};
  expect(stage.inForce.swap({ ...genesis('f', []), revision, configuration })).toBe(true);
};

const strict: Limits = { headerTimeout: 100, idleTimeout: 1000, bodyBytes: 1, headerBytes: 1 };

interface Disturbance {
  readonly name: string;
  readonly disturb: (scene: Scene) => void;
  /** What the requests are answered with where the disturbance came before they were routed. */
  readonly refusal?: number;
}

const changes: readonly Disturbance[] = [
  {
    name: 'the limits fall below what is under way',
    disturb: (scene) => change(scene, { limits: strict }),
    refusal: 431,
  },
  {
    name: 'the route is dropped',
    disturb: (scene) => change(scene, { routes: [] }),
    refusal: 404,
  },
  {
    name: 'the route allows one attempt, no resumption, and a moment',
    disturb: (scene) => {
      const [route] = scene.stage.configuration.routes;
      change(scene, {
        routes: [{ ...route!, attempts: 1, resume: false, kind: 'non_idempotent', timeout: 1 }],
      });
    },
  },
  {
    name: 'the services are dropped',
    disturb: (scene) => change(scene, { services: [] }),
  },
];

const expectAnswered = async (
  { line, stage }: Scene,
  expected: ReadonlyArray<readonly [number, boolean]>,
): Promise<void> => {
  await eventually(() => stage.forwarder.open === 0);
  await line.answered(expected.length);
  expect(line.reader.malformed).toBe('');
  expect(line.reader.answers.map(({ status, complete }) => [status, complete])).toEqual(expected);
  const [answer] = line.reader.answers;
  if (answer?.status === 200) expect(answer.body.toString()).toBe(WHOLE);
  for (const { status, fields } of line.reader.answers)
    if ([408, 429, 503].includes(status))
      expect(Number(fields.get('retry-after'))).toBeGreaterThan(0);
  expectNoViolation(stage.requestEnds);
};

/** The steps at which the first request is routed and answered, and from which on the one behind it is. */
const ROUTED = 1;
const HEADED = 3;
const ROUTED_BEHIND = 8;

for (const { name, disturb, refusal } of changes)
  steps.forEach((before, at) =>
    test(`${name} before ${before.name}`, async () => {
      const scene = await open();
      const isMoment = name.endsWith('a moment');
      for (const [index, step] of steps.entries()) {
        if (index === at) disturb(scene);
        await step.write(scene);
        await eventually(() => step.done(scene));
        // A request that is refused, or whose time is a moment, goes no further.
        if (at <= ROUTED && index === ROUTED && (refusal || isMoment)) break;
      }
      if (at <= ROUTED && refusal) return expectAnswered(scene, [[refusal, true]]);
      if (at <= ROUTED && isMoment) {
        scene.clock.advance(10);
        return expectAnswered(scene, [[408, true]]);
      }
      if (at <= ROUTED_BEHIND && refusal)
        return expectAnswered(scene, [
          [200, true],
          [refusal, true],
        ]);
      await expectAnswered(scene, [
        [200, true],
        [200, true],
      ]);
    }),
  );

/** What passes at once, with what the step wrote unread: longer than any limit but the request's time and the window of repeats. */
const STANDSTILL = 8000;

steps.forEach((at) =>
  test(`a standstill over ${at.name}`, async () => {
    const scene = await open();
    for (const step of steps) {
      await step.write(scene);
      if (step === at) scene.clock.advance(STANDSTILL);
      await eventually(() => step.done(scene));
      await turns(50);
    }
    await expectAnswered(scene, [
      [200, true],
      [200, true],
    ]);
  }),
);

steps.forEach((at) =>
  test(`a planned stop before ${at.name}`, async () => {
    const scene = await open();
    const { stage, line } = scene;
    let isTold = false;
    for (const step of steps) {
      if (step === at) {
        await eventually(() => line.socket.readyState === 'open');
        await turns(5);
        stage.face.retire();
        stage.face.halt();
        void stage.forwarder
          .drain(60_000)
          .then(() => stage.face.settle(60_000))
          .then(() => stage.face.close());
      }
      await step.write(scene);
      await eventually(() => step.done(scene));
      // Behind a head that told of the stop nothing is begun.
      if (step === steps[HEADED]) isTold = /connection: close/i.test(line.received().toString());
      if (isTold && line.closed()) break;
    }
    const told: Array<readonly [number, boolean]> = [[200, true]];
    await expectAnswered(scene, isTold ? told : [...told, [200, true]]);
    expect(isTold).toBe(steps.indexOf(at) <= HEADED);
  }),
);
