import * as z from 'zod';
import { encodedDeltaSchema } from '@hickoryhoist/keyownership/common/keyAssignmentDelta.js';
import { FrequentDatagramReader, FrequentMessageWriter } from './frequentMessages.js';
import {
  type DatagramSender,
  decodeCompact,
  encodeCompact,
  encodeDatagramHead,
  FINISH_USES,
  REFUSALS,
} from './peerCodec.js';

const slotRequestSchema = z.object({
  type: z.literal('ask'),
  id: z.string(),
  service: z.string(),
  serverId: z.string().optional(),
  excludedIds: z.array(z.string()).default([]),
  /** Absent if the server is given. */
  availabilityZone: z.string().default(''),
  rank: z.number(),
  bodyBytes: z.number().default(0),
  responseBytes: z.number().optional(),
  /** Milliseconds until the time goal; negative if it has passed. */
  goalIn: z.number(),
  deadlineIn: z.number(),
  /** The key for which the server is asked. Absent in older versions. */
  key: z.number().optional(),
});

const peerMessageSchema = z.discriminatedUnion('type', [
  slotRequestSchema,
  z.object({ type: z.literal('waiting'), id: z.string() }),
  z.object({
    type: z.literal('granted'),
    id: z.string(),
    /** Absent if it is the server that was requested. */
    serverId: z.string().optional(),
  }),
  z.object({
    type: z.literal('refused'),
    id: z.string(),
    refusal: z.enum(REFUSALS),
    retryAfter: z.number(),
    /** Data behind the decision, for the log of the requesting entry VM. */
    basis: z
      .object({
        expectedWaitMilliseconds: z.number(),
        expectedWorkMilliseconds: z.number(),
        waiting: z.number(),
        statedRequestsPerSecond: z.number().optional(),
      })
      .transform(({ statedRequestsPerSecond: stated, ...basis }) => ({
        ...basis,
        ...(stated === undefined ? {} : { statedRequestsPerSecond: stated }),
      }))
      .optional(),
  }),
  z.object({
    type: z.literal('finish'),
    id: z.string(),
    use: z.enum(FINISH_USES),
    /** What the server stated about its rate in its response; absent if there was no response. */
    statements: z
      .object({
        requestsPerSecond: z.number().optional(),
        /** Requests running and waiting, slots, and work factor. */
        load: z.tuple([z.number(), z.number(), z.number(), z.number()]).optional(),
        /** Remaining warm-up time in milliseconds. */
        warmup: z.number().optional(),
      })
      .optional(),
  }),
  z.object({
    type: z.literal('heartbeat'),
    term: z.number(),
    id: z.string(),
    /** Milliseconds since the last response of the store while calls fail; otherwise 0. */
    storeSilence: z.number(),
    /** Version of the newest change known to the sender, by table. */
    versions: z.record(z.string(), z.number()),
    /** Revision of each service's assignment. */
    assignments: z.record(z.string(), z.number()),
    /** Time of sending on the assigner's clock; reports echo it. */
    sentAt: z.number(),
    /** Whether the sender does not know all assignments by which servers may hold keys. Absent otherwise. */
    lacksAssignments: z.boolean().optional(),
  }),
  z.object({
    type: z.literal('reader-heartbeat'),
    id: z.string(),
    /** Milliseconds for which the sender has reached the store. */
    storeReachable: z.number(),
    /** Milliseconds since the last response of the store while calls fail; otherwise 0. */
    storeSilence: z.number(),
    /** Milliseconds since the store last confirmed that the sender's tables are current. Absent in older versions. */
    unconfirmed: z.number().default(0),
    versions: z.record(z.string(), z.number()),
  }),
  z.object({
    type: z.literal('table-changes'),
    table: z.string(),
    /** The message contains all changes after this version and up to `version`. */
    after: z.number(),
    version: z.number(),
    newestChange: z.number(),
    rows: z.array(z.object({ key: z.string(), value: z.string(), version: z.number() })),
    deletedKeys: z.array(z.string()),
  }),
  z.object({
    type: z.literal('server-leaving'),
    /** A server that stated in a response to the sender that it is leaving. */
    serverId: z.string(),
    serverIncarnation: z.number(),
  }),
  z.object({
    type: z.literal('crash-evidence'),
    /** Fingerprints of requests, each with a server incarnation that lost its connection on it. */
    lost: z.array(z.tuple([z.string(), z.string()])).default([]),
    /** Fingerprints of requests that got a response after all. */
    answered: z.array(z.string()).default([]),
    /**
     * Fingerprints of requests, each with server incarnations that lost their connection on it and the time since the
     * first loss, in milliseconds. Absent in messages of entry VMs that run an older version.
     */
    known: z.array(z.tuple([z.string(), z.array(z.string()), z.number().nonnegative()])).default([]),
  }),
  z.object({
    /** From a coordinator: a `finish` is expected for each of these slot requests that is not pending or in use. */
    type: z.literal('slot-check'),
    ids: z.array(z.string()),
  }),
  z.object({
    type: z.literal('assignment-change'),
    service: z.string(),
    rowVersion: z.number(),
    change: encodedDeltaSchema,
  }),
  z.object({
    type: z.literal('report'),
    id: z.string(),
    incarnation: z.string(),
    /** Highest term known to the sender, and `sentAt` of the last heartbeat it received. */
    term: z.number(),
    heartbeatSentAt: z.number(),
    storeSilence: z.number(),
    versions: z.record(z.string(), z.number()),
    /** Keys of recent requests by service. */
    keys: z.record(z.string(), z.array(z.number())),
    /** Estimated processing time in milliseconds and number of samples, by server. */
    serverTimes: z.record(z.string(), z.tuple([z.number(), z.number()])),
    /**
     * Newest revision of each service's assignment that the sender knows of, if it has followed an assigner until the store
     * came back from an older copy. Absent otherwise, once the store has all assignments again, and in older versions.
     */
    newestRevisions: z.record(z.string(), z.number()).optional(),
  }),
]);

