/** The digest by which revisions, changes and files are known. */
import { hash } from 'node:crypto';

/** SHA-256 in hexadecimal digits. */
export type Digest = string;

/** The digest of a text or of bytes. */
export const digestOf = (bytes: Uint8Array | string): Digest => hash('sha256', bytes, 'hex');
