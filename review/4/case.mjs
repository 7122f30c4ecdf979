/**
 * Clients send requests whose headers have many short fields, inside `max_header_bytes`; the field that tells the length
 * of the body, or its coding, comes last. Without the disruption the header has fewer fields.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { answerWhole, configurationOf, Engine, openRaw, runCase, until } from '../world.mjs';

const FIELDS = { troubled: 1100, calm: 900 };
const REQUESTS = 10;
const BODY = 'a draft for wagon 7';
const LIMIT = configurationOf(1).limits.max_header_bytes;

/** The header of a request; its last field is the one given. */
const headOf = (id, fields, last) =>
  [
    `POST /once/${id} HTTP/1.1`,
    'Host: planner.example',
    `Rudderridge-Request-Id: ${id}`,
    ...Array.from({ length: fields }, (_, at) => `x-${at}: 1`),
    last,
    '\r\n',
  ].join('\r\n');

const codings = [
  ['Content-Length', `Content-Length: ${BODY.length}`, BODY],
  ['chunks', 'Transfer-Encoding: chunked', `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`],
];

const play = async (world, isTroubled, note) => {
  await world.start();
  const engine = await new Engine(world, 1, answerWhole).start();
  await world.configure(configurationOf(1), 0);
  await world.ready();
  const changed = [];
  for (let at = 0; at < REQUESTS; at++) {
    const id = `r${at}`;
    const [coding, last, body] = codings[at % codings.length];
    const head = headOf(id, isTroubled ? FIELDS.troubled : FIELDS.calm, last);
    if (head.length > LIMIT) throw new Error('the header is over the limit');
    const client = await openRaw(world.front());
    client.socket.write(`${head}${body}`);
    await until(`${id} is answered`, 5000, () => client.received.includes('\r\n\r\n'));
    client.socket.destroy();
    const status = client.received.slice(9, 12);
    const ran = engine.runs.find((run) => run.id === id)?.body.toString();
    note(`${id}: header of ${head.length} bytes, body of ${BODY.length} bytes by ${coding}`);
    note(`${id}: the engine ran it with ${JSON.stringify(ran)}; answered ${status}`);
    if (ran !== undefined && ran !== BODY) changed.push(id);
  }
  return changed.length > 0 && `UNASKED: ${changed.length} of ${REQUESTS} ran with another body`;
};

await runCase(dirname(fileURLToPath(import.meta.url)), play);