/** Message between entry VMs. Messages can be lost, duplicated or delayed. */
export type PeerMessage = z.output<typeof peerMessageSchema>;

/** Request of an entry VM to a coordinator for a slot of a server. */
export type SlotRequestMessage = z.output<typeof slotRequestSchema>;

const datagramSchema = z.object({
  from: z.string(),
  incarnation: z.string(),
  messages: z.array(peerMessageSchema),
});

export type PeerDatagram = z.output<typeof datagramSchema>;

/** An encoded message; a broadcast is encoded only once. */
export interface EncodedMessage {
  readonly type: PeerMessage['type'];
  readonly bytes: Uint8Array;
}

/** Form of a datagram. Entry VMs read both. */
export type MessageFormat = 'json' | 'compact';

/** Number of the compact format. Datagrams of other formats are ignored. */
const COMPACT_FORMAT = 2;
/** First byte of a datagram in JSON; the compact form is an array and begins otherwise. */
const JSON_START = '{'.charCodeAt(0);
const frequentReader = new FrequentDatagramReader(COMPACT_FORMAT);
const frequentWriter = new FrequentMessageWriter();
const JSON_COMMA = ','.charCodeAt(0);
const JSON_END = Buffer.from(']}');
/** Bandwidth below which bytes are worth the processor time of the compact form, in Mbit/s. */
const SCARCE_LINK_MEGABITS_PER_SECOND = 500;

/** The form of the messages that an entry VM sends. Load pattern: small VMs on fast links send many small messages. */
export function messageFormatFor(linkMegabitsPerSecond: number): MessageFormat {
  return linkMegabitsPerSecond < SCARCE_LINK_MEGABITS_PER_SECOND ? 'compact' : 'json';
}

