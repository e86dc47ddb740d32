import { MessagePackReader } from './messagePackReader.js';
import { MessagePackWriter } from './messagePackWriter.js';
import {
  BASIS_FIELDS,
  FINISH_USES,
  INCARNATION_DIGITS,
  incarnationNumber,
  incarnationText,
  isRecord,
  MAX_MESSAGES_PER_DATAGRAM,
  MESSAGE_CODES,
  MIN_COMPRESSED_BYTES,
  REFUSALS,
  STATEMENT_FIELDS,
} from './peerCodec.js';
import type { PeerDatagram, PeerMessage } from './peerMessage.js';

/** Elements of the array that is a datagram: format, identifier and incarnation of the sender, messages. */
const DATAGRAM_LENGTH = 4;
const LOAD_LENGTH = 4;
const NUMBER_PATTERN = /^[1-9]\d{0,14}$/;
/** Incarnations and addresses that are kept in text form. */
const KEPT_INCARNATIONS = 256;
const MAX_KEPT_SENDERS = 1_024;

type MessageOf<Type extends PeerMessage['type']> = Extract<PeerMessage, { readonly type: Type }>;
type Mutable<Type> = { -readonly [Key in keyof Type]: Type[Key] };

interface KeptSender {
  readonly sentFrom: string;
  readonly from: string;
}

interface KeptIncarnation {
  readonly value: number;
  readonly text: string;
}

/**
 * Reads datagrams that consist of the messages for slots and heartbeats in their usual form, without the steps in between
 * that the general decoder and the check against the schema need. Whatever has another form is left to these, so they
 * alone define what is valid.
 *
 * Load pattern: each request sends several such messages between small VMs, and heartbeats go to all of them.
 */
export class FrequentDatagramReader {
  readonly #format: number;
  readonly #reader = new MessagePackReader();
  readonly #incarnations = new Array<KeptIncarnation | undefined>(KEPT_INCARNATIONS).fill(undefined);
  /** Identifier of the entry VM by the address of its datagrams. */
  readonly #senders = new Map<string, KeptSender>();

  constructor(format: number) {
    this.#format = format;
  }

  /**
   * @param sourceAddress completes an identifier that ends with `@`.
   * @returns undefined for a datagram that is invalid or has to be read in another way.
   */
  read(bytes: Uint8Array, sourceAddress: string): PeerDatagram | undefined {
    const reader = this.#reader;
    reader.start(bytes);
    reader.expect(reader.arrayLength() === DATAGRAM_LENGTH);
    reader.expect(reader.number() === this.#format);
    if (reader.hasFailed()) {
      return undefined;
    }
    const sentFrom = reader.text();
    const from = sentFrom.endsWith('@') ? this.#completed(sentFrom, sourceAddress) : sentFrom;
    const incarnation = this.#incarnation();
    const count = reader.arrayLength();
    reader.expect(count <= MAX_MESSAGES_PER_DATAGRAM);
    const messages: PeerMessage[] = [];
    for (let index = 0; index < count && !reader.hasFailed(); index += 1) {
      const message = this.#message(from);
      if (message === undefined) {
        return undefined;
      }
      messages.push(message);
    }
    return reader.hasFailed() || !reader.isAtEnd ? undefined : { from, incarnation, messages };
  }

  #completed(sentFrom: string, sourceAddress: string): string {
    const kept = this.#senders.get(sourceAddress);
    if (kept?.sentFrom === sentFrom) {
      return kept.from;
    }
    if (this.#senders.size >= MAX_KEPT_SENDERS) {
      this.#senders.clear();
    }
    const from = sentFrom + sourceAddress;
    this.#senders.set(sourceAddress, { sentFrom, from });
    return from;
  }

