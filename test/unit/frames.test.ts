/** Frames keep the bytes of the library they are made over, and are taken only when they are used up to their last byte. */
import * as r from 'restructure';
import { expect, test } from 'vitest';
import {
  blob,
  choice,
  decode,
  encode,
  flag,
  list,
  number,
  struct,
  text,
  type Field,
} from '../../src/wire/field.js';

interface Inner {
  name: string;
  on: boolean;
}
interface Outer {
  at: number;
  items: Inner[];
  words: string[];
  bytes: Uint8Array;
}

const ours: Field<Outer> = struct({
  at: number,
  items: list(struct<Inner>({ name: text, on: flag })),
  words: list(text),
  bytes: blob,
});
const plainText = new r.String(r.uint16, 'utf8');
const theirs: Field<Outer> = new r.Struct<Outer>({
  at: r.doublebe,
  items: new r.Array(
    new r.Struct<Inner>({ name: plainText, on: new r.Boolean(r.uint8) }),
    r.uint16,
  ),
  words: new r.Array(plainText, r.uint16),
  bytes: new r.Buffer(r.uint32),
});

const value: Outer = {
  at: -1.5,
  items: [
    { name: 'Käse', on: true },
    { name: '', on: false },
  ],
  words: ['𝔘', 'x'.repeat(300)],
  bytes: Uint8Array.from([0, 255, 7]),
};

test('the bytes are those of the library, and read back as they were', () => {
  const bytes = encode(ours, value);
  expect([...bytes]).toEqual([...encode(theirs, value)]);
  expect(decode(ours, bytes, 'frame', 'p').unsafeCoerce()).toEqual(value);
});

test('a frame that is cut anywhere, or goes on, is not taken', () => {
  const bytes = encode(ours, value);
  for (let length = 0; length < bytes.length; length++)
    expect(decode(ours, bytes.subarray(0, length), 'frame', 'p').isLeft()).toBe(true);
  expect(decode(ours, Buffer.concat([bytes, Buffer.from([0])]), 'frame', 'p').isLeft()).toBe(true);
});

test('a frame read out of the middle of other bytes is read alike', () => {
  const bytes = encode(ours, value);
  const amid = Buffer.concat([Buffer.alloc(13, 9), bytes, Buffer.alloc(5, 9)]).subarray(
    13,
    13 + bytes.length,
  );
  const read = decode(ours, amid, 'frame', 'p').unsafeCoerce();
  expect({ ...read, bytes: Uint8Array.from(read.bytes) }).toEqual(value);
});

test('a choice is sent as its place among its values, and a place beyond them is refused', () => {
  const colour = choice(['red', 'green'] as const);
  for (const value of ['red', 'green'] as const)
    expect(decode(colour, encode(colour, value), 'test', 'peer').extract()).toBe(value);
  expect([...encode(struct({ colour, on: flag }), { colour: 'green', on: true })]).toEqual([1, 1]);
  expect(decode(colour, Uint8Array.of(2), 'test', 'peer').isLeft()).toBe(true);
});
