/**
 * The acceptor of the first revision, asked by hand: a promise binds it at each later accept, also after a restart, and
 * what it accepted is told with each later promise.
 */
import { expect, test } from 'vitest';
import type { Outcome } from '../../src/kernel/fault/fault.js';
import type { Ballot } from '../../src/register/ballot.js';
import { BootstrapAcceptor } from '../../src/register/bootstrap/acceptor.js';
import type {
  BootstrapAcceptReply,
  BootstrapPrepareReply,
} from '../../src/register/bootstrap/calls.js';
import { SimDisk } from '../../src/sim/disk.js';
import { Host } from '../../src/sim/host.js';
import { World } from '../../src/sim/world.js';

const SEEDS = ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'];
const ACCEPTOR = 'acceptor';
const RANDOM_SEEDS = 20;
const ballotOf = (counter: number, node: string): Ballot => ({ counter, node, incarnation: 'i' });

class LoneAcceptor {
  readonly world: World;
  private readonly disk: SimDisk;
  private acceptor!: BootstrapAcceptor;

  constructor(seed: number) {
    this.world = new World(seed);
    this.disk = new SimDisk(this.world);
  }

  async start(): Promise<void> {
    const host = new Host(this.world, 'core', SEEDS[0]!);
    const view = { id: ACCEPTOR, formed: false, healthy: true };
    this.acceptor = new BootstrapAcceptor(this.disk.open(host), 'f', () => view);
    expect((await this.world.until(this.acceptor.load())).isRight()).toBe(true);
    const marked = await this.world.until(this.acceptor.markFirstStart(SEEDS));
    expect(marked.isRight()).toBe(true);
  }

  prepare(ballot: Ballot): Promise<Outcome<BootstrapPrepareReply>> {
    const ask = { seeds: SEEDS, ballot, acceptor: ACCEPTOR, unanimous: false };
    return this.world.until(this.acceptor.prepare(ask));
  }

  accept(ballot: Ballot, value: string): Promise<Outcome<BootstrapAcceptReply>> {
    const ask = { seeds: SEEDS, ballot, acceptor: ACCEPTOR, document: Buffer.from(value) };
    return this.world.until(this.acceptor.accept(ask));
  }

  /** What a promise of this ballot reports as accepted. */
  async acceptedAt(ballot: Ballot): Promise<{ accepted: Ballot; value: string }> {
    const { promised, accepted, document } = (await this.prepare(ballot)).unsafeCoerce();
    expect(promised).toBe(true);
    return { accepted, value: Buffer.from(document).toString() };
  }
}

test('an accept below the promise is refused and changes nothing, before and after a restart', async () => {
  const [low, high] = [ballotOf(1, 'one'), ballotOf(2, 'two')];
  for (const isRestarted of [false, true]) {
    const lone = new LoneAcceptor(1);
    await lone.start();
    expect((await lone.prepare(low)).unsafeCoerce().promised).toBe(true);
    expect((await lone.prepare(high)).unsafeCoerce().promised).toBe(true);
    if (isRestarted) await lone.start();
    expect((await lone.accept(low, 'late')).unsafeCoerce()).toEqual({
      accepted: false,
      highest: high,
    });
    expect(await lone.acceptedAt(ballotOf(3, 'one'))).toMatchObject({
      accepted: { counter: 0 },
      value: '',
    });
  }
});

test('of two proposers with the same counter the lower node is refused once the higher one has the promise', async () => {
  const lone = new LoneAcceptor(1);
  await lone.start();
  await lone.prepare(ballotOf(1, 'a'));
  await lone.prepare(ballotOf(1, 'b'));
  expect((await lone.accept(ballotOf(1, 'a'), 'of a')).unsafeCoerce().accepted).toBe(false);
  expect((await lone.accept(ballotOf(1, 'b'), 'of b')).unsafeCoerce().accepted).toBe(true);
  const seen = await lone.acceptedAt(ballotOf(2, 'a'));
  expect(seen).toEqual({ accepted: ballotOf(1, 'b'), value: 'of b' });
});

test('two proposers in any order: nothing is accepted below a promise, and promises report the newest accept', async () => {
  for (let seed = 1; seed <= RANDOM_SEEDS; seed++) {
    const lone = new LoneAcceptor(seed);
    await lone.start();
    let promised = 0;
    let accepted = 0;
    for (let step = 0; step < 40; step++) {
      const { random } = lone.world;
      const counter = 1 + Math.floor(random.fraction() * 12);
      const node = counter % 2 ? 'one' : 'two';
      if (random.fraction() < 0.1) await lone.start();
      if (random.fraction() < 0.4) {
        const reply = (await lone.prepare(ballotOf(counter, node))).unsafeCoerce();
        expect({ seed, step, promised: reply.promised }).toEqual({
          seed,
          step,
          promised: counter > promised,
        });
        if (reply.promised) expect(reply.accepted.counter).toBe(accepted);
        promised = Math.max(promised, counter);
      } else {
        const reply = (await lone.accept(ballotOf(counter, node), `${counter}`)).unsafeCoerce();
        const isDue = counter >= promised;
        expect({ seed, step, accepted: reply.accepted }).toEqual({ seed, step, accepted: isDue });
        if (isDue) promised = accepted = counter;
      }
    }
  }
});
