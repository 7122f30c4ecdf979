/**
 * The register on disk: the member's own identity, the highest promise, and one file for each revision. Every file
 * is a head line with a digest and then its body; what does not match its digest is treated as lost and named, never
 * read as data.
 */
import { Right } from 'purify-ts';
import type { Disk } from '../kernel/disk/disk.js';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import { compareBallots, FIRST, type Ballot } from './ballot.js';
import { encodeDocument, type Document, type VoterSet } from './document.js';
import { documentDigest } from './document-digest.js';
import { digestOf, type Digest } from './hash.js';

export interface Filed {
  readonly ballot: Ballot;
  readonly document: Document;
  /** The core set under which it was proposed here; absent when it was learned as committed. */
  readonly under?: VoterSet | undefined;
  /** How it was made from the revision before, where it came so; it is not kept on disk. */
  readonly delta?: RevisionDelta;
}

/** A revision as its file tells it, which matches the digest of the file; the document is not read yet. */
export interface RevisionFile {
  readonly ballot: Ballot;
  readonly under?: VoterSet | undefined;
  /** The digest of the document. */
  readonly digest: Digest;
  readonly text: Uint8Array;
}

/** What makes a revision of the one with the base digest. */
export interface RevisionDelta {
  readonly base: Digest;
  readonly bytes: Uint8Array;
}

/** What the disk holds of a member: what it accepted is the value of the highest ballot among the revisions. */
export interface Found {
  readonly member: string | undefined;
  readonly promised: Ballot;
  readonly accepted: RevisionFile | undefined;
  readonly revisions: ReadonlyMap<number, Ballot>;
  readonly spoilt: readonly string[];
  /** Why an earlier life of this member was disqualified, where one was. */
  readonly disqualified: string | undefined;
}

/** Where the digest of a file ends, and the bytes that it is the digest of begin. */
const BODY_AT = 65;

export const seal = (head: ReadonlyMap<string, unknown>, body: Uint8Array): Uint8Array => {
  const plain = JSON.stringify([...head]);
  const sealed = Buffer.concat([Buffer.alloc(BODY_AT), Buffer.from(`${plain}\n`), body]);
  sealed.write(`${digestOf(sealed.subarray(BODY_AT))} `, 'latin1');
  return sealed;
};

export const unseal = (
  path: string,
  bytes: Uint8Array,
): Outcome<{ head: Map<string, unknown>; body: Uint8Array }> => {
  const buffer = Buffer.from(bytes);
  const end = buffer.indexOf(10);
  const digest = buffer.subarray(0, 64).toString('latin1');
  if (end <= BODY_AT || digestOf(buffer.subarray(BODY_AT)) !== digest)
    return failed('store.unseal', path, 'does not match its digest');
  const head = new Map(
    JSON.parse(buffer.subarray(BODY_AT, end).toString('utf8')) as Array<[string, unknown]>,
  );
  return Right({ head, body: buffer.subarray(end + 1) });
};

const fileOf = (revision: number): string => `revisions/${String(revision).padStart(12, '0')}`;

/** How much of the past is kept on disk; 0 keeps all. */
export interface Keeping {
  readonly revisions: number;
  readonly bytes: number;
}

const LEAST = 2;
/** Where versions before this one kept the revisions. */
const OLDER_FOLDER = 'generations';
/** Told of a folder whose files this version can't check. */
const OLDER_FORMAT = 'was written by an older version; start with an empty folder';

export class Store {
  /** The bytes of each revision that is on disk, or may be. */
  private readonly sizes = new Map<number, number>();
  /** Below this revision none need be kept. */
  private lowest = 0;
  private readonly removing = new Map<number, Promise<unknown>>();
  private readonly pending = new Set<Promise<unknown>>();

  constructor(
    private readonly disk: Disk,
    private readonly fleet: string,
    private readonly keeping: Keeping = { revisions: 0, bytes: 0 },
  ) {}

