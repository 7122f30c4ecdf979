/**
 * Calls between our processes. A call has a code, a name and the shapes of what is asked and replied. A frame is a
 * fixed head (magic, wire generation, stage, code, number of the call) and a body in the call's own shape.
 */
import { blob, byte, decode, encode, struct, text, word, type Field } from './field.js';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import { Right } from 'purify-ts';

/** The first bytes of every frame: "rrDG". */
export const MAGIC = 0x72724447;

/** The version of the frames' layout; peers of another one are turned away. */
export const WIRE = 1;

/** A call that peers know by its code: the layout of what is asked and of the reply. */
export interface Call<A, R> {
  readonly code: number;
  readonly name: string;
  readonly ask: Field<A>;
  readonly reply: Field<R>;
}

/** Every call that was defined, by its code, for those who count frames. */
export const callNames = new Map<number, string>();

/** Declares a call. */
export const call = <A, R>(
  code: number,
  name: string,
  ask: Field<A>,
  reply: Field<R>,
): Call<A, R> => {
  callNames.set(code, name);
  return { code, name, ask, reply };
};

/** Whether a frame asks, replies or declines. */
export const Stage = { ask: 1, reply: 2, decline: 3 } as const;

/** A frame as it is sent. */
export interface Frame {
  magic: number;
  wire: number;
  stage: number;
  code: number;
  number: number;
  body: Uint8Array;
}

const frameField = struct<Frame>({
  magic: word,
  wire: byte,
  stage: byte,
  code: byte,
  number: word,
  body: blob,
});

/** Makes the bytes of a frame. */
export const encodeFrame = (
  stage: number,
  code: number,
  number: number,
  body: Uint8Array,
): Uint8Array => encode(frameField, { magic: MAGIC, wire: WIRE, stage, code, number, body });

/** Reads a frame, and refuses what this program did not send. */
export const decodeFrame = (bytes: Uint8Array, peer: string): Outcome<Frame> =>
  decode(frameField, bytes, 'wire.frame', peer).chain((frame) => {
    if (frame.magic !== MAGIC) return failed('wire.frame', peer, 'not spoken by this program');
    if (frame.wire !== WIRE)
      return failed('wire.frame', peer, `wire generation ${frame.wire}, expected ${WIRE}`);
    return Right(frame);
  });

/** What a process says of itself at the start of a connection. */
export interface Hello {
  fleet: string;
  name: string;
  incarnation: string;
}

/** The layout of a hello. */
export const helloField = struct<Hello>({ fleet: text, name: text, incarnation: text });

/** The layout of a refusal. */
export const declineField = struct<{ reason: string }>({ reason: text });

/** The code of the frame that opens a connection. */
export const HELLO = 0;
