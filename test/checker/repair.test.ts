/** Repair of histories: a member that was away, one whose files spoil on the disk, one that holds what was never chosen. */
import { expect, test } from 'vitest';
import { decodeDocument, encodeDocument, type Change } from '../../src/register/document.js';
import { digestOf } from '../../src/register/hash.js';
import { documentDigest } from '../../src/register/document-digest.js';
import { simBase, simCore, type SimCore } from '../../src/sim/nodes.js';
import { SimDisk } from '../../src/sim/disk.js';
import { World } from '../../src/sim/world.js';

const addresses = ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'];
const site = { fleet: 'f', seeds: addresses, over: { form: true } };
const claim = (at: number): Change => ({
  id: `c${at}`,
  firm: 's',
  who: 'o',
  act: { kind: 'claim', name: 'n', duration: 1, expects: at, takeover: false },
});

const start = async (): Promise<{
  world: World;
  disks: SimDisk[];
  cores: SimCore[];
  startCore: (at: number) => void;
  change: (from: number, to: number) => Promise<void>;
}> => {
  const world = new World(3);
  const disks = addresses.map(() => new SimDisk(world));
  const cores: SimCore[] = [];
  const startCore = (at: number): void => {
    cores[at] = simCore(world, `core-${at}`, addresses[at]!, 'z', disks[at]!, site);
    void cores[at]!.node.start();
  };
  addresses.forEach((_, at) => startCore(at));
  await world.run(3000);
  const operator = simBase(world, 'op', '127.0.0.1:20', 'z', 'router', site);
  const change = async (from: number, to: number): Promise<void> => {
    for (let at = from; at < to; at++)
      expect(
        (await world.until(operator.proposer.propose(claim(at), 20_000)))
          .map(({ kind }) => kind)
          .extract(),
      ).toBe('applied');
  };
  return { world, disks, cores, startCore, change };
};

const bodyOf = (file: Uint8Array | undefined): string =>
  Buffer.from(file ?? [])
    .toString('utf8')
    .replace(/^.*\n/, '');
const wholes = (cores: readonly SimCore[]): string[] =>
  cores.map(({ member }) => member.wholeDigest);

test('a member that was away while much changed becomes whole again', async () => {
  const { world, cores, startCore, change } = await start();
  await change(0, 5);
  cores[2]!.host.kill();
  await change(5, 45);
  startCore(2);
  await world.run(world.now + 15_000);
  expect(wholes(cores)[0]).not.toBe('');
  expect(new Set(wholes(cores)).size).toBe(1);
  expect(cores[2]!.member.committedRevision).toBe(46);
});

test('what spoils on the disk is found and mended, and a spoilt newest file ends voting until then', async () => {
  const { world, disks, cores, startCore, change } = await start();
  await change(0, 12);
  await world.run(world.now + 8000);
  const path = 'revisions/000000000004';
  const before = bodyOf(disks[1]!.files.get(path));
  disks[1]!.spoil(path);
  disks[0]!.files.delete('revisions/000000000007');
  await world.run(world.now + 10_000);
  expect(bodyOf(disks[1]!.files.get(path))).toBe(before);
  expect(disks[0]!.files.has('revisions/000000000007')).toBe(true);
  cores[1]!.host.kill();
  disks[1]!.spoil('revisions/000000000013');
  startCore(1);
  await world.run(world.now + 5000);
  expect(cores[1]!.member.state()).toMatchObject({
    voting: false,
    reason: expect.stringContaining('spoilt') as string,
  });
  await change(12, 14);
});

test('a revision that was accepted here but never chosen is not told as history, and is replaced', async () => {
  const { world, disks, cores, startCore, change } = await start();
  await change(0, 3);
  cores[0]!.host.kill();
  await change(3, 30);
  const path = 'revisions/000000000005';
  const chosen = disks[1]!.files.get(path)!;
  const text = Buffer.from(chosen).toString('utf8');
  const body = text.slice(text.indexOf('\n') + 1);
  const committed = decodeDocument(Buffer.from(body), 'x').unsafeCoerce();
  const other = { ...committed, claims: new Map() };
  const head = text
    .slice(65, text.indexOf('\n'))
    .replace(/"counter":\d+/, '"counter":1')
    .replace(documentDigest(committed), documentDigest(other));
  expect(head).toContain(documentDigest(other));
  const rest = Buffer.concat([Buffer.from(`${head}\n`), encodeDocument(other)]);
  disks[0]!.files.set(path, Buffer.concat([Buffer.from(`${digestOf(rest)} `), rest]));
  startCore(0);
  await world.run(world.now + 15_000);
  expect(bodyOf(disks[0]!.files.get(path))).toBe(body);
  expect(new Set(wholes(cores)).size).toBe(1);
});
