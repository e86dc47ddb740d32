import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Decoder, Encoder } from '@msgpack/msgpack';
import { isPlausibleMessagePack } from './messagePackCheck.js';

/** Messages in one datagram; the array of them has a length of one byte. */
export const MAX_MESSAGES_PER_DATAGRAM = 15;

/** Kept, because each allocates buffers. */
const encoder = new Encoder();
const decoder = new Decoder();

/** Size from which messages are compressed, in bytes: those with rows of tables, changes of owners, and many keys. */
export const MIN_COMPRESSED_BYTES = 256;
/** Limit for a message once it is decompressed, in bytes. */
const MAX_DECOMPRESSED_BYTES = 65_536;
/** The window covers a message; both ends allocate little for it. */
const COMPRESSION = { windowBits: 13, memLevel: 5 };

const HEXADECIMAL = 16;
export const INCARNATION_DIGITS = 8;
const INCARNATION_PATTERN = /^[0-9a-f]{8}$/;
const SLOT_REQUEST_ID_PATTERN = /^([0-9a-f]{8}):([1-9]\d{0,14})$/;

/** A message in its compact form: its code, and the values of its fields in a fixed order. */
type CompactMessage = readonly unknown[];

/** A message before its fields are checked. */
type UncheckedMessage = Record<string, unknown>;

/** The process that sends a datagram. Fields of its messages with the same value are left out. */
export interface DatagramSender {
  /** Identifier of the entry VM. */
  readonly id: string;
  readonly incarnation: string;
}

/** The sender as stated in a datagram, not checked. */
type UncheckedSender = Readonly<Record<keyof DatagramSender, unknown>>;

/** Reads and writes the values of a field. Values that it does not know are passed on, and fail the check of the message. */
interface FieldCodec {
  readonly encode: (value: unknown, sender: DatagramSender) => unknown;
  readonly decode: (value: unknown, sender: UncheckedSender) => unknown;
}

/** Writes one of some known texts as its position. */
function oneOf(texts: readonly string[]): FieldCodec {
  return {
    encode: (value) => (typeof value === 'string' && texts.includes(value) ? texts.indexOf(value) : value),
    decode: (value) => (typeof value === 'number' ? texts[value] : value),
  };
}

/** Writes an object as the values of its fields. */
function record(fields: readonly string[]): FieldCodec {
  return {
    encode: (value) => (isRecord(value) ? valuesOf(value, fields) : value),
    decode: (value) => (Array.isArray(value) ? withFields(fields, value) : value),
  };
}

function listOf(codec: FieldCodec): FieldCodec {
  return {
    encode: (value, sender) =>
      Array.isArray(value) ? value.map((item) => codec.encode(item, sender)) : value,
    decode: (value, sender) =>
      Array.isArray(value) ? value.map((item) => codec.decode(item, sender)) : value,
  };
}

/** Leaves out a value that the check of the message puts in for an absent one. */
function absentIf(isDefault: (value: unknown) => boolean): FieldCodec {
  return { encode: (value) => (isDefault(value) ? undefined : value), decode: (value) => value };
}

const absentIfZero = absentIf((value) => value === 0);
const absentIfEmpty = absentIf((value) => value === '' || (Array.isArray(value) && value.length === 0));

/** Leaves out a value that the sender has, too. */
function sameAsSender(name: keyof DatagramSender): FieldCodec {
  return {
    encode: (value, sender) => (value === sender[name] ? undefined : value),
    decode: (value, sender) => value ?? sender[name],
  };
}

/** @returns the number of an incarnation's eight hexadecimal digits; undefined for another text. */
export function incarnationNumber(text: string): number | undefined {
  return INCARNATION_PATTERN.test(text) ? Number.parseInt(text, HEXADECIMAL) : undefined;
}

export function incarnationText(number: number): string {
  return number.toString(HEXADECIMAL).padStart(INCARNATION_DIGITS, '0');
}

/** Writes eight hexadecimal digits as a number. */
function encodeIncarnation(value: unknown): unknown {
  return typeof value === 'string' ? (incarnationNumber(value) ?? value) : value;
}

function decodeIncarnation(value: unknown): unknown {
  return typeof value === 'number' ? incarnationText(value) : value;
}

/** Writes the identifier of a slot request, `INCARNATION:NUMBER`, as two numbers. */
const slotRequestId: FieldCodec = {
  encode: (value) => {
    const [, incarnation, number] =
      typeof value === 'string' ? (SLOT_REQUEST_ID_PATTERN.exec(value) ?? []) : [];
    return incarnation === undefined ? value : [encodeIncarnation(incarnation), Number(number)];
  },
  decode: (value) => {
    const [incarnation, number] = Array.isArray(value) ? (value as unknown[]) : [];
    return typeof incarnation === 'number' && typeof number === 'number'
      ? `${String(decodeIncarnation(incarnation))}:${number.toString()}`
      : value;
  },
};

