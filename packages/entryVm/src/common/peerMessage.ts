import { z } from 'zod';
import { encodedDeltaSchema } from '@hickoryhoist/keyownership/common/keyAssignmentDelta.js';

const askSchema = z.object({
  type: z.literal('ask'),
  id: z.string(),
  service: z.string(),
  serverId: z.string().optional(),
  excludedIds: z.array(z.string()),
  availabilityZone: z.string(),
  rank: z.number(),
  bodyBytes: z.number(),
  /** Milliseconds until the goal; negative when it has passed. */
  goalIn: z.number(),
  deadlineIn: z.number(),
});

const peerMessageSchema = z.discriminatedUnion('type', [
  askSchema,
  z.object({ type: z.literal('waiting'), id: z.string() }),
  z.object({ type: z.literal('granted'), id: z.string(), serverId: z.string() }),
  z.object({
    type: z.literal('refused'),
    id: z.string(),
    refusal: z.enum(['no-server', 'overloaded', 'unreachable', 'not-coordinating']),
    retryAfter: z.number(),
    /** What the refusal was decided on, for the asker's log. */
    basis: z
      .object({
        expectedWaitMilliseconds: z.number(),
        expectedWorkMilliseconds: z.number(),
        waiting: z.number(),
      })
      .optional(),
  }),
  z.object({
    type: z.literal('finish'),
    id: z.string(),
    use: z.enum(['answered', 'failed', 'refused', 'unreachable', 'silent', 'cancelled']),
  }),
  z.object({
    type: z.literal('heartbeat'),
    term: z.number(),
    id: z.string(),
    /** Milliseconds without an answer from the store while calls fail. */
    storeSilence: z.number(),
    /** Version of the newest change that the sender has seen, by table. */
    versions: z.record(z.string(), z.number()),
    /** Revision of each service's assignment. */
    assignments: z.record(z.string(), z.number()),
    /** The assigner's clock when it sent this; reports return it. */
    sentAt: z.number(),
  }),
  z.object({
    type: z.literal('reader-heartbeat'),
    /** Milliseconds for which the sender has reached the store. */
    storeReachable: z.number(),
    /** Milliseconds without an answer from the store while calls fail. */
    storeSilence: z.number(),
    versions: z.record(z.string(), z.number()),
  }),
  z.object({
    type: z.literal('table-changes'),
    table: z.string(),
    /** Version after which these are all changes, up to `version`. */
    after: z.number(),
    version: z.number(),
    newestChange: z.number(),
    rows: z.array(z.object({ key: z.string(), value: z.string(), version: z.number() })),
    deletedKeys: z.array(z.string()),
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
    /** Newest term that the sender has heard of, and the time that its heartbeat stated. */
    term: z.number(),
    heartbeatSentAt: z.number(),
    storeSilence: z.number(),
    versions: z.record(z.string(), z.number()),
    /** Keys of recent requests by service. */
    keys: z.record(z.string(), z.array(z.number())),
    /** Milliseconds that a request takes and how many requests that was learned from, by server. */
    serverTimes: z.record(z.string(), z.tuple([z.number(), z.number()])),
  }),
]);

/** Message between entry VMs. Any of them may be lost, doubled or late. */
export type PeerMessage = z.output<typeof peerMessageSchema>;

/** A slot that an entry VM asks the coordinator of a server for. */
export type AskMessage = z.output<typeof askSchema>;

const datagramSchema = z.object({
  from: z.string(),
  incarnation: z.string(),
  messages: z.array(peerMessageSchema),
});

/** What one datagram carries. */
export type PeerDatagram = z.output<typeof datagramSchema>;

/** Encodes a message by itself, so that one that goes to many entry VMs is encoded once. */
export function encodeMessage(message: PeerMessage): string {
  return JSON.stringify(message);
}

/** Puts encoded messages together to a datagram. */
export function encodeDatagram(
  from: string,
  incarnation: string,
  encodedMessages: readonly string[],
): Buffer {
  const sender = `"from":${JSON.stringify(from)},"incarnation":${JSON.stringify(incarnation)}`;
  return Buffer.from(`{${sender},"messages":[${encodedMessages.join(',')}]}`, 'utf8');
}

/** @returns nothing for bytes that are no datagram of an entry VM. */
export function decodeDatagram(bytes: Buffer): PeerDatagram | undefined {
  try {
    return datagramSchema.safeParse(JSON.parse(bytes.toString('utf8'))).data;
  } catch {
    return undefined;
  }
}
