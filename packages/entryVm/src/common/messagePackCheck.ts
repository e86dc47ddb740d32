import { messagePackTypes as types } from './messagePackTypes.js';

/** Bytes after the type byte of the values without a length, by type. */
const FIXED_SIZES: ReadonlyMap<number, number> = new Map([
  [0xca, 4],
  [0xcb, 8],
  [0xcc, 1],
  [0xcd, 2],
  [0xce, 4],
  [0xcf, 8],
  [0xd0, 1],
  [0xd1, 2],
  [0xd2, 4],
  [0xd3, 8],
  [0xd4, 2],
  [0xd5, 3],
  [0xd6, 5],
  [0xd7, 9],
  [0xd8, 17],
]);

/** Bytes of the length of texts, byte strings and extensions, and further bytes before their content, by type. */
const SIZED_TYPES: ReadonlyMap<number, readonly [lengthBytes: number, furtherBytes: number]> = new Map([
  [0xc4, [1, 0]],
  [0xc5, [2, 0]],
  [0xc6, [4, 0]],
  [0xc7, [1, 1]],
  [0xc8, [2, 1]],
  [0xc9, [4, 1]],
  [0xd9, [1, 0]],
  [0xda, [2, 0]],
  [0xdb, [4, 0]],
]);

/** Bytes of the number of elements, and values of each element, of arrays and maps, by type. */
const CONTAINER_TYPES: ReadonlyMap<number, readonly [lengthBytes: number, valuesPerElement: number]> =
  new Map([
    [0xdc, [2, 1]],
    [0xdd, [4, 1]],
    [0xde, [2, 2]],
    [0xdf, [4, 2]],
  ]);

/**
 * Whether arrays and maps in MessagePack declare no more elements than the bytes that follow can hold. A decoder allocates
 * an array before it reads its elements, so that a few bytes could otherwise take all memory. Load pattern: datagrams of
 * something that is no entry VM.
 */
export function isPlausibleMessagePack(bytes: Uint8Array): boolean {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  let offset = 0;
  /** Values that are still to come. Each takes at least one byte. */
  let expected = 1;
  const readLength = (lengthBytes: number): number => {
    const at = offset;
    offset += lengthBytes;
    return lengthBytes === 1
      ? view.getUint8(at)
      : lengthBytes === 2
        ? view.getUint16(at)
        : view.getUint32(at);
  };
  try {
    while (expected > 0 && expected <= bytes.length - offset) {
      const type = view.getUint8(offset);
      offset += 1;
      expected -= 1;
      if (type < types.fixedMap || type >= types.negativeFixed) {
        continue;
      }
      if (type < types.fixedArray) {
        expected += 2 * (type - types.fixedMap);
      } else if (type < types.fixedText) {
        expected += type - types.fixedArray;
      } else if (type < types.nil) {
        offset += type - types.fixedText;
      } else {
        const container = CONTAINER_TYPES.get(type);
        const sized = SIZED_TYPES.get(type);
        if (container !== undefined) {
          expected += readLength(container[0]) * container[1];
        } else if (sized !== undefined) {
          const length = readLength(sized[0]);
          offset += sized[1] + length;
        } else {
          offset += FIXED_SIZES.get(type) ?? 0;
        }
      }
    }
  } catch {
    // A length beyond the end of the bytes.
    return false;
  }
  return expected === 0 && offset <= bytes.length;
}
