/** What changed between two revisions, as rounds and the feed pass it on. */
import { deltaOf } from './delta.js';
import type { Document } from './document.js';

/** With fewer items than this a revision is handed on whole: a delta of it would hardly be smaller. */
const DELTA_LEAST = 16;

const itemCount = ({ configuration, ...document }: Document): number =>
  document.doorways.size +
  document.removed.size +
  document.claims.size +
  document.outcomes.size +
  document.registered.size +
  document.versions.size +
  (configuration ? configuration.routes.length + configuration.services.length : 0);

/** What changed between two revisions, where that is worth sending instead of the later one whole. */
export const deltaBetween = (before: Document, after: Document): Uint8Array | undefined =>
  itemCount(after) < DELTA_LEAST ? undefined : deltaOf(before, after);
