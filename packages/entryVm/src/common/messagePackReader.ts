import { FIRST_NOT_ASCII, MAX_FIXED_ELEMENTS, messagePackTypes as types } from './messagePackTypes.js';

/** Texts that are kept. Deployments have hundreds of names of entry VMs and servers, and few services. */
const KEPT_TEXTS = 1_024;
/** Longer texts are rarely names. */
const MAX_KEPT_TEXT_LENGTH = 64;

interface KeptText {
  readonly bytes: Uint8Array;
  readonly text: string;
}

/**
 * Reads MessagePack value by value, without building what is not asked for. It knows the forms that encoders write for
 * short messages: texts in ASCII, integers of at most 32 bits, floats of 64 bits, small arrays and maps. On anything
 * else `hasFailed` returns true, and what it returns until `start` is called again has no meaning.
 *
 * Load pattern: thousands of datagrams a second with the same names of entry VMs, servers and services. A text that was
 * read before is returned again, so that it is neither built nor hashed for each datagram.
 */
export class MessagePackReader {
  readonly #kept = new Array<KeptText | undefined>(KEPT_TEXTS).fill(undefined);
  #bytes: Uint8Array = new Uint8Array();
  #view = new DataView(this.#bytes.buffer);
  #offset = 0;
  #isFailed = false;

  /** Whether something was read since `start` that it does not know. */
  hasFailed(): boolean {
    return this.#isFailed;
  }

  get isAtEnd(): boolean {
    return this.#offset === this.#bytes.length;
  }

  start(bytes: Uint8Array): void {
    this.#bytes = bytes;
    this.#view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    this.#offset = 0;
    this.#isFailed = false;
  }

  /** Fails if a condition on what was read does not hold. */
  expect(condition: boolean): void {
    if (!condition) {
      this.#isFailed = true;
    }
  }

  /** Skips a nil. @returns whether there was one. */
  skipNil(): boolean {
    if (this.#bytes[this.#offset] === types.nil) {
      this.#offset += 1;
      return true;
    }
    return false;
  }

  /** Whether the next value is a text. */
  get isAtText(): boolean {
    const type = this.#bytes[this.#offset] ?? types.nil;
    return (type >= types.fixedText && type < types.nil) || type === types.text8;
  }

  /** @returns the number of elements, which are the next values. */
  arrayLength(): number {
    return this.#shortLength(types.fixedArray);
  }

  /** @returns the number of keys; each is followed by its value. */
  mapSize(): number {
    return this.#shortLength(types.fixedMap);
  }

  /** Reads a finite number. */
  number(): number {
    const type = this.#bytes[this.#offset] ?? types.nil;
    if (type < types.fixedMap) {
      this.#offset += 1;
      return type;
    }
    if (type >= types.negativeFixed) {
      this.#offset += 1;
      return type - 0x100;
    }
    const at = this.#offset + 1;
    switch (type) {
      case types.unsigned8:
        return this.#take(1) ? this.#view.getUint8(at) : 0;
      case types.unsigned16:
        return this.#take(2) ? this.#view.getUint16(at) : 0;
      case types.unsigned32:
        return this.#take(4) ? this.#view.getUint32(at) : 0;
      case types.signed8:
        return this.#take(1) ? this.#view.getInt8(at) : 0;
      case types.signed16:
        return this.#take(2) ? this.#view.getInt16(at) : 0;
      case types.signed32:
        return this.#take(4) ? this.#view.getInt32(at) : 0;
      case types.float64: {
        const value = this.#take(8) ? this.#view.getFloat64(at) : 0;
        this.expect(Number.isFinite(value));
        return value;
      }
      default:
        this.#isFailed = true;
        return 0;
    }
  }

  /** Reads a text in ASCII. */
  text(): string {
    const bytes = this.#bytes;
    const type = bytes[this.#offset] ?? types.nil;
    let start = this.#offset + 1;
    let length = type - types.fixedText;
    if (type === types.text8) {
      length = bytes[start] ?? bytes.length;
      start += 1;
    } else if (type < types.fixedText || type >= types.nil) {
      this.#isFailed = true;
      return '';
    }
    const end = start + length;
    if (end > bytes.length) {
      this.#isFailed = true;
      return '';
    }
    this.#offset = end;
    let hash = length;
    for (let index = start; index < end; index += 1) {
      const byte = bytes[index] ?? FIRST_NOT_ASCII;
      if (byte >= FIRST_NOT_ASCII) {
        this.#isFailed = true;
        return '';
      }
      hash = (Math.imul(hash, 31) + byte) | 0;
    }
    return length > MAX_KEPT_TEXT_LENGTH
      ? asciiText(bytes.subarray(start, end))
      : this.#keptText(start, end, hash & (KEPT_TEXTS - 1));
  }

  #keptText(start: number, end: number, slot: number): string {
    const kept = this.#kept[slot];
    if (kept !== undefined && this.#hasBytes(start, end, kept.bytes)) {
      return kept.text;
    }
    const bytes = this.#bytes.slice(start, end);
    const text = asciiText(bytes);
    this.#kept[slot] = { bytes, text };
    return text;
  }

  #hasBytes(start: number, end: number, expected: Uint8Array): boolean {
    if (expected.length !== end - start) {
      return false;
    }
    for (let index = 0; index < expected.length; index += 1) {
      if (expected[index] !== this.#bytes[start + index]) {
        return false;
      }
    }
    return true;
  }

  /** Length of an array or a map of at most 15 elements. */
  #shortLength(firstType: number): number {
    const type = this.#bytes[this.#offset] ?? types.nil;
    this.#offset += 1;
    if (type < firstType || type > firstType + MAX_FIXED_ELEMENTS) {
      this.#isFailed = true;
      return 0;
    }
    return type - firstType;
  }

  /** Moves past a type and the bytes of its value. @returns false if the bytes end before. */
  #take(bytes: number): boolean {
    this.#offset += 1 + bytes;
    if (this.#offset > this.#bytes.length) {
      this.#isFailed = true;
      return false;
    }
    return true;
  }
}

function asciiText(bytes: Uint8Array): string {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1');
}