/** Why slots are refused, and how their use ended; each is sent as its position. */
export const REFUSALS = ['no-server', 'overloaded', 'unreachable', 'not-coordinating'] as const;
export const FINISH_USES = ['answered', 'failed', 'refused', 'unreachable', 'silent', 'cancelled'] as const;

/** The order of the fields of objects inside messages. */
export const BASIS_FIELDS: readonly string[] = [
  'expectedWaitMilliseconds',
  'expectedWorkMilliseconds',
  'waiting',
  'statedRequestsPerSecond',
];
export const STATEMENT_FIELDS: readonly string[] = ['requestsPerSecond', 'load', 'warmup'];

/** The first value of a message, by its type. Codes and the order of fields are part of the format. */
export const MESSAGE_CODES = {
  ask: 0,
  waiting: 1,
  granted: 2,
  refused: 3,
  finish: 4,
  heartbeat: 5,
  'reader-heartbeat': 6,
  'table-changes': 7,
  'server-leaving': 8,
  'assignment-change': 9,
  report: 10,
  'crash-evidence': 11,
  'slot-check': 12,
} as const;

interface MessageLayout {
  readonly type: keyof typeof MESSAGE_CODES;
  readonly fields: readonly string[];
  readonly codecs: Readonly<Record<string, FieldCodec>>;
}

const LAYOUTS: readonly MessageLayout[] = [
  {
    type: 'ask',
    fields: [
      'id',
      'service',
      'serverId',
      'rank',
      'goalIn',
      'deadlineIn',
      'bodyBytes',
      'responseBytes',
      'availabilityZone',
      'excludedIds',
      'key',
    ],
    codecs: {
      id: slotRequestId,
      bodyBytes: absentIfZero,
      availabilityZone: absentIfEmpty,
      excludedIds: absentIfEmpty,
    },
  },
  { type: 'waiting', fields: ['id'], codecs: { id: slotRequestId } },
  { type: 'granted', fields: ['id', 'serverId'], codecs: { id: slotRequestId } },
  {
    type: 'refused',
    fields: ['id', 'refusal', 'retryAfter', 'basis'],
    codecs: {
      id: slotRequestId,
      refusal: oneOf(REFUSALS),
      basis: record(BASIS_FIELDS),
    },
  },
  {
    type: 'finish',
    fields: ['id', 'use', 'statements'],
    codecs: {
      id: slotRequestId,
      use: oneOf(FINISH_USES),
      statements: record(STATEMENT_FIELDS),
    },
  },
  {
    type: 'heartbeat',
    fields: ['id', 'term', 'storeSilence', 'sentAt', 'versions', 'assignments', 'lacksAssignments'],
    codecs: { id: sameAsSender('id') },
  },
  {
    type: 'reader-heartbeat',
    fields: ['id', 'storeReachable', 'storeSilence', 'unconfirmed', 'versions'],
    codecs: { id: sameAsSender('id') },
  },
  {
    type: 'table-changes',
    fields: ['table', 'after', 'version', 'newestChange', 'rows', 'deletedKeys'],
    codecs: { rows: listOf(record(['key', 'value', 'version'])) },
  },
  { type: 'server-leaving', fields: ['serverId', 'serverIncarnation'], codecs: {} },
  {
    type: 'assignment-change',
    fields: ['service', 'rowVersion', 'change'],
    codecs: { change: record(['base', 'removed', 'added']) },
  },
  {
    type: 'report',
    fields: [
      'id',
      'incarnation',
      'term',
      'heartbeatSentAt',
      'storeSilence',
      'versions',
      'keys',
      'serverTimes',
      'newestRevisions',
    ],
    codecs: { id: sameAsSender('id'), incarnation: sameAsSender('incarnation') },
  },
  {
    type: 'crash-evidence',
    fields: ['lost', 'answered', 'known'],
    codecs: { lost: absentIfEmpty, answered: absentIfEmpty, known: absentIfEmpty },
  },
  { type: 'slot-check', fields: ['ids'], codecs: { ids: listOf(slotRequestId) } },
];

const COMPILED_LAYOUTS = LAYOUTS.map(({ type, fields, codecs }) => ({
  type,
  code: MESSAGE_CODES[type],
  fields: fields.map((name) => ({ name, codec: codecs[name] })),
}));
const LAYOUT_BY_TYPE: ReadonlyMap<unknown, (typeof COMPILED_LAYOUTS)[number]> = new Map(
  COMPILED_LAYOUTS.map((layout) => [layout.type, layout]),
);
const LAYOUT_BY_CODE: ReadonlyMap<unknown, (typeof COMPILED_LAYOUTS)[number]> = new Map(
  COMPILED_LAYOUTS.map((layout) => [layout.code, layout]),
);

/**
 * Encodes a message between entry VMs as an array in MessagePack; absent fields at the end are left out. A large message
 * is a byte string with the compressed array.
 */
