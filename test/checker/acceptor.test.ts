/**
 * An acceptor never goes back: what it holds as accepted never falls to a lower ballot, and never below a revision that
 * it knows to be committed, by a late Accept, by repair or over a restart.
 */
import { expect, test } from 'vitest';
import { Accept, Prepare } from '../../src/register/calls.js';
import { applyChanges, type Verdict } from '../../src/register/change.js';
import {
  encodeDocument,
  voterSetDigest,
  type Act,
  type Change,
} from '../../src/register/document.js';
import { documentDigest } from '../../src/register/document-digest.js';
import type { Outcome } from '../../src/kernel/fault/fault.js';
import { simBase, simCore, type SimBase, type SimCore } from '../../src/sim/nodes.js';
import { SimDisk } from '../../src/sim/disk.js';
import { World } from '../../src/sim/world.js';
import { decodeFrame } from '../../src/wire/call.js';

const addressOf = (number: number): string => `127.0.0.1:${number}`;
const isApplied = (outcome: Outcome<Verdict>): boolean =>
  outcome.map(({ kind }) => kind === 'applied').orDefault(false);

/** Five voters, of which the last lost its disk and was removed, so that two different changes of voters may follow. */
class FourVoters {
  readonly world: World;
  readonly voters: SimCore[];
  private changes = 0;

  constructor(seed: number) {
    this.world = new World(seed);
    this.voters = [1, 2, 3, 4, 5].map((number) => this.start(number));
  }

  async form(): Promise<SimBase> {
    await this.world.run(3000);
    this.voter(5).host.kill();
    const operator = this.client('operator', 90, [1]);
    expect(await this.propose(operator, this.removalOf(5, 1))).toBe(true);
    await this.world.run(this.world.now + 500);
    return operator;
  }

  voter(number: number): SimCore {
    return this.voters[number - 1]!;
  }

  client(name: string, port: number, seeds: readonly number[]): SimBase {
    return simBase(this.world, name, addressOf(port), 'z', 'router', {
      fleet: 'f',
      seeds: seeds.map(addressOf),
    });
  }

  removalOf(number: number, expects: number): Act {
    return { kind: 'removeVoter', id: this.voter(number).member.id, vacant: true, expects };
  }

  claim(name: string): Act {
    return { kind: 'claim', name, duration: 1, expects: 0, takeover: false };
  }

  change(act: Act): Change {
    return { id: `change-${++this.changes}`, firm: 's', who: 'o', act };
  }

  async propose(client: SimBase, act: Act, limit = 5000): Promise<boolean> {
    const proposed = client.proposer.propose(this.change(act), limit);
    return isApplied(await this.world.until(proposed));
  }

  /** Cuts one voter off from the rounds of all proposers but one. */
  loseRounds(voter: string, except: string): void {
    this.world.net.mishap = (from, to, frame) => {
      const isRound = decodeFrame(frame, from)
        .map(({ code }) => code === Prepare.code || code === Accept.code)
        .orDefault(false);
      return isRound && to === voter && from !== except ? 'drop' : 'pass';
    };
  }

  private start(number: number): SimCore {
    const over = { form: true, core: { replaceAfter: 0 } };
    const site = { fleet: 'f', seeds: [1, 2, 3, 4, 5].map(addressOf), over };
    const disk = new SimDisk(this.world);
    const name = `core-${number}`;
    const core = simCore(this.world, name, addressOf(number), 'z', disk, site);
    void core.node.start();
    return core;
  }
}

test('a late Accept of a lower ballot is not taken by a voter that learned a newer committed revision, so that no two majorities acknowledge different changes', async () => {
  for (let seed = 1; seed <= 10; seed++) {
    const group = new FourVoters(seed);
    const { world } = group;
    const operator = await group.form();
    const late = group.client('late', 91, [1]);
    const old = group.voter(4).member.newest!;
    const ballot = {
      counter: group.voter(1).member.state().accepted.counter + 1,
      node: 'late',
      incarnation: late.peers.self.incarnation,
    };
    const round = { set: 2, voters: voterSetDigest(old.core), ballot };
    const promises = await world.until(
      Promise.all(
        [2, 3, 4].map((number) =>
          late.peers.ask(addressOf(number), Prepare, { ...round, known: '' }, 1000),
        ),
      ),
    );
    expect(promises.every((reply) => reply.map(({ promised }) => promised).orDefault(false))).toBe(
      true,
    );
    const removal = group.change(group.removalOf(1, 2));
    const removed = applyChanges(old, [removal]).document;
    const [document, digest] = [encodeDocument(removed), documentDigest(removed)];

    group.loseRounds('core-4', 'late');
    expect(await group.propose(operator, group.claim('one'))).toBe(true);
    expect(await group.propose(operator, group.claim('two'))).toBe(true);
    await world.run(world.now + 2000);
    const learned = group.voter(4).member.state();
    expect(learned.committed).toBe(old.revision + 2);

    await world.until(
      late.peers.ask(addressOf(4), Accept, { ...round, document, base: '', digest }, 1000),
    );
    world.part(['core-4'], ['core-1', 'core-2', 'core-3']);
    expect(await group.propose(operator, group.removalOf(2, 2))).toBe(true);
    await world.run(world.now + 500);

    world.net.mishap = () => 'pass';
    world.part(['core-2', 'core-4'], ['core-1', 'core-3']);
    const [some, others] = [group.client('some', 92, [1]), group.client('others', 93, [4])];
    world.part(['some'], ['core-2', 'core-4']);
    world.part(['others'], ['core-1', 'core-3']);
    const told = [
      await group.propose(some, group.claim('three')),
      await group.propose(others, group.claim('four')),
    ];
    expect(told, `seed ${seed}`).toEqual([true, false]);
    const { accepted, revision } = group.voter(4).member.state();
    expect(accepted.counter).toBeGreaterThanOrEqual(learned.accepted.counter);
    expect(revision).toBeGreaterThanOrEqual(learned.revision);
  }
});
