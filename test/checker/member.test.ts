/**
 * One member with its disk, asked by hand: in every order of votes, learned revisions, repair, corrupt files and
 * restarts it holds on to its promise, its accepted ballot and the revisions that it knows to be committed.
 */
import { expect, test } from 'vitest';
import { decodeDocument, type VoterSet } from '../../src/register/document.js';
import { documentDigest } from '../../src/register/document-digest.js';
import {
  ballotOf,
  following,
  formed,
  isAccepted,
  revisionOf,
  type Revision,
} from './lone-member.js';

test('a learned committed revision raises the promise, so that an older round gets no vote any more', async () => {
  const lone = await formed();
  const second = following(lone.first, 'second');
  await lone.prepare(5);
  await lone.learn(7, following(second, 'third'));
  expect(isAccepted(await lone.accept(5, following(lone.first, 'late')))).toBe(false);
  expect((await lone.prepare(6)).map(({ promised }) => promised).extract()).toBe(false);
  expect(lone.held).toEqual({ counter: 7, revision: 3, promised: 7 });
  await lone.start();
  expect(isAccepted(await lone.accept(6, following(lone.first, 'late')))).toBe(false);
  expect(lone.held).toEqual({ counter: 7, revision: 3, promised: 7 });
});

test('a value older than, different from or not following what is committed gets no vote, also under a higher ballot', async () => {
  for (const restarts of [false, true]) {
    const lone = await formed();
    const second = following(lone.first, 'second');
    const third = following(second, 'third');
    await lone.learn(6, second);
    await lone.learn(7, third);
    if (restarts) await lone.start();
    const wrong = [
      lone.first,
      following(lone.first, 'other'),
      following(following(second, 'other'), 'x'),
    ];
    if (!restarts) wrong.push(following(second, 'other'));
    for (const [at, revision] of wrong.slice(0, restarts ? 2 : 4).entries())
      expect(isAccepted(await lone.accept(8 + at, revision)), `value ${at}`).toBe(false);
    expect(lone.held).toMatchObject({ counter: 7, revision: 3 });
    expect(isAccepted(await lone.accept(20, third))).toBe(true);
    expect(isAccepted(await lone.accept(21, following(third, 'fourth')))).toBe(true);
  }
});

test('a committed revision that comes with a lower ballot replaces a value that was never chosen, on the disk too', async () => {
  for (const revision of [2, 3]) {
    const lone = await formed();
    const chosen = following(lone.first, 'chosen');
    const newest = revision === 2 ? chosen : following(chosen, 'newest');
    const { number, members, wanted } = lone.first.document.core;
    const fewer: VoterSet = { number: number + 1, wanted, members: members.slice(0, 2) };
    expect(isAccepted(await lone.accept(8, following(lone.first, 'unchosen', fewer)))).toBe(true);
    await lone.learn(5, newest);
    expect(lone.held).toEqual({ counter: 8, revision, promised: 8 });
    expect(lone.member.state()).toMatchObject({ committed: revision, voting: true });
    expect(lone.member.knownCore.number).toBe(1);
    expect(isAccepted(await lone.accept(8, following(lone.first, 'unchosen', fewer)))).toBe(false);
    await lone.start();
    expect(lone.held).toEqual({ counter: 8, revision, promised: 8 });
    expect(isAccepted(await lone.accept(8, following(lone.first, 'unchosen', fewer)))).toBe(false);
    const reply = await lone.prepare(9);
    const { digest, document } = reply.unsafeCoerce();
    expect(digest).toBe(documentDigest(newest.document));
    expect(documentDigest(decodeDocument(document, 'core').unsafeCoerce())).toBe(digest);
  }
});

