/**
 * What the documents of the register cost this process, all its nodes together where a simulation has many: writing one as
 * text, reading one, its digest, and making and applying what changed between two (which includes the first three).
 */
import { WorkMeter } from '../monitor/work-meter.js';

/** The kinds of work on documents. */
export type DocumentWork = 'encode' | 'decode' | 'digest' | 'make-delta' | 'apply-delta';

/** The costs since the start of the process. */
export const documentWork = new WorkMeter<DocumentWork>([
  'encode',
  'decode',
  'digest',
  'make-delta',
  'apply-delta',
]);