export function encodeCompact(message: UncheckedMessage, sender: DatagramSender): Uint8Array {
  const layout = LAYOUT_BY_TYPE.get(message.type);
  if (layout === undefined) {
    throw new TypeError(`no layout for messages of type ${String(message.type)}`);
  }
  const values: unknown[] = [layout.code];
  let length = 1;
  for (const { name, codec } of layout.fields) {
    const value = codec === undefined ? message[name] : codec.encode(message[name], sender);
    values.push(value);
    length = value === undefined || value === null ? length : values.length;
  }
  values.length = length;
  return compressed(encoder.encode(values));
}

function compressed(message: Uint8Array): Uint8Array {
  if (message.length < MIN_COMPRESSED_BYTES) {
    return message;
  }
  const bytes = encoder.encode(deflateRawSync(message, COMPRESSION));
  return bytes.length < message.length ? bytes : message;
}

/** @throws an error of the decoder. @returns undefined for bytes that declare more than they hold. */
function decodeValue(bytes: Uint8Array): unknown {
  return isPlausibleMessagePack(bytes) ? decoder.decode(bytes) : undefined;
}

/** @throws an error of the decoder, or of the decompression for bytes that are too many or damaged. */
function decompressed(message: unknown): unknown {
  return message instanceof Uint8Array
    ? decodeValue(inflateRawSync(message, { maxOutputLength: MAX_DECOMPRESSED_BYTES }))
    : message;
}

/** @returns the fields of a message, not checked; undefined if it has no known layout. */
function expand(values: CompactMessage, sender: UncheckedSender): UncheckedMessage | undefined {
  const [code] = values;
  const layout = LAYOUT_BY_CODE.get(code);
  if (layout === undefined || values.length > layout.fields.length + 1) {
    return undefined;
  }
  const message: UncheckedMessage = { type: layout.type };
  let index = 1;
  for (const { name, codec } of layout.fields) {
    const value = codec === undefined ? values[index] : codec.decode(values[index] ?? undefined, sender);
    if (value !== undefined && value !== null) {
      message[name] = value;
    }
    index += 1;
  }
  return message;
}

/** A datagram whose parts are not checked. */
export interface UncheckedDatagram {
  readonly from: unknown;
  readonly incarnation: unknown;
  readonly messages: readonly unknown[];
}

/**
 * Decodes one MessagePack value: an array of the format's number, the sender's identifier and incarnation, and messages.
 * @param sourceAddress completes an identifier that ends with `@`.
 * @throws an error of the decoder for bytes that are not exactly one value.
 */
export function decodeCompact(
  bytes: Uint8Array,
  format: number,
  sourceAddress: string,
): UncheckedDatagram | undefined {
  const value = decodeValue(bytes);
  if (!Array.isArray(value)) {
    return undefined;
  }
  const [actualFormat, sentFrom, sentIncarnation, messages, ...rest] = value as unknown[];
  if (actualFormat !== format || rest.length > 0 || !Array.isArray(messages)) {
    return undefined;
  }
  // Bounds the time for their decompression.
  if (messages.length > MAX_MESSAGES_PER_DATAGRAM) {
    return undefined;
  }
  const from = typeof sentFrom === 'string' && sentFrom.endsWith('@') ? sentFrom + sourceAddress : sentFrom;
  const incarnation = decodeIncarnation(sentIncarnation);
  return {
    from,
    incarnation,
    messages: messages.map((encoded: unknown) => {
      const message = decompressed(encoded);
      return Array.isArray(message)
        ? expand(message as CompactMessage, { id: from, incarnation })
        : undefined;
    }),
  };
}

/**
 * Encodes the first part of a datagram, up to its messages.
 * @param sourceAddress the address that the receiver sees; it is left out of an identifier that ends with it.
 */
export function encodeDatagramHead(
  format: number,
  { id, incarnation }: DatagramSender,
  sourceAddress: string,
  messageCount: number,
): Uint8Array {
  const from = id.endsWith(`@${sourceAddress}`) ? id.slice(0, id.length - sourceAddress.length) : id;
  const placeholders = new Array<null>(messageCount).fill(null);
  const head = encoder.encode([format, from, encodeIncarnation(incarnation), placeholders]);
  return head.subarray(0, head.length - messageCount);
}

export function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function valuesOf(value: Record<string, unknown>, fields: readonly string[]): readonly unknown[] {
  return withoutAbsentEnd(fields.map((name) => value[name]));
}

/** Replaces absent values by null, and drops them at the end. */
function withoutAbsentEnd(values: readonly unknown[]): readonly unknown[] {
  const length = values.findLastIndex((value) => value !== undefined && value !== null) + 1;
  return values.slice(0, length).map((value) => value ?? null);
}

/** Assigns values to field names; null stands for an absent value. */
function withFields(names: readonly string[], values: readonly unknown[]): Record<string, unknown> {
  const fields: Record<string, unknown> = {};
  for (const [index, name] of names.entries()) {
    const value = values[index];
    if (value !== null && value !== undefined) {
      fields[name] = value;
    }
  }
  return fields;
}
