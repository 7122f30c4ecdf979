/**
 * Deltas between revisions: whatever happens to a document, the delta makes the very same one or is not given out; a
 * follower that holds a revision is sent what changed, and one that does not, or is told a wrong one, the whole.
 */
import { expect, test } from 'vitest';
import { SeededRandom, pick, type Random } from '../../src/kernel/random/random.js';
import { applyChanges } from '../../src/register/change.js';
import { applyDelta, deltaOf } from '../../src/register/delta.js';
import { Feed } from '../../src/register/calls.js';
import {
  decodeDocument,
  encodeDocument,
  genesis,
  type Act,
  type Document,
} from '../../src/register/document.js';
import { digestOf } from '../../src/register/hash.js';
import { documentDigest } from '../../src/register/document-digest.js';
import { configurationOf, patchOf } from '../../src/fleet/slopes/items.js';
import { ControlPlane } from '../../src/fleet/slopes/plane.js';

const doorway = (name: string, total: number) => ({
  name,
  firm: 'f',
  match: { tag: name },
  engines: [],
  repeatable: true,
  resume: false,
  limits: { firstToken: 100, total },
  line: 10,
  share: 10,
});

const someAct = (random: Random, document: Document): Act => {
  const version = document.configuration?.version ?? 0;
  const name = `d${Math.floor(random.fraction() * 6)}`;
  const expects = document.doorways.get(name)?.revision ?? document.removed.get(name) ?? 0;
  const routes = document.configuration?.routes ?? [];
  const acts: Act[] = [
    { kind: 'set', doorway: doorway(name, 200 + Math.floor(random.fraction() * 100)), expects },
    { kind: 'remove', name, expects },
    {
      kind: 'registerRouter',
      name,
      registered: { address: '127.0.0.1:1', zone: 'z', law: '' },
      expects: document.registeredAt,
    },
    { kind: 'deregister', name, expects: document.registeredAt },
    {
      kind: 'configure',
      version: version + 1 + Math.floor(random.fraction() * 3),
      expects: version,
      digest: String(random.fraction()),
      whole: configurationOf(1 + Math.floor(random.fraction() * 9), 1),
    },
  ];
  if (routes.length > 1) {
    acts.push({
      kind: 'configure',
      version: version + 1,
      expects: version,
      digest: String(random.fraction()),
      patch: { ...patchOf(Math.floor(random.fraction() * 12), version + 1), version: version + 1 },
    });
    acts.push({
      kind: 'configure',
      version: version + 2,
      expects: version,
      digest: String(random.fraction()),
      patch: { version: version + 2, set: {}, remove: { routes: [pick(random, routes)!.name] } },
    });
  }
  return pick(random, acts)!;
};

test('over runs of any changes, each delta makes the next document to the byte, and is given out for nearly all', () => {
  let made = 0;
  let all = 0;
  for (let seed = 1; seed <= 20; seed++) {
    const random = new SeededRandom(seed);
    let document = genesis('f', []);
    for (let step = 0; step < 60; step++) {
      const changes = Array.from({ length: 1 + Math.floor(random.fraction() * 3) }, (_, at) => ({
        id: `${seed}-${step}-${at}`,
        firm: 'f',
        who: 'w',
        act: someAct(random, document),
      }));
      const { document: next } = applyChanges(document, changes);
      if (next.revision === document.revision) continue;
      const bytes = encodeDocument(next);
      const digest = documentDigest(next);
      const read = decodeDocument(bytes, 'p').unsafeCoerce();
      expect(documentDigest(read)).toBe(digest);
      const delta = deltaOf(decodeDocument(encodeDocument(document), 'p').unsafeCoerce(), read);
      all += 1;
      if (delta) {
        made += 1;
        const applied = applyDelta(document, delta, digest, 'p').unsafeCoerce();
        expect(Buffer.from(encodeDocument(applied)).equals(Buffer.from(bytes))).toBe(true);
        expect(applyDelta(next, delta, digestOf(`${seed}`), 'p').isLeft()).toBe(true);
      }
      document = next;
    }
  }
  expect(all).toBeGreaterThan(400);
  expect(made / all).toBeGreaterThan(0.9);
});

test('bytes that are no delta are not taken', () => {
  for (const text of ['', '{', '[]', '{"head":{}}', 'null'])
    expect(applyDelta(genesis('f', []), Buffer.from(text), 'x', 'p').isLeft()).toBe(true);
});

test('followers of a large configuration are sent what changed, and all come to the same document', async () => {
  const plane = new ControlPlane({
    cores: 3,
    routers: 6,
    engines: 1,
    items: 0,
    seed: 3,
    over: { lease: { lapse: 'serve' }, claims: { enabled: false } },
  });
  expect(await plane.start()).toBe(true);
  expect(await plane.configure(configurationOf(1500, 1), 0)).toBe(true);
  await plane.inForce(1);
  const rates = await plane.during(async () => {
    for (let version = 1; version <= 5; version++)
      expect((await plane.change(patchOf(version, version + 1), version)).everywhere).toBeLessThan(
        1000,
      );
  });
  const whole = plane.cores[0]!.inForce.whole!;
  const digests = new Set(
    plane.routers.map(({ inForce }) => digestOf(encodeDocument(inForce.whole!))),
  );
  expect([...digests]).toEqual([digestOf(encodeDocument(whole))]);
  const fed = rates.router.byCall.filter(
    ({ call, way, peer }) => call === 'register.feed' && way === 'received' && peer === 'core',
  );
  const seconds = fed.reduce((sum, { messages }) => sum + messages.median, 0);
  expect(seconds).toBeGreaterThan(0);
  expect(fed.reduce((sum, { bytes }) => sum + bytes.most, 0) / seconds).toBeLessThan(
    encodeDocument(whole).length / 50,
  );

  const [router] = plane.routers;
  const [core] = plane.cores;
  const from = whole.revision - 1;
  const asked = await plane.world.until(
    router!.peers.ask(core!.params.listen.peers, Feed, { from, wait: 0 }, 1000),
  );
  expect(asked.unsafeCoerce().items.map(({ base }) => base)).toEqual([0]);
  const taken = await plane.world.until(
    router!.peers.ask(core!.params.listen.peers, Feed, { from, wait: 0, deltas: true }, 1000),
  );
  expect(taken.unsafeCoerce().items.map(({ base }) => base)).toEqual([from]);
});
