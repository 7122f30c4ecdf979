/**
 * Connections that end at every byte at which they can end: engines' answers (ended, reset, or only slow there, with
 * surplus bytes up to there) and callers' requests. Every boundary is enumerated, none is sampled.
 */
import { expect, test } from 'vitest';
import type { ReadAnswer } from '../../src/stand/opaque/answer.js';
import { eventually, turns } from './clock.js';
import {
  answerHead,
  callerLine,
  chunked,
  notRun,
  openScripted,
  requestText,
  sized,
  type Exchange,
  type ScriptedStage,
} from './scripted.js';

const once = { kind: 'non_idempotent', attempts: 2 } as const;
const event = (id: number): string => `id: ${id}\ndata: event ${id}\n\n`;

interface Form {
  readonly name: string;
  /** The answer's bytes; its body as its caller is to get it. */
  readonly text: (exchange: Pick<Exchange, 'engine' | 'id'>) => string;
  readonly status: number;
  readonly body: string;
  readonly method?: string;
}

const sealed = (
  exchange: Pick<Exchange, 'engine' | 'id'>,
  framing: string,
  status: string,
): string => answerHead(exchange, framing, status);

const forms: readonly Form[] = [
  { name: 'a length', text: (e) => sized(e as Exchange, 'whole'), status: 200, body: 'whole' },
  { name: 'a length of 0', text: (e) => sized(e as Exchange, ''), status: 200, body: '' },
  {
    name: 'chunks',
    text: (e) => chunked(e as Exchange, 'whole', ' in', ' chunks'),
    status: 200,
    body: 'whole in chunks',
  },
  {
    name: 'chunks with extensions and trailers',
    text: (e) =>
      `${sealed(e, 'Transfer-Encoding: chunked', '200 OK')}5;ext="a;b"\r\nwhole\r\n0\r\nX-Trailer: t\r\n\r\n`,
    status: 200,
    body: 'whole',
  },
  {
    name: 'events',
    text: (e) => chunked(e as Exchange, event(1), event(2), event(3)),
    status: 200,
    body: event(1) + event(2) + event(3),
  },
  {
    name: 'a failure of the engine',
    text: (e) => sized(e as Exchange, 'failed', '500 Internal Server Error'),
    status: 500,
    body: 'failed',
  },
  {
    name: 'an informational answer before it',
    text: (e) => `HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n${sized(e as Exchange, 'whole')}`,
    status: 200,
    body: 'whole',
  },
  { name: '204', text: (e) => sealed(e, 'X-Any: a', '204 No Content'), status: 204, body: '' },
  {
    name: '304 that tells of a length',
    text: (e) => sealed(e, 'Content-Length: 9', '304 Not Modified'),
    status: 304,
    body: '',
  },
  {
    name: 'HEAD',
    text: (e) => sealed(e, 'Content-Length: 9', '200 OK'),
    status: 200,
    body: '',
    method: 'HEAD',
  },
];

let requests = 0;

/** One request on a connection of its own, and its answer, where one came. */
const ask = async (
  stage: ScriptedStage,
  method = 'POST',
): Promise<{ id: string; answer: ReadAnswer | undefined }> => {
  const id = `r${++requests}`;
  const line = callerLine(stage.address, method);
  line.send(requestText(id).replace('POST', method));
  await line.answered(1);
  line.socket.destroy();
  expect(line.reader.malformed).toBe('');
  expect(line.reader.answers.length).toBeLessThanOrEqual(1);
  return { id, answer: line.reader.answers[0] };
};

/** The answer is this form's whole one, to this very request. */
const expectWhole = (form: Form, id: string, answer: ReadAnswer | undefined): void => {
  expect(answer).toMatchObject({ status: form.status, complete: true });
  expect(answer!.body.toString()).toBe(form.body);
  expect(answer!.fields.get('x-answer-seal')).toBe(`engine-1/${id}`);
};

/** An answer of our own that promises nothing, or one that broke off visibly. */
const expectBroken = (at: number, answer: ReadAnswer | undefined): void => {
  if (!answer?.complete) return;
  expect([at, answer.status]).toEqual([at, 502]);
  expect(answer.fields.get('x-answer-seal')).toBeUndefined();
};

type Ending = 'ended' | 'reset';

const finish = ({ socket }: Exchange, ending: Ending): void => {
  if (ending === 'ended') socket.end();
  else socket.resetAndDestroy();
};

for (const form of forms) {
  for (const ending of ['ended', 'reset'] as const)
    test(`an engine's connection is ${ending} at every byte of ${form.name}`, async () => {
      const stage = await openScripted({
        scripts: [() => undefined, () => undefined],
        route: once,
      });
      const [first, second] = stage.engines;
      const length = form.text({ engine: 'engine-1', id: `r${requests + 1}` }).length;
      for (let at = 0; ; at++) {
        let whole = false;
        first!.script = async (exchange) => {
          const text = form.text(exchange);
          whole = at >= text.length;
          if (at > 0)
            await new Promise<void>((resolve) =>
              exchange.socket.write(text.slice(0, at), 'latin1', () => resolve()),
            );
          if (ending === 'reset') await turns(whole ? 20 : 2);
          finish(exchange, ending);
        };
        const { id, answer } = await ask(stage, form.method);
        if (whole) expectWhole(form, id, answer);
        else expectBroken(at, answer);
        expect(first!.ids.filter((each) => each === id)).toEqual([id]);
        expect([at, second!.begun]).toEqual([at, 0]);
        if (whole) break;
      }
      expect(length).toBeGreaterThan(40);
      await eventually(() => stage.forwarder.open === 0);
    });

  test(`an answer that pauses at every byte of ${form.name} is whole, and its link is used again`, async () => {
    const stage = await openScripted({ scripts: [() => undefined], route: once });
    const [engine] = stage.engines;
    for (let at = 1, length = 2; at < length; at++) {
      engine!.script = async (exchange) => {
        const text = form.text(exchange);
        length = text.length;
        exchange.socket.write(text.slice(0, at), 'latin1');
        await turns(2);
        exchange.socket.write(text.slice(at), 'latin1');
      };
      const { id, answer } = await ask(stage, form.method);
      expectWhole(form, id, answer);
    }
    await eventually(() => stage.forwarder.open === 0);
    // A link on which HEAD was asked, or a body was told of that does not come, is not kept.
    if (form.status !== 304 && form.method === undefined)
      expect(stage.links.opened).toBeLessThan(4);
  });
}

