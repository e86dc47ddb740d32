import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Decoder, Encoder } from '@msgpack/msgpack';

/** A message in its compact form: its code, and the values of its fields in a fixed order. */
type CompactMessage = readonly unknown[];

/** A message before its fields are checked. */
type UncheckedMessage = Record<string, unknown>;

/** Kept, because each allocates buffers. */
const encoder = new Encoder();
const decoder = new Decoder();

/** Size from which messages are compressed, in bytes: those with rows of tables, changes of owners, and many keys. */
const MIN_COMPRESSED_BYTES = 256;
/** Limit for a message once it is decompressed, in bytes. */
const MAX_DECOMPRESSED_BYTES = 65_536;
/** The window covers a message; both ends allocate little for it. */
const COMPRESSION = { windowBits: 13, memLevel: 5 };

const HEXADECIMAL = 16;
const INCARNATION_DIGITS = 8;
const INCARNATION_PATTERN = /^[0-9a-f]{8}$/;
const SLOT_REQUEST_ID_PATTERN = /^([0-9a-f]{8}):([1-9]\d{0,14})$/;

/** Reads and writes the values of a field. Values that it does not know are passed on, and fail the check of the message. */
interface FieldCodec {
  readonly encode: (value: unknown) => unknown;
  readonly decode: (value: unknown) => unknown;
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
    encode: (value) => (Array.isArray(value) ? value.map((item) => codec.encode(item)) : value),
    decode: (value) => (Array.isArray(value) ? value.map((item) => codec.decode(item)) : value),
  };
}

/** Writes the identifier of a slot request, `INCARNATION:NUMBER`, as two numbers. */
const slotRequestId: FieldCodec = {
  encode: (value) => {
    const [, incarnation, number] =
      typeof value === 'string' ? (SLOT_REQUEST_ID_PATTERN.exec(value) ?? []) : [];
    return incarnation === undefined ? value : [hexadecimal.encode(incarnation), Number(number)];
  },
  decode: (value) => {
    const [incarnation, number] = Array.isArray(value) ? (value as unknown[]) : [];
    return typeof incarnation === 'number' && typeof number === 'number'
      ? `${String(hexadecimal.decode(incarnation))}:${number.toString()}`
      : value;
  },
};

/** Leaves out a value that the check of the message puts in for an absent one. */
function absentIf(isDefault: (value: unknown) => boolean): FieldCodec {
  return { encode: (value) => (isDefault(value) ? undefined : value), decode: (value) => value };
}

const absentIfZero = absentIf((value) => value === 0);
const absentIfEmpty = absentIf((value) => value === '' || (Array.isArray(value) && value.length === 0));

/** Writes eight hexadecimal digits as a number. */
const hexadecimal: FieldCodec = {
  encode: (value) =>
    typeof value === 'string' && INCARNATION_PATTERN.test(value)
      ? Number.parseInt(value, HEXADECIMAL)
      : value,
  decode: (value) =>
    typeof value === 'number' ? value.toString(HEXADECIMAL).padStart(INCARNATION_DIGITS, '0') : value,
};

/** The process that sends a datagram. Fields of its messages with the same value are left out. */
export interface DatagramSender {
  /** Identifier of the entry VM. */
  readonly id: string;
  readonly incarnation: string;
}

interface MessageLayout {
  readonly type: string;
  readonly fields: readonly string[];
  /** Fields that usually have the values of the sender. */
  readonly senderFields?: readonly (keyof DatagramSender)[];
  readonly codecs: Readonly<Record<string, FieldCodec>>;
}