  async open(): Promise<Outcome<Found>> {
    const spoilt: string[] = [];
    const take = async (
      path: string,
    ): Promise<Outcome<{ head: Map<string, unknown>; body: Uint8Array } | undefined>> => {
      const bytes = await this.disk.read(path);
      if (bytes.isLeft()) return bytes;
      const held = bytes.extract() as Uint8Array | undefined;
      if (!held) return Right(undefined);
      const opened = unseal(path, held);
      if (opened.isLeft()) {
        spoilt.push(path);
        return Right(undefined);
      }
      const file = opened.extract() as { head: Map<string, unknown>; body: Uint8Array };
      if (file.head.get('fleet') !== this.fleet) {
        spoilt.push(path);
        return Right(undefined);
      }
      return Right(file);
    };
    const identity = await take('member');
    const promise = await take('promise');
    const disqualified = await take('disqualified');
    const names = await this.disk.list('revisions');
    if (identity.isLeft()) return identity as Outcome<Found>;
    if (promise.isLeft()) return promise as Outcome<Found>;
    if (disqualified.isLeft()) return disqualified as Outcome<Found>;
    if (names.isLeft()) return names as Outcome<Found>;
    const older = await this.refuseOlder(names.unsafeCoerce());
    if (older.isLeft()) return older as Outcome<Found>;
    const revisions = new Map<number, Ballot>();
    let accepted: RevisionFile | undefined;
    for (const name of names.extract() as string[]) {
      const file = await take(`revisions/${name}`);
      if (file.isLeft()) return file as Outcome<Found>;
      const held = file.extract() as { head: Map<string, unknown>; body: Uint8Array } | undefined;
      if (!held) continue;
      const digest = held.head.get('digest') as Digest | undefined;
      if (digest === undefined) return failed('store.open', `revisions/${name}`, OLDER_FORMAT);
      const ballot = held.head.get('ballot') as Ballot;
      revisions.set(Number(name), ballot);
      this.sizes.set(Number(name), held.body.length);
      const isVoted = compareBallots(ballot, FIRST) > 0;
      if (isVoted && (!accepted || compareBallots(ballot, accepted.ballot) >= 0))
        accepted = {
          ballot,
          text: held.body,
          digest,
          under: held.head.get('under') as VoterSet | undefined,
        };
    }
    const promised =
      ((promise.extract() as { head: Map<string, unknown> } | undefined)?.head.get('ballot') as
        Ballot | undefined) ?? FIRST;
    return Right({
      member: (identity.extract() as { head: Map<string, unknown> } | undefined)?.head.get('id') as
        string | undefined,
      promised,
      accepted,
      revisions,
      spoilt,
      disqualified: (
        disqualified.extract() as { head: Map<string, unknown> } | undefined
      )?.head.get('reason') as string | undefined,
    });
  }

  /** Refuses a folder of a version that kept its files under another name, since taking it for empty would forget votes. */
  private async refuseOlder(names: readonly string[]): Promise<Outcome<void>> {
    if (names.length > 0) return Right(undefined);
    const older = await this.disk.list(OLDER_FOLDER);
    return older.chain((held) =>
      held.length > 0 ? failed('store.open', OLDER_FOLDER, OLDER_FORMAT) : Right(undefined),
    );
  }

  keepIdentity(id: string): Promise<Outcome<void>> {
    return this.write(
      'member',
      seal(
        new Map([
          ['fleet', this.fleet],
          ['id', id],
        ]),
        Buffer.alloc(0),
      ),
    );
  }

  keepPromise(ballot: Ballot): Promise<Outcome<void>> {
    return this.write(
      'promise',
      seal(
        new Map<string, unknown>([
          ['fleet', this.fleet],
          ['ballot', ballot],
        ]),
        Buffer.alloc(0),
      ),
    );
  }

  /** What this member voted for was found to be lost; its id never votes again, also after the next start. */
  keepDisqualified(reason: string): Promise<Outcome<void>> {
    return this.write(
      'disqualified',
      seal(
        new Map([
          ['fleet', this.fleet],
          ['reason', reason],
        ]),
        Buffer.alloc(0),
      ),
    );
  }

  keepRevision(revision: number, filed: Filed): Promise<Outcome<void>> {
    return this.follow(this.writeRevision(revision, filed));
  }

