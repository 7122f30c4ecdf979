/**
 * Five core machines in three zones, of which one zone may be lost. Right after an acknowledgement the two machines of
 * one zone lose their disks and come back empty. The operator then asks for what was acknowledged, at every machine.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { answerWhole, configurationOf, Engine, runCase, sleep } from '../world.mjs';

const LOST_ZONE = 'marka';
const DOWN = 3000;
const CATCH_UP = 4000;
const RECOVERY = 12_000;
/** The operator asks on for longer than the rule wants. */
const ASKED_FOR = 15_000;
const ACKNOWLEDGE = 4000;

const setting = {
  cores: 5,
  zones: ['marka', 'marka', 'sahab', 'sahab', 'abdali'],
  tolerated: { machines: 1, zones: 1 },
};

const play = async (world, isTroubled, note) => {
  const lost = world.zones.flatMap((zone, at) => (zone === LOST_ZONE ? [at + 1] : []));
  await world.start();
  await new Engine(world, 1, answerWhole).start();
  await world.configure(configurationOf(1), 0);
  await world.ready();
  note('version 1 acknowledged; all machines run undisturbed for 10 s');
  await sleep(10_000);
  await world.configure(configurationOf(2), 1);
  note('version 2 acknowledged');
  if (isTroubled) {
    await Promise.all(lost.map((core) => world.kill(`core-${core}`)));
    for (const core of lost) world.loseDisk(core);
    note(`zone ${LOST_ZONE}: core machines ${lost.join(' and ')} killed, their disks lost`);
  }
  await sleep(DOWN);
  if (isTroubled) {
    for (const core of lost) world.run('core', core);
    note('they run again, with empty disks, at their old addresses');
  }
  await sleep(Math.max(RECOVERY, CATCH_UP));
  note(`${RECOVERY} ms later the operator asks, at one machine after the other`);
  const read = new Map();
  const end = Date.now() + ASKED_FOR;
  for (let core = 1; Date.now() < end; core = (core % world.cores) + 1) {
    const { status, body } = await world.askConfiguration(core);
    const answer = status === 200 ? `version ${JSON.parse(body).version}` : `status ${status}`;
    read.set(`core-${core}: ${answer}`, (read.get(`core-${core}: ${answer}`) ?? 0) + 1);
    await sleep(100);
  }
  for (const [answer, count] of [...read].sort()) note(`${answer} (${count} times)`);
  const began = Date.now();
  const taken = await world
    .configure(configurationOf(3), 2, { limit: 4 * ACKNOWLEDGE })
    .catch(() => false);
  note(`version 3: ${taken ? 'acknowledged' : 'not acknowledged'} within ${Date.now() - began} ms`);
  const answers = [...read.keys()];
  if (answers.some((answer) => answer.endsWith('version 1')))
    return 'CONFIG: an older version was told';
  if (!answers.some((answer) => answer.endsWith('version 2')))
    return `CONFIG: version 2, which was acknowledged, did not come within ${ASKED_FOR} ms`;
  return '';
};

await runCase(dirname(fileURLToPath(import.meta.url)), play, setting);
