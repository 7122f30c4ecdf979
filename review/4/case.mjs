/**
 * Clients send requests of the largest size that the configuration allows, at the speed of a machine's link. The platform
 * stand-in kills a router that exceeds `memory_mb`, and starts it again, as it does with any process that ended.
 */
import { readFileSync } from 'node:fs';
import { Engine, answerWhole, configurationOf, runCase, send, sleep } from '../world.mjs';

const MEMORY_MB = 350;
const BODY_BYTES = 4_194_304;
const USUAL_CLIENTS = 28;
/** The largest dose of `burst` in the list of troubles of the site file. */
const BURST = 1.5;
const LINK_BYTES_PER_MS = 125_000;
const PIECE = 65_536;
const WORK_MS = 300;
const ROUNDS = [1, 2, 1, 2];
/** The rule's bounds: three ends in the day, on two machines at least. */
const ENDS = 3;
const MACHINES = 2;

const memoryOf = (pid) => {
  try {
    return Number(/RssAnon:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))[1]) / 1024;
  } catch {
    return 0;
  }
};

await runCase(import.meta.dirname, async (world, isTroubled, note) => {
  world.routers = 2;
  await world.start();
  const work = async (run, answer) => {
    await sleep(WORK_MS);
    answerWhole(run, answer);
  };
  const engines = [
    await new Engine(world, 1, work).start(),
    await new Engine(world, 2, work).start(),
  ];
  await world.configure(configurationOf(2), 0);
  await world.ready(1);
  await world.ready(2);
  const first = memoryOf(world.processes.get('router-11').pid);
  if (!(first > 0)) throw new Error('this machine does not tell the memory of a process');

  const ends = [];
  let peak = 0;
  const watch = setInterval(() => {
    for (const router of [1, 2]) {
      const child = world.processes.get(`router-${10 + router}`);
      if (child.ended) continue;
      const used = memoryOf(child.pid);
      peak = Math.max(peak, used);
      if (used <= MEMORY_MB) continue;
      child.kill('SIGKILL');
      child.ended = 'SIGKILL';
      ends.push(router);
      note(
        `platform: router ${router} uses ${Math.round(used)} MB of ${MEMORY_MB} MB and is killed`,
      );
      setTimeout(() => world.run('router', 10 + router), 500);
    }
  }, 10);

  const body = Buffer.alloc(BODY_BYTES, 'a');
  const clients = Math.round(USUAL_CLIENTS * (isTroubled ? BURST : 1));
  for (const [round, router] of ROUNDS.entries()) {
    await world.ready(router);
    peak = 0;
    const began = Date.now();
    let taken = 0;
    // All clients share the router's link.
    const pace = async () => {
      taken += PIECE;
      await sleep(Math.max(0, began + taken / LINK_BYTES_PER_MS - Date.now()));
    };
    const ask = async (id) => {
      const headers = {
        Host: 'planner.example',
        'Rudderridge-Request-Id': id,
        'Rudderridge-Deadline-Milliseconds': '10000',
        'Content-Length': String(BODY_BYTES),
      };
      const options = { ...world.front(router), method: 'POST', path: '/once/draft', headers };
      const answer = await send(options, body, 12_000, pace).catch(({ message }) => ({
        status: message,
      }));
      return String(answer.status);
    };
    const ids = Array.from({ length: clients }, (_, at) => `round-${round + 1}-${at + 1}`);
    const answers = await Promise.all(ids.map(ask));
    const counts = new Map();
    for (const answer of answers) counts.set(answer, (counts.get(answer) ?? 0) + 1);
    const runs = new Set(engines.flatMap((engine) => engine.runs.map(({ id }) => id)));
    const unanswered = ids.filter((id, at) => runs.has(id) && !/^\d+$/.test(answers[at]));
    note(
      `round ${round + 1}: ${clients} clients sent a request of ${BODY_BYTES} bytes each to router ${router}`,
    );
    note(`  answered: ${[...counts].map(([answer, count]) => `${count} x ${answer}`).join(', ')}`);
    note(
      `  run and never answered: ${unanswered.length}; most memory used: ${Math.round(peak)} MB`,
    );
    for (const engine of engines) engine.runs.splice(0);
    await sleep(1000);
  }
  clearInterval(watch);
  for (const engine of engines) engine.stop();
  const isBroken = ends.length >= ENDS && new Set(ends).size >= MACHINES;
  return (
    isBroken &&
    `Fault: processes went over their memory ${ends.length} times, on ${new Set(ends).size} machines`
  );
});