  private async writeRevision(revision: number, filed: Filed): Promise<Outcome<void>> {
    const room = await this.makeRoom();
    if (room.isLeft()) return room;
    const text = encodeDocument(filed.document);
    const before = this.sizes.get(revision) ?? 0;
    this.sizes.set(revision, Math.max(before, text.length));
    const written = await this.write(
      fileOf(revision),
      seal(
        new Map<string, unknown>([
          ['fleet', this.fleet],
          ['ballot', filed.ballot],
          ['under', filed.under],
          ['digest', documentDigest(filed.document)],
        ]),
        text,
      ),
    );
    if (written.isRight()) this.sizes.set(revision, text.length);
    return written;
  }

  /** Keeps a committed revision below the accepted one. Without a ballot it is never taken for the accepted one again. */
  keepHistory(revision: number, document: Document): Promise<Outcome<void>> {
    return this.keepRevision(revision, { ballot: FIRST, document });
  }

  async readRevision(revision: number): Promise<Outcome<RevisionFile | undefined>> {
    const bytes = await this.disk.read(fileOf(revision));
    return bytes.chain((held) =>
      held
        ? unseal(fileOf(revision), held).map(({ head, body }) => ({
            ballot: head.get('ballot') as Ballot,
            digest: head.get('digest') as Digest,
            text: body,
          }))
        : Right(undefined),
    );
  }

  /** Makes what earlier processes left on the disk durable, so that it may be relied on. */
  sync(): Promise<Outcome<void>> {
    return this.follow(this.disk.sync());
  }

  /** Until no write is on its way any more, whatever becomes of it. */
  async idle(): Promise<void> {
    while (this.pending.size) await Promise.all(this.pending);
  }

  /** Whether the disk takes and keeps that many bytes now. */
  async probe(bytes: number): Promise<Outcome<void>> {
    const written = await this.write('probe', seal(new Map(), Buffer.alloc(bytes)));
    await this.disk.remove('probe');
    return written;
  }

  /** The lowest revision to be kept when all up to the one given are committed. */
  floor(committed: number): number {
    const { revisions, bytes } = this.keeping;
    let floor = revisions > 0 ? Math.max(1, committed - Math.max(LEAST, revisions) + 1) : 1;
    if (bytes === 0) return floor;
    let held = 0;
    for (let revision = committed; revision >= floor; revision--) {
      held += this.sizes.get(revision) ?? 0;
      if (held > bytes && committed - revision >= LEAST) floor = revision + 1;
    }
    return floor;
  }

  /**
   * Removes the revisions below; one whose removal fails is tried again the next time, as is a file that comes back after a
   * loss of power.
   */
  prune(floor: number): void {
    this.lowest = Math.max(this.lowest, floor);
    for (const revision of this.obsolete())
      if (!this.removing.has(revision)) void this.remove(revision);
  }

  private obsolete(): number[] {
    return [...this.sizes.keys()].filter((revision) => revision < this.lowest);
  }

  private async remove(revision: number): Promise<void> {
    const removal = this.follow(this.disk.remove(fileOf(revision)));
    this.removing.set(revision, removal);
    const removed = await removal;
    this.removing.delete(revision);
    if (removed.isRight()) this.sizes.delete(revision);
  }

  /** Whether revisions that need not be kept any more take up as much as all that are kept may. */
  private get crowded(): boolean {
    const { bytes } = this.keeping;
    const obsolete = this.obsolete().reduce((sum, each) => sum + this.sizes.get(each)!, 0);
    return bytes > 0 && obsolete > bytes;
  }

  /** Nothing is added while removals lag behind so far that the disk could fill up. */
  private async makeRoom(): Promise<Outcome<void>> {
    if (!this.crowded) return Right(undefined);
    this.prune(this.lowest);
    await Promise.all(this.removing.values());
    return this.crowded
      ? failed('store.room', 'disk', 'old revisions can not be removed')
      : Right(undefined);
  }

  private write(path: string, bytes: Uint8Array): Promise<Outcome<void>> {
    return this.follow(this.disk.write(path, bytes));
  }

  private follow<T>(act: Promise<T>): Promise<T> {
    this.pending.add(act);
    void act.finally(() => this.pending.delete(act));
    return act;
  }
}
