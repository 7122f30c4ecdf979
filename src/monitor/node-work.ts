/** What a new revision costs one node, beside the work on documents as such (src/register/document-work.ts). */
import { WorkMeter } from './work-meter.js';

/** The kinds of work of a node on a new revision. */
export type NodeWorkKind =
  /** From the feed's frames to the documents they make, with their digests. */
  | 'take-revision'
  /** Compiling a revision and putting it in force, with all that is told of it. */
  | 'put-in-force';

/** The costs of one node. */
export class NodeWork extends WorkMeter<NodeWorkKind> {
  constructor() {
    super(['take-revision', 'put-in-force']);
  }
}