  #message(from: string): PeerMessage | undefined {
    const reader = this.#reader;
    const length = reader.arrayLength() - 1;
    switch (reader.number()) {
      case MESSAGE_CODES.ask:
        return this.#ask(length);
      case MESSAGE_CODES.waiting:
        reader.expect(length === 1);
        return { type: 'waiting', id: this.#requestId() };
      case MESSAGE_CODES.granted:
        return this.#granted(length);
      case MESSAGE_CODES.refused:
        return this.#refused(length);
      case MESSAGE_CODES.finish:
        return this.#finish(length);
      case MESSAGE_CODES.heartbeat:
        reader.expect(length === 6);
        return {
          type: 'heartbeat',
          id: this.#isAbsent() ? from : reader.text(),
          term: reader.number(),
          storeSilence: reader.number(),
          sentAt: reader.number(),
          versions: this.#numbersByName(),
          assignments: this.#numbersByName(),
        };
      case MESSAGE_CODES['reader-heartbeat']:
        reader.expect(length === 5);
        return {
          type: 'reader-heartbeat',
          id: this.#isAbsent() ? from : reader.text(),
          storeReachable: reader.number(),
          storeSilence: reader.number(),
          unconfirmed: this.#isAbsent() ? 0 : reader.number(),
          versions: this.#numbersByName(),
        };
      default:
        return undefined;
    }
  }

  #ask(length: number): MessageOf<'ask'> {
    const reader = this.#reader;
    reader.expect(length >= 6 && length <= 11);
    const id = this.#requestId();
    const service = reader.text();
    const serverId = this.#isAbsent() ? undefined : reader.text();
    const rank = reader.number();
    const goalIn = reader.number();
    const deadlineIn = reader.number();
    const bodyBytes = length < 7 || this.#isAbsent() ? 0 : reader.number();
    const responseBytes = length < 8 || this.#isAbsent() ? undefined : reader.number();
    const availabilityZone = length < 9 || this.#isAbsent() ? '' : reader.text();
    const excludedIds = length < 10 || this.#isAbsent() ? [] : this.#texts();
    const key = length < 11 || this.#isAbsent() ? undefined : reader.number();
    const message: Mutable<MessageOf<'ask'>> = {
      type: 'ask',
      id,
      service,
      excludedIds,
      availabilityZone,
      rank,
      bodyBytes,
      goalIn,
      deadlineIn,
    };
    if (serverId !== undefined) {
      message.serverId = serverId;
    }
    if (responseBytes !== undefined) {
      message.responseBytes = responseBytes;
    }
    if (key !== undefined) {
      message.key = key;
    }
    return message;
  }

  #granted(length: number): MessageOf<'granted'> {
    this.#reader.expect(length === 1 || length === 2);
    const id = this.#requestId();
    return length < 2 || this.#isAbsent()
      ? { type: 'granted', id }
      : { type: 'granted', id, serverId: this.#reader.text() };
  }

  #refused(length: number): MessageOf<'refused'> | undefined {
    const reader = this.#reader;
    reader.expect(length === 3 || length === 4);
    const id = this.#requestId();
    const refusal = REFUSALS[reader.number()];
    const retryAfter = reader.number();
    if (refusal === undefined) {
      return undefined;
    }
    if (length < 4 || this.#isAbsent()) {
      return { type: 'refused', id, refusal, retryAfter };
    }
    const basisLength = reader.arrayLength();
    reader.expect(basisLength === 3 || basisLength === 4);
    const basis = {
      expectedWaitMilliseconds: reader.number(),
      expectedWorkMilliseconds: reader.number(),
      waiting: reader.number(),
    };
    return {
      type: 'refused',
      id,
      refusal,
      retryAfter,
      basis:
        basisLength < 4 || this.#isAbsent() ? basis : { ...basis, statedRequestsPerSecond: reader.number() },
    };
  }

  #finish(length: number): MessageOf<'finish'> | undefined {
    const reader = this.#reader;
    reader.expect(length === 2 || length === 3);
    const id = this.#requestId();
    const use = FINISH_USES[reader.number()];
    if (use === undefined) {
      return undefined;
    }
    return length < 3 || this.#isAbsent()
      ? { type: 'finish', id, use }
      : { type: 'finish', id, use, statements: this.#statements() };
  }

  #statements(): NonNullable<MessageOf<'finish'>['statements']> {
    const reader = this.#reader;
    const length = reader.arrayLength();
    reader.expect(length <= 3);
    const statements: NonNullable<MessageOf<'finish'>['statements']> = {};
    if (length >= 1 && !this.#isAbsent()) {
      statements.requestsPerSecond = reader.number();
    }
    if (length >= 2 && !this.#isAbsent()) {
      reader.expect(reader.arrayLength() === LOAD_LENGTH);
      statements.load = [reader.number(), reader.number(), reader.number(), reader.number()];
    }
    if (length >= 3 && !this.#isAbsent()) {
      statements.warmup = reader.number();
    }
    return statements;
  }

  /** Reads the identifier of a slot request: a text, or `INCARNATION:NUMBER` as two numbers. */
  #requestId(): string {
    const reader = this.#reader;
    if (reader.isAtText) {
      return reader.text();
    }
    reader.expect(reader.arrayLength() === 2 && !reader.isAtText);
    const incarnation = this.#incarnation();
    return `${incarnation}:${reader.number().toString()}`;
  }

  #incarnation(): string {
    const reader = this.#reader;
    if (reader.isAtText) {
      return reader.text();
    }
    const value = reader.number();
    if (!Number.isInteger(value) || value < 0) {
      reader.expect(false);
      return '';
    }
    const slot = value % KEPT_INCARNATIONS;
    const kept = this.#incarnations[slot];
    if (kept?.value === value) {
      return kept.text;
    }
    const text = incarnationText(value);
    this.#incarnations[slot] = { value, text };
    return text;
  }

  #isAbsent(): boolean {
    return this.#reader.skipNil();
  }

  #texts(): string[] {
    const reader = this.#reader;
    const texts: string[] = [];
    const length = reader.arrayLength();
    for (let index = 0; index < length; index += 1) {
      texts.push(reader.text());
    }
    return texts;
  }

  #numbersByName(): Record<string, number> {
    const reader = this.#reader;
    const numbers: Record<string, number> = {};
    const size = reader.mapSize();
    for (let index = 0; index < size; index += 1) {
      const name = reader.text();
      // The general decoder refuses it.
      reader.expect(name !== '__proto__');
      numbers[name] = reader.number();
    }
    return numbers;
  }
}

