/** First bytes of values in MessagePack. A fixed type includes a length or a value in its low bits. */
export const messagePackTypes = {
  fixedMap: 0x80,
  fixedArray: 0x90,
  fixedText: 0xa0,
  nil: 0xc0,
  float64: 0xcb,
  unsigned8: 0xcc,
  unsigned16: 0xcd,
  unsigned32: 0xce,
  signed8: 0xd0,
  signed16: 0xd1,
  signed32: 0xd2,
  text8: 0xd9,
  negativeFixed: 0xe0,
} as const;

/** Largest number of elements of a fixed array or map, and of bytes of a fixed text. */
export const MAX_FIXED_ELEMENTS = 0x0f;
export const MAX_FIXED_TEXT_BYTES = 0x1f;
/** First byte of a character that is not ASCII. */
export const FIRST_NOT_ASCII = 0x80;
