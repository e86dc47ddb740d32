import { z } from 'zod';
import { encodedDeltaSchema } from '@hickoryhoist/keyownership/common/keyAssignmentDelta.js';

const slotRequestSchema = z.object({
  type: z.literal('ask'),
  id: z.string(),
  service: z.string(),
  serverId: z.string().optional(),
  excludedIds: z.array(z.string()),
  availabilityZone: z.string(),
  rank: z.number(),
  bodyBytes: z.number(),
  /** Milliseconds until the time goal; negative if it has passed. */
  goalIn: z.number(),
  deadlineIn: z.number(),
});

const peerMessageSchema = z.discriminatedUnion('type', [
  slotRequestSchema,
  z.object({ type: z.literal('waiting'), id: z.string() }),
  z.object({ type: z.literal('granted'), id: z.string(), serverId: z.string() }),
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

/** Encodes a message on its own, so that a broadcast is encoded only once. */
export function encodeMessage(message: PeerMessage): string {
  return JSON.stringify(message);
}

/** Combines encoded messages into a datagram. */
export function encodeDatagram(
  from: string,
  incarnation: string,
  encodedMessages: readonly string[],
): Buffer {
  const sender = `"from":${JSON.stringify(from)},"incarnation":${JSON.stringify(incarnation)}`;
  return Buffer.from(`{${sender},"messages":[${encodedMessages.join(',')}]}`, 'utf8');
}

/** @returns undefined if the bytes are not a valid datagram. */
export function decodeDatagram(bytes: Buffer): PeerDatagram | undefined {
  try {
    return datagramSchema.safeParse(JSON.parse(bytes.toString('utf8'))).data;
  } catch {
    return undefined;
  }
}
