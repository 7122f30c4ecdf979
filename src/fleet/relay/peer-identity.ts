/** Who opens a connection between our own processes, by the hello that is its first frame. */
import { decodeFrame, helloField, HELLO } from '../../wire/call.js';
import { decode } from '../../wire/field.js';

const LENGTH_BYTES = 4;
/** Stands for a connection whose first frame is no hello. */
const UNKNOWN = 'unknown';

/** The name in the hello; undefined until the whole of it is there. */
export const peerIdentity = (first: Buffer): string | undefined => {
  if (first.length < LENGTH_BYTES) return undefined;
  const length = first.readUInt32BE();
  if (first.length < LENGTH_BYTES + length) return undefined;
  const body = first.subarray(LENGTH_BYTES, LENGTH_BYTES + length);
  return decodeFrame(body, 'relay')
    .chain((frame) => decode(helloField, frame.code === HELLO ? frame.body : body, 'relay', ''))
    .map(({ name }) => name)
    .orDefault(UNKNOWN);
};
