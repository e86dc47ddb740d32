import {
  FIRST_NOT_ASCII,
  MAX_FIXED_ELEMENTS,
  MAX_FIXED_TEXT_BYTES,
  messagePackTypes as types,
} from './messagePackTypes.js';

const MAX_TEXT_8_LENGTH = 0xff;

/**
 * Writes MessagePack value by value, in the same form as the general encoder: texts in ASCII, numbers except integers of
 * more than 32 bits, and arrays of at most 15 elements. On other values, and more than fits, it fails.
 */
export class MessagePackWriter {
  readonly #bytes: Buffer;
  #offset = 0;
  #isFailed = false;

  /** @param capacity largest number of bytes that it writes. */
  constructor(capacity: number) {
    this.#bytes = Buffer.alloc(capacity);
  }

  get isFailed(): boolean {
    return this.#isFailed;
  }

  /** Number of bytes written since `start`. */
  get length(): number {
    return this.#offset;
  }

  /** Gives up what was written since `start`. */
  fail(): void {
    this.#isFailed = true;
  }

  start(): void {
    this.#offset = 0;
    this.#isFailed = false;
  }

  /** @returns a copy of the bytes up to a length. */
  copy(length: number): Uint8Array {
    return Buffer.from(this.#bytes.subarray(0, length));
  }

  nil(): void {
    if (this.#hasRoom(1)) {
      this.#bytes[this.#offset] = types.nil;
      this.#offset += 1;
    }
  }

  arrayHead(length: number): void {
    this.setArrayLength(this.#offset, length);
    this.#offset += 1;
  }

  /** Replaces the length of the array that begins at an offset. */
  setArrayLength(offset: number, length: number): void {
    if (length > MAX_FIXED_ELEMENTS || offset >= this.#bytes.length) {
      this.#isFailed = true;
      return;
    }
    this.#bytes[offset] = types.fixedArray + length;
  }

  number(value: unknown): void {
    if (typeof value !== 'number' || !this.#hasRoom(9)) {
      this.#isFailed = true;
      return;
    }
    const bytes = this.#bytes;
    const at = this.#offset;
    if (!Number.isSafeInteger(value)) {
      bytes[at] = types.float64;
      this.#offset = bytes.writeDoubleBE(value, at + 1);
    } else if (value >= 0) {
      if (value < 0x80) {
        bytes[at] = value;
        this.#offset = at + 1;
      } else if (value < 0x1_00) {
        bytes[at] = types.unsigned8;
        bytes[at + 1] = value;
        this.#offset = at + 2;
      } else if (value < 0x1_0000) {
        bytes[at] = types.unsigned16;
        this.#offset = bytes.writeUInt16BE(value, at + 1);
      } else if (value < 0x1_0000_0000) {
        bytes[at] = types.unsigned32;
        this.#offset = bytes.writeUInt32BE(value, at + 1);
      } else {
        this.#isFailed = true;
      }
    } else if (value >= -0x20) {
      bytes[at] = value + 0x1_00;
      this.#offset = at + 1;
    } else if (value >= -0x80) {
      bytes[at] = types.signed8;
      this.#offset = bytes.writeInt8(value, at + 1);
    } else if (value >= -0x8000) {
      bytes[at] = types.signed16;
      this.#offset = bytes.writeInt16BE(value, at + 1);
    } else if (value >= -0x8000_0000) {
      bytes[at] = types.signed32;
      this.#offset = bytes.writeInt32BE(value, at + 1);
    } else {
      this.#isFailed = true;
    }
  }

  text(value: unknown): void {
    if (typeof value !== 'string') {
      this.#isFailed = true;
      return;
    }
    const { length } = value;
    if (length > MAX_TEXT_8_LENGTH || !this.#hasRoom(2 + length)) {
      this.#isFailed = true;
      return;
    }
    const bytes = this.#bytes;
    let at = this.#offset;
    if (length <= MAX_FIXED_TEXT_BYTES) {
      bytes[at] = types.fixedText + length;
      at += 1;
    } else {
      bytes[at] = types.text8;
      bytes[at + 1] = length;
      at += 2;
    }
    for (let index = 0; index < length; index += 1) {
      const code = value.charCodeAt(index);
      if (code >= FIRST_NOT_ASCII) {
        this.#isFailed = true;
        return;
      }
      bytes[at + index] = code;
    }
    this.#offset = at + length;
  }

  #hasRoom(bytes: number): boolean {
    if (this.#offset + bytes > this.#bytes.length) {
      this.#isFailed = true;
      return false;
    }
    return true;
  }
}