/** The position of a message here is its code. Codes and the order of fields are part of the format. */
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
      refusal: oneOf(['no-server', 'overloaded', 'unreachable', 'not-coordinating']),
      basis: record([
        'expectedWaitMilliseconds',
        'expectedWorkMilliseconds',
        'waiting',
        'statedRequestsPerSecond',
      ]),
    },
  },
  {
    type: 'finish',
    fields: ['id', 'use', 'statements'],
    codecs: {
      id: slotRequestId,
      use: oneOf(['answered', 'failed', 'refused', 'unreachable', 'silent', 'cancelled']),
      statements: record(['requestsPerSecond', 'load', 'warmup']),
    },
  },
  {
    type: 'heartbeat',
    fields: ['id', 'term', 'storeSilence', 'sentAt', 'versions', 'assignments'],
    senderFields: ['id'],
    codecs: {},
  },
  {
    type: 'reader-heartbeat',
    fields: ['id', 'storeReachable', 'storeSilence', 'unconfirmed', 'versions'],
    senderFields: ['id'],
    codecs: {},
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
    ],
    senderFields: ['id', 'incarnation'],
    codecs: {},
  },
  {
    type: 'crash-evidence',
    fields: ['lost', 'answered'],
    codecs: { lost: absentIfEmpty, answered: absentIfEmpty },
  },
];

/**
 * Encodes a message between entry VMs as an array in MessagePack; absent fields at the end are left out. A large message
 * is a byte string with the compressed array.
 */
export function encodeCompact(message: UncheckedMessage, sender: DatagramSender): Uint8Array {
  const code = LAYOUTS.findIndex(({ type }) => type === message.type);
  const layout = LAYOUTS[code];
  if (layout === undefined) {
    throw new TypeError(`no layout for messages of type ${String(message.type)}`);
  }
  const fields = { ...message };
  for (const name of layout.senderFields ?? []) {
    fields[name] = fields[name] === sender[name] ? undefined : fields[name];
  }
  const coded = layout.fields.map((name) => codecOf(layout, name).encode(fields[name]));
  return compressed(encoder.encode([code, ...withoutAbsentEnd(coded)]));
}

function compressed(message: Uint8Array): Uint8Array {
  if (message.length < MIN_COMPRESSED_BYTES) {
    return message;
  }
  const bytes = encoder.encode(deflateRawSync(message, COMPRESSION));
  return bytes.length < message.length ? bytes : message;
}

/** @throws an error of the decoder, or of the decompression for bytes that are too many or damaged. */
function decompressed(message: unknown): unknown {
  return message instanceof Uint8Array
    ? decoder.decode(inflateRawSync(message, { maxOutputLength: MAX_DECOMPRESSED_BYTES }))
    : message;
}

/** @returns the fields of a message, not checked; undefined if it has no known layout. */
function expand(
  [code, ...values]: CompactMessage,
  sender: Readonly<Record<string, unknown>>,
): UncheckedMessage | undefined {
  const layout = typeof code === 'number' ? LAYOUTS[code] : undefined;
  if (layout === undefined || values.length > layout.fields.length) {
    return undefined;
  }
  const fields: UncheckedMessage = { type: layout.type };
  for (let index = 0; index < values.length; index += 1) {
    const name = layout.fields[index];
    const value = values[index];
    if (name !== undefined && value !== null) {
      fields[name] = codecOf(layout, name).decode(value);
    }
  }
  for (const name of layout.senderFields ?? []) {
    fields[name] ??= sender[name];
  }
  return fields;
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
  const value = decoder.decode(bytes);
  if (!Array.isArray(value)) {
    return undefined;
  }
  const [actualFormat, sentFrom, sentIncarnation, messages, ...rest] = value as unknown[];
  if (actualFormat !== format || rest.length > 0 || !Array.isArray(messages)) {
    return undefined;
  }
  const from = typeof sentFrom === 'string' && sentFrom.endsWith('@') ? sentFrom + sourceAddress : sentFrom;
  const incarnation = hexadecimal.decode(sentIncarnation);
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
  const head = encoder.encode([format, from, hexadecimal.encode(incarnation), placeholders]);
  return head.subarray(0, head.length - messageCount);
}

const unchanged: FieldCodec = { encode: (value) => value, decode: (value) => value };

function codecOf({ codecs }: MessageLayout, name: string): FieldCodec {
  return codecs[name] ?? unchanged;
}

function isRecord(value: unknown): value is Record<string, unknown> {
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