test('repair writes the accepted revision under the ballot it was accepted with, and older ones under none', async () => {
  const lone = await formed();
  const second = following(lone.first, 'second');
  const third = following(second, 'third');
  await lone.accept(9, third);
  expect(await lone.commit(third)).toBe(true);
  const copies: Array<[number, Revision, number]> = [
    [3, third, 7],
    [2, second, 10],
  ];
  for (const [revision, { bytes }, counter] of copies) {
    lone.disk.spoil(`revisions/00000000000${revision}`);
    const item = { ballot: ballotOf(counter), document: bytes };
    expect(await lone.ask(lone.member.mend(revision, item))).toBe(true);
    await lone.learn(counter, revisionOf(revision === 2 ? second.document : third.document));
  }
  const before = lone.held;
  await lone.start();
  expect(lone.held).toEqual(before);
  expect(before).toMatchObject({ counter: 9, revision: 3, promised: 9 });
});

test('an uncommitted value gives way to its committed parent under a higher ballot, and does not come back when the file of the parent is corrupt', async () => {
  const lone = await formed();
  const second = following(lone.first, 'second');
  await lone.accept(4, second);
  expect(isAccepted(await lone.accept(5, following(second, 'unchosen')))).toBe(true);
  expect(isAccepted(await lone.accept(7, following(lone.first, 'other')))).toBe(false);
  expect(isAccepted(await lone.accept(7, second))).toBe(true);
  await lone.start();
  expect(lone.held).toEqual({ counter: 7, revision: 2, promised: 7 });
  lone.disk.spoil('revisions/000000000002');
  await lone.start();
  expect(lone.member.state()).toMatchObject({ voting: false, sure: false });
});

test('a corrupt file of an older revision does not end the voting', async () => {
  const lone = await formed();
  const second = following(lone.first, 'second');
  await lone.prepare(4);
  await lone.accept(4, second);
  await lone.accept(5, following(second, 'third'));
  lone.disk.spoil('revisions/000000000002');
  await lone.start();
  expect(lone.member.state()).toMatchObject({ voting: true });
});

test('a voter that holds a proposed change of voters does not vote under another of the same number', async () => {
  const lone = await formed();
  const { number, members, wanted } = lone.first.document.core;
  const some: VoterSet = { number: number + 1, wanted, members: members.slice(0, 2) };
  const others: VoterSet = { ...some, members: [members[0]!, members[2]!] };
  const without: VoterSet = { ...some, members: members.slice(1) };
  expect(isAccepted(await lone.accept(5, following(lone.first, 'some', some)))).toBe(true);
  expect(lone.member.knownCore.number).toBe(number);
  await lone.start();
  expect(lone.member.knownCore.number).toBe(number);
  expect((await lone.prepare(6, others)).isLeft()).toBe(true);
  expect((await lone.prepare(6, some)).isRight()).toBe(true);
  expect((await lone.prepare(7)).isRight()).toBe(true);
  expect(isAccepted(await lone.accept(8, following(lone.first, 'without', without)))).toBe(true);
  expect((await lone.prepare(9, without)).isLeft()).toBe(true);
  expect((await lone.prepare(9)).isRight()).toBe(true);
});

test('a disk found to have lost what was voted for ends the voting of that id for good, also after the next start', async () => {
  const lone = await formed();
  const second = following(lone.first, 'second');
  await lone.prepare(5);
  await lone.accept(5, second);
  lone.disk.full = true;
  expect((await lone.prepare(6)).isLeft()).toBe(true);
  lone.disk.files.delete('revisions/000000000002');
  lone.disk.full = false;
  await lone.ask(lone.member.recover());
  expect(lone.member.state()).toMatchObject({ voting: false, sure: false });
  await lone.start();
  expect(lone.member.state()).toMatchObject({ voting: false, sure: false });
});

test('what was committed while the disk was in trouble is on the disk before the member votes again', async () => {
  const lone = await formed();
  const second = following(lone.first, 'second');
  const third = following(second, 'third');
  await lone.accept(9, second);
  lone.disk.full = true;
  expect((await lone.prepare(10)).isLeft()).toBe(true);
  await lone.learn(8, third);
  expect(lone.member.state()).toMatchObject({ voting: false, committed: 3 });
  lone.disk.full = false;
  expect(await lone.ask(lone.member.recover())).toBe(true);
  expect(lone.held).toMatchObject({ counter: 9, revision: 3 });
  await lone.start();
  expect(lone.held).toMatchObject({ counter: 9, revision: 3 });
});