for (const form of forms.filter(({ status, method }) => status === 200 && method === undefined))
  test(`a surplus copy of ${form.name}, up to every byte at once and the rest in the place of the next answer`, async () => {
    const stage = await openScripted({ scripts: [() => undefined], route: once });
    const [engine] = stage.engines;
    for (let at = 0, length = 1; at <= length; at++) {
      let owed = '';
      engine!.script = (exchange) => {
        const text = form.text(exchange);
        length = text.length;
        if (exchange.earlier === 0) {
          owed = text.slice(at);
          exchange.socket.write(text + text.slice(0, at), 'latin1');
        } else exchange.socket.write(owed + text, 'latin1');
      };
      const first = await ask(stage);
      expectWhole(form, first.id, first.answer);
      const next = await ask(stage);
      if (next.answer?.status === 200 && next.answer.complete)
        expectWhole(form, next.id, next.answer);
      else expectBroken(at, next.answer);
      expect(engine!.ids.filter((id) => id === next.id).length).toBeLessThanOrEqual(1);
      stage.links.close();
    }
    await eventually(() => stage.forwarder.open === 0);
  });

test('the word that a request did not run counts from the last byte of its head, not before', async () => {
  const stage = await openScripted({ scripts: [() => undefined, () => undefined], route: once });
  const [first, second] = stage.engines;
  second!.script = (exchange) => void exchange.socket.write(sized(exchange, 'whole'));
  for (let at = 0, length = 1; at <= length; at++) {
    first!.script = (exchange) => {
      const text = notRun(exchange);
      length = text.length;
      exchange.socket.end(text.slice(0, at), 'latin1');
    };
    const begun = second!.exchanges.length;
    const { id, answer } = await ask(stage);
    const told = at >= length;
    expect([at, second!.exchanges.length - begun]).toEqual([at, told ? 1 : 0]);
    if (told) expect(answer!.fields.get('x-answer-seal')).toBe(`engine-2/${id}`);
    else expectBroken(at, answer);
  }
});

test('100 from an engine, which nothing asked for, is no answer: unknown, and sent once', async () => {
  const stage = await openScripted({ scripts: [() => undefined, () => undefined], route: once });
  const [first, second] = stage.engines;
  first!.script = (exchange) =>
    void exchange.socket.write(`HTTP/1.1 100 Continue\r\n\r\n${sized(exchange, 'whole')}`);
  const { answer } = await ask(stage);
  expectBroken(0, answer);
  expect([first!.exchanges.length, second!.begun]).toEqual([1, 0]);
});

const bodied = (id: string): string => requestText(id, 'a body of some bytes');
const inChunks = (id: string): string =>
  `POST /a/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n6;x=y\r\na body\r\n3\r\n of\r\n0\r\nX-Trailer: t\r\n\r\n`;

for (const [name, text] of [
  ['a length', bodied],
  ['chunks', inChunks],
] as const)
  for (const ending of ['ended', 'reset'] as const) {
    test(`a caller's connection is ${ending} at every byte of a request with ${name}`, async () => {
      const stage = await openScripted({
        scripts: [(exchange) => void exchange.socket.write(sized(exchange))],
        route: once,
      });
      const [engine] = stage.engines;
      for (let at = 0; at < text('r0000').length; at++) {
        const id = `c${String(at).padStart(4, '0')}`;
        const line = callerLine(stage.address);
        await new Promise<void>((resolve) => line.socket.once('connect', () => resolve()));
        if (at > 0)
          await new Promise<void>((resolve) =>
            line.socket.write(text(id).slice(0, at), () => resolve()),
          );
        await turns(2);
        if (ending === 'ended') line.socket.end();
        else line.socket.resetAndDestroy();
        await line.over();
        for (const { status } of line.reader.answers) expect([at, status]).toEqual([at, 400]);
      }
      await eventually(() => stage.forwarder.open === 0);
      expect(engine!.exchanges).toEqual([]);
      expect(engine!.begun).toBe(0);
    });

    test(`behind a whole request, one with ${name} whose connection is ${ending} at every byte`, async () => {
      const stage = await openScripted({
        scripts: [(exchange) => void exchange.socket.write(sized(exchange))],
        route: once,
      });
      const [engine] = stage.engines;
      for (let at = 1; at < text('r0000').length; at++) {
        const id = `d${String(at).padStart(4, '0')}`;
        const line = callerLine(stage.address);
        line.send(requestText(`w${at}`) + text(id).slice(0, at));
        if (ending === 'reset') {
          await line.answered(1);
          line.socket.resetAndDestroy();
        } else line.socket.end();
        await line.over();
        const [own, ...rest] = line.reader.answers;
        expect([at, own?.status, own?.body.toString()]).toEqual([at, 200, `of w${at}`]);
        for (const { status } of rest) expect([at, status]).toEqual([at, 400]);
      }
      await eventually(() => stage.forwarder.open === 0);
      expect(engine!.ids.filter((id) => id.startsWith('d'))).toEqual([]);
    });
  }