/**
 * Encodes the messages for slots in the compact form, byte by byte as the general encoder does, which also encodes all
 * other messages. Load pattern: several messages for each request.
 */
export class FrequentMessageWriter {
  /** What is larger is compressed, and left to the general encoder. */
  readonly #writer = new MessagePackWriter(MIN_COMPRESSED_BYTES - 1);
  /** The message's fields that are written, and where those end that have to be sent. */
  #fields = 0;
  #sentFields = 0;
  #sentLength = 0;
  #incarnation = '';
  #incarnationNumber = 0;

  /** @returns undefined for a message that the general encoder has to encode. */
  encode(message: PeerMessage): Uint8Array | undefined {
    const writer = this.#writer;
    writer.start();
    writer.arrayHead(0);
    this.#fields = 0;
    this.#number(MESSAGE_CODES[message.type]);
    switch (message.type) {
      case 'ask':
        this.#requestId(message.id);
        this.#text(message.service);
        this.#text(message.serverId);
        this.#number(message.rank);
        this.#number(message.goalIn);
        this.#number(message.deadlineIn);
        this.#number(message.bodyBytes === 0 ? undefined : message.bodyBytes);
        this.#number(message.responseBytes);
        this.#text(message.availabilityZone === '' ? undefined : message.availabilityZone);
        this.#texts(message.excludedIds);
        this.#number(message.key);
        break;
      case 'waiting':
        this.#requestId(message.id);
        break;
      case 'granted':
        this.#requestId(message.id);
        this.#text(message.serverId);
        break;
      case 'finish':
        this.#requestId(message.id);
        this.#oneOf(FINISH_USES, message.use);
        this.#record(message.statements, STATEMENT_FIELDS);
        break;
      case 'refused':
        this.#requestId(message.id);
        this.#oneOf(REFUSALS, message.refusal);
        this.#number(message.retryAfter);
        this.#record(message.basis, BASIS_FIELDS);
        break;
      case 'heartbeat':
      case 'reader-heartbeat':
      case 'table-changes':
      case 'server-leaving':
      case 'assignment-change':
      case 'report':
      case 'crash-evidence':
      case 'slot-check':
        return undefined;
    }
    writer.setArrayLength(0, this.#sentFields);
    return writer.isFailed ? undefined : writer.copy(this.#sentLength);
  }

  #end(isSent: boolean): void {
    this.#fields += 1;
    if (isSent) {
      this.#sentFields = this.#fields;
      this.#sentLength = this.#writer.length;
    } else {
      this.#writer.nil();
    }
  }

  #number(value: unknown): void {
    const isPresent = value !== undefined && value !== null;
    if (isPresent) {
      this.#writer.number(value);
    }
    this.#end(isPresent);
  }

