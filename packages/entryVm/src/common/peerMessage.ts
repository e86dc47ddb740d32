import { z } from 'zod';
import { encodedDeltaSchema } from '@hickoryhoist/keyownership/common/keyAssignmentDelta.js';
import { type DatagramSender, decodeCompact, encodeCompact, encodeDatagramHead } from './peerCodec.js';

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
    refusal: z.enum(['no-server', 'overloaded', 'unreachable', 'not-coordinating']),
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
    use: z.enum(['answered', 'failed', 'refused', 'unreachable', 'silent', 'cancelled']),
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
const JSON_COMMA = Buffer.from(',');
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
      return { type: message.type, bytes: encodeCompact(message, sender) };
    case 'json':
      return { type: message.type, bytes: Buffer.from(JSON.stringify(message)) };
  }
}

/**
 * Combines messages that were encoded in the same form into a datagram.
 * @param sourceAddress IP address from which the datagram is sent.
 */
export function encodeDatagram(
  sender: DatagramSender,
  sourceAddress: string,
  messages: readonly EncodedMessage[],
  format: MessageFormat = 'compact',
): Uint8Array {
  switch (format) {
    case 'compact': {
      const head = encodeDatagramHead(COMPACT_FORMAT, sender, sourceAddress, messages.length);
      return Buffer.concat([head, ...messages.map(({ bytes }) => bytes)]);
    }
    case 'json': {
      const { id: from, incarnation } = sender;
      const head = JSON.stringify({ from, incarnation }).slice(0, -1);
      const parts = messages.flatMap(({ bytes }, index) => (index === 0 ? [bytes] : [JSON_COMMA, bytes]));
      return Buffer.concat([Buffer.from(`${head},"messages":[`), ...parts, JSON_END]);
    }
  }
}

/** @returns undefined if the bytes are not a valid datagram. */
export function decodeDatagram(bytes: Uint8Array, sourceAddress: string): PeerDatagram | undefined {
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
