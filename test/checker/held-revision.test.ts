/** A proposer holds the revision that it used last for a while, by one timer however many revisions follow each other. */
import { expect, test } from 'vitest';
import { Prepare } from '../../src/register/calls.js';
import { decodeFrame, Stage } from '../../src/wire/call.js';
import { decode } from '../../src/wire/field.js';
import { openStage } from './stage.js';

/** Sleeps as long as a revision is held, at the most; calls end long before. */
const LONG = 8000;
const CHANGES = 50;

test('one long timer runs while changes follow each other, and what was held is forgotten in the end', async () => {
  const { world, operator } = await openStage();
  const { clock } = operator.host;
  const sleep = clock.sleep.bind(clock);
  let open = 0;
  let most = 0;
  clock.sleep = async (duration, signal): Promise<void> => {
    if (duration < LONG) return sleep(duration, signal);
    most = Math.max(most, ++open);
    await sleep(duration, signal);
    open -= 1;
  };
  let known: string | undefined;
  world.net.mishap = (from, _, bytes) => {
    const frame = decodeFrame(bytes, from).toMaybe().extract();
    if (from === 'op' && frame?.code === Prepare.code && frame.stage === Stage.ask)
      known = decode(Prepare.ask, frame.body, 'test', from).unsafeCoerce().known;
    return 'pass';
  };
  const change = async (number: number): Promise<void> => {
    const act = {
      kind: 'claim',
      name: `c-${number}`,
      duration: 1,
      expects: 0,
      takeover: false,
    } as const;
    const told = await world.until(
      operator.proposer.propose({ id: `c-${number}`, firm: 's', who: 'o', act }, 4000),
    );
    expect(told.isRight()).toBe(true);
  };
  for (let number = 0; number < CHANGES; number++) await change(number);
  expect(known).not.toBe('');
  expect(most).toBe(1);
  await world.run(world.now + 9000);
  await change(CHANGES);
  expect(known).not.toBe('');
  await world.run(world.now + 11_000);
  await change(CHANGES + 1);
  expect(known).toBe('');
});
