/**
 * Case 6: one core machine is down for some seconds while another is replaced in order, and right after the next
 * acknowledgement the closing fault takes one disk. The two machines whose disks remain hold all that is needed, and are a
 * majority of the voters, but never come together again.
 */
import { rmSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { configurationOf, Record, routeOf, sleep, World } from '../world-2.mjs';

const here = dirname(fileURLToPath(import.meta.url));
const isTroubled = process.env.TROUBLE !== '0';

/** `catch_up_s`: how long a machine that is new counts as lost. */
const CATCH_UP_MS = 4000;
/** How long the machine that is down stays so: the largest dose on the site's days. */
const DOWN_MS = 4200;
/** `recovery_s`, and twice as much again. */
const RECOVERY_MS = 12_000;
const WATCHED_MS = 3 * RECOVERY_MS;

const record = new Record(join(here, 'record.txt'));
/** The fourth core machine is the spare one, which takes the place of the first. */
const world = new World(record, { cores: 4, routers: 0, engines: 0 });
const [LEAVER, STAYER, AWAY, SUCCESSOR] = [1, 2, 3, 4].map((number) => `core-${number}`);
const began = performance.now();
const since = () => performance.now() - began;

const configuration = (version) => configurationOf(version, [routeOf(`r-${version}`, '/draft/')]);

/** Reads the configuration at one core machine; 0 where it does not come. */
const readAt = async (core) => {
  const { status, text } = await world.control(core, 'GET');
  const version = status === 200 ? JSON.parse(text).version : 0;
  record.say('read at', `core-${core + 1}`, 'answered', status, 'version', version);
  return version;
};

const ended = async (name, limit) => {
  const end = since() + limit;
  while (world.machines.get(name).isRunning && since() < end) await sleep(20);
  return !world.machines.get(name).isRunning;
};

const play = async () => {
  await world.open();
  for (const name of [LEAVER, STAYER, AWAY]) world.start(name, true);
  if (!(await world.order('PUT', 0, configuration(1), 20_000))) throw new Error('no version 1');
  await sleep(3000);

  record.say('the successor of', LEAVER, 'comes first');
  world.start(SUCCESSOR);
  await sleep(CATCH_UP_MS + 1000);

  let downSince = since();
  if (isTroubled) {
    world.signal(AWAY, 'SIGKILL');
    await ended(AWAY, 1000);
    downSince = since();
  }
  world.signal(LEAVER, 'SIGTERM');
  if (!(await ended(LEAVER, 8000))) throw new Error('the leaver did not stop');
  if (!(await world.order('PUT', 1, configuration(2), 10_000))) throw new Error('no version 2');

  record.say('closing fault: all are killed,', SUCCESSOR, 'loses its disk');
  for (const name of [STAYER, AWAY, SUCCESSOR]) world.signal(name, 'SIGKILL');
  for (const name of [STAYER, AWAY, SUCCESSOR]) await ended(name, 1000);
  rmSync(join(world.folder, SUCCESSOR), { recursive: true, force: true });
  const down = since() - downSince;
  if (isTroubled && down > DOWN_MS) throw new Error(`down for ${down.toFixed(0)} ms already`);
  if (isTroubled) await sleep(Math.min(500, DOWN_MS - down));
  for (const name of [STAYER, AWAY, SUCCESSOR]) world.start(name);
  if (isTroubled) record.say(AWAY, 'was down for', (since() - downSince).toFixed(0), 'ms');

  const end = since() + WATCHED_MS;
  for (let at = 0; since() < end; at++) {
    if ((await readAt(1 + (at % 3))) === 2) {
      record.say('verdict held: version 2 is read back');
      return 0;
    }
    await sleep(300);
  }
  record.say('verdict broken: version 2 was acknowledged and does not come');
  return 1;
};

let code = 2;
try {
  code = await play();
} catch (thrown) {
  record.say('could not run:', String(thrown));
}
await world.close();
await record.end();
process.exit(code);
