/**
 * Many users come at once with long requests, each at a modest speed, while others wait for answers on kept connections.
 * The platform ends a process that takes more memory than its machine has. Without the disruption the same long requests
 * come one after the other.
 */
import { readFileSync } from 'node:fs';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  answerWhole,
  configurationOf,
  Engine,
  MEMORY_MB,
  openRaw,
  runCase,
  sleep,
  until,
} from '../world.mjs';

const UPLOADS = 100;
/** A little less than `max_body_bytes`. */
const BODY = Buffer.alloc(4_000_000, 'w');
/** Each client sends so many bytes every so many ms: 1 MB/s, so all of them together stay below the link's 125 MB/s. */
const PIECE = 50_000;
const EVERY = 50;
const WAITING = 8;
const SLOW_WORK = 6500;
const ROUTER = 'router-11';
/** More than so many such requests break the rule. */
const ALLOWED = 3;

const headOf = (path, id, length) =>
  `POST ${path} HTTP/1.1\r\nHost: planner.example\r\nRudderridge-Request-Id: ${id}\r\n` +
  `Rudderridge-Deadline-Milliseconds: 10000\r\nContent-Length: ${length}\r\n\r\n`;

/** The private memory of a process in MB: files that it maps are not counted. */
const memoryOf = (pid) =>
  Number(/RssAnon:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) / 1024;

const upload = async (world, id, every) => {
  const client = await openRaw(world.front());
  client.socket.write(headOf('/once/upload', id, BODY.length));
  for (let from = 0; from < BODY.length && !client.closed; from += PIECE) {
    client.socket.write(BODY.subarray(from, from + PIECE));
    if (every > 0) await sleep(every);
  }
  await until(
    `${id} is answered`,
    12_000,
    () => client.closed || client.received.includes('\r\n\r\n'),
  );
  client.socket.destroy();
  return client.received.slice(9, 12) || 'closed';
};

const play = async (world, isTroubled, note) => {
  await world.start();
  const engine = await new Engine(world, 1, async (run, answer) => {
    if (run.line.endsWith('/slow')) await sleep(SLOW_WORK);
    answerWhole(run, answer);
  }).start();
  await world.configure(configurationOf(1), 0);
  await world.ready();
  await sleep(4000);

  const router = world.processes.get(ROUTER);
  let most = 0;
  let ended = '';
  const watch = setInterval(() => {
    if (router.ended || ended) return;
    const memory = memoryOf(router.pid);
    most = Math.max(most, memory);
    if (memory <= MEMORY_MB) return;
    ended = `the platform ends ${ROUTER}: ${Math.round(memory)} MB of ${MEMORY_MB}`;
    note(ended);
    router.kill('SIGKILL');
  }, 25);

  const kept = await Promise.all(
    Array.from({ length: WAITING }, async (_, at) => {
      const client = await openRaw(world.front());
      client.socket.write(headOf('/once/first', `first-${at}`, 0));
      await until('a first answer', 3000, () => client.received.includes(`done first-${at}`));
      client.id = `kept-${at}`;
      return client;
    }),
  );
  if (!isTroubled)
    for (let at = 0; at < UPLOADS; at++) {
      const status = await upload(world, `upload-${at}`, 0);
      if (status !== '200') throw new Error(`an upload by itself: ${status}`);
    }
  const uploads = isTroubled
    ? Array.from({ length: UPLOADS }, (_, at) => upload(world, `upload-${at}`, EVERY).catch(String))
    : [];
  for (const client of kept) client.socket.write(headOf('/once/slow', client.id, 0));
  note(`${WAITING} requests sent on kept connections, ${UPLOADS} bodies of ${BODY.length} bytes`);
  await until('the kept requests end', 20_000, () =>
    kept.every(({ closed, received, id }) => closed || received.includes(`done ${id}`)),
  );
  const statuses = await Promise.all(uploads);
  clearInterval(watch);
  for (const status of new Set(statuses))
    note(`uploads: ${status} (${statuses.filter((each) => each === status).length} times)`);
  note(`most memory of ${ROUTER}: ${Math.round(most)} MB`);
  const lost = kept.filter(
    ({ id, received }) =>
      engine.runs.some((run) => run.id === id) && !received.includes(`done ${id}`),
  );
  for (const { id } of lost) note(`${id}: passed on to a sound engine, closed without an answer`);
  return (
    lost.length > ALLOWED && `LOST: ${lost.length} requests closed without an answer; ${ended}`
  );
};

await runCase(dirname(fileURLToPath(import.meta.url)), play);
