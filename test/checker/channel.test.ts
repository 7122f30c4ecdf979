/** A peer that went away without a word while the way to it was cut: the old channel is given up and a new one dialled. */
import { Right } from 'purify-ts';
import { expect, test } from 'vitest';
import { silentLog } from '../../src/kernel/log/log.js';
import { State } from '../../src/register/calls.js';
import { FIRST } from '../../src/register/ballot.js';
import { Host } from '../../src/sim/host.js';
import { World } from '../../src/sim/world.js';
import { Peers } from '../../src/wire/peers.js';

const open = (world: World, name: string, address: string): { host: Host; peers: Peers } => {
  const host = new Host(world, name, address);
  const peers = new Peers(host.net, host.clock, silentLog, {
    fleet: 'f',
    name,
    incarnation: host.random.identity(),
  });
  peers.handle(State, () =>
    Right({
      member: name,
      formed: false,
      voting: false,
      vote: 'non-voting',
      reason: '',
      accepted: FIRST,
      revision: 0,
      committed: 0,
      core: '',
      zone: '',
      region: '',
      whole: '',
    }),
  );
  void peers.serve(address);
  return { host, peers };
};

test('a half-open channel does not silence a peer for good', async () => {
  const world = new World(1);
  const { peers } = open(world, 'a', '127.0.0.1:1');
  const first = open(world, 'b', '127.0.0.1:2');
  const ask = async (): Promise<boolean> =>
    (await world.until(peers.ask('127.0.0.1:2', State, { from: 'a' }, 500))).isRight();
  expect(await ask()).toBe(true);
  world.part(['a'], ['b']);
  first.host.kill();
  open(world, 'b', '127.0.0.1:2');
  await world.run(world.now + 100);
  world.heal();
  expect(await ask()).toBe(false);
  expect(await ask()).toBe(true);
});