  #text(value: unknown): void {
    const isPresent = value !== undefined && value !== null;
    if (isPresent) {
      this.#writer.text(value);
    }
    this.#end(isPresent);
  }

  #oneOf(values: readonly unknown[], value: unknown): void {
    const position = values.indexOf(value);
    // A text fails; the general encoder passes unknown ones on.
    this.#number(position === -1 ? '' : position);
  }

  #texts(values: unknown): void {
    const isPresent = !Array.isArray(values) || values.length > 0;
    if (isPresent) {
      this.#array(values, (value) => {
        this.#writer.text(value);
      });
    }
    this.#end(isPresent);
  }

  #array(values: unknown, write: (value: unknown) => void): void {
    if (!Array.isArray(values)) {
      this.#writer.fail();
      return;
    }
    this.#writer.arrayHead(values.length);
    for (const value of values) {
      write(value);
    }
  }

  #requestId(id: unknown): void {
    if (typeof id !== 'string') {
      this.#writer.fail();
      return;
    }
    const incarnation = id.slice(0, INCARNATION_DIGITS);
    const number = id.slice(INCARNATION_DIGITS + 1);
    if (id[INCARNATION_DIGITS] === ':' && NUMBER_PATTERN.test(number) && this.#isIncarnation(incarnation)) {
      this.#writer.arrayHead(2);
      this.#writer.number(this.#incarnationNumber);
      this.#writer.number(Number(number));
    } else {
      this.#writer.text(id);
    }
    this.#end(true);
  }

  /** Whether a text is an incarnation; its number is kept, since most messages are about requests of one process. */
  #isIncarnation(text: string): boolean {
    if (text === this.#incarnation) {
      return true;
    }
    const number = incarnationNumber(text);
    if (number === undefined) {
      return false;
    }
    this.#incarnation = text;
    this.#incarnationNumber = number;
    return true;
  }

  /** Writes an object as the values of its fields up to the last one that is present. */
  #record(value: unknown, fields: readonly string[]): void {
    if (value !== undefined && value !== null) {
      this.#values(value, fields);
    }
    this.#end(value !== undefined && value !== null);
  }

  #values(value: unknown, fields: readonly string[]): void {
    const writer = this.#writer;
    if (!isRecord(value)) {
      writer.fail();
      return;
    }
    let length = fields.length;
    while (length > 0 && isAbsent(value[fields[length - 1] ?? ''])) {
      length -= 1;
    }
    writer.arrayHead(length);
    for (let index = 0; index < length; index += 1) {
      const item = value[fields[index] ?? ''];
      if (isAbsent(item)) {
        writer.nil();
      } else if (typeof item === 'number') {
        writer.number(item);
      } else {
        this.#array(item, (element) => {
          writer.number(element);
        });
      }
    }
  }
}

function isAbsent(value: unknown): boolean {
  return value === undefined || value === null;
}
