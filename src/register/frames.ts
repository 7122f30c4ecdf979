/** Revisions as they are sent, and as they are read again. */
import { Right } from 'purify-ts';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import type { Ballot } from './ballot.js';
import type { FeedFrame, FeedItem } from './calls.js';
import { applyDelta } from './delta.js';
import { decodeDocument, encodeDocument, type Document } from './document.js';
import { documentDigest } from './document-digest.js';

/** A revision that was sent, read, with the frame it came in. */
export interface ReceivedRevision {
  readonly document: Document;
  readonly ballot: Ballot;
  readonly frame: FeedFrame;
}

/** A revision under its ballot. */
interface Balloted {
  readonly ballot: Ballot;
  readonly document: Document;
}

/** A whole revision as it is sent. */
export const wholeItem = ({ ballot, document }: Balloted): FeedItem => ({
  ballot,
  document: encodeDocument(document),
});

/** A whole revision as a frame of the feed. */
export const wholeFrame = (revision: Balloted): FeedFrame => ({
  ...wholeItem(revision),
  base: 0,
  digest: documentDigest(revision.document),
});

const readFrame = (
  { base, digest, document: bytes }: FeedFrame,
  before: Document | undefined,
  peer: string,
): Outcome<Document> => {
  if (base === 0) return decodeDocument(bytes, peer);
  return before?.revision === base
    ? applyDelta(before, bytes, digest, peer)
    : failed('feed.rebuild', peer, `a delta from revision ${base}, which is not held`);
};

/** The whole of what a frame tells: itself, or what its delta makes of the revision before; only with its digest. */
export const receive = (
  frame: FeedFrame,
  before: Document | undefined,
  peer: string,
): Outcome<ReceivedRevision> =>
  readFrame(frame, before, peer).chain((document) =>
    documentDigest(document) === frame.digest
      ? Right({ document, ballot: frame.ballot, frame })
      : failed('feed.rebuild', peer, 'a revision does not match its digest'),
  );
