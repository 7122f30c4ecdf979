/**
 * The field types our frames are made of, over the restructure library. Every length is read before its content and
 * is checked against the frame by the library's stream and again by `decode`, which takes a frame only when it is
 * used up to its last byte. Texts, lists and structs go without what the library keeps for pointers and for fields that
 * depend on each other, since frames have neither and it costs most of the time; the bytes are the library's.
 */
import * as r from 'restructure';
import { failed, reasonOf, type Outcome } from '../kernel/fault/fault.js';
import { Right } from 'purify-ts';

/** How a value is laid out in a frame. */
export type Field<T> = r.Field<T>;

const LENGTH = 2;

class Text extends r.String {
  override decode(stream: r.DecodeStream): string {
    const length = stream.readUInt16BE();
    const from = stream.pos;
    stream.pos += length;
    if (stream.pos > stream.length) throw new RangeError('a text goes over the end of the frame');
    const { buffer, byteOffset } = stream.buffer;
    return Buffer.from(buffer, byteOffset + from, length).toString('utf8');
  }

  override size(value: string): number {
    return LENGTH + Buffer.byteLength(value);
  }

  override encode(stream: r.EncodeStream, value: string): void {
    const { buffer, byteOffset, byteLength } = stream.buffer;
    const length = Buffer.from(buffer, byteOffset, byteLength).write(value, stream.pos + LENGTH);
    stream.writeUInt16BE(length);
    stream.pos += length;
  }
}

class List<T> extends r.Array<T> {
  constructor(private readonly item: Field<T>) {
    super(item, r.uint16);
  }

  override decode(stream: r.DecodeStream): T[] {
    const items: T[] = [];
    for (let left = stream.readUInt16BE(); left > 0; left--) items.push(this.item.decode(stream));
    return items;
  }

  override size(items: T[]): number {
    let size = LENGTH;
    for (const item of items) size += this.item.size(item);
    return size;
  }

  override encode(stream: r.EncodeStream, items: T[]): void {
    stream.writeUInt16BE(items.length);
    for (const item of items) this.item.encode(stream, item);
  }
}

class Row<T> extends r.Struct<T> {
  private readonly parts: ReadonlyArray<readonly [keyof T, Field<T[keyof T]>]>;

  constructor(fields: { readonly [K in keyof T]: Field<T[K]> }) {
    super(fields);
    this.parts = Object.entries(fields) as Array<[keyof T & string, Field<T[keyof T]>]>;
  }

  override decode(stream: r.DecodeStream): T {
    const value = {} as T;
    for (const [name, field] of this.parts) value[name] = field.decode(stream);
    return value;
  }

  override size(value: T): number {
    let size = 0;
    for (const [name, field] of this.parts) size += field.size(value[name]);
    return size;
  }

  override encode(stream: r.EncodeStream, value: T): void {
    for (const [name, field] of this.parts) field.encode(stream, value[name]);
  }
}

/** An unsigned number of one byte. */
export const byte = r.uint8;

/** An unsigned number of two bytes. */
export const short = r.uint16;

/** An unsigned number of four bytes. */
export const word = r.uint32;

/** A double-precision number. */
export const number = r.doublebe;

/** A boolean, in one byte. */
export const flag = new r.Boolean(r.uint8);

/** A text in UTF-8, led by its length in bytes. */
export const text: Field<string> = new Text(r.uint16, 'utf8');

/** A text that may be missing, which is sent as an empty one. */
export const optionalText: Field<string | undefined> = {
  toBuffer: (value) => text.toBuffer(value ?? ''),
  fromBuffer: (bytes) => text.fromBuffer(bytes) || undefined,
  decode: (stream) => text.decode(stream) || undefined,
  encode: (stream, value) => text.encode(stream, value ?? ''),
  size: (value) => text.size(value ?? ''),
};

/** Bytes, led by their count. */
export const blob = new r.Buffer(r.uint32);

/** Items of one layout, led by their count. */
export const list = <T>(item: Field<T>): Field<T[]> => new List(item);
/** One of a fixed set of texts, sent as its place among them; the order is part of the frame. */
export const choice = <T extends string>(values: readonly T[]): Field<T> => {
  const valueAt = (place: number): T => {
    const value = values[place];
    if (value === undefined) throw new RangeError(`${place} is not one of ${values.length} values`);
    return value;
  };
  return {
    toBuffer: (value) => r.uint8.toBuffer(values.indexOf(value)),
    fromBuffer: (bytes) => valueAt(r.uint8.fromBuffer(bytes)),
    decode: (stream) => valueAt(r.uint8.decode(stream)),
    encode: (stream, value) => r.uint8.encode(stream, values.indexOf(value)),
    size: () => 1,
  };
};

/** Named fields, one after another in the order given. */
export const struct = <T>(fields: { readonly [K in keyof T]: Field<T[K]> }): Field<T> =>
  new Row<T>(fields);

/** Makes the bytes of a value. */
export const encode = <T>(field: Field<T>, value: T): Uint8Array => field.toBuffer(value);

/** Reads a value, which must use the bytes up to the last one. */
export const decode = <T>(
  field: Field<T>,
  bytes: Uint8Array,
  step: string,
  peer: string,
): Outcome<T> => {
  try {
    const stream = new r.DecodeStream(bytes);
    const value = field.decode(stream);
    if (stream.pos !== bytes.length)
      return failed(step, peer, `a frame of ${bytes.length} bytes holds ${stream.pos}`);
    return Right(value);
  } catch (thrown) {
    return failed(step, peer, `not a frame of ours: ${reasonOf(thrown)}`);
  }
};
