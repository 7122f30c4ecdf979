/** The part of the restructure library's surface that the frames use; the library ships no types of its own. */
declare module 'restructure' {
  export class DecodeStream {
    constructor(bytes: Uint8Array);
    readonly buffer: Uint8Array;
    readonly length: number;
    pos: number;
    readUInt16BE(): number;
  }
  export class EncodeStream {
    constructor(bytes: Uint8Array);
    readonly buffer: Uint8Array;
    pos: number;
    writeUInt16BE(value: number): void;
  }
  export interface Field<T> {
    toBuffer(value: T): Uint8Array;
    fromBuffer(bytes: Uint8Array): T;
    decode(stream: DecodeStream): T;
    encode(stream: EncodeStream, value: T): void;
    size(value: T): number;
  }
  abstract class Base<T> implements Field<T> {
    toBuffer(value: T): Uint8Array;
    fromBuffer(bytes: Uint8Array): T;
    decode(stream: DecodeStream): T;
    encode(stream: EncodeStream, value: T): void;
    size(value: T): number;
  }
  export const uint8: Field<number>;
  export const uint16: Field<number>;
  export const uint32: Field<number>;
  export const doublebe: Field<number>;
  export const Boolean: new (field: Field<number>) => Field<boolean>;
  export class String extends Base<string> {
    constructor(length: Field<number>, encoding: string);
  }
  export const Buffer: new (length: Field<number>) => Field<Uint8Array>;
  export class Array<T> extends Base<T[]> {
    constructor(item: Field<T>, length: Field<number>);
  }
  export class Struct<T> extends Base<T> {
    constructor(fields: { readonly [K in keyof T]: Field<T[K]> });
  }
}