export function encodeMessage(
  message: PeerMessage,
  sender: DatagramSender,
  format: MessageFormat = 'compact',
): EncodedMessage {
  switch (format) {
    case 'compact':
      return {
        type: message.type,
        bytes: frequentWriter.encode(message) ?? encodeCompact(message, sender),
      };
    case 'json':
      return { type: message.type, bytes: Buffer.from(JSON.stringify(message)) };
  }
}

/**
 * Combines messages that were encoded in the same form into datagrams. Load pattern: most datagrams have one message, and
 * heartbeats go to all entry VMs, so the parts that stay the same are kept.
 */
export class DatagramEncoder {
  readonly #sender: DatagramSender;
  readonly #sourceAddress: string;
  readonly #format: MessageFormat;
  /** First part of a datagram by the number of its messages. */
  readonly #heads: (Uint8Array | undefined)[] = [];
  #lastMessage: EncodedMessage | undefined;
  #lastDatagram: Uint8Array = new Uint8Array();

  /** @param sourceAddress IP address from which datagrams are sent. */
  constructor(sender: DatagramSender, sourceAddress: string, format: MessageFormat = 'compact') {
    this.#sender = sender;
    this.#sourceAddress = sourceAddress;
    this.#format = format;
  }

  /** @returns bytes that must not be changed. */
  encode(messages: readonly EncodedMessage[]): Uint8Array {
    const [message] = messages;
    if (message === undefined || messages.length > 1) {
      return this.#encode(messages);
    }
    if (message !== this.#lastMessage) {
      this.#lastMessage = message;
      this.#lastDatagram = this.#encode(messages);
    }
    return this.#lastDatagram;
  }

  #encode(messages: readonly EncodedMessage[]): Uint8Array {
    const head = (this.#heads[messages.length] ??= this.#encodeHead(messages.length));
    const isJson = this.#format === 'json';
    let length = head.length + (isJson ? Math.max(0, messages.length - 1) + JSON_END.length : 0);
    for (const { bytes } of messages) {
      length += bytes.length;
    }
    const datagram = Buffer.allocUnsafe(length);
    datagram.set(head);
    let offset = head.length;
    for (const { bytes } of messages) {
      if (isJson && offset > head.length) {
        datagram[offset] = JSON_COMMA;
        offset += 1;
      }
      datagram.set(bytes, offset);
      offset += bytes.length;
    }
    if (isJson) {
      datagram.set(JSON_END, offset);
    }
    return datagram;
  }

  #encodeHead(messageCount: number): Uint8Array {
    switch (this.#format) {
      case 'compact':
        return encodeDatagramHead(COMPACT_FORMAT, this.#sender, this.#sourceAddress, messageCount);
      case 'json': {
        const { id: from, incarnation } = this.#sender;
        return Buffer.from(`${JSON.stringify({ from, incarnation }).slice(0, -1)},"messages":[`);
      }
    }
  }
}

/**
 * Combines messages that were encoded in the same form into one datagram.
 * @param sourceAddress IP address from which the datagram is sent.
 */
export function encodeDatagram(
  sender: DatagramSender,
  sourceAddress: string,
  messages: readonly EncodedMessage[],
  format: MessageFormat = 'compact',
): Uint8Array {
  return new DatagramEncoder(sender, sourceAddress, format).encode(messages);
}

/** @returns undefined if the bytes are not a valid datagram. */
export function decodeDatagram(bytes: Uint8Array, sourceAddress: string): PeerDatagram | undefined {
  return frequentReader.read(bytes, sourceAddress) ?? decodeAnyDatagram(bytes, sourceAddress);
}

/** Decodes a datagram in any form and checks it against the schema, which defines what is valid. */
export function decodeAnyDatagram(bytes: Uint8Array, sourceAddress: string): PeerDatagram | undefined {
  try {
    const datagram: unknown =
      bytes[0] === JSON_START
        ? JSON.parse(Buffer.from(bytes).toString('utf8'))
        : decodeCompact(bytes, COMPACT_FORMAT, sourceAddress);
    return datagramSchema.safeParse(datagram).data;
  } catch {
    return undefined;
  }
}
