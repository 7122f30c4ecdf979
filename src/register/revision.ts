/** A revision of the register together with its text and the digest of that, as rounds pass it on. */
import { DELTA_LEAST } from './chain.js';
import { deltaOf } from './delta.js';
import { documentDigest, type Digest, type Document } from './document.js';

/** A revision in all its forms. */
export interface Revision {
  readonly document: Document;
  readonly bytes: Uint8Array;
  readonly digest: Digest;
}

/** A revision from its document and the text of that. */
export const revisionOf = (document: Document, bytes: Uint8Array): Revision => ({
  document,
  bytes,
  digest: documentDigest(bytes),
});

/** What changed between two revisions, where that is worth sending instead of the later one whole. */
export const deltaBetween = (
  before: Revision,
  { document, bytes, digest }: Revision,
): Uint8Array | undefined => {
  if (bytes.length < DELTA_LEAST) return undefined;
  const delta = deltaOf(before.document, document, digest);
  return delta && delta.length < bytes.length ? delta : undefined;
};
